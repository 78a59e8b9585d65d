//! Probes of members, and the suspicions that follow from missing acknowledgements.

use {
    super::{
        Change, Group, Message, PROBE_PERIOD, Probe, Record, Relay, Send, Standing, Update,
        Verification,
    },
    crate::id::Host,
    rand::{Rng, seq::SliceRandom},
    std::time::{Duration, Instant},
};

/// Time for an acknowledgement, after which others are asked to probe the member.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of members that are asked to probe one that did not acknowledge.
const INDIRECT_PROBES: usize = 3;
/// Time for which a suspect member may contradict before it is dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time before the end of a suspicion from which the member is probed again, through others.
const VERIFICATION_TIME: Duration = Duration::from_millis(1_700);
/// Shortest interval between two rounds of these probes.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(400);
/// Number of members asked in each round.
const VERIFICATION_PROBES: usize = 5;
/// Time for which a dead or departed member is remembered and occasionally probed, so that parts of
/// the group that were cut off from each other meet again.
const DEAD_RETENTION: Duration = Duration::from_secs(120);
/// One in this many probes goes to a dead member.
const DEAD_PROBE_INTERVAL: u64 = 4;
/// Time between two ticks from which this process counts as having been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_500);
/// Largest multiple of the timeouts that a member with failing probes waits for.
const MAX_LOCAL_HEALTH: u32 = 4;
/// Number of members that are told at once of a suspicion or of its contradiction.
const URGENT_SENDS: usize = 3;
/// Number of relayed probes in progress; further requests are ignored.
const MAX_RELAYS: usize = 64;

