//! Which backend server gets a request.
//!
//! Two choices over in-flight and lagged load, with prompt-prefix affinity bounded by load. The
//! own data centre goes first while it has headroom. Each entry host deals with a deterministic
//! subset of backend servers, so that connections and heartbeats stay few as the fleet grows.

use {
    crate::id::{self, Host},
    rand::Rng,
    std::collections::{BTreeMap, BTreeSet},
};

/// Entry hosts that connect to each backend server.
pub const SUBSET_SIZE: usize = 6;
/// Backend servers of a pool that every entry host connects to, so that each has some.
pub const SMALL_POOL: usize = 32;
/// Bytes of a request body that tell its prompt prefix.
pub const PREFIX_BYTES: usize = 256;
/// Load above the mean that affinity tolerates, in the share of a limit.
const AFFINITY_SLACK: f64 = 0.25;
/// Load from which a backend server has no headroom, in the share of its limit.
const FULL: f64 = 1.0;

/// A backend server that may get the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Host of the backend server.
    pub host: Host,
    /// Whether it is in the entry host's own data centre.
    pub local: bool,
    /// Attempts running and waiting there, as last reported.
    pub reported_load: u32,
    /// Attempts of this entry host in flight there.
    pub in_flight: u32,
    /// Attempts of this entry host in flight at the time of the last report.
    pub in_flight_at_report: u32,
    /// Limit as last reported.
    pub limit: u32,
}

impl Candidate {
    /// Estimated load as a share of the limit: what was reported, plus what changed here since.
    pub fn load(&self) -> f64 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        f64::from(others + self.in_flight) / f64::from(self.limit.max(1))
    }

    /// Whether another attempt would start at once.
    pub fn has_headroom(&self) -> bool {
        self.load() < FULL
    }
}

/// Ways to choose, for comparison by measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Two random choices and prefix affinity.
    TwoChoices,
    /// Each in turn.
    RoundRobin,
    /// The least reported load, blind to own attempts in flight.
    LeastReported,
}

/// Chooses among candidates; `turn` is the number of the request for round robin.
pub fn choose<'a>(
    policy: Policy,
    candidates: &'a [Candidate],
    prefix: Option<&[u8]>,
    turn: usize,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    match policy {
        Policy::TwoChoices => two_choices(candidates, prefix, rng),
        Policy::RoundRobin => {
            let count = candidates.len().max(1);
            candidates.get(turn % count)
        }
        Policy::LeastReported => candidates
            .iter()
            .min_by_key(|c| c.reported_load * 1000 / c.limit.max(1)),
    }
}

fn two_choices<'a>(
    candidates: &'a [Candidate],
    prefix: Option<&[u8]>,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let nearest = nearest(candidates);
    if let Some(prefix) = prefix
        && let Some(found) = affine(&nearest, prefix)
    {
        return Some(found);
    }
    let count = nearest.len();
    if count == 0 {
        return None;
    }
    let first = nearest[rng.random_range(0..count)];
    let second = nearest[rng.random_range(0..count)];
    if second.load() < first.load() {
        Some(second)
    } else {
        Some(first)
    }
}

/// Candidates of the own data centre while one has headroom, else those anywhere with headroom,
/// else all.
fn nearest(candidates: &[Candidate]) -> Vec<&Candidate> {
    let own = |c: &&Candidate| c.local && c.has_headroom();
    let any = |c: &&Candidate| c.has_headroom();
    let mut found: Vec<_> = candidates.iter().filter(own).collect();
    if found.is_empty() {
        found = candidates.iter().filter(any).collect();
    }
    if found.is_empty() {
        found = candidates.iter().collect();
    }
    found
}

/// Candidate that serves this prefix, unless it is loaded well above the mean.
fn affine<'a>(candidates: &[&'a Candidate], prefix: &[u8]) -> Option<&'a Candidate> {
    let total: f64 = candidates.iter().map(|c| c.load()).sum();
    let mean = total / candidates.len().max(1) as f64;
    let found = candidates
        .iter()
        .max_by_key(|c| id::score(prefix, &c.host))?;
    (found.has_headroom() && found.load() <= mean + AFFINITY_SLACK).then_some(*found)
}

/// Backend servers that `entry` connects to: all of a small pool; of a large one, for each backend
/// server the entry hosts with the highest scores do.
pub fn subset(
    entry: &str,
    entries: &BTreeSet<Host>,
    backends: &BTreeSet<Host>,
    size: usize,
) -> BTreeSet<Host> {
    if entries.len() <= size || backends.len() <= SMALL_POOL {
        return backends.clone();
    }
    let mine = |backend: &&Host| {
        let own = id::score(backend.as_bytes(), entry);
        let better = entries
            .iter()
            .filter(|other| ***other != *entry && id::score(backend.as_bytes(), other) > own);
        better.take(size).count() < size
    };
    backends.iter().filter(mine).cloned().collect()
}

/// Load counted per host for assertions and dumps.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: BTreeMap<Host, u32>,
}

impl InFlight {
    /// Counts an attempt sent to a host.
    pub fn add(&mut self, host: &str) {
        *self.counts.entry(host.into()).or_default() += 1;
    }

    /// Counts an attempt ended at a host.
    pub fn remove(&mut self, host: &str) {
        let count = self.counts.get_mut(host).expect("attempt was counted");
        *count = count.checked_sub(1).expect("attempt was counted once");
        if *count == 0 {
            self.counts.remove(host);
        }
    }

    /// Attempts in flight at a host.
    pub fn get(&self, host: &str) -> u32 {
        self.counts.get(host).copied().unwrap_or(0)
    }

    /// Attempts in flight in all.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }
}
