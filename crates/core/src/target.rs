//! Versions of models that the operator has named, and until when older ones may serve.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Versions remembered for each model; older ones bind no more than the oldest of these.
const REMEMBERED: usize = 8;

/// A version and the time since which it is known to be named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Number of the version.
    pub version: u64,
    /// Earliest time at which this process knows it to have been named.
    pub set_at: Instant,
}

/// Named versions by model.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    models: BTreeMap<Box<str>, Vec<Target>>,
}

impl Targets {
    /// Takes in that a version was named at `since` or before; true when it is the newest now.
    pub fn record(&mut self, model: &str, version: u64, since: Instant) -> bool {
        let named = self.models.entry(model.into()).or_default();
        let newest = named.last().is_none_or(|last| version > last.version);
        match named.binary_search_by_key(&version, |n| n.version) {
            Ok(found) => named[found].set_at = named[found].set_at.min(since),
            Err(place) => named.insert(
                place,
                Target {
                    version,
                    set_at: since,
                },
            ),
        }
        if named.len() > REMEMBERED {
            named.remove(0);
        }
        newest
    }

    /// Newest version of a model.
    pub fn newest(&self, model: &str) -> Option<Target> {
        self.models.get(model)?.last().copied()
    }

    /// Oldest version that may still begin work when each must be in force `bound` after it was
    /// named.
    pub fn min_version(&self, model: &str, bound: Duration, now: Instant) -> u64 {
        let due = |n: &&Target| now.saturating_duration_since(n.set_at) >= bound;
        let named = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let newest_due = named.iter().rev().find(due);
        newest_due.map_or(0, |n| n.version)
    }

    /// Models and their newest versions.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Target)> {
        let newest = |(model, named): (_, &Vec<Target>)| Some((model, *named.last()?));
        self.models.iter().filter_map(newest)
    }
}
