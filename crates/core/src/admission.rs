//! Admission at an agent: which attempts start, wait or are refused, and which answers are kept.
//!
//! Every attempt that was refused leaves a tombstone, so that a late or crossed copy of it cannot
//! start afterwards; this is what makes a refusal true. An attempt that started is never started
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

/// Time for which tombstones and acknowledged attempts are remembered; longer than any claim that
/// may lead to a question about an attempt.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(3600);
const _: () = assert!(ATTEMPT_RETENTION.as_secs() >= 2 * claim::KEY_RETENTION.as_secs() + 600);
/// Time for which a finished answer waits for its acknowledgement.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// Attempts that may wait, as a share of the limit, percent.
const WAITING_PERCENT: usize = 100;
/// Delay suggested to a refused caller.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// An attempt that asks for admission.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the attempt.
    pub request: Request,
    /// Incarnation of the agent that the sender means.
    pub incarnation: Incarnation,
    /// Time after which starting is of no use.
    pub deadline: Instant,
    /// Priority; higher goes first.
    pub priority: u32,
}

/// Answer to an attempt that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Starts now.
    Start,
    /// Waits for a running one to end.
    Wait,
    /// Known already: attaches to the earlier copy.
    Known,
    /// Refused, and will never start.
    Refuse(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Waiting(Place),
    Running,
    /// Finished; the answer is kept until acknowledged.
    Finished,
    /// Finished and acknowledged, or kept long enough.
    Released,
    /// Refused for good.
    Tombstone,
}

/// Place in the queue: priority first, then arrival.
type Place = (Reverse<u32>, u64);

#[derive(Debug, Clone)]
struct Entry {
    phase: Phase,
    deadline: Instant,
}

/// What a waiting attempt becomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// Starts now.
    Start(Request),
    /// Refused, and will never start.
    Refuse(Request, Refusal),
}

/// Switches that tests turn off to see the invariants fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Refusals leave tombstones.
    pub tombstones: bool,
    /// The ramp bounds the running attempts.
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

/// Table of attempts at one agent.
#[derive(Debug)]
pub struct Table {
    incarnation: Incarnation,
    entries: BTreeMap<Request, Entry>,
    queue: BTreeMap<Place, Request>,
    /// Attempts to forget, oldest first.
    old: VecDeque<(Instant, Request)>,
    /// Finished attempts that wait for an acknowledgement, oldest first.
    kept: VecDeque<(Instant, Request)>,
    running: usize,
    arrivals: u64,
    open: bool,
    leaving: bool,
    /// The limit on running attempts.
    pub ramp: Ramp,
    safeguards: Safeguards,
}

impl Table {
    /// Creates a closed table for one life of an agent.
    pub fn new(incarnation: Incarnation, ramp: Ramp) -> Self {
        Self::with_safeguards(incarnation, ramp, Safeguards::default())
    }

    /// Creates a table with some safeguards off, for tests of the invariants.
    pub fn with_safeguards(incarnation: Incarnation, ramp: Ramp, safeguards: Safeguards) -> Self {
        Self {
            incarnation,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            old: VecDeque::new(),
            kept: VecDeque::new(),
            running: 0,
            arrivals: 0,
            open: false,
            leaving: false,
            ramp,
            safeguards,
        }
    }

    /// Attempts running now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Attempts waiting now.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Attempts remembered in any phase.
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// Whether attempts are started.
    pub fn is_open(&self) -> bool {
        self.open && !self.leaving
    }

    /// Lets attempts start: the backend server serves a complete version.
    pub fn resume(&mut self) {
        self.open = true;
    }

    /// Stops starting attempts for a load; those waiting are refused.
    pub fn pause(&mut self, now: Instant) -> Vec<Dequeued> {
        self.open = false;
        self.refuse_waiting(Refusal::NoVersion, now)
    }

    /// Stops starting attempts for good; those waiting are refused.
    pub fn drain(&mut self, now: Instant) -> Vec<Dequeued> {
        self.leaving = true;
        self.refuse_waiting(Refusal::Leaving, now)
    }

