//! Who is alive: direct heartbeats decide, the platform's list only hints.
//!
//! A host that misses heartbeats becomes suspect and then dead; it becomes alive again after
//! several heartbeats in a row, so that loss does not make it flap. A host that is slow but
//! answers is not dead.

use {
    crate::id::{Host, Incarnation},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Missed intervals after which a host is suspect.
const SUSPECT_INTERVALS: u32 = 3;
/// Missed intervals after which a host is dead.
const DEAD_INTERVALS: u32 = 6;
/// Heartbeats that bring a dead host of the same incarnation back.
const RETURN_BEATS: u32 = 2;

/// Liveness of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Not heard from yet.
    Unknown,
    /// Heard from lately.
    Alive,
    /// Late; new work goes elsewhere where possible.
    Suspect,
    /// Silent for long; no new work.
    Dead,
}

#[derive(Debug, Clone)]
struct Record {
    incarnation: Incarnation,
    health: Health,
    heard: Instant,
    sequence: u64,
    streak: u32,
    leaving: bool,
    listed: bool,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The host is alive now.
    Up,
    /// The host has restarted since the last heartbeat.
    Restarted,
    /// The host says that it is leaving.
    Leaving,
}

/// Liveness of all hosts that one process hears from.
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

    /// Takes in a heartbeat; old and repeated ones change nothing.
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
                heard: now,
                sequence,
                streak: 1,
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
            record.heard = now;
            record.sequence = sequence;
            record.streak = 1;
            record.leaving = leaving;
            return Change::Restarted;
        }
        if sequence <= record.sequence {
            return Change::None;
        }
        record.sequence = sequence;
        record.heard = record.heard.max(now);
        record.streak += 1;
        let left = leaving && !record.leaving;
        record.leaving = leaving;
        match record.health {
            Health::Dead if record.streak < RETURN_BEATS => Change::None,
            Health::Alive if left => Change::Leaving,
            Health::Alive => Change::None,
            _ => {
                record.health = Health::Alive;
                Change::Up
            }
        }
    }

    /// Takes in the platform's word that a host is listed; it never removes a host that answers.
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
            heard: now,
            sequence: 0,
            streak: 0,
            leaving: false,
            listed: true,
        };
        self.records.insert(host.into(), record);
    }

    /// Ages all hosts and returns those whose health has got worse.
    pub fn tick(&mut self, now: Instant) -> Vec<(Host, Health)> {
        let mut worse = Vec::new();
        for (host, record) in &mut self.records {
            let silent = now.saturating_duration_since(record.heard);
            let health = judge(record.health, silent, self.interval);
            if health != record.health {
                record.health = health;
                record.streak = 0;
                worse.push((host.clone(), health));
            }
        }
        self.records
            .retain(|_, r| r.listed || r.health != Health::Dead);
        worse
    }

    /// Health of a host.
    pub fn health(&self, host: &str) -> Health {
        self.records.get(host).map_or(Health::Unknown, |r| r.health)
    }

    /// Whether a host may get new work: alive and not leaving.
    pub fn usable(&self, host: &str) -> bool {
        let record = self.records.get(host);
        record.is_some_and(|r| r.health == Health::Alive && !r.leaving)
    }

    /// Incarnation of a host, if it was heard from.
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

fn judge(health: Health, silent: Duration, interval: Duration) -> Health {
    if health == Health::Unknown {
        return Health::Unknown;
    }
    if silent >= interval * DEAD_INTERVALS {
        return Health::Dead;
    }
    if silent >= interval * SUSPECT_INTERVALS {
        return health.max(Health::Suspect);
    }
    health
}
