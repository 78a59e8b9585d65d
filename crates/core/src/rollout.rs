//! Which backend servers of a pool may load now.
//!
//! The gate keeps a floor of serving backend servers in each pool and data centre. Every entry
//! host computes it from what it hears; an agent that still serves loads only when every entry
//! host that it hears from grants it, so that differing views cannot break the floor together.

use {
    crate::id::{self, Host, Version},
    jayspread_schema::wire::Phase,
    std::collections::{BTreeMap, BTreeSet},
};

/// One backend server of a pool as an entry host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Whether it is heard from.
    pub alive: bool,
    /// Phase that its agent reports.
    pub phase: Phase,
    /// Version it serves; empty for none.
    pub serving: Version,
    /// Version it is to load; empty for none.
    pub wanted: Version,
}

/// Decision of the gate for one pool in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gate {
    /// Hosts that may load now.
    pub allowed: BTreeSet<Host>,
    /// Why others wait; empty when none does.
    pub pause_reason: Box<str>,
}

/// Fewest serving backend servers of a pool of `size`.
pub fn min_serving(size: usize, percent: u32) -> usize {
    let floor = (size * percent as usize).div_ceil(100);
    floor.min(size.saturating_sub(1))
}

/// Decides which backend servers of a pool may load `target`.
pub fn gate(pool: &BTreeMap<Host, Status>, target: &str, percent: u32) -> Gate {
    let floor = min_serving(pool.len(), percent);
    let serving = pool.values().filter(|status| serves(status)).count();
    let mut budget = serving.saturating_sub(floor);
    let mut ready: Vec<&Host> = pool
        .iter()
        .filter(|(_, status)| waits(status, target))
        .map(|(host, _)| host)
        .collect();
    ready.sort_by_key(|host| id::score(target.as_bytes(), host));
    let mut gate = Gate::default();
    let mut waiting = 0;
    for host in ready {
        let loads_nothing = !serves(&pool[host]);
        if loads_nothing {
            gate.allowed.insert(host.clone());
        } else if budget > 0 {
            budget -= 1;
            gate.allowed.insert(host.clone());
        } else {
            waiting += 1;
        }
    }
    if waiting > 0 {
        gate.pause_reason = format!("{waiting} wait: {serving} serve, floor is {floor}").into();
    }
    let loading = gate
        .allowed
        .iter()
        .filter(|host| serves(&pool[*host]))
        .count();
    assert!(
        loading == 0 || serving - loading >= floor,
        "gate breaks the floor"
    );
    gate
}

fn serves(status: &Status) -> bool {
    status.alive
        && matches!(
            status.phase,
            Phase::Serving | Phase::Ready | Phase::Fetching
        )
        && !status.serving.is_empty()
}

fn waits(status: &Status, target: &str) -> bool {
    status.alive && status.phase == Phase::Ready && &*status.wanted == target
}

/// Grants of one agent: it may load when every entry host that it hears from agrees.
#[derive(Debug, Clone, Default)]
pub struct Grants {
    by_entry: BTreeMap<Host, Version>,
}

impl Grants {
    /// Takes in a heartbeat of an entry host of the own data centre.
    pub fn record(&mut self, entry: &str, may_load: &str) {
        self.by_entry.insert(entry.into(), may_load.into());
    }

    /// Forgets an entry host that is not heard from any more.
    pub fn forget(&mut self, entry: &str) {
        self.by_entry.remove(entry);
    }

    /// Whether all agree on loading `version`.
    pub fn allows(&self, version: &str) -> bool {
        !self.by_entry.is_empty() && self.by_entry.values().all(|granted| &**granted == version)
    }
}
