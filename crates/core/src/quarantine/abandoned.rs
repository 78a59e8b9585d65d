//! Attempts that ended before it was known whether their engine would crash on them: the caller left,
//! or time was up. Each engine is checked a short time later, and what was abandoned there counts as
//! its crash if it has ended.

use {
    super::{Ledger, Part},
    crate::id::Engine,
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
/// Largest number of attempts that are remembered.
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

/// Engine that is to be checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Id of the instance.
    pub engine: Engine,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
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

#[derive(Debug)]
struct Site {
    address: SocketAddr,
    attempts: Vec<Attempt>,
    checked_at: Option<Instant>,
}

impl Site {
    fn check_at(&self) -> Option<Instant> {
        let due = self.attempts.iter().map(Attempt::check_at).min()?;
        let allowed = self.checked_at.map(|at| at + CHECK_INTERVAL);
        Some(allowed.map_or(due, |allowed| allowed.max(due)))
    }
}

/// Abandoned attempts by engine instance.
#[derive(Debug, Default)]
pub(super) struct Abandoned {
    sites: BTreeMap<Engine, Site>,
    count: usize,
}

impl Abandoned {
    fn insert(&mut self, check: &Check, parts: &[Part], now: Instant) {
        if self.count >= MAX_ATTEMPTS {
            return;
        }
        self.count += 1;
        let site = || Site {
            address: check.address,
            attempts: Vec::new(),
            checked_at: None,
        };
        let site = self.sites.entry(check.engine.clone()).or_insert_with(site);
        site.attempts.push(Attempt {
            parts: parts.into(),
            ended_at: now,
            survived: false,
        });
    }

    fn retain(&mut self, keep: impl Fn(&Attempt) -> bool) {
        self.sites.retain(|_, site| {
            site.attempts.retain(&keep);
            !site.attempts.is_empty()
        });
        self.count = self.sites.values().map(|site| site.attempts.len()).sum();
    }

    fn remove(&mut self, engine: &str) -> Vec<Attempt> {
        let site = self.sites.remove(engine);
        let attempts = site.map_or_else(Vec::new, |site| site.attempts);
        self.count -= attempts.len();
        attempts
    }
}

impl Ledger {
    /// Remembers an attempt with these parts that ended without a result. One whose parts were all
    /// answered lately needs no check.
    pub fn record_abandoned(&mut self, parts: &[Part], check: &Check, now: Instant) {
        let is_refuted = |part: &Part| {
            let record = self.records.get(part);
            record.is_some_and(|record| record.refutes(now))
        };
        if !parts.iter().all(is_refuted) {
            self.abandoned.insert(check, parts, now);
        }
    }

    /// Engines that are to be checked now; [`Ledger::record_finding`] takes the results.
    pub fn due_checks(&mut self, now: Instant) -> Vec<Check> {
        self.abandoned
            .retain(|attempt| now.saturating_duration_since(attempt.ended_at) < MEMORY);
        let mut due = Vec::new();
        for (engine, site) in &mut self.abandoned.sites {
            if site.check_at().is_some_and(|at| at <= now) {
                site.checked_at = Some(now);
                due.push(Check {
                    engine: engine.clone(),
                    address: site.address,
                });
            }
        }
        due
    }

    /// Time of the next check, if any attempt is remembered.
    pub fn next_check(&self) -> Option<Instant> {
        let sites = self.abandoned.sites.values();
        sites.filter_map(Site::check_at).min()
    }

    /// Whether an attempt awaits its first check.
    pub fn has_unchecked(&self) -> bool {
        let mut sites = self.abandoned.sites.values();
        sites.any(|site| site.attempts.iter().any(|attempt| !attempt.survived))
    }

    /// Takes in what a check of an engine, begun at `checked_at`, or another attempt there has shown.
    /// Returns the number of abandoned attempts that count as its crash.
    pub fn record_finding(
        &mut self,
        engine: &str,
        finding: Finding,
        checked_at: Instant,
        now: Instant,
    ) -> usize {
        match finding {
            Finding::Unknown => 0,
            Finding::Alive => {
                if let Some(site) = self.abandoned.sites.get_mut(engine) {
                    for attempt in &mut site.attempts {
                        attempt.survived |= attempt.ended_at + FIRST_CHECK <= checked_at;
                    }
                }
                self.abandoned.retain(|attempt| {
                    !attempt.survived || checked_at < attempt.ended_at + LAST_CHECK
                });
                0
            }
            Finding::Ended => {
                let attempts = self.abandoned.remove(engine);
                let recent = attempts
                    .iter()
                    .filter(|attempt| checked_at < attempt.ended_at + MEMORY);
                let mut count = 0;
                for attempt in recent {
                    self.record_crash(&attempt.parts, engine, now);
                    count += 1;
                }
                count
            }
        }
    }
}
