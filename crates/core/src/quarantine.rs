//! Quarantine of prompt parts that crash engines, and of requests that do.
//!
//! A prompt consists of parts that requests share. Every entry host records which parts were in the
//! requests that an engine was answering when it ended, and which parts were answered completely.
//! Hosts exchange these records by gossip. A part is suspect if several engine instances ended on it,
//! no answer to it was completed in the meantime, and no other part explains the same crashes better.
//! A part that stays suspect for a short time is quarantined: requests with it are refused. A
//! completed answer, known to any host, clears a part that was suspected by mistake.
//!
//! An attempt counts whether or not anybody still awaits its answer when the engine ends.
//!
//! The content of a request as a whole is recorded like a part, so that a request that comes again
//! under another id is recognised although sound requests share its parts. It explains crashes as
//! well as a part with the same ones. Fewer crashes are enough: a mistake concerns requests with
//! the same content only, and most content is sent once.

mod abandoned;
mod blame;
mod record;

use {
    self::{abandoned::Abandoned, record::Record},
    crate::id::{self, Started, score},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

pub use abandoned::{Finding, Instance};

/// Hash of a prompt part.
pub type Part = u64;
/// Hash of an engine instance that ended.
pub type Crash = u64;

/// Number of crashed instances from which a part is suspect.
const SUSPECT_CRASHES: usize = 3;
/// The same for the content of a request.
const SUSPECT_REQUEST_CRASHES: usize = 2;
/// Bit of a hash that tells the content of a request from a part.
const REQUEST_BIT: u64 = 1;
/// Lifetime of a crash, and so of a quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Shortest interval between two answers with the completion of the same part, and smallest
/// difference between two completions of a part that are passed on.
const ANSWER_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two answers to hosts that know other quarantines.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which old records are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of calls of [`Ledger::news`] that return the same news. Once is not enough: a push to three
/// random hosts a round leaves a few hosts uninformed.
const NEWS_REPEATS: u8 = 3;
/// Largest number of records.
const MAX_RECORDS: usize = 8_192;
/// Number of records that are removed at once when there are too many.
const EVICTION_BATCH: usize = 1_024;
/// Largest number of crashes of a part, in a record and in a statement. It exceeds the number of
/// engines that end before a quarantine takes effect, so that these crashes stay explained.
const MAX_CRASHES: usize = 32;
/// Largest number of parts among which crashes are attributed.
const MAX_CANDIDATES: usize = 64;

/// Hash of the prompt part with this id.
pub fn part(id: &str) -> Part {
    score(b"prompt part", id) & !REQUEST_BIT
}

/// Hash of the content of a request: its caller, its target, the parts of its prompt as the caller
/// states them, and its body.
pub fn request(caller: &str, host: &str, target: &str, prompt: &str, body: &[u8]) -> Part {
    let texts = [caller, host, target, prompt].map(str::as_bytes);
    let [caller, host, target, prompt] = texts;
    id::digest(b"request", &[caller, host, target, prompt, body]) | REQUEST_BIT
}

/// Whether a hash is that of a request's content.
fn is_request(part: Part) -> bool {
    part & REQUEST_BIT != 0
}

/// Number of crashed instances from which a part, or the content of a request, is suspect.
fn suspect_crashes(part: Part) -> usize {
    if is_request(part) {
        SUSPECT_REQUEST_CRASHES
    } else {
        SUSPECT_CRASHES
    }
}

/// Hash of the engine process with this id and start, the same on all hosts.
pub fn crash(engine: &str, started: Started) -> Crash {
    let Some(started) = started else {
        return score(b"engine crash", engine);
    };
    id::digest(
        b"engine crash",
        &[engine.as_bytes(), &started.to_le_bytes()],
    )
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No part is quarantined.
    Accept,
    /// A part is quarantined; this request tests whether it still crashes engines. It must not be
    /// retried.
    Probe,
    /// A part is quarantined.
    Refuse {
        /// The quarantined part.
        part: Part,
        /// Time until the next probe while the blame is uncertain, or else until the quarantine ends if
        /// no more engines crash.
        retry_after: Duration,
    },
}

/// Change of the quarantine of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The part became quarantined.
    Quarantined(Part),
    /// The quarantine of the part ended.
    Cleared(Part),
}

