//! Whether a version that was named comes at all, while an older one could still be had.
//!
//! Versions may be named shortly after each other. The newest one is fetched first, as the older
//! one's pieces are worthless soon. But when the origin goes away in between, the newest cannot be
//! completed by anyone, and the older one keeps the engines in service meanwhile.

use {
    crate::target::Target,
    std::time::{Duration, Instant},
};

/// Time from the naming of a version until its first pieces are usually known to others.
const FIRST: Duration = Duration::from_millis(500);
/// Time without a new piece anywhere after which a version does not count as coming; the origin
/// sends a piece of 48 KiB in 26 ms over 15 Mbit/s, and others report what they hold within 0.4 s.
const STALL: Duration = Duration::from_millis(700);

/// How far the newest version has come among all hosts that are heard from.
#[derive(Debug, Default)]
pub struct Tracker {
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: u64,
    /// Pieces that some host holds.
    held: usize,
    /// Time at which their number last grew.
    grown: Instant,
}

impl Tracker {
    /// Takes in that `held` of the newest version's `count` pieces are held by some host; true while
    /// it comes: all of them are, or there were new ones lately.
    pub fn observe(&mut self, newest: Target, held: usize, count: usize, now: Instant) -> bool {
        let fresh = Seen {
            version: newest.version,
            held: 0,
            grown: newest.set_at + FIRST,
        };
        let seen = self.seen.get_or_insert(fresh);
        if seen.version != newest.version {
            *seen = fresh;
        }
        if held > seen.held {
            seen.held = held;
            seen.grown = seen.grown.max(now);
        }
        count > 0 && held >= count || now < seen.grown + STALL
    }
}
