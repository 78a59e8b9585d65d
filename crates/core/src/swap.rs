//! When an engine is ordered to load a version whose pieces are staged.
//!
//! Loading takes the engine out of service until its running requests have ended. The engines of a
//! pool therefore take turns, spread over the time that is left before older versions may not
//! serve any more. An engine without a version loads at once.

use {
    crate::id::{self, Host},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Time kept free before the bound for the work that is running when the order comes.
const RESERVE: Duration = Duration::from_millis(1_500);
/// Time after naming before which no turn begins, while most agents still fetch.
const SPREAD: Duration = Duration::from_millis(3_000);

/// What one agent knows when it asks for its turn.
#[derive(Debug, Clone)]
pub struct Turn<'a> {
    /// Own host.
    pub me: &'a str,
    /// Hosts of the pool that still have to load the version, the own one included.
    pub waiting: &'a BTreeSet<Host>,
    /// Version that the engine serves, 0 for none.
    pub serves: u64,
    /// Version that is staged.
    pub version: u64,
    /// Time at which it was named.
    pub named: Instant,
    /// Time after naming from which older versions may not begin work.
    pub bound: Duration,
}

impl Turn<'_> {
    /// Time at which this engine's order is due.
    pub fn due(&self) -> Instant {
        if self.serves == 0 {
            return self.named;
        }
        let last = self.bound.saturating_sub(RESERVE);
        let first = SPREAD.min(last);
        let subject = self.version.to_le_bytes();
        let own = id::score(&subject, self.me);
        let before = self
            .waiting
            .iter()
            .filter(|host| ***host != *self.me && id::score(&subject, host) > own);
        let rank = before.count() as u32;
        let count = self.waiting.len().max(1) as u32;
        self.named + first + (last - first) * rank / count
    }
}
