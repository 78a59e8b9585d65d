//! Rollout gate: which backend servers of a pool may load a new version now.
//!
//! The gate keeps a minimum number of backend servers serving in each pool and data centre. Every
//! entry host computes it from the heartbeats it receives. An agent that serves a version loads
//! another one only if all entry hosts that it receives heartbeats from allow it, so that entry
//! hosts with different views cannot violate the minimum together.

use {
    crate::id::{self, Host, Version},
    jayspread_schema::wire::Phase,
    std::collections::{BTreeMap, BTreeSet},
};

/// State of one backend server of a pool, as known to an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Whether its heartbeats arrive.
    pub alive: bool,
    /// Phase reported by its agent.
    pub phase: Phase,
    /// Version that it serves; empty if none.
    pub serving: Version,
    /// Version that it should load; empty if none.
    pub wanted: Version,
}

/// Decision of the gate for one pool in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gate {
    /// Hosts whose backend servers may load now.
    pub allowed: BTreeSet<Host>,
    /// Why other hosts have to wait; empty if none has to.
    pub pause_reason: Box<str>,
}

/// Minimum number of serving backend servers in a pool of `size`. It is below `size`, so that every
/// pool can be updated.
pub fn min_serving(size: usize, percent: u32) -> usize {
    let minimum = (size * percent as usize).div_ceil(100);
    minimum.min(size.saturating_sub(1))
}

/// Decides which backend servers of a pool may load `target`.
pub fn gate(pool: &BTreeMap<Host, Status>, target: &str, percent: u32) -> Gate {
    let minimum = min_serving(pool.len(), percent);
    let serving = pool.values().filter(|status| is_serving(status)).count();
    let mut budget = serving.saturating_sub(minimum);
    let mut candidates: Vec<&Host> = pool
        .iter()
        .filter(|(_, status)| is_waiting(status, target))
        .map(|(host, _)| host)
        .collect();
    candidates.sort_by_key(|host| id::score(target.as_bytes(), host));
    let mut gate = Gate::default();
    let mut waiting = 0;
    for host in candidates {
        let out_of_service = !is_serving(&pool[host]);
        if out_of_service {
            gate.allowed.insert(host.clone());
        } else if budget > 0 {
            budget -= 1;
            gate.allowed.insert(host.clone());
        } else {
            waiting += 1;
        }
    }
    if waiting > 0 {
        gate.pause_reason = format!("{waiting} wait: {serving} serve, floor is {minimum}").into();
    }
    let loading = gate
        .allowed
        .iter()
        .filter(|host| is_serving(&pool[*host]))
        .count();
    assert!(
        loading == 0 || serving - loading >= minimum,
        "gate allows too few serving backend servers"
    );
    gate
}

fn is_serving(status: &Status) -> bool {
    status.alive
        && matches!(
            status.phase,
            Phase::Serving | Phase::Ready | Phase::Fetching
        )
        && !status.serving.is_empty()
}

fn is_waiting(status: &Status, target: &str) -> bool {
    status.alive && status.phase == Phase::Ready && &*status.wanted == target
}

/// The version that each entry host allows one agent to load.
#[derive(Debug, Clone, Default)]
pub struct Grants {
    by_entry: BTreeMap<Host, Version>,
}

impl Grants {
    /// Records a heartbeat from an entry host of the same data centre.
    pub fn record(&mut self, entry: &str, may_load: &str) {
        self.by_entry.insert(entry.into(), may_load.into());
    }

    /// Removes an entry host whose heartbeats no longer arrive.
    pub fn forget(&mut self, entry: &str) {
        self.by_entry.remove(entry);
    }

    /// Whether all known entry hosts allow loading `version`; `false` if none is known.
    pub fn allows(&self, version: &str) -> bool {
        !self.by_entry.is_empty() && self.by_entry.values().all(|granted| &**granted == version)
    }
}
