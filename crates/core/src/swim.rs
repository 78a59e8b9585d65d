//! Membership by random probes, after SWIM: the cost of a member does not grow with the group.
//!
//! Each member probes one other per period. If the acknowledgement does not arrive in time, it asks
//! a few others to probe the member, so that a link that is cut in one direction or between two
//! regions does not make a member look dead. A member that nobody reaches is suspect, and dead if it
//! does not contradict within a time limit. Changes travel on probes and acknowledgements; members
//! whose digests differ exchange their lists.
//!
//! A member that misses acknowledgements trusts its own observations less and waits longer. After a
//! pause of the process, the time for which it did not listen is not held against others.

mod probe;

use {
    crate::id::{Host, Incarnation, score},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Interval between two probes of a member.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Interval between two probes of a member that has just started.
pub const EAGER_PROBE_PERIOD: Duration = Duration::from_millis(120);
/// Number of other members that are remembered; further ones are ignored.
const MAX_MEMBERS: usize = 20_000;
/// Time for which a datagram of a member outweighs suspicions of others about it.
const DIRECT_EVIDENCE_AGE: Duration = Duration::from_millis(1_000);
/// Number of times that a change is passed on; receiving it from others counts as well. Members that
/// miss it learn of it when their digests differ.
const MAX_UPDATE_SENDS: u32 = 8;
/// Largest incarnation that counts. Processes start far below it; a statement about a larger one could
/// not be contradicted.
const MAX_INCARNATION: Incarnation = 1 << 62;

/// What a member believes about another. The order is the precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer; it may still contradict.
    Suspect,
    /// It did not contradict in time.
    Dead,
    /// It said that it was leaving.
    Left,
}

impl Standing {
    /// Whether the member is gone.
    fn is_gone(self) -> bool {
        matches!(self, Standing::Dead | Standing::Left)
    }
}

/// Statement about a member, passed on from member to member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update<C> {
    /// Name of the member.
    pub host: Host,
    /// How to reach it.
    pub contact: C,
    /// Incarnation that the statement is about.
    pub incarnation: Incarnation,
    /// What is stated.
    pub standing: Standing,
}

/// A change of what this member believes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the member.
    pub host: Host,
    /// Its new standing.
    pub standing: Standing,
    /// Whether it is a later incarnation than the known one, or was not known.
    pub is_new: bool,
}

/// Datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Probe; the receiver acknowledges with the same number.
    Probe {
        /// Number of the probe.
        nonce: u64,
    },
    /// Request to probe `host` and to pass on its acknowledgement under this number.
    ProbeRequest {
        /// Number of the probe.
        nonce: u64,
        /// Member to probe.
        host: Host,
    },
    /// Acknowledgement of a probe.
    Ack {
        /// Number of the probe.
        nonce: u64,
    },
}

/// A datagram and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Name of the receiver.
    pub to: Host,
    /// What to send.
    pub message: Message,
}

#[derive(Debug, Clone)]
struct Record<C> {
    contact: C,
    incarnation: Incarnation,
    standing: Standing,
    /// Time of the last change of the standing, or of the end of this process's last pause.
    since: Instant,
    /// Time of the last datagram of the member itself.
    heard_at: Option<Instant>,
    /// A datagram of the member has contradicted a suspicion, which others may still hold. The
    /// member is told, so that it takes a larger incarnation.
    accused: bool,
    /// Probes before the end of a suspicion.
    verification: Option<Verification>,
}

#[derive(Debug, Clone, Copy)]
struct Verification {
    nonce: u64,
    started_at: Instant,
    last_sent_at: Instant,
}

#[derive(Debug, Clone)]
struct Probe {
    host: Host,
    nonce: u64,
    sent_at: Instant,
    indirect: bool,
}

#[derive(Debug, Clone)]
struct Relay {
    origin: Host,
    origin_nonce: u64,
    sent_at: Instant,
}

/// Contribution of a member that is not gone to the digest of the group.
fn presence(host: &str, incarnation: Incarnation) -> u64 {
    score(&incarnation.to_le_bytes(), host)
}

