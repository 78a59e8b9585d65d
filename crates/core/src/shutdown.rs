//! Decides what a stopping host may still take, pass on and repeat, and when it answers and exits.

use std::time::{Duration, Instant};

/// Longest time after the stop signal during which requests are passed on to engines for the first
/// time; later ones might not end within the grace period.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_800);
/// Time after the stop signal during which the load balancer still sends new connections: it checks
/// once a second and needs two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(3_200);
/// Longest part of the grace period reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Longest part of the grace period before that, in which callers still receive final answers.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);

/// What a host is about to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Take it, wait for its body or for an engine, or pass it on for the first time.
    Begin,
    /// Pass it on to another engine, after or beside one that has it.
    Repeat,
}

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    refuse_from: Instant,
    listen_until: Instant,
    answer_by: Instant,
    exit_by: Instant,
}

impl Schedule {
    /// Plans a shutdown that began at `started` and may take `grace`.
    pub fn new(started: Instant, grace: Duration) -> Self {
        let exit_by = started + grace.saturating_sub(EXIT_RESERVE.min(grace / 4));
        let answer_by = exit_by - ANSWER_RESERVE.min(grace / 4);
        Self {
            refuse_from: started + ACCEPT_PERIOD.min(grace / 2),
            listen_until: started + BALANCER_DELAY.min(grace / 2),
            answer_by,
            exit_by,
        }
    }

    /// Time from which requests that no engine has got are refused.
    pub fn refuse_from(&self) -> Instant {
        self.refuse_from
    }

    /// Time until which new connections are accepted, even if no request is in hand.
    pub fn listen_until(&self) -> Instant {
        self.listen_until
    }

    /// Time at which all requests in hand get their final answers: a refusal if no engine can have
    /// run them, otherwise a failure that promises nothing.
    pub fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// Time at which the process exits, whatever is in hand.
    pub fn exit_by(&self) -> Instant {
        self.exit_by
    }

    /// Whether a step is allowed for a request that needs `need` from now on to be answered.
    pub fn allows(&self, step: Step, need: Duration, now: Instant) -> bool {
        let is_early = match step {
            Step::Begin => now < self.refuse_from,
            Step::Repeat => true,
        };
        let left = self.answer_by.saturating_duration_since(now);
        is_early && need < left
    }
}
