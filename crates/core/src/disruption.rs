//! Disruptions of the store, as far as the entry hosts' failed calls show them.
//!
//! The time for which work may begin on an older version counts only while the store is stable.
//! Extending it wrongly breaks that rule, while not extending it only costs capacity. A failed call
//! therefore counts as of its start, and only if its host ran without a pause during it; several
//! hosts must have seen failures at about the same time, in more than one data centre.

use {
    crate::id::{DataCentre, Host},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Interval at which a process records that it runs.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two such records from which the process counts as having been paused. Busy hosts
/// with a quarter of a core are late by less.
const MAX_GAP: Duration = Duration::from_millis(400);
/// Time after a pause for which an arriving datagram may have waited in the receive buffer.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);
/// Entry hosts per host that must have seen failures.
const HOSTS_PER_WITNESS: usize = 20;
/// Least number of hosts that must have seen failures: one may have lost its own link.
const MIN_WITNESSES: usize = 2;
/// Least number of their data centres, unless there are fewer: one may have lost its uplink.
const MIN_DATA_CENTRES: usize = 2;
/// Longest time between failures that belong to one disruption. A host that gets no answers from the
/// store calls it again within 2.5 s.
const WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which failures are remembered.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Whether this process ran without a pause.
#[derive(Debug, Clone, Copy)]
pub struct Pulse {
    ticked_at: Instant,
    /// End of the last pause, or start of the process.
    steady_since: Instant,
    /// Start of the last pause.
    stopped_at: Option<Instant>,
}

impl Pulse {
    /// Starts with a process that has just been created.
    pub fn new(now: Instant) -> Self {
        Self {
            ticked_at: now,
            steady_since: now,
            stopped_at: None,
        }
    }

    /// Records that the process runs; returns the length of a pause that has just ended.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.ticked_at);
        let paused = gap > MAX_GAP;
        if paused {
            self.stopped_at = Some(self.ticked_at);
            self.steady_since = now;
        }
        self.ticked_at = now;
        paused.then_some(gap)
    }

    /// Whether the process has run without a pause since `since`.
    pub fn is_steady_since(&self, since: Instant, now: Instant) -> bool {
        self.steady_since <= since && now.saturating_duration_since(self.ticked_at) <= MAX_GAP
    }

    /// Time by which a datagram that is handled now had been sent, at the latest. Datagrams that
    /// waited during a pause count as of its start.
    pub fn sent_by(&self, now: Instant) -> Instant {
        if now.saturating_duration_since(self.ticked_at) > MAX_GAP {
            return self.ticked_at;
        }
        match self.stopped_at {
            Some(stopped_at) if now < self.steady_since + DRAIN_TIME => stopped_at,
            _ => now,
        }
    }
}

/// Entry hosts as this process knows them, including itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Number of live entry hosts.
    pub hosts: usize,
    /// Number of their data centres.
    pub data_centres: usize,
}

/// A disruption that enough hosts have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disruption {
    /// Latest time at which it is known to have lasted.
    pub seen_at: Instant,
    /// Number of hosts that saw failures at that time or shortly after it.
    pub witnesses: usize,
}

#[derive(Debug, Clone)]
struct Failure {
    data_centre: DataCentre,
    at: Instant,
    /// Number of the failure among those of its process.
    number: u64,
}

/// Last failed calls to the store, by host.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    failures: BTreeMap<Host, Failure>,
    /// Failures were recorded since the last evaluation.
    changed: bool,
    latest: Option<Disruption>,
}

impl Evidence {
    /// Records that a call of `host` that began at `at` failed, while the host ran without a pause.
    /// `number` counts such calls of the host: a datagram that was delayed tells a later time of the
    /// same call, which does not count.
    pub fn record(&mut self, host: &str, data_centre: &str, at: Instant, number: u64) {
        let known = self.failures.get(host);
        let is_later = known.is_none_or(|known| known.number != number && known.at < at);
        if !is_later {
            return;
        }
        let failure = Failure {
            data_centre: data_centre.into(),
            at,
            number,
        };
        self.failures.insert(host.into(), failure);
        self.changed = true;
    }

    /// Start and number of the last failed call of a host.
    pub fn last_failure(&self, host: &str) -> Option<(Instant, u64)> {
        let failure = self.failures.get(host)?;
        Some((failure.at, failure.number))
    }

    /// Latest disruption that enough hosts of the fleet have seen; `None` if there is none, or it
    /// lasted no longer than known at the last evaluation.
    pub fn evaluate(&mut self, fleet: Fleet, now: Instant) -> Option<Disruption> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        self.failures
            .retain(|_, f| now.saturating_duration_since(f.at) < RETENTION);
        let witnesses = fleet.hosts.div_ceil(HOSTS_PER_WITNESS).max(MIN_WITNESSES);
        let data_centres = fleet.data_centres.clamp(1, MIN_DATA_CENTRES);
        let times: BTreeSet<Instant> = self.failures.values().map(|f| f.at).collect();
        let seen_at = times.into_iter().rev().find(|start| {
            let seen: Vec<&Failure> = self.near(*start).collect();
            let centres: BTreeSet<&DataCentre> = seen.iter().map(|f| &f.data_centre).collect();
            seen.len() >= witnesses && centres.len() >= data_centres
        })?;
        if self.latest.is_some_and(|latest| seen_at <= latest.seen_at) {
            return None;
        }
        let disruption = Disruption {
            seen_at,
            witnesses: self.near(seen_at).count(),
        };
        self.latest = Some(disruption);
        Some(disruption)
    }

    /// Failures at `start` or within [`WINDOW`] after it.
    fn near(&self, start: Instant) -> impl Iterator<Item = &Failure> {
        let failures = self.failures.values();
        failures.filter(move |f| f.at >= start && f.at <= start + WINDOW)
    }

    /// Latest disruption that enough hosts have seen.
    pub fn latest(&self) -> Option<Disruption> {
        self.latest
    }
}
