//! Selection of the backend server for a request.
//!
//! An entry host prefers the backend server with affinity to the prompt prefix unless that one is
//! loaded well above average; otherwise it takes the less loaded of two random ones. Backend
//! servers of the local data centre come first while one has headroom. Each entry host connects to
//! a deterministic subset of backend servers, which limits connections and heartbeats in large
//! fleets.

use {
    crate::id::{self, Host},
    rand::Rng,
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of entry hosts that connect to each backend server.
pub const SUBSET_SIZE: usize = 6;
/// Maximum size of a pool of which every entry host connects to all backend servers. In such a
/// pool, a subset could leave an entry host without backend servers.
pub const SMALL_POOL: usize = 32;
/// Number of leading bytes of a request body that identify its prompt prefix.
pub const PREFIX_BYTES: usize = 256;
/// Load above the mean up to which affinity applies, as a fraction of the limit.
const AFFINITY_SLACK: f64 = 0.25;
/// Load at which a backend server has no headroom, as a fraction of its limit.
const FULL_LOAD: f64 = 1.0;

/// A backend server that may receive the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Host of the backend server.
    pub host: Host,
    /// Whether it is in the data centre of the entry host.
    pub local: bool,
    /// Number of running and queued attempts in the last report.
    pub reported_load: u32,
    /// Number of attempts of this entry host in flight.
    pub in_flight: u32,
    /// Number of attempts of this entry host in flight at the time of the last report.
    pub in_flight_at_report: u32,
    /// Concurrency limit in the last report.
    pub limit: u32,
}

impl Candidate {
    /// Estimated load as a fraction of the limit: the reported load, corrected by the change of
    /// this entry host's attempts since the report.
    pub fn load(&self) -> f64 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        f64::from(others.saturating_add(self.in_flight)) / f64::from(self.limit.max(1))
    }

    /// Whether another attempt would start immediately.
    pub fn has_headroom(&self) -> bool {
        self.load() < FULL_LOAD
    }
}

/// Load-balancing policy; all but `TwoChoices` serve as baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Prefix affinity, otherwise the less loaded of two random candidates.
    TwoChoices,
    /// Each candidate in turn.
    RoundRobin,
    /// The lowest reported load, without regard to attempts sent since the report.
    LeastReported,
}

/// Chooses a candidate; `None` if there are no candidates. `prefix` is the prompt prefix for
/// affinity, `sequence_number` the number of the request, used for round robin.
pub fn choose<'a>(
    policy: Policy,
    candidates: &'a [Candidate],
    prefix: Option<&[u8]>,
    sequence_number: usize,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    match policy {
        Policy::TwoChoices => two_choices(candidates, prefix, rng),
        Policy::RoundRobin => {
            let count = candidates.len().max(1);
            candidates.get(sequence_number % count)
        }
        Policy::LeastReported => candidates
            .iter()
            .min_by_key(|c| u64::from(c.reported_load) * 1000 / u64::from(c.limit.max(1))),
    }
}

fn two_choices<'a>(
    candidates: &'a [Candidate],
    prefix: Option<&[u8]>,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let preferred = preferred(candidates);
    if let Some(prefix) = prefix
        && let Some(candidate) = affinity_candidate(&preferred, prefix)
    {
        return Some(candidate);
    }
    let count = preferred.len();
    if count == 0 {
        return None;
    }
    let first = preferred[rng.random_range(0..count)];
    let second = preferred[rng.random_range(0..count)];
    if second.load() < first.load() {
        Some(second)
    } else {
        Some(first)
    }
}

/// Candidates with headroom in the local data centre, or else those with headroom anywhere, or else
/// all.
fn preferred(candidates: &[Candidate]) -> Vec<&Candidate> {
    let local = |c: &&Candidate| c.local && c.has_headroom();
    let with_headroom = |c: &&Candidate| c.has_headroom();
    let mut preferred: Vec<_> = candidates.iter().filter(local).collect();
    if preferred.is_empty() {
        preferred = candidates.iter().filter(with_headroom).collect();
    }
    if preferred.is_empty() {
        preferred = candidates.iter().collect();
    }
    preferred
}

/// Candidate with the highest affinity to the prefix, unless its load is well above the mean.
fn affinity_candidate<'a>(candidates: &[&'a Candidate], prefix: &[u8]) -> Option<&'a Candidate> {
    let total: f64 = candidates.iter().map(|c| c.load()).sum();
    let mean = total / candidates.len().max(1) as f64;
    let best = candidates
        .iter()
        .max_by_key(|c| id::score(prefix, &c.host))?;
    (best.has_headroom() && best.load() <= mean + AFFINITY_SLACK).then_some(*best)
}

/// Backend servers that the entry host `entry` connects to: all of a small pool, otherwise those
/// for which it is among the `size` entry hosts with the highest scores.
pub fn subset(
    entry: &str,
    entries: &BTreeSet<Host>,
    backends: &BTreeSet<Host>,
    size: usize,
) -> BTreeSet<Host> {
    if entries.len() <= size || backends.len() <= SMALL_POOL {
        return backends.clone();
    }
    let is_selected = |backend: &&Host| {
        let own_score = id::score(backend.as_bytes(), entry);
        let higher = entries
            .iter()
            .filter(|other| ***other != *entry && id::score(backend.as_bytes(), other) > own_score);
        higher.take(size).count() < size
    };
    backends.iter().filter(is_selected).cloned().collect()
}

/// Number of attempts in flight at each host.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: BTreeMap<Host, u32>,
}

impl InFlight {
    /// Adds an attempt sent to a host.
    pub fn add(&mut self, host: &str) {
        *self.counts.entry(host.into()).or_default() += 1;
    }

    /// Removes an attempt that ended at a host.
    pub fn remove(&mut self, host: &str) {
        let count = self
            .counts
            .get_mut(host)
            .expect("an ended attempt must have been added");
        *count = count
            .checked_sub(1)
            .expect("the count of a host must not be 0");
        if *count == 0 {
            self.counts.remove(host);
        }
    }

    /// Number of attempts in flight at a host.
    pub fn get(&self, host: &str) -> u32 {
        self.counts.get(host).copied().unwrap_or(0)
    }

    /// Number of attempts in flight at all hosts.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }
}
