//! Admission control of an agent: which attempts start, wait or are refused, and which answers are
//! retained.
//!
//! A refused attempt leaves a tombstone, so that a delayed or reordered copy of it cannot start
//! later; the sender may therefore rely on a refusal. An attempt that has started is never started
//! again, whatever copies of it arrive.

use {
    crate::{
        claim,
        id::{Incarnation, Request},
        ramp::Ramp,
    },
    jayspread_schema::wire::Refusal,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Retention time of tombstones and acknowledged attempts. It exceeds the lifetime of any claim for
/// which a sender may still ask about an attempt.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(3600);
const _: () = assert!(ATTEMPT_RETENTION.as_secs() >= 2 * claim::KEY_RETENTION.as_secs() + 600);
/// Retention time of a finished answer that is not acknowledged.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// Queue capacity as a percentage of the concurrency limit.
const QUEUE_PERCENT: usize = 100;
/// Retry delay suggested to the sender of a refused attempt.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// An attempt that requests admission.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the attempt.
    pub request: Request,
    /// Incarnation of the agent that the sender addresses.
    pub incarnation: Incarnation,
    /// Time after which the attempt must not start.
    pub deadline: Instant,
    /// Priority; higher values start first.
    pub priority: u32,
}

/// Admission decision for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt starts now.
    Start,
    /// The attempt is queued until a running one ends.
    Wait,
    /// An earlier copy was admitted; this copy attaches to it.
    Known,
    /// The attempt is refused and will never start.
    Refuse(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Waiting(QueueKey),
    Running,
    /// Finished; the answer is retained until it is acknowledged.
    Finished,
    /// Finished, and the answer was acknowledged or its retention time has passed.
    Released,
    /// Refused; must never start.
    Tombstone,
}

/// Sort key in the queue: by descending priority, then by arrival.
type QueueKey = (Reverse<u32>, u64);

#[derive(Debug, Clone)]
struct Entry {
    phase: Phase,
    deadline: Instant,
}

/// Outcome of an attempt that leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// The attempt starts now.
    Start(Request),
    /// The attempt is refused and will never start.
    Refuse(Request, Refusal),
}

/// Safeguards that tests can disable to verify that the invariants then fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Whether refused attempts leave tombstones.
    pub tombstones: bool,
    /// Whether the ramp limits the number of running attempts.
    pub ramp: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            tombstones: true,
            ramp: true,
        }
    }
}

/// Table of the attempts at one agent.
#[derive(Debug)]
pub struct Table {
    incarnation: Incarnation,
    entries: BTreeMap<Request, Entry>,
    queue: BTreeMap<QueueKey, Request>,
    /// Tombstones and released attempts with their expiry times, earliest first.
    expiring: VecDeque<(Instant, Request)>,
    /// Finished attempts without acknowledgement and their expiry times, earliest first.
    unacknowledged: VecDeque<(Instant, Request)>,
    running: usize,
    arrivals: u64,
    /// Whether the backend server serves a complete version.
    open: bool,
    /// Whether the agent is shutting down.
    draining: bool,
    /// Limit on the number of running attempts.
    pub ramp: Ramp,
    safeguards: Safeguards,
}

impl Table {
    /// Creates a closed table for one incarnation of an agent.
    pub fn new(incarnation: Incarnation, ramp: Ramp) -> Self {
        Self::with_safeguards(incarnation, ramp, Safeguards::default())
    }

    /// Creates a table with the given safeguards, for tests of the invariants.
    pub fn with_safeguards(incarnation: Incarnation, ramp: Ramp, safeguards: Safeguards) -> Self {
        Self {
            incarnation,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            expiring: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            running: 0,
            arrivals: 0,
            open: false,
            draining: false,
            ramp,
            safeguards,
        }
    }

    /// Number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued attempts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of attempts in any phase, including tombstones.
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// Whether attempts may start.
    pub fn is_open(&self) -> bool {
        self.open && !self.draining
    }