/// What a host tells others about a part. Times are ages, as hosts have no common clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The part.
    pub part: Part,
    /// Engine instances that ended on the part, with the age of each crash.
    pub crashes: Vec<(Crash, Duration)>,
    /// Age of the newest completed answer.
    pub completed: Option<Duration>,
}

/// Records of a host about prompt parts.
#[derive(Debug, Default)]
pub struct Ledger {
    records: BTreeMap<Part, Record>,
    /// Parts with enough crashes to be suspect unless other parts explain them, most crashes first.
    candidates: BTreeSet<(Reverse<usize>, Part)>,
    /// Parts that are suspect, as their records say.
    suspects: BTreeSet<Part>,
    /// Parts whose statement is news, and how often it is to be sent.
    unsent: BTreeMap<Part, u8>,
    /// Quarantined parts as of the last call of [`Ledger::changes`].
    reported: BTreeSet<Part>,
    abandoned: Abandoned,
    /// When statements were last sent to a host that knew other quarantines.
    caught_up_at: Option<Instant>,
    expired_at: Option<Instant>,
}

impl Ledger {
    /// Records that an engine process ended, by its [`crash`], while it began to answer a request with
    /// these parts.
    pub fn record_crash(&mut self, parts: &[Part], crash: Crash, now: Instant) {
        self.expire_if_due(now);
        let mut changed = false;
        for part in parts {
            let record = self.record(*part);
            // Even if the record is full, others may not know the part.
            let is_full = record.crashes.len() >= MAX_CRASHES;
            if record.insert_crash(crash, now) || is_full {
                self.unsent.insert(*part, NEWS_REPEATS);
                changed |= self.update_candidate(*part);
            }
        }
        if changed {
            self.attribute(now);
        }
    }

