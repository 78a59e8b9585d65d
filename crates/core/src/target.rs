//! Versions of models that the operator has named, and until when older ones may serve.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Versions remembered for each model; older ones bind no more than the oldest of these.
const REMEMBERED: usize = 8;

/// A version and the time since which it is known to be named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// Number of the version.
    pub version: u64,
    /// Earliest time at which this process knows it to have been named.
    pub since: Instant,
}

/// Named versions by model.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    models: BTreeMap<Box<str>, Vec<Named>>,
}

impl Targets {
    /// Takes in that a version was named at `since` or before; true when it is the newest now.
    pub fn name(&mut self, model: &str, version: u64, since: Instant) -> bool {
        let named = self.models.entry(model.into()).or_default();
        let newest = named.last().is_none_or(|last| version > last.version);
        match named.binary_search_by_key(&version, |n| n.version) {
            Ok(found) => named[found].since = named[found].since.min(since),
            Err(place) => named.insert(place, Named { version, since }),
        }
        if named.len() > REMEMBERED {
            named.remove(0);
        }
        newest
    }

    /// Newest version of a model.
    pub fn newest(&self, model: &str) -> Option<Named> {
        self.models.get(model)?.last().copied()
    }

    /// Oldest version that may still begin work when each must be in force `bound` after it was
    /// named.
    pub fn least(&self, model: &str, bound: Duration, now: Instant) -> u64 {
        let due = |n: &&Named| now.saturating_duration_since(n.since) >= bound;
        let named = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let newest_due = named.iter().rev().find(due);
        newest_due.map_or(0, |n| n.version)
    }

    /// Models and their newest versions.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Named)> {
        let newest = |(model, named): (_, &Vec<Named>)| Some((model, *named.last()?));
        self.models.iter().filter_map(newest)
    }
}
