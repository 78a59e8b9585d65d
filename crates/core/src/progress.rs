//! Progress of the newest version across the fleet, to detect that its distribution has stalled.
//!
//! When versions are announced shortly after each other, hosts fetch the newest one first, because
//! the pieces of the older one will soon be useless. If the origin becomes unreachable before it
//! has sent all pieces of the newest version, no host can complete it, and hosts fetch the older
//! version after all to keep the engines in service.

use {
    crate::target::Target,
    std::time::{Duration, Instant},
};

/// Time from the announcement of a version until hosts usually report its first pieces.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time without a new piece on any host after which a version counts as stalled. The origin sends a
/// piece of 48 KiB in 26 ms over 15 Mbit/s, and hosts report the pieces they hold within 0.4 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Tracks how many pieces of the newest version are held by at least one host that sends reports.
#[derive(Debug, Default)]
pub struct Tracker {
    latest: Option<Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    version: u64,
    /// Number of pieces that at least one host holds.
    held: usize,
    /// Time at which `held` last grew.
    grown_at: Instant,
}

impl Tracker {
    /// Records that `held` of the `count` pieces of the newest version are on at least one host.
    /// Returns whether the version progresses: all pieces are held, or the number grew recently.
    pub fn observe(&mut self, newest: Target, held: usize, count: usize, now: Instant) -> bool {
        let initial = Observation {
            version: newest.version,
            held: 0,
            grown_at: newest.set_at + FIRST_REPORT_DELAY,
        };
        let latest = self.latest.get_or_insert(initial);
        if latest.version != newest.version {
            *latest = initial;
        }
        if held > latest.held {
            latest.held = held;
            latest.grown_at = latest.grown_at.max(now);
        }
        count > 0 && held >= count || now < latest.grown_at + STALL_TIMEOUT
    }
}