    /// Number of known crashes of a part that no completion has refuted.
    pub fn crash_count(&self, part: Part) -> usize {
        let record = self.records.get(&part);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Records that an engine completed the answer to a request with these parts. An answer that ends
    /// with its connection is complete only if its content shows it.
    pub fn record_completion(&mut self, parts: &[Part], now: Instant) {
        self.expire_if_due(now);
        let mut changed = false;
        for part in parts {
            if self.record(*part).complete(now) {
                self.state_completion(*part, now);
                changed |= self.update_candidate(*part);
            }
        }
        if changed {
            self.attribute(now);
        }
    }

    /// Decides whether a request with these parts may be sent to an engine; to be called before each
    /// attempt. `rank` tells how many other hosts precede this one in probing a part. A request is no
    /// probe if another of its parts may be to blame.
    pub fn check(&mut self, parts: &[Part], rank: impl Fn(Part) -> u32, now: Instant) -> Verdict {
        self.expire_if_due(now);
        let mut verdict = Verdict::Accept;
        let is_blamed = |part: &&Part| {
            let record = self.records.get(part);
            record.is_some_and(|record| record.crashes.len() >= suspect_crashes(**part))
        };
        let is_ambiguous = parts.iter().filter(is_blamed).nth(1).is_some();
        for part in parts {
            let Some(record) = self.records.get(part) else {
                continue;
            };
            if !record.is_quarantined(now) {
                continue;
            }
            if is_ambiguous || !record.probe_due(0, now) || !record.probe_due(rank(*part), now) {
                return Verdict::Refuse {
                    part: *part,
                    retry_after: record.retry_after(now),
                };
            }
            verdict = Verdict::Probe;
        }
        if verdict == Verdict::Probe {
            for part in parts {
                if let Some(record) = self.records.get_mut(part)
                    && record.is_quarantined(now)
                {
                    record.probed_at = Some(now);
                }
            }
        }
        verdict
    }

    /// Takes in what another host states; returns true if it is news, which [`Ledger::news`] then
    /// passes on.
    pub fn merge(&mut self, statement: &Statement, now: Instant) -> bool {
        self.expire_if_due(now);
        let part = statement.part;
        let completed_at = statement
            .completed
            .filter(|age| *age < QUARANTINE_TIME)
            .and_then(|age| now.checked_sub(age));
        let crashes: Vec<(Crash, Instant)> = statement
            .crashes
            .iter()
            .take(MAX_CRASHES)
            .filter(|(_, age)| *age < QUARANTINE_TIME)
            .filter_map(|(crash, age)| Some((*crash, now.checked_sub(*age)?)))
            .collect();
        if completed_at.is_none() && crashes.is_empty() {
            return false;
        }
        let record = self.record(part);
        let cleared = completed_at.is_some_and(|at| record.complete(at));
        let mut added = false;
        let mut refuted = false;
        for (crash, at) in crashes {
            refuted |= record.refutes(at);
            added |= record.insert_crash(crash, at);
        }
        record.refuted |= refuted;
        // A host that does not need a completion still passes it on to the host that does.
        let advances = completed_at.is_some_and(|at| {
            record
                .stated_completion
                .is_none_or(|stated| at >= stated + ANSWER_INTERVAL)
        });
        let answers = refuted
            && record
                .answered_at
                .is_none_or(|at| now.saturating_duration_since(at) >= ANSWER_INTERVAL);
        if answers {
            record.answered_at = Some(now);
        }
        if cleared || advances || answers {
            self.state_completion(part, now);
        } else if self.knows_more(part, statement, now) {
            self.record(part).answered_at = Some(now);
            self.unsent.insert(part, NEWS_REPEATS);
        }
        if added {
            self.unsent.insert(part, NEWS_REPEATS);
        }
        if (added || cleared) && self.update_candidate(part) {
            self.attribute(now);
        }
        added || cleared || advances
    }

    /// Whether a part is quarantined here, and the host that made the statement lacks some of its
    /// crashes: it may have been out of reach when they were news. False within a short time of the
    /// last answer.
    fn knows_more(&self, part: Part, statement: &Statement, now: Instant) -> bool {
        self.records.get(&part).is_some_and(|record| {
            let may_answer = record
                .answered_at
                .is_none_or(|at| now.saturating_duration_since(at) >= ANSWER_INTERVAL);
            let stated = |crash: &Crash| statement.crashes.iter().any(|(id, _)| id == crash);
            may_answer
                && statement.crashes.len() < suspect_crashes(part)
                && record.is_quarantined(now)
                && !record.crashes.keys().all(stated)
        })
    }

    /// Takes in the [`Ledger::statements`] of another host. The confirmation time has passed there, so
    /// that the suspect parts among them are quarantined at once.
    pub fn adopt(&mut self, statements: &[Statement], now: Instant) {
        for statement in statements {
            self.merge(statement, now);
        }
        for statement in statements {
            if let Some(record) = self.records.get_mut(&statement.part) {
                record.confirm(now);
            }
        }
    }

    /// Returns at most `max` statements that are to be sent to other hosts in this round of gossip.
    pub fn news(&mut self, max: usize, now: Instant) -> Vec<Statement> {
        self.expire_if_due(now);
        self.unsent
            .retain(|part, _| self.records.contains_key(part));
        let mut parts: Vec<Part> = self.unsent.keys().copied().collect();
        // Of equal weight, what was sent least goes first: a large outage names many parts.
        parts.sort_by_key(|part| {
            let weight = self.records.get(part).map(Record::weight);
            Reverse((weight, self.unsent.get(part).copied()))
        });
        parts.truncate(max);
        let mut statements = Vec::with_capacity(parts.len());
        for part in parts {
            if let Some(repeats) = self.unsent.get_mut(&part) {
                *repeats -= 1;
                if *repeats == 0 {
                    self.unsent.remove(&part);
                }
            }
            if let Some(record) = self.records.get_mut(&part) {
                record.stated_completion = record.completed_at;
                statements.push(record.statement(part, now));
            }
        }
        statements
    }

    /// Whether [`Ledger::news`] has statements to send.
    pub fn has_news(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Whether a part is suspect but not yet quarantined.
    pub fn has_unconfirmed(&self, now: Instant) -> bool {
        self.suspects()
            .any(|(_, record)| !record.is_quarantined(now))
    }

    /// Returns at most `max` statements about quarantined parts, for a host that has just started and
    /// passes them to [`Ledger::adopt`].
    pub fn statements(&self, max: usize, now: Instant) -> Vec<Statement> {
        let mut suspects: Vec<(&Part, &Record)> = self
            .suspects()
            .filter(|(_, record)| record.is_quarantined(now))
            .collect();
        suspects.sort_by_key(|(_, record)| Reverse(record.crashes.len()));
        suspects
            .into_iter()
            .take(max)
            .map(|(part, record)| record.statement(*part, now))
            .collect()
    }

    /// Digest of the quarantined parts, 0 if there are none. Hosts compare theirs with each probe.
    pub fn digest(&self, now: Instant) -> u64 {
        self.quarantined(now).fold(0, |digest, part| digest ^ part)
    }

    /// Returns at most `max` statements for a host with this digest, if it differs from the own one:
    /// the host may have been out of reach when they were news. Empty within a short time of the last
    /// ones.
    pub fn catch_up(&mut self, digest: u64, max: usize, now: Instant) -> Vec<Statement> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CATCH_UP_INTERVAL;
        if self.digest(now) == digest || self.caught_up_at.is_some_and(is_recent) {
            return Vec::new();
        }
        let statements = self.statements(max, now);
        if !statements.is_empty() {
            self.caught_up_at = Some(now);
        }
        statements
    }

    /// Removes crashes and completions that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.expired_at = Some(now);
        let mut expired = Vec::new();
        for (part, record) in &mut self.records {
            let before = record.crashes.len();
            record
                .crashes
                .retain(|_, at| now.saturating_duration_since(*at) < QUARANTINE_TIME);
            if record.crashes.len() < before {
                expired.push(*part);
            }
        }
        let mut changed = false;
        for part in expired {
            changed |= self.update_candidate(part);
        }
        self.records.retain(|_, record| !record.is_old(now));
        if changed {
            self.attribute(now);
        }
    }

