//! Schedule by which the engines of a pool load a staged version.
//!
//! While an engine drains its requests and loads, it is out of service. The engines of a pool
//! therefore take turns, spread evenly over the time until older versions must stop serving. An
//! engine that serves no version loads immediately.

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

/// Margin between the last turn and the cutoff; an engine starts no requests on the older version
/// once it has its load order.
const CUTOFF_MARGIN: Duration = Duration::from_millis(700);
/// Typical time from the announcement of a version until its pieces are staged.
pub const TYPICAL_STAGING_TIME: Duration = Duration::from_millis(3_400);
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
    /// Time after the announcement of `target` from which engines may start no requests on older
    /// versions.
    pub cutoff: Duration,
}

impl Turn<'_> {
    /// Time at which the load order of this engine is due. The turns within a data centre are
    /// spread evenly, and those of different data centres are interleaved.
    pub fn due(&self) -> Instant {
        if self.serving_version == 0 {
            return self.target.set_at;
        }
        let last = self.cutoff.saturating_sub(CUTOFF_MARGIN);
        let first = TYPICAL_STAGING_TIME.min(last);
        self.target.set_at + first + (last - first).mul_f64(self.position())
    }

    /// Position of this turn between the first and the last one, from 0 to 1.
    fn position(&self) -> f64 {
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

    /// Whether the engine should skip this version and load `newer` instead: `newer` is expected to
    /// be staged in time for the cutoff of this version and not long after this turn.
    pub fn should_skip_for(&self, newer: Target) -> bool {
        let staged_at = newer.set_at + TYPICAL_STAGING_TIME;
        let latest = self.target.set_at + self.cutoff.saturating_sub(CUTOFF_MARGIN);
        staged_at <= latest && self.due() + SKIP_WINDOW >= staged_at
    }
}