/// The group as one member sees it.
#[derive(Debug, Clone)]
pub struct Group<C> {
    me: Host,
    contact: C,
    incarnation: Incarnation,
    records: BTreeMap<Host, Record<C>>,
    /// Statements to pass on and the number of times that each was sent.
    queue: BTreeMap<Host, u32>,
    /// Members still to be probed in this round.
    round: Vec<Host>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    next_probe_at: Option<Instant>,
    last_tick: Option<Instant>,
    next_nonce: u64,
    /// Multiple by which timeouts are extended, minus one; rises with own failed probes.
    local_health: u32,
    digest: u64,
    /// A suspicion or its contradiction is to be told at once.
    urgent: bool,
}

impl<C: Clone + PartialEq> Group<C> {
    /// Creates the group of a member that knows no other.
    pub fn new(me: Host, contact: C, incarnation: Incarnation) -> Self {
        let mut group = Self {
            me,
            contact,
            incarnation,
            records: BTreeMap::new(),
            queue: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            next_probe_at: None,
            last_tick: None,
            next_nonce: 1,
            local_health: 0,
            digest: 0,
            urgent: false,
        };
        group.queue.insert(group.me.clone(), 0);
        group.digest = presence(&group.me, incarnation);
        group
    }

    /// Name of this member.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Incarnation of this member; it rises when the member contradicts a statement about itself.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Digest of the members that are not gone and their incarnations.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records a datagram of the member itself.
    pub fn observe(
        &mut self,
        host: &str,
        contact: C,
        incarnation: Incarnation,
        leaving: bool,
        now: Instant,
    ) -> Option<Change> {
        let is_known = self.records.contains_key(host);
        if incarnation > MAX_INCARNATION {
            return None;
        }
        if *host == *self.me || !is_known && self.records.len() >= MAX_MEMBERS {
            return None;
        }
        let standing = if leaving {
            Standing::Left
        } else {
            Standing::Alive
        };
        if let Some(record) = self.records.get_mut(host) {
            if incarnation < record.incarnation {
                // Late, or a process whose clock was set back; it learns of the larger incarnation
                // from the next datagram to it.
                self.queue.entry(host.into()).or_insert(0);
                return None;
            }
            record.heard_at = Some(now);
            if incarnation == record.incarnation
                && (record.standing == standing || record.standing == Standing::Left)
            {
                return None;
            }
        }
        let update = Update {
            host: host.into(),
            contact,
            incarnation,
            standing,
        };
        let known = self.records.get(host);
        let accused = known.is_some_and(|known| known.incarnation == incarnation);
        let change = self.set(update, now);
        if let Some(record) = self.records.get_mut(host) {
            record.heard_at = Some(now);
            record.accused = accused && !leaving;
        }
        Some(change)
    }

    /// Applies statements that other members pass on, and returns what changed.
    pub fn merge(&mut self, updates: Vec<Update<C>>, now: Instant) -> Vec<Change> {
        for update in &updates {
            self.count_known(update);
        }
        self.apply(updates, now)
    }

    /// Applies the list of another member and returns what changed. Its statements are not passed
    /// on, as they are not news to others.
    pub fn merge_list(&mut self, list: Vec<Update<C>>, now: Instant) -> Vec<Change> {
        let changes = self.apply(list, now);
        for change in &changes {
            self.queue.remove(&change.host);
        }
        changes
    }

    fn apply(&mut self, updates: Vec<Update<C>>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for update in updates {
            if update.incarnation > MAX_INCARNATION {
                continue;
            }
            if *update.host == *self.me {
                self.contradict(&update);
                continue;
            }
            if self.supersedes(&update, now) {
                changes.push(self.set(update, now));
            }
        }
        changes
    }

    /// Counts a statement that this member would pass on as sent, since others pass it on.
    fn count_known(&mut self, update: &Update<C>) {
        let known = self.records.get(&update.host);
        let same =
            |r: &Record<C>| (r.incarnation, r.standing) == (update.incarnation, update.standing);
        if !known.is_some_and(same) {
            return;
        }
        if let Some(sends) = self.queue.get_mut(&update.host) {
            *sends += 1;
            if *sends >= MAX_UPDATE_SENDS {
                self.queue.remove(&update.host);
            }
        }
    }

    /// Takes a larger incarnation if a statement about this member is wrong or is about a process
    /// that seems to be later.
    fn contradict(&mut self, update: &Update<C>) {
        let wrong = update.incarnation == self.incarnation && update.standing != Standing::Alive;
        if wrong || update.incarnation > self.incarnation {
            self.digest ^= presence(&self.me, self.incarnation);
            self.incarnation = (update.incarnation + 1).min(MAX_INCARNATION);
            self.digest ^= presence(&self.me, self.incarnation);
            self.queue.insert(self.me.clone(), 0);
            self.urgent = true;
        }
    }