impl<C: Clone + PartialEq> Group<C> {
    /// Handles an acknowledgement; returns the one to pass on if the probe was made for another
    /// member.
    pub fn on_ack(&mut self, nonce: u64) -> Option<Send> {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.nonce == nonce)
        {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
            return None;
        }
        let verified = |r: &Record<C>| r.verification.is_some_and(|v| v.nonce == nonce);
        if let Some(record) = self.records.values_mut().find(|r| verified(r)) {
            record.verification = None;
            record.standing = Standing::Alive;
            record.accused = true;
            return None;
        }
        let relay = self.relays.remove(&nonce)?;
        Some(Send {
            to: relay.origin,
            message: Message::Ack {
                nonce: relay.origin_nonce,
            },
        })
    }

    /// Handles a request of `origin` to probe another member.
    pub fn on_probe_request(
        &mut self,
        origin: &str,
        origin_nonce: u64,
        host: &str,
        now: Instant,
    ) -> Option<Send> {
        if self.relays.len() >= MAX_RELAYS || !self.records.contains_key(host) {
            return None;
        }
        let nonce = self.take_nonce();
        let relay = Relay {
            origin: origin.into(),
            origin_nonce,
            sent_at: now,
        };
        self.relays.insert(nonce, relay);
        Some(Send {
            to: host.into(),
            message: Message::Probe { nonce },
        })
    }

    fn take_nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    /// Time at which [`Group::tick`] is to be called next; `None` for at once.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.urgent {
            return None;
        }
        let indirect = self.probe.as_ref().filter(|probe| !probe.indirect);
        let indirect_at = indirect.map(|probe| probe.sent_at + self.extended(ACK_TIMEOUT));
        match (self.next_probe_at, indirect_at) {
            (Some(next), Some(indirect)) => Some(next.min(indirect)),
            (next, indirect) => next.or(indirect),
        }
    }

    fn extended(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.local_health)
    }

    /// Sends probes, and lets suspicions and memories expire. `period` is the time until the next
    /// probe.
    pub fn tick(
        &mut self,
        period: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Vec<Send>, Vec<Change>) {
        self.forgive_pause(now);
        self.relays
            .retain(|_, relay| now.saturating_duration_since(relay.sent_at) < PAUSE_LIMIT);
        let mut changes = self.expire(now);
        let mut sends = self.probe_indirectly(now, rng);
        sends.extend(self.verify_suspects(now, rng));
        if self.next_probe_at.is_none_or(|at| now >= at) {
            changes.extend(self.suspect_unanswered(now));
            sends.extend(self.start_probe(now, rng));
            self.next_probe_at = Some(now + period);
        }
        if std::mem::take(&mut self.urgent) {
            sends.extend(self.tell_at_once(rng));
        }
        (sends, changes)
    }

    /// Probes of random members, which carry the latest statements.
    fn tell_at_once(&mut self, rng: &mut impl Rng) -> Vec<Send> {
        let alive = self
            .records
            .iter()
            .filter(|(_, r)| r.standing == Standing::Alive);
        let mut alive: Vec<Host> = alive.map(|(host, _)| host.clone()).collect();
        let (chosen, _) = alive.partial_shuffle(rng, URGENT_SENDS);
        let probes = chosen.iter().map(|to| Send {
            to: to.clone(),
            message: Message::Probe {
                nonce: self.take_nonce(),
            },
        });
        probes.collect()
    }

    /// After a pause of this process, gives up its probe and starts all suspicions anew: answers
    /// may have arrived while it did not read them.
    fn forgive_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        let paused = last.is_some_and(|at| now.saturating_duration_since(at) > PAUSE_LIMIT);
        if !paused {
            return;
        }
        self.probe = None;
        self.relays.clear();
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        for record in self.records.values_mut() {
            if record.standing == Standing::Suspect {
                record.since = now;
            }
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<Change> {
        let limit = self.extended(SUSPICION_TIMEOUT);
        let age = |record: &Record<C>| now.saturating_duration_since(record.since);
        let verified = |r: &Record<C>| {
            r.verification
                .is_some_and(|v| now >= v.started_at + VERIFICATION_TIME)
        };
        let expired = self
            .records
            .iter()
            .filter(|(_, r)| r.standing == Standing::Suspect && age(r) >= limit && verified(r))
            .map(|(host, r)| Update {
                host: host.clone(),
                contact: r.contact.clone(),
                incarnation: r.incarnation,
                standing: Standing::Dead,
            });
        let expired: Vec<Update<C>> = expired.collect();
        let changes = expired
            .into_iter()
            .map(|update| self.set(update, now))
            .collect();
        self.records
            .retain(|_, r| !r.standing.is_gone() || age(r) < DEAD_RETENTION);
        changes
    }

    /// Asks others to probe a member that has not acknowledged in time.
    fn probe_indirectly(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Send> {
        let timeout = self.extended(ACK_TIMEOUT);
        let Some(probe) = &mut self.probe else {
            return Vec::new();
        };
        if probe.indirect || now.saturating_duration_since(probe.sent_at) < timeout {
            return Vec::new();
        }
        probe.indirect = true;
        let (nonce, host) = (probe.nonce, probe.host.clone());
        if self.records.get(&host).is_none_or(|r| r.standing.is_gone()) {
            return Vec::new();
        }
        self.ask_others(&host, nonce, INDIRECT_PROBES, rng)
    }

    /// Requests to `count` random members to probe `host`.
    fn ask_others(&self, host: &Host, nonce: u64, count: usize, rng: &mut impl Rng) -> Vec<Send> {
        let helpers = self
            .records
            .iter()
            .filter(|(name, r)| *name != host && r.standing == Standing::Alive);
        let mut helpers: Vec<&Host> = helpers.map(|(name, _)| name).collect();
        let (chosen, _) = helpers.partial_shuffle(rng, count);
        let request = |to: &Host| Send {
            to: to.clone(),
            message: Message::ProbeRequest {
                nonce,
                host: host.clone(),
            },
        };
        chosen.iter().map(|to| request(to)).collect()
    }

    /// Probes suspect members again before their suspicion ends. Others may have suspected them
    /// over a link that is cut.
    fn verify_suspects(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Send> {
        let start = self
            .extended(SUSPICION_TIMEOUT)
            .saturating_sub(VERIFICATION_TIME);
        let due = self.records.iter().filter(|(_, r)| {
            let age = now.saturating_duration_since(r.since);
            let waited = r
                .verification
                .is_none_or(|v| now >= v.last_sent_at + VERIFICATION_INTERVAL);
            r.standing == Standing::Suspect && age >= start && waited
        });
        let due: Vec<(Host, Option<Verification>)> = due
            .map(|(host, r)| (host.clone(), r.verification))
            .collect();
        let mut sends = Vec::new();
        for (host, verification) in due {
            let nonce = verification.map_or_else(|| self.take_nonce(), |v| v.nonce);
            sends.extend(self.ask_others(&host, nonce, VERIFICATION_PROBES, rng));
            if let Some(record) = self.records.get_mut(&host) {
                record.verification = Some(Verification {
                    nonce,
                    started_at: verification.map_or(now, |v| v.started_at),
                    last_sent_at: now,
                });
            }
            sends.push(Send {
                to: host,
                message: Message::Probe { nonce },
            });
        }
        sends
    }

    /// Suspects the member whose probe nobody acknowledged.
    fn suspect_unanswered(&mut self, now: Instant) -> Option<Change> {
        let probe = self.probe.take()?;
        let record = self.records.get(&probe.host)?;
        let heard_since = record.heard_at.is_some_and(|at| at >= probe.sent_at);
        // A shorter period leaves no time for the indirect probes.
        let complete = now >= probe.sent_at + PROBE_PERIOD && probe.indirect;
        if record.standing != Standing::Alive || heard_since || !complete {
            return None;
        }
        self.urgent = true;
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        let update = Update {
            host: probe.host.clone(),
            contact: record.contact.clone(),
            incarnation: record.incarnation,
            standing: Standing::Suspect,
        };
        Some(self.set(update, now))
    }

    fn start_probe(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Send> {
        let nonce = self.take_nonce();
        let host = if nonce.is_multiple_of(DEAD_PROBE_INTERVAL) {
            self.random_dead(rng).or_else(|| self.next_in_round(rng))
        } else {
            self.next_in_round(rng)
        }?;
        self.probe = Some(Probe {
            host: host.clone(),
            nonce,
            sent_at: now,
            indirect: false,
        });
        Some(Send {
            to: host,
            message: Message::Probe { nonce },
        })
    }

    fn random_dead(&self, rng: &mut impl Rng) -> Option<Host> {
        let dead = self
            .records
            .iter()
            .filter(|(_, r)| r.standing == Standing::Dead);
        let dead: Vec<&Host> = dead.map(|(host, _)| host).collect();
        (!dead.is_empty()).then(|| dead[rng.random_range(0..dead.len())].clone())
    }

    /// Next member in a random order that contains each member once.
    fn next_in_round(&mut self, rng: &mut impl Rng) -> Option<Host> {
        loop {
            if let Some(host) = self.round.pop() {
                let present = self.records.get(&host);
                if present.is_some_and(|r| !r.standing.is_gone()) {
                    return Some(host);
                }
                continue;
            }
            let present = self.records.iter().filter(|(_, r)| !r.standing.is_gone());
            self.round = present.map(|(host, _)| host.clone()).collect();
            if self.round.is_empty() {
                return None;
            }
            self.round.shuffle(rng);
        }
    }
}
