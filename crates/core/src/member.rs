//! Liveness of hosts, by their heartbeats; the platform's list of hosts is only a hint.
//!
//! A host that misses heartbeats becomes suspect and then dead. It counts as alive again after
//! several heartbeats in a row, so that packet loss does not make it flap. A host that is slow but
//! sends heartbeats is not dead.

use {
    crate::id::{Host, Incarnation},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Heartbeat intervals without a heartbeat after which a host is suspect.
const SUSPECT_INTERVALS: u32 = 3;
/// Heartbeat intervals without a heartbeat after which a host is dead.
const DEAD_INTERVALS: u32 = 6;
/// Consecutive heartbeats after which a dead host of the same incarnation is alive again.
const RECOVERY_HEARTBEATS: u32 = 2;

/// Liveness of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// No heartbeat has been received yet.
    Unknown,
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats are late; new work goes elsewhere where possible.
    Suspect,
    /// No heartbeat has arrived for a long time; the host gets no new work.
    Dead,
}

#[derive(Debug, Clone)]
struct Record {
    incarnation: Incarnation,
    health: Health,
    last_heartbeat: Instant,
    sequence: u64,
    consecutive_heartbeats: u32,
    leaving: bool,
    listed: bool,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The host became alive.
    Up,
    /// The host has restarted since its last heartbeat.
    Restarted,
    /// The host announced that it is leaving.
    Leaving,
}

/// Liveness of all hosts that a process receives heartbeats from.
#[derive(Debug, Clone)]
pub struct Table {
    interval: Duration,
    records: BTreeMap<Host, Record>,
}

impl Table {
    /// Creates an empty table for heartbeats every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            records: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Repeated and reordered heartbeats of an incarnation are ignored.
    pub fn heartbeat(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        sequence: u64,
        leaving: bool,
        now: Instant,
    ) -> Change {
        let Some(record) = self.records.get_mut(host) else {
            let record = Record {
                incarnation,
                health: Health::Alive,
                last_heartbeat: now,
                sequence,
                consecutive_heartbeats: 1,
                leaving,
                listed: false,
            };
            self.records.insert(host.into(), record);
            return Change::Up;
        };
        if record.health == Health::Unknown {
            let listed = record.listed;
            self.records.remove(host);
            self.heartbeat(host, incarnation, sequence, leaving, now);
            self.set_listed(host, listed, now);
            return Change::Up;
        }
        if record.incarnation != incarnation {
            record.incarnation = incarnation;
            record.health = Health::Alive;
            record.last_heartbeat = now;
            record.sequence = sequence;
            record.consecutive_heartbeats = 1;
            record.leaving = leaving;
            return Change::Restarted;
        }
        if sequence <= record.sequence {
            return Change::None;
        }
        record.sequence = sequence;
        record.last_heartbeat = record.last_heartbeat.max(now);
        record.consecutive_heartbeats += 1;
        let newly_leaving = leaving && !record.leaving;
        record.leaving = leaving;
        match record.health {
            Health::Dead if record.consecutive_heartbeats < RECOVERY_HEARTBEATS => Change::None,
            Health::Alive if newly_leaving => Change::Leaving,
            Health::Alive => Change::None,
            _ => {
                record.health = Health::Alive;
                Change::Up
            }
        }
    }

    /// Records whether the platform lists a host. A host that sent heartbeats stays in the table
    /// even if it is not listed.
    pub fn set_listed(&mut self, host: &str, listed: bool, now: Instant) {
        if let Some(record) = self.records.get_mut(host) {
            record.listed = listed;
            if !listed && record.health == Health::Unknown {
                self.records.remove(host);
            }
            return;
        }
        if !listed {
            return;
        }
        let record = Record {
            incarnation: 0,
            health: Health::Unknown,
            last_heartbeat: now,
            sequence: 0,
            consecutive_heartbeats: 0,
            leaving: false,
            listed: true,
        };
        self.records.insert(host.into(), record);
    }

    /// Updates the health of all hosts and returns those whose health got worse. Dead hosts that
    /// are not listed are removed.
    pub fn tick(&mut self, now: Instant) -> Vec<(Host, Health)> {
        let mut degraded = Vec::new();
        for (host, record) in &mut self.records {
            let silence = now.saturating_duration_since(record.last_heartbeat);
            let health = health_after(record.health, silence, self.interval);
            if health != record.health {
                record.health = health;
                record.consecutive_heartbeats = 0;
                degraded.push((host.clone(), health));
            }
        }
        self.records
            .retain(|_, r| r.listed || r.health != Health::Dead);
        degraded
    }

    /// Health of a host; unknown for a host that is not in the table.
    pub fn health(&self, host: &str) -> Health {
        self.records.get(host).map_or(Health::Unknown, |r| r.health)
    }

    /// Whether a host may get new work: it is alive and not leaving.
    pub fn usable(&self, host: &str) -> bool {
        let record = self.records.get(host);
        record.is_some_and(|r| r.health == Health::Alive && !r.leaving)
    }

    /// Incarnation in the host's last heartbeat, if there was any.
    pub fn incarnation(&self, host: &str) -> Option<Incarnation> {
        let record = self.records.get(host)?;
        (record.health != Health::Unknown).then_some(record.incarnation)
    }

    /// Hosts and their health.
    pub fn iter(&self) -> impl Iterator<Item = (&Host, Health)> {
        self.records
            .iter()
            .map(|(host, record)| (host, record.health))
    }
}

/// Health after no heartbeat arrived for `silence`; never better than before.
fn health_after(health: Health, silence: Duration, interval: Duration) -> Health {
    if health == Health::Unknown {
        return Health::Unknown;
    }
    if silence >= interval * DEAD_INTERVALS {
        return Health::Dead;
    }
    if silence >= interval * SUSPECT_INTERVALS {
        return health.max(Health::Suspect);
    }
    health
}