    /// Allows attempts to start, once the backend server serves a complete version.
    pub fn resume(&mut self) {
        self.open = true;
    }

    /// Stops starting attempts while the backend server loads; refuses the queued ones.
    pub fn pause(&mut self, now: Instant) -> Vec<Dequeued> {
        self.open = false;
        self.refuse_waiting(Refusal::NoVersion, now)
    }

    /// Stops starting attempts permanently; refuses the queued ones.
    pub fn drain(&mut self, now: Instant) -> Vec<Dequeued> {
        self.draining = true;
        self.refuse_waiting(Refusal::Leaving, now)
    }

    /// Incarnation of the agent that the table belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Decides whether an attempt starts, waits or is refused.
    ///
    /// An attempt addressed to another incarnation of the agent may have started there. Its refusal
    /// therefore does not prove that it never ran, and leaves no tombstone.
    pub fn submit(&mut self, attempt: &Attempt, now: Instant) -> Verdict {
        if attempt.incarnation != self.incarnation {
            return Verdict::Refuse(Refusal::Incarnation);
        }
        if let Some(entry) = self.entries.get(&attempt.request) {
            return match entry.phase {
                Phase::Tombstone => Verdict::Refuse(Refusal::Tombstone),
                _ => Verdict::Known,
            };
        }
        if let Some(refusal) = self.refusal_reason(attempt, now) {
            self.record_tombstone(&attempt.request, attempt.deadline, now);
            return Verdict::Refuse(refusal);
        }
        if self.running < self.limit() && self.queue.is_empty() {
            self.start(attempt.request.clone(), attempt.deadline);
            return Verdict::Start;
        }
        if self.queue.len() >= self.queue_capacity() {
            self.record_tombstone(&attempt.request, attempt.deadline, now);
            return Verdict::Refuse(Refusal::Busy);
        }
        self.enqueue(attempt);
        Verdict::Wait
    }

    /// Prevents an attempt from starting; returns `false` if it has started already.
    pub fn cancel(&mut self, request: &Request, now: Instant) -> bool {
        let Some(entry) = self.entries.get(request) else {
            self.record_tombstone(request, now, now);
            return true;
        };
        match entry.phase.clone() {
            Phase::Tombstone => true,
            Phase::Waiting(key) => {
                self.queue.remove(&key);
                self.record_tombstone(request, now, now);
                true
            }
            Phase::Running | Phase::Finished | Phase::Released => false,
        }
    }

