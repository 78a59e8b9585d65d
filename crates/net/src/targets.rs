//! Target versions of models in the messages of entry hosts.

use {
    jayspread_core::target::{self, Targets},
    jayspread_schema::peer::{Superseded, Target},
    std::time::{Duration, Instant},
};

/// Records the versions that an entry host tells; returns whether the newest one is newer than all
/// versions known so far.
pub fn learn(targets: &mut Targets, told: &Target, now: Instant) -> bool {
    let set_at = |age_ms| {
        let age = Duration::from_millis(age_ms);
        now.checked_sub(age).unwrap_or(now)
    };
    for earlier in &told.superseded {
        targets.record(&told.model, earlier.version, set_at(earlier.age_ms));
    }
    targets.record(&told.model, told.version, set_at(told.age_ms))
}

/// Encodes the targets that were set before the newest one, for a message that is sent at `now`.
pub fn superseded(targets: &[target::Target], now: Instant) -> Vec<Superseded> {
    let encode = |target: &target::Target| Superseded {
        version: target.version,
        age_ms: now.saturating_duration_since(target.set_at).as_millis() as u64,
    };
    let earlier = targets.split_last().map_or(&[][..], |(_, earlier)| earlier);
    earlier.iter().map(encode).collect()
}
