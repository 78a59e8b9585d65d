//! Target versions of models in the messages of entry hosts.

use {
    jayspread_core::{
        clamp,
        target::{self, Targets},
    },
    jayspread_schema::peer::{Superseded, Target},
    std::time::{Duration, Instant},
};

/// What this process knows of the versions that the store had before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum History {
    /// It has followed the store, so that a version which is news to it was set since.
    Followed,
    /// Nothing: a version may have been set long ago.
    Unknown,
}

/// Records the versions that an entry host tells; returns whether the newest one is newer than all
/// versions known so far.
pub fn learn(targets: &mut Targets, told: &Target, history: History, now: Instant) -> bool {
    let mut insert = |version, age_ms, age_assumed| {
        let age = clamp::milliseconds(age_ms);
        let set_at = now.checked_sub(age).unwrap_or(now);
        match (age_assumed, history) {
            (false, _) => targets.record(&told.model, version, set_at),
            (true, History::Followed) => targets.miss(&told.model, version, set_at, now),
            (true, History::Unknown) => targets.assume(&told.model, version, set_at),
        }
    };
    for earlier in &told.superseded {
        insert(earlier.version, earlier.age_ms, earlier.age_assumed);
    }
    insert(told.version, told.age_ms, told.age_assumed)
}

/// Records from when on an entry host counts the time for older versions. For agents only: each entry
/// host decides by itself whether a disruption has restarted that time.
pub fn learn_counts(targets: &mut Targets, told: &Target, now: Instant) {
    let superseded = told.superseded.iter().map(|s| (s.version, s.counted_ms));
    for (version, counted_ms) in superseded.chain([(told.version, told.counted_ms)]) {
        let from = counted_ms.and_then(|ms| now.checked_sub(clamp::milliseconds(ms)));
        if let Some(from) = from {
            targets.extend(&told.model, version, from);
        }
    }
}

/// Encodes from when on the time for versions older than `target` is counted, if a disruption
/// restarted it.
pub fn counted_ms(
    targets: &Targets,
    model: &str,
    target: &target::Target,
    limit: Duration,
    now: Instant,
) -> Option<u64> {
    let from = targets.counted_from(model, target, limit);
    (from > target.set_at).then(|| now.saturating_duration_since(from).as_millis() as u64)
}

/// Encodes the targets that were set before the newest one, for a message that is sent at `now`.
pub fn superseded(known: &Targets, model: &str, limit: Duration, now: Instant) -> Vec<Superseded> {
    let targets = known.relevant(model, limit, now);
    let encode = |target: &target::Target| Superseded {
        version: target.version,
        age_ms: now.saturating_duration_since(target.set_at).as_millis() as u64,
        age_assumed: target.assumed,
        counted_ms: counted_ms(known, model, target, limit, now),
    };
    let earlier = targets.split_last().map_or(&[][..], |(_, earlier)| earlier);
    earlier.iter().map(encode).collect()
}