    /// Quarantined parts.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Part> {
        self.suspects()
            .filter(move |(_, record)| record.is_quarantined(now))
            .map(|(part, _)| *part)
    }

    /// Parts that became quarantined or were cleared since the last call.
    pub fn changes(&mut self, now: Instant) -> Vec<Change> {
        self.expire_if_due(now);
        let current: BTreeSet<Part> = self.quarantined(now).collect();
        let begun = current.difference(&self.reported).copied();
        let ended = self.reported.difference(&current).copied();
        let changes = begun
            .map(Change::Quarantined)
            .chain(ended.map(Change::Cleared))
            .collect();
        self.reported = current;
        changes
    }

    fn suspects(&self) -> impl Iterator<Item = (&Part, &Record)> {
        self.suspects
            .iter()
            .filter_map(|part| self.records.get_key_value(part))
    }

    fn record(&mut self, part: Part) -> &mut Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&part) {
            self.evict();
        }
        let record = || Record::new(is_request(part));
        self.records.entry(part).or_insert_with(record)
    }

    /// Removes the oldest records, those without crashes first and candidates last.
    fn evict(&mut self) {
        let mut order: Vec<(usize, Option<Instant>, Part)> = self
            .records
            .iter()
            .map(|(part, record)| (record.crashes.len(), record.updated_at(), *part))
            .collect();
        order.sort_unstable();
        for (_, _, part) in order.into_iter().take(EVICTION_BATCH) {
            if let Some(record) = self.records.remove(&part) {
                self.candidates.remove(&(Reverse(record.rank), part));
            }
            self.suspects.remove(&part);
            self.unsent.remove(&part);
        }
    }

    /// Makes the completion of a part news.
    fn state_completion(&mut self, part: Part, now: Instant) {
        let record = self.record(part);
        record.answered_at = Some(now);
        record.stated_completion = record.completed_at;
        self.unsent.insert(part, NEWS_REPEATS);
    }

    fn expire_if_due(&mut self, now: Instant) {
        if self
            .expired_at
            .is_none_or(|at| now.saturating_duration_since(at) >= EXPIRY_INTERVAL)
        {
            self.expire(now);
        }
    }
}
