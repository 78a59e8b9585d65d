//! Target versions of models, as set by the operator, and the oldest version that may still serve.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of targets kept per model. Only the oldest is dropped, and no newer one is less strict.
const MAX_TARGETS_PER_MODEL: usize = 8;

/// A version that the operator wants to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Number of the version.
    pub version: u64,
    /// Earliest time by which this process knows that the target had been set.
    pub set_at: Instant,
}

/// End of the time in which work may begin on versions older than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Number of the version.
    pub version: u64,
    /// End of that time.
    pub until: Instant,
}

/// Target versions by model.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    models: BTreeMap<Box<str>, Vec<Target>>,
}

impl Targets {
    /// Records that a version was set as the target at `set_at` or earlier. Returns whether it is
    /// newer than all targets known so far.
    pub fn record(&mut self, model: &str, version: u64, set_at: Instant) -> bool {
        let targets = self.models.entry(model.into()).or_default();
        let newest = targets.last().is_none_or(|last| version > last.version);
        match targets.binary_search_by_key(&version, |t| t.version) {
            Ok(index) => targets[index].set_at = targets[index].set_at.min(set_at),
            Err(index) => targets.insert(index, Target { version, set_at }),
        }
        if targets.len() > MAX_TARGETS_PER_MODEL {
            targets.remove(0);
        }
        newest
    }

    /// Newest target of a model.
    pub fn newest(&self, model: &str) -> Option<Target> {
        self.models.get(model)?.last().copied()
    }

    /// Oldest version that may still start work, when each target takes effect `grace_period` after
    /// it was set; 0 if none has taken effect.
    pub fn min_version(&self, model: &str, grace_period: Duration, now: Instant) -> u64 {
        let in_effect = |t: &&Target| now.saturating_duration_since(t.set_at) >= grace_period;
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let newest_in_effect = targets.iter().rev().find(in_effect);
        newest_in_effect.map_or(0, |t| t.version)
    }

    /// Versions and the times until which work on older ones may begin, when that is `limit` after
    /// each was set.
    pub fn bounds(&self, model: &str, limit: Duration) -> Vec<Bound> {
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let bound = |t: &Target| Bound {
            version: t.version,
            until: t.set_at + limit,
        };
        targets.iter().map(bound).collect()
    }

    /// Targets of a model, without those that a later one makes irrelevant because its own `limit`
    /// has passed.
    pub fn relevant(&self, model: &str, limit: Duration, now: Instant) -> &[Target] {
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let has_passed = |t: &Target| now.saturating_duration_since(t.set_at) >= limit;
        let first = targets.iter().rposition(has_passed).unwrap_or(0);
        &targets[first..]
    }

    /// Models and their newest targets.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Target)> {
        let newest = |(model, targets): (_, &Vec<Target>)| Some((model, *targets.last()?));
        self.models.iter().filter_map(newest)
    }
}
