//! Attempts that ended before it was known whether their engine would crash on them: the caller left,
//! or time was up. Each engine is checked a short time later, and what was abandoned there counts as
//! its crash if it has ended.

use {
    super::{Crash, Ledger, Part, crash},
    crate::{
        engine::Listing,
        id::{self, Engine, Started},
        mirror::Position,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time from the end of an attempt to the first check of its engine. An engine that had begun the
/// request has crashed by then.
const FIRST_CHECK: Duration = Duration::from_millis(300);
/// The same for the last check. Until then an engine that did not notice the end of the attempt may
/// still begin the request, and crash.
const LAST_CHECK: Duration = Duration::from_millis(2_000);
/// Time for which attempts are remembered if no check had a result.
const MEMORY: Duration = Duration::from_millis(2_500);
/// Shortest interval between two checks of an engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of attempts that are remembered; later ones are left out.
const MAX_ATTEMPTS: usize = 4_096;

/// What is known of an engine that is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The engine accepts connections.
    Alive,
    /// The engine instance has ended.
    Ended,
    /// The engine could not be reached, which may have other causes.
    Unknown,
}

/// Engine process, told from others that run under its id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Its id.
    pub engine: Engine,
    /// Its start, as the platform lists it.
    pub started: Started,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Position of its first record in the list, if it states no start. It tells the process from
    /// others of its id that state none either.
    pub listed_at: Option<Position>,
}

impl Instance {
    /// The process that is listed since the record at `since`.
    pub fn new(listing: &Listing, since: Position) -> Self {
        Self {
            engine: listing.id.clone(),
            started: listing.started_ms,
            address: listing.address,
            listed_at: listing.started_ms.is_none().then_some(since),
        }
    }

    /// Hash of the process.
    pub fn crash(&self) -> Crash {
        let Some(position) = self.listed_at else {
            return crash(&self.engine, self.started);
        };
        let (era, offset) = (position.era.to_le_bytes(), position.offset.to_le_bytes());
        id::digest(b"engine crash", &[self.engine.as_bytes(), &era, &offset])
    }
}

#[derive(Debug)]
struct Attempt {
    parts: Box<[Part]>,
    ended_at: Instant,
    /// Whether the engine was found alive at the first check.
    survived: bool,
}

impl Attempt {
    fn check_at(&self) -> Instant {
        let delay = if self.survived {
            LAST_CHECK
        } else {
            FIRST_CHECK
        };
        self.ended_at + delay
    }
}

/// Attempts at one engine.
#[derive(Debug, Default)]
struct Pending {
    attempts: Vec<Attempt>,
    checked_at: Option<Instant>,
}

impl Pending {
    fn check_at(&self) -> Option<Instant> {
        let due = self.attempts.iter().map(Attempt::check_at).min()?;
        let allowed = self.checked_at.map(|at| at + CHECK_INTERVAL);
        Some(allowed.map_or(due, |allowed| allowed.max(due)))
    }
}

/// Abandoned attempts by the engine process.
#[derive(Debug, Default)]
pub(super) struct Abandoned {
    engines: BTreeMap<Instance, Pending>,
    count: usize,
}

impl Abandoned {
    fn insert(&mut self, instance: &Instance, parts: &[Part], now: Instant) {
        if self.count >= MAX_ATTEMPTS {
            return;
        }
        self.count += 1;
        let pending = self.engines.entry(instance.clone()).or_default();
        pending.attempts.push(Attempt {
            parts: parts.into(),
            ended_at: now,
            survived: false,
        });
    }

    /// Forgets the attempts at an engine whose last check has shown that it is alive.
    fn record_survival(&mut self, instance: &Instance, checked_at: Instant) {
        let Some(pending) = self.engines.get_mut(instance) else {
            return;
        };
        for attempt in &mut pending.attempts {
            attempt.survived |= attempt.ended_at + FIRST_CHECK <= checked_at;
        }
        let before = pending.attempts.len();
        pending
            .attempts
            .retain(|attempt| checked_at < attempt.ended_at + LAST_CHECK);
        self.count -= before - pending.attempts.len();
        if pending.attempts.is_empty() {
            self.engines.remove(instance);
        }
    }

    fn retain(&mut self, keep: impl Fn(&Attempt) -> bool) {
        self.engines.retain(|_, pending| {
            pending.attempts.retain(&keep);
            !pending.attempts.is_empty()
        });
        self.count = self
            .engines
            .values()
            .map(|pending| pending.attempts.len())
            .sum();
    }

    fn remove(&mut self, instance: &Instance) -> Vec<Attempt> {
        let pending = self.engines.remove(instance);
        let attempts = pending.map_or_else(Vec::new, |pending| pending.attempts);
        self.count -= attempts.len();
        attempts
    }
}

impl Ledger {
    /// Remembers an attempt with these parts that ended without a result. One whose parts were all
    /// answered lately needs no check.
    pub fn record_abandoned(&mut self, parts: &[Part], instance: &Instance, now: Instant) {
        let is_refuted = |part: &Part| {
            let record = self.records.get(part);
            record.is_some_and(|record| record.refutes(now))
        };
        if !parts.iter().all(is_refuted) {
            self.abandoned.insert(instance, parts, now);
        }
    }

    /// Engines that are to be checked now; [`Ledger::record_finding`] takes the results.
    pub fn due_checks(&mut self, now: Instant) -> Vec<Instance> {
        self.abandoned
            .retain(|attempt| now.saturating_duration_since(attempt.ended_at) < MEMORY);
        let mut due = Vec::new();
        for (instance, pending) in &mut self.abandoned.engines {
            if pending.check_at().is_some_and(|at| at <= now) {
                pending.checked_at = Some(now);
                due.push(instance.clone());
            }
        }
        due
    }

    /// Time of the next check, if any attempt is remembered.
    pub fn next_check(&self) -> Option<Instant> {
        let engines = self.abandoned.engines.values();
        engines.filter_map(Pending::check_at).min()
    }

    /// Whether an attempt awaits its first check.
    pub fn has_unchecked(&self) -> bool {
        let mut engines = self.abandoned.engines.values();
        engines.any(|pending| pending.attempts.iter().any(|attempt| !attempt.survived))
    }

    /// Takes in what a check of an engine, begun at `checked_at`, or another attempt there has shown.
    /// Returns the number of abandoned attempts that count as its crash.
    pub fn record_finding(
        &mut self,
        instance: &Instance,
        finding: Finding,
        checked_at: Instant,
        now: Instant,
    ) -> usize {
        match finding {
            Finding::Unknown => 0,
            Finding::Alive => {
                self.abandoned.record_survival(instance, checked_at);
                0
            }
            Finding::Ended => {
                let attempts = self.abandoned.remove(instance);
                let recent = attempts
                    .iter()
                    .filter(|attempt| checked_at < attempt.ended_at + MEMORY);
                let mut count = 0;
                for attempt in recent {
                    self.record_crash(&attempt.parts, instance.crash(), now);
                    count += 1;
                }
                count
            }
        }
    }
}
