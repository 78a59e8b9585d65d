//! What a host knows of one prompt part.

use {
    super::{
        Crash, MAX_CRASHES, Part, QUARANTINE_TIME, SUSPECT_CRASHES, SUSPECT_REQUEST_CRASHES,
        Statement,
    },
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Number of crashed instances from which a part is probed seldom.
const CERTAIN_CRASHES: usize = 5;
/// The same for the content of a request.
const CERTAIN_REQUEST_CRASHES: usize = 3;
/// Time for which a part must be suspect without a break before it is quarantined; within it other
/// hosts can state completions.
const CONFIRMATION: Duration = Duration::from_millis(300);
/// Time from the last crash to a probe of a quarantined part with fewer crashes.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// The same for a part with that many; it doubles with each probe that crashed an engine. Without any
/// probe, a part that all requests share would stay blamed by mistake, as no answer could clear it.
const CERTAIN_PROBE_INTERVAL: Duration = Duration::from_secs(60);
/// Largest number of times that this interval doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Time by which each host probes later than the one that precedes it, so that another one does if
/// the first has no request with the part, and that the first one's result is known before.
const PROBE_STAGGER: Duration = Duration::from_secs(2);
/// Time for which a completed answer refutes later crashes of its parts.
const COMPLETION_MEMORY: Duration = Duration::from_secs(30);

/// What is known of a part. Crashes that a completion refutes are removed, so all of these count.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Whether the record is about the content of a request.
    is_request: bool,
    pub(super) crashes: BTreeMap<Crash, Instant>,
    /// Newest known completed answer, from any host.
    pub(super) completed_at: Option<Instant>,
    /// Whether a completion refuted a crash; it is then kept as long as a crash.
    pub(super) refuted: bool,
    /// Time of the completion that was stated last.
    pub(super) stated_completion: Option<Instant>,
    /// When a completion was last stated in answer to a refuted crash.
    pub(super) answered_at: Option<Instant>,
    /// Number of crashes by which the record is ranked among the candidates.
    pub(super) rank: usize,
    pub(super) suspect_since: Option<Instant>,
    pub(super) probed_at: Option<Instant>,
    /// Number of probes, of any host, that crashed an engine since the part was quarantined.
    pub(super) failed_probes: u32,
}

impl Record {
    pub(super) fn new(is_request: bool) -> Self {
        Self {
            is_request,
            ..Self::default()
        }
    }

    /// Time for which it must be suspect before it is quarantined. The content of a request is at
    /// once: each further send may end an engine, and a completion still clears it.
    fn confirmation(&self) -> Duration {
        if self.is_request {
            Duration::ZERO
        } else {
            CONFIRMATION
        }
    }

    /// Whether the crashes are so many that it is probed seldom.
    fn is_certain(&self) -> bool {
        let certain = if self.is_request {
            CERTAIN_REQUEST_CRASHES
        } else {
            CERTAIN_CRASHES
        };
        self.crashes.len() >= certain
    }

    pub(super) fn refutes(&self, crashed_at: Instant) -> bool {
        self.completed_at
            .is_some_and(|at| crashed_at < at + COMPLETION_MEMORY)
    }

    /// Inserts a crash unless it is refuted; returns true if it was not known.
    pub(super) fn insert_crash(&mut self, crash: Crash, at: Instant) -> bool {
        if self.refutes(at) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&crash) {
            *known = at.min(*known);
            return false;
        }
        let is_probe = self
            .quarantined_at()
            .is_some_and(|since| at >= since + PROBE_INTERVAL);
        self.failed_probes += u32::from(is_probe);
        self.crashes.insert(crash, at);
        // The same crashes remain whatever the order in which they were learnt.
        while self.crashes.len() > MAX_CRASHES {
            let Some((removed, _)) = self.crashes.pop_last() else {
                break;
            };
            if removed == crash {
                return false;
            }
        }
        true
    }

    /// Removes the crashes that a completion refutes; returns true if there were any.
    pub(super) fn complete(&mut self, at: Instant) -> bool {
        self.completed_at = self.completed_at.max(Some(at));
        let before = self.crashes.len();
        let refuted_before = at + COMPLETION_MEMORY;
        self.crashes
            .retain(|_, crashed_at| *crashed_at >= refuted_before);
        let removed = self.crashes.len() < before;
        self.refuted |= removed;
        removed
    }

    fn quarantined_at(&self) -> Option<Instant> {
        self.suspect_since.map(|since| since + self.confirmation())
    }

    /// Ends the confirmation time of a suspect part.
    pub(super) fn confirm(&mut self, now: Instant) {
        if let (Some(since), Some(confirmed)) =
            (self.suspect_since, now.checked_sub(self.confirmation()))
        {
            self.suspect_since = Some(since.min(confirmed));
        }
    }

    pub(super) fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_at().is_some_and(|at| at <= now)
    }

    /// Time until too few crashes are left for a suspicion.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        let mut times: Vec<Instant> = self.crashes.values().copied().collect();
        times.sort_unstable_by_key(|at| Reverse(*at));
        let needed = if self.is_request {
            SUSPECT_REQUEST_CRASHES
        } else {
            SUSPECT_CRASHES
        };
        times.get(needed - 1).map_or(Duration::ZERO, |at| {
            (*at + QUARANTINE_TIME).saturating_duration_since(now)
        })
    }

    /// Whether the host that `rank` others precede may probe the part.
    pub(super) fn probe_due(&self, rank: u32, now: Instant) -> bool {
        self.next_probe()
            .is_some_and(|at| now >= at + PROBE_STAGGER * rank)
    }

    /// Time of the next probe by the first host.
    fn next_probe(&self) -> Option<Instant> {
        let interval = if !self.is_certain() {
            PROBE_INTERVAL
        } else {
            CERTAIN_PROBE_INTERVAL * (1 << self.failed_probes.min(MAX_DOUBLINGS))
        };
        let last_crash = self.crashes.values().max().copied();
        let since = self.probed_at.max(self.quarantined_at()?.into());
        since.max(last_crash).map(|since| since + interval)
    }

    /// Time after which a request with the part has a chance.
    pub(super) fn retry_after(&self, now: Instant) -> Duration {
        let remaining = self.remaining(now);
        match self.next_probe() {
            Some(at) if !self.is_certain() => {
                remaining.min(at.saturating_duration_since(now).max(PROBE_STAGGER))
            }
            _ => remaining,
        }
    }

    pub(super) fn updated_at(&self) -> Option<Instant> {
        self.completed_at.max(self.crashes.values().max().copied())
    }

    pub(super) fn is_old(&self, now: Instant) -> bool {
        let lifetime = if self.refuted {
            QUARANTINE_TIME
        } else {
            COMPLETION_MEMORY
        };
        self.crashes.is_empty()
            && self
                .completed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= lifetime)
    }

    pub(super) fn statement(&self, part: Part, now: Instant) -> Statement {
        Statement {
            part,
            crashes: self
                .crashes
                .iter()
                .map(|(crash, at)| (*crash, now.saturating_duration_since(*at)))
                .collect(),
            completed: self
                .completed_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Order of statements when not all can be sent. A refutation concerns a part that may be suspect
    /// elsewhere.
    pub(super) fn weight(&self) -> usize {
        if self.crashes.is_empty() {
            SUSPECT_CRASHES
        } else {
            self.crashes.len()
        }
    }
}