    fn supersedes(&mut self, update: &Update<C>, now: Instant) -> bool {
        let has_room = self.records.len() < MAX_MEMBERS;
        let Some(record) = self.records.get_mut(&update.host) else {
            return !update.standing.is_gone() && has_room;
        };
        if update.incarnation != record.incarnation {
            return update.incarnation > record.incarnation;
        }
        let accusation = matches!(update.standing, Standing::Suspect | Standing::Dead);
        let heard_recently = record
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < DIRECT_EVIDENCE_AGE);
        if accusation && heard_recently && record.standing == Standing::Alive {
            record.accused = true;
            return false;
        }
        update.standing > record.standing
    }

    fn set(&mut self, update: Update<C>, now: Instant) -> Change {
        let Update {
            host,
            contact,
            incarnation,
            standing,
        } = update;
        let known = self.records.get(&host);
        let is_new = known.is_none_or(|known| incarnation > known.incarnation);
        let heard_at = known.and_then(|known| known.heard_at);
        if let Some(known) = known.filter(|known| !known.standing.is_gone()) {
            self.digest ^= presence(&host, known.incarnation);
        }
        if !standing.is_gone() {
            self.digest ^= presence(&host, incarnation);
        }
        let record = Record {
            contact,
            incarnation,
            standing,
            since: now,
            heard_at,
            accused: false,
            verification: None,
        };
        self.records.insert(host.clone(), record);
        self.queue.insert(host.clone(), 0);
        Change {
            host,
            standing,
            is_new,
        }
    }

    /// Statements to pass on in a datagram to `to`: a wrong belief about `to` itself first, so that
    /// it can contradict, then the ones that were sent least often.
    pub fn take_updates(&mut self, to: &str, limit: usize) -> Vec<Update<C>> {
        let mut updates = Vec::new();
        updates.extend(self.accusation(to));
        let mut pending: Vec<(u32, Host)> = self
            .queue
            .iter()
            .map(|(host, sends)| (*sends, host.clone()))
            .collect();
        pending.sort_unstable();
        for (sends, host) in pending {
            if updates.len() >= limit {
                break;
            }
            updates.extend(self.statement(&host));
            if sends + 1 >= MAX_UPDATE_SENDS {
                self.queue.remove(&host);
            } else {
                self.queue.insert(host, sends + 1);
            }
        }
        updates
    }

    /// Statement about `host` that it should contradict, if there is one.
    fn accusation(&self, host: &str) -> Option<Update<C>> {
        let record = self.records.get(host)?;
        let mut statement = self.statement(host)?;
        if record.accused {
            statement.standing = Standing::Suspect;
        }
        (statement.standing != Standing::Alive).then_some(statement)
    }

    /// What this member believes about `host`.
    fn statement(&self, host: &str) -> Option<Update<C>> {
        if *host == *self.me {
            return Some(Update {
                host: self.me.clone(),
                contact: self.contact.clone(),
                incarnation: self.incarnation,
                standing: Standing::Alive,
            });
        }
        let record = self.records.get(host)?;
        Some(Update {
            host: host.into(),
            contact: record.contact.clone(),
            incarnation: record.incarnation,
            standing: record.standing,
        })
    }

    /// All statements of this member, including the one about itself.
    pub fn statements(&self) -> impl Iterator<Item = Update<C>> {
        let hosts = std::iter::once(&self.me).chain(self.records.keys());
        hosts.filter_map(|host| self.statement(host))
    }

    /// Standing of a member; `None` if it is not known.
    pub fn standing(&self, host: &str) -> Option<Standing> {
        self.records.get(host).map(|record| record.standing)
    }

    /// Latest known incarnation of a member.
    pub fn incarnation_of(&self, host: &str) -> Option<Incarnation> {
        self.records.get(host).map(|record| record.incarnation)
    }

    /// How to reach a member.
    pub fn contact(&self, host: &str) -> Option<&C> {
        self.records.get(host).map(|record| &record.contact)
    }

    /// Whether a datagram of any other member has arrived.
    pub fn has_heard(&self) -> bool {
        self.records.values().any(|r| r.heard_at.is_some())
    }

    /// Other members that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = (&Host, &C, Standing)> {
        self.records
            .iter()
            .map(|(host, record)| (host, &record.contact, record.standing))
    }
}
