//! When an engine is ordered to load a version whose pieces are staged.
//!
//! Loading takes the engine out of service until its running requests have ended. The engines of a
//! pool therefore take turns, spread over the time that is left before older versions may not
//! serve any more. An engine without a version loads at once.

use {
    crate::{
        id::{self, DataCentre, Host},
        target::Target,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time kept free before the bound; once an engine has its order, nothing begins there on the older
/// version.
const RESERVE: Duration = Duration::from_millis(700);
/// Time from the naming of a version until its pieces are usually staged.
pub const TYPICAL_STAGING_TIME: Duration = Duration::from_millis(3_400);
/// Time before the arrival of a newer version in which turns on an older one wait for it.
const JUMP: Duration = Duration::from_millis(1_200);

/// What one agent knows when it asks for its turn.
#[derive(Debug, Clone)]
pub struct Turn<'a> {
    /// Own host.
    pub host: &'a str,
    /// Own data centre.
    pub data_centre: &'a str,
    /// Hosts of the pool by data centre, the own one included.
    pub pool: &'a BTreeMap<DataCentre, BTreeSet<Host>>,
    /// Version that the engine serves, 0 for none.
    pub serving_version: u64,
    /// The version to load.
    pub target: Target,
    /// Time after naming from which older versions may not begin work.
    pub cutoff: Duration,
}

impl Turn<'_> {
    /// Time at which this engine's order is due. Within a data centre the turns are spread evenly;
    /// those of different data centres fall between each other.
    pub fn due(&self) -> Instant {
        if self.serving_version == 0 {
            return self.target.set_at;
        }
        let last = self.cutoff.saturating_sub(RESERVE);
        let first = TYPICAL_STAGING_TIME.min(last);
        self.target.set_at + first + (last - first).mul_f64(self.place())
    }

    /// Place among all turns, 0 to 1.
    fn place(&self) -> f64 {
        let subject = self.target.version.to_le_bytes();
        let own = id::score(&subject, self.host);
        let near = self.pool.get(self.data_centre);
        let near: Vec<&Host> = near.into_iter().flatten().collect();
        let before = near
            .iter()
            .filter(|host| host.as_ref() != self.host && id::score(&subject, host) > own);
        let rank = before.count() as f64;
        let centres = self.pool.len().max(1) as f64;
        let centre = self
            .pool
            .keys()
            .position(|name| **name == *self.data_centre);
        let offset = centre.unwrap_or(0) as f64 / centres;
        (rank + offset) / near.len().max(1) as f64
    }

    /// Whether this engine leaves the version out for a newer one: the newer one arrives before the
    /// bound of this one, and soon after this engine's turn.
    pub fn should_skip_for(&self, newer: Target) -> bool {
        let arrives = newer.set_at + TYPICAL_STAGING_TIME;
        let bound = self.target.set_at + self.cutoff.saturating_sub(RESERVE);
        arrives <= bound && self.due() + JUMP >= arrives
    }
}
