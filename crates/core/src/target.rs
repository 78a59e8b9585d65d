//! Target versions of models, as set by the operator, and the oldest version that may still serve.

use {
    crate::{clamp, id::Revision},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Number of targets kept per model. The oldest is dropped; the next one takes over its time, which
/// is stricter for engines that hold a version between the two.
const MAX_TARGETS_PER_MODEL: usize = 8;

/// A version that the operator wants to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Number of the version.
    pub version: u64,
    /// Earliest time by which this process knows that the target had been set.
    pub set_at: Instant,
    /// Whether no process is known that saw the target being set; `set_at` is then the earliest time
    /// that this process allows for.
    pub assumed: bool,
}

impl Target {
    /// Applies what another source says of the same version.
    fn refine(&mut self, other: Self) {
        match (self.assumed, other.assumed) {
            (true, false) => *self = other,
            (false, true) => {}
            _ => self.set_at = self.set_at.min(other.set_at),
        }
    }
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
    /// Times at which this process learned of versions that had been set while it, having followed
    /// the store before, did not.
    missed: BTreeMap<Box<str>, BTreeMap<u64, Instant>>,
    /// Starts of the time for older versions that entry hosts told this process.
    told: BTreeMap<Box<str>, BTreeMap<u64, Instant>>,
    disruptions: Option<Disruptions>,
}

/// Disruptions of the store that follow each other within the time for older versions. That time
/// never ran out between the first and the last one.
#[derive(Debug, Clone, Copy)]
struct Disruptions {
    first: Instant,
    last: Instant,
}

impl Targets {
    /// Records that a process saw how a version was set as the target, at `set_at` or earlier.
    /// Returns whether it is newer than all targets known so far.
    pub fn record(&mut self, model: &str, version: u64, set_at: Instant) -> bool {
        let assumed = false;
        self.insert(
            model,
            Target {
                version,
                set_at,
                assumed,
            },
        )
    }

    /// Records a version that was set at an unknown time, no earlier than `earliest`; a time that
    /// some process knows takes precedence. Returns the same as [`Targets::record`].
    pub fn assume(&mut self, model: &str, version: u64, earliest: Instant) -> bool {
        let assumed = true;
        self.insert(
            model,
            Target {
                version,
                set_at: earliest,
                assumed,
            },
        )
    }

    /// Records a version that was set while this process, which had followed the store before, did
    /// not; the time for older versions ends `limit` after `earliest`, unless a disruption restarts
    /// it. Returns the same as [`Targets::record`].
    pub fn miss(&mut self, model: &str, version: u64, earliest: Instant, now: Instant) -> bool {
        let newest = self.assume(model, version, earliest);
        if newest {
            // One that was known before may have been set long ago.
            let missed = self.missed.entry(model.into()).or_default();
            missed.entry(version).or_insert(now);
            self.forget_dropped(model);
        }
        newest
    }

    /// Records that an entry host counts the time for versions older than this one from `from` on.
    pub fn extend(&mut self, model: &str, version: u64, from: Instant) {
        let told = self.told.entry(model.into()).or_default();
        let known = told.entry(version).or_insert(from);
        *known = from.max(*known);
        self.forget_dropped(model);
    }

    /// Records that the store was disrupted at `at`, which restarts the time for older versions, of
    /// length `limit`. Time that had run out before does not start again.
    pub fn restart(&mut self, at: Instant, limit: Duration) {
        let disruptions = self.disruptions.get_or_insert(Disruptions {
            first: at,
            last: at,
        });
        if at > clamp::later(disruptions.last, limit) {
            disruptions.first = at;
        }
        disruptions.last = at.max(disruptions.last);
    }

    /// Start of the time for versions older than this one, of length `limit`.
    pub fn counted_from(&self, model: &str, target: &Target, limit: Duration) -> Instant {
        let find = |times: &BTreeMap<Box<str>, BTreeMap<u64, Instant>>| {
            times.get(model)?.get(&target.version).copied()
        };
        let told = find(&self.told).unwrap_or(target.set_at);
        // A version that was set at an entirely unknown time may have been in force long before a
        // disruption.
        let named_by = if target.assumed {
            find(&self.missed)
        } else {
            Some(target.set_at)
        };
        let restarted = named_by.zip(self.disruptions).and_then(|(named_by, d)| {
            let had_run_out = clamp::later(named_by, limit) < d.first;
            (!had_run_out).then_some(d.last)
        });
        let counted = restarted.unwrap_or(target.set_at);
        counted.max(told).max(target.set_at)
    }

    /// Forgets times of versions that are no longer kept.
    fn forget_dropped(&mut self, model: &str) {
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let oldest = targets.first().map_or(0, |target| target.version);
        for times in [&mut self.missed, &mut self.told] {
            if let Some(versions) = times.get_mut(model) {
                *versions = versions.split_off(&oldest);
            }
        }
    }

    fn insert(&mut self, model: &str, target: Target) -> bool {
        let targets = self.models.entry(model.into()).or_default();
        let newest = targets
            .last()
            .is_none_or(|last| target.version > last.version);
        match targets.binary_search_by_key(&target.version, |t| t.version) {
            Ok(index) => targets[index].refine(target),
            Err(index) => targets.insert(index, target),
        }
        if targets.len() > MAX_TARGETS_PER_MODEL {
            let dropped = targets.remove(0);
            targets[0].set_at = targets[0].set_at.min(dropped.set_at);
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
        let in_effect = |t: &&Target| {
            let from = self.counted_from(model, t, grace_period);
            now.saturating_duration_since(from) >= grace_period
        };
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let newest_in_effect = targets.iter().rev().find(in_effect);
        newest_in_effect.map_or(0, |t| t.version)
    }

    /// Versions and the times until which work on older ones may begin, when that is `limit` after
    /// each was set, or after the last disruption that restarted the time.
    pub fn bounds(&self, model: &str, limit: Duration) -> Vec<Bound> {
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let bound = |t: &Target| Bound {
            version: t.version,
            until: clamp::later(self.counted_from(model, t, limit), limit),
        };
        targets.iter().map(bound).collect()
    }

    /// Targets of a model, without those that a later one makes irrelevant because its own `limit`
    /// has passed.
    pub fn relevant(&self, model: &str, limit: Duration, now: Instant) -> &[Target] {
        let targets = self.models.get(model).map_or(&[][..], Vec::as_slice);
        let has_passed = |t: &Target| {
            let from = self.counted_from(model, t, limit);
            now.saturating_duration_since(from) >= limit
        };
        let first = targets.iter().rposition(has_passed).unwrap_or(0);
        &targets[first..]
    }

    /// Models and their newest targets.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Target)> {
        let newest = |(model, targets): (_, &Vec<Target>)| Some((model, *targets.last()?));
        self.models.iter().filter_map(newest)
    }
}

/// What the newest configuration says that any host has told of. A host that was paused tells of an
/// earlier one.
#[derive(Debug, Clone)]
pub struct Newest<T>(Option<(Revision, T)>);

impl<T> Default for Newest<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T: PartialEq> Newest<T> {
    /// Takes in what a configuration says; returns whether that is another value than before.
    pub fn learn(&mut self, revision: Revision, value: T) -> bool {
        let known = self.0.as_ref();
        if known.is_some_and(|(known, _)| revision < *known) {
            return false;
        }
        let changed = known.is_none_or(|(_, known)| *known != value);
        self.0 = Some((revision, value));
        changed
    }

    /// What the newest configuration says; `None` before the first.
    pub fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|(_, value)| value)
    }
}
