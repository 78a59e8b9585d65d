//! Schedule by which the engines of a pool load a staged version.
//!
//! While an engine finishes its requests and loads, it is out of service. The engines of a pool
//! therefore take turns. Each spreads its turn over the time from when its pieces were staged until
//! entry hosts stop sending requests to its version, so that engines that stage late share what is
//! left of that time. An engine that serves no version loads immediately.

use {
    crate::{
        fetch::Count,
        id::{self, DataCentre, Host},
        target::Target,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time before the end of the time for an older version at which engines with it get their last
/// requests: least allowance of entry hosts for the time until a request begins.
const END_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which a load takes an engine out of service: up to 2 s for its requests, and 0.3 s to
/// load.
pub const OUT_TIME: Duration = Duration::from_millis(2_300);
/// Share of the engines of each data centre that keep serving, if all were staged at least
/// `OUT_TIME` divided by the rest to one before the last turn. With less time, all the time that is
/// left is used: engines whose turns came after it would not get requests in any case.
pub const SERVING_SHARE: f64 = 0.5;
/// Time from when agents hold all pieces between them until each has staged them.
const LAST_TRANSFERS: Duration = Duration::from_millis(500);
/// Maximum time after a turn within which a newer version must be staged for the turn to be
/// skipped.
const SKIP_WINDOW: Duration = Duration::from_millis(1_200);

/// Turn of one engine at loading a version.
#[derive(Debug, Clone)]
pub struct Turn<'a> {
    /// Host of the engine.
    pub host: &'a str,
    /// Data centre of the host.
    pub data_centre: &'a str,
    /// Hosts of the pool by data centre, including `host`.
    pub pool: &'a BTreeMap<DataCentre, BTreeSet<Host>>,
    /// Version that the engine serves; 0 if none.
    pub serving_version: u64,
    /// Version to load.
    pub target: Target,
    /// Time at which the pieces of `target` were staged.
    pub staged_at: Instant,
    /// Time from which engines may start no requests on the version that this engine serves.
    pub until: Instant,
}

impl Turn<'_> {
    /// Time at which the load order of this engine is due. The turns within a data centre are
    /// spread evenly, and those of different data centres are interleaved.
    pub fn due(&self) -> Instant {
        if self.serving_version == 0 {
            return self.staged_at;
        }
        let time_left = self.last().saturating_duration_since(self.staged_at);
        self.staged_at + time_left.mul_f64(self.position())
    }

    /// Time of the last turn.
    fn last(&self) -> Instant {
        // Fails only for a time before the start of the clock.
        self.until.checked_sub(END_MARGIN).unwrap_or(self.until)
    }

    /// Position of this turn between the first and the last one, from 0 to 1.
    pub fn position(&self) -> f64 {
        let key = self.target.version.to_le_bytes();
        let score = id::score(&key, self.host);
        let local_hosts = self.pool.get(self.data_centre);
        let local_hosts: Vec<&Host> = local_hosts.into_iter().flatten().collect();
        let earlier = local_hosts
            .iter()
            .filter(|host| host.as_ref() != self.host && id::score(&key, host) > score);
        let rank = earlier.count() as f64;
        let data_centre_count = self.pool.len().max(1) as f64;
        let data_centre_index = self
            .pool
            .keys()
            .position(|name| **name == *self.data_centre);
        let offset = data_centre_index.unwrap_or(0) as f64 / data_centre_count;
        (rank + offset) / local_hosts.len().max(1) as f64
    }

    /// Whether the engine should skip this version and load a newer one instead, which is expected
    /// to be staged at `newer_staged_at`. It then loads once: that is better if the newer version
    /// comes before this engine's version must stop serving and not long after this turn. Engines
    /// with earlier turns load both, so that the loads do not all come after the newer version.
    pub fn should_skip_for(&self, newer_staged_at: Instant) -> bool {
        newer_staged_at <= self.last() && self.due() + SKIP_WINDOW >= newer_staged_at
    }
}

/// Time at which a version is expected to be staged, when agents hold `held` of its pieces between
/// them at `now`; `None` while none are held.
pub fn expected_staging(version: Target, held: Count, now: Instant) -> Option<Instant> {
    if held.held == 0 || held.total == 0 {
        return None;
    }
    let elapsed = now.saturating_duration_since(version.set_at);
    let missing = held.total.saturating_sub(held.held) as f64;
    let rest = elapsed.mul_f64(missing / held.held as f64);
    Some(now + rest + LAST_TRANSFERS)
}