    /// Whether the attempt is queued, running, or finished with its answer retained.
    pub fn is_retained(&self, request: &Request) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| !matches!(entry.phase, Phase::Tombstone | Phase::Released))
    }

    /// Ends a running attempt, whose answer is retained. Returns the queued attempts that start or
    /// are refused as a result.
    pub fn finish(&mut self, request: &Request, now: Instant) -> Vec<Dequeued> {
        let entry = self
            .entries
            .get_mut(request)
            .expect("finished attempt must be in the table");
        assert_eq!(
            entry.phase,
            Phase::Running,
            "only a running attempt can finish"
        );
        entry.phase = Phase::Finished;
        self.running -= 1;
        self.unacknowledged
            .push_back((now + ANSWER_RETENTION, request.clone()));
        self.start_waiting(now)
    }

    /// Releases a retained answer; returns whether there was one.
    pub fn release(&mut self, request: &Request, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(request) else {
            return false;
        };
        if entry.phase != Phase::Finished {
            return false;
        }
        entry.phase = Phase::Released;
        self.expiring
            .push_back((now + ATTEMPT_RETENTION, request.clone()));
        true
    }

    /// Starts queued attempts while the limit permits; refuses those past their deadline.
    pub fn start_waiting(&mut self, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        while self.is_open() && self.running < self.limit() {
            let Some((_, request)) = self.queue.pop_first() else {
                break;
            };
            let deadline = self.entries[&request].deadline;
            if deadline <= now {
                self.record_tombstone(&request, deadline, now);
                dequeued.push(Dequeued::Refuse(request, Refusal::Deadline));
                continue;
            }
            self.start(request.clone(), deadline);
            dequeued.push(Dequeued::Start(request));
        }
        dequeued
    }

    /// Refuses queued attempts past their deadline and starts others if the limit has grown.
    /// Returns these attempts, and those whose answers need not be retained any longer.
    pub fn tick(&mut self, now: Instant) -> (Vec<Dequeued>, Vec<Request>) {
        let mut dequeued = self.expire(now);
        dequeued.extend(self.start_waiting(now));
        let mut released = Vec::new();
        while let Some((_, request)) = self
            .unacknowledged
            .pop_front_if(|(expires_at, _)| *expires_at <= now)
        {
            if self.release(&request, now) {
                released.push(request);
            }
        }
        while let Some((_, request)) = self
            .expiring
            .pop_front_if(|(expires_at, _)| *expires_at <= now)
        {
            self.entries.remove(&request);
        }
        (dequeued, released)
    }

    fn limit(&self) -> usize {
        if self.safeguards.ramp {
            self.ramp.limit()
        } else {
            usize::MAX
        }
    }

    fn queue_capacity(&self) -> usize {
        (self.limit().saturating_mul(QUEUE_PERCENT) / 100).max(1)
    }

    fn refusal_reason(&self, attempt: &Attempt, now: Instant) -> Option<Refusal> {
        if self.draining {
            return Some(Refusal::Leaving);
        }
        if !self.open {
            return Some(Refusal::NoVersion);
        }
        (attempt.deadline <= now).then_some(Refusal::Deadline)
    }

    fn start(&mut self, request: Request, deadline: Instant) {
        assert!(
            self.is_open(),
            "no attempt may start while the table is closed"
        );
        self.running += 1;
        let entry = Entry {
            phase: Phase::Running,
            deadline,
        };
        let previous = self.entries.insert(request, entry);
        let not_started = previous.is_none_or(|entry| matches!(entry.phase, Phase::Waiting(_)));
        assert!(not_started, "an attempt must start at most once");
    }

    fn enqueue(&mut self, attempt: &Attempt) {
        self.arrivals += 1;
        let key = (Reverse(attempt.priority), self.arrivals);
        self.queue.insert(key, attempt.request.clone());
        let entry = Entry {
            phase: Phase::Waiting(key),
            deadline: attempt.deadline,
        };
        self.entries.insert(attempt.request.clone(), entry);
    }

    fn record_tombstone(&mut self, request: &Request, deadline: Instant, now: Instant) {
        if !self.safeguards.tombstones {
            self.entries.remove(request);
            return;
        }
        let entry = Entry {
            phase: Phase::Tombstone,
            deadline,
        };
        self.entries.insert(request.clone(), entry);
        self.expiring
            .push_back((now + ATTEMPT_RETENTION, request.clone()));
    }

    fn expire(&mut self, now: Instant) -> Vec<Dequeued> {
        let entries = &self.entries;
        let is_expired = |request: &Request| entries[request].deadline <= now;
        let expired: Vec<QueueKey> = self
            .queue
            .iter()
            .filter(|(_, request)| is_expired(request))
            .map(|(key, _)| *key)
            .collect();
        self.refuse(expired, Refusal::Deadline, now)
    }

    fn refuse_waiting(&mut self, refusal: Refusal, now: Instant) -> Vec<Dequeued> {
        let keys = self.queue.keys().copied().collect();
        self.refuse(keys, refusal, now)
    }

    fn refuse(&mut self, keys: Vec<QueueKey>, refusal: Refusal, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(request) = self.queue.remove(&key) else {
                continue;
            };
            self.record_tombstone(&request, now, now);
            dequeued.push(Dequeued::Refuse(request, refusal));
        }
        dequeued
    }
}

/// Delay after which the sender may retry a refused attempt.
pub fn retry_after(refusal: Refusal) -> Duration {
    match refusal {
        Refusal::Busy | Refusal::NoVersion => RETRY_AFTER,
        _ => Duration::ZERO,
    }
}