    /// Life of the agent that the table belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Decides on an attempt.
    ///
    /// An attempt meant for another life of the agent may have started there: its refusal proves
    /// nothing and leaves no tombstone.
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
        if let Some(refusal) = self.obstacle(attempt, now) {
            self.bury(&attempt.request, attempt.deadline, now);
            return Verdict::Refuse(refusal);
        }
        if self.running < self.limit() && self.queue.is_empty() {
            self.start(attempt.request.clone(), attempt.deadline);
            return Verdict::Start;
        }
        if self.queue.len() >= self.room() {
            self.bury(&attempt.request, attempt.deadline, now);
            return Verdict::Refuse(Refusal::Busy);
        }
        self.enqueue(attempt);
        Verdict::Wait
    }

    /// Forbids an attempt from starting; false when it has started already.
    pub fn cancel(&mut self, request: &Request, now: Instant) -> bool {
        let Some(entry) = self.entries.get(request) else {
            self.bury(request, now, now);
            return true;
        };
        match entry.phase.clone() {
            Phase::Tombstone => true,
            Phase::Waiting(place) => {
                self.queue.remove(&place);
                self.bury(request, now, now);
                true
            }
            Phase::Running | Phase::Finished | Phase::Released => false,
        }
    }

    /// Whether the attempt is waiting, running, or finished with its answer kept.
    pub fn is_retained(&self, request: &Request) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|e| !matches!(e.phase, Phase::Tombstone | Phase::Released))
    }

    /// Ends a running attempt, whose answer is kept, and returns what may start instead.
    pub fn finish(&mut self, request: &Request, now: Instant) -> Vec<Dequeued> {
        let entry = self
            .entries
            .get_mut(request)
            .expect("finished attempt is in the table");
        assert_eq!(
            entry.phase,
            Phase::Running,
            "only a running attempt finishes"
        );
        entry.phase = Phase::Finished;
        self.running -= 1;
        self.kept
            .push_back((now + ANSWER_RETENTION, request.clone()));
        self.start_waiting(now)
    }

    /// Releases a kept answer; true when there was one.
    pub fn release(&mut self, request: &Request, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(request) else {
            return false;
        };
        if entry.phase != Phase::Finished {
            return false;
        }
        entry.phase = Phase::Released;
        self.old
            .push_back((now + ATTEMPT_RETENTION, request.clone()));
        true
    }

    /// Starts or refuses waiting attempts as room and deadlines command.
    pub fn start_waiting(&mut self, now: Instant) -> Vec<Dequeued> {
        let mut turns = Vec::new();
        while self.is_open() && self.running < self.limit() {
            let Some((_, request)) = self.queue.pop_first() else {
                break;
            };
            let deadline = self.entries[&request].deadline;
            if deadline <= now {
                self.bury(&request, deadline, now);
                turns.push(Dequeued::Refuse(request, Refusal::Deadline));
                continue;
            }
            self.start(request.clone(), deadline);
            turns.push(Dequeued::Start(request));
        }
        turns
    }

    /// Refuses waiting attempts past their deadline, starts others where the limit has grown, and
    /// returns the attempts whose answers need not be kept any more.
    pub fn tick(&mut self, now: Instant) -> (Vec<Dequeued>, Vec<Request>) {
        let mut turns = self.expire(now);
        turns.extend(self.start_waiting(now));
        let mut released = Vec::new();
        while let Some((_, request)) = self.kept.pop_front_if(|(due, _)| *due <= now) {
            if self.release(&request, now) {
                released.push(request);
            }
        }
        while let Some((_, request)) = self.old.pop_front_if(|(due, _)| *due <= now) {
            self.entries.remove(&request);
        }
        (turns, released)
    }

    fn limit(&self) -> usize {
        if self.safeguards.ramp {
            self.ramp.limit()
        } else {
            usize::MAX
        }
    }

    fn room(&self) -> usize {
        (self.limit().saturating_mul(WAITING_PERCENT) / 100).max(1)
    }

    fn obstacle(&self, attempt: &Attempt, now: Instant) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if !self.open {
            return Some(Refusal::NoVersion);
        }
        (attempt.deadline <= now).then_some(Refusal::Deadline)
    }

    fn start(&mut self, request: Request, deadline: Instant) {
        assert!(self.is_open(), "nothing starts while the table is closed");
        self.running += 1;
        let entry = Entry {
            phase: Phase::Running,
            deadline,
        };
        let before = self.entries.insert(request, entry);
        let fresh = before.is_none_or(|e| matches!(e.phase, Phase::Waiting(_)));
        assert!(fresh, "an attempt starts at most once");
    }

    fn enqueue(&mut self, attempt: &Attempt) {
        self.arrivals += 1;
        let place = (Reverse(attempt.priority), self.arrivals);
        self.queue.insert(place, attempt.request.clone());
        let entry = Entry {
            phase: Phase::Waiting(place),
            deadline: attempt.deadline,
        };
        self.entries.insert(attempt.request.clone(), entry);
    }

    fn bury(&mut self, request: &Request, deadline: Instant, now: Instant) {
        if !self.safeguards.tombstones {
            self.entries.remove(request);
            return;
        }
        let entry = Entry {
            phase: Phase::Tombstone,
            deadline,
        };
        self.entries.insert(request.clone(), entry);
        self.old
            .push_back((now + ATTEMPT_RETENTION, request.clone()));
    }

    fn expire(&mut self, now: Instant) -> Vec<Dequeued> {
        let entries = &self.entries;
        let late = |request: &Request| entries[request].deadline <= now;
        let expired: Vec<Place> = self
            .queue
            .iter()
            .filter(|(_, request)| late(request))
            .map(|(place, _)| *place)
            .collect();
        self.refuse(expired, Refusal::Deadline, now)
    }

    fn refuse_waiting(&mut self, refusal: Refusal, now: Instant) -> Vec<Dequeued> {
        let places = self.queue.keys().copied().collect();
        self.refuse(places, refusal, now)
    }

    fn refuse(&mut self, places: Vec<Place>, refusal: Refusal, now: Instant) -> Vec<Dequeued> {
        let mut turns = Vec::with_capacity(places.len());
        for place in places {
            let Some(request) = self.queue.remove(&place) else {
                continue;
            };
            self.bury(&request, now, now);
            turns.push(Dequeued::Refuse(request, refusal));
        }
        turns
    }
}

/// Delay after which a refused attempt may be tried again.
pub fn retry_after(refusal: Refusal) -> Duration {
    match refusal {
        Refusal::Busy | Refusal::NoVersion => RETRY_AFTER,
        _ => Duration::ZERO,
    }
}
