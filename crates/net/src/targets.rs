//! Target versions of models in the messages of entry hosts.

use {
    jayspread_core::{
        clamp,
        target::{self, Targets},
    },
    jayspread_schema::peer::{Superseded, Target},
    std::time::Instant,
};

/// Records the versions that an entry host tells; returns whether the newest one is newer than all
/// versions known so far.
pub fn learn(targets: &mut Targets, told: &Target, now: Instant) -> bool {
    let mut insert = |version, age_ms, age_assumed| {
        let age = clamp::milliseconds(age_ms);
        let set_at = now.checked_sub(age).unwrap_or(now);
        if age_assumed {
            targets.assume(&told.model, version, set_at)
        } else {
            targets.record(&told.model, version, set_at)
        }
    };
    for earlier in &told.superseded {
        insert(earlier.version, earlier.age_ms, earlier.age_assumed);
    }
    insert(told.version, told.age_ms, told.age_assumed)
}

/// Encodes the targets that were set before the newest one, for a message that is sent at `now`.
pub fn superseded(targets: &[target::Target], now: Instant) -> Vec<Superseded> {
    let encode = |target: &target::Target| Superseded {
        version: target.version,
        age_ms: now.saturating_duration_since(target.set_at).as_millis() as u64,
        age_assumed: target.assumed,
    };
    let earlier = targets.split_last().map_or(&[][..], |(_, earlier)| earlier);
    earlier.iter().map(encode).collect()
}
