//! Decides whether an engine's answer that has ended may be passed on as whole.
//!
//! The kernel of an engine that crashes closes its connections in the same order as an engine that
//! has finished an answer. Without a mark at the end of the body, the answer counts as whole only if
//! the engine's process goes on after it.

use {
    crate::{framing::End, quarantine::Finding},
    std::time::{Duration, Instant},
};

/// Time between the end of a connection and the first check of its engine: a process that crashes
/// loses its connections and its listener one after another.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Interval between checks that show nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the end of the connection within which a check must show something.
const MAX_CHECK_TIME: Duration = Duration::from_millis(750);

/// Why an answer is not passed on as whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The engine has ended.
    Ended,
    /// Nothing shows that the engine goes on.
    Unproven,
    /// The engine goes on, but has sent nothing that shows its answer.
    Empty,
}

impl Fault {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Ended => "ended",
            Fault::Unproven => "unproven",
            Fault::Empty => "empty",
        }
    }
}

/// What is to be done with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Check at this time whether its engine accepts connections.
    Check(Instant),
    /// Pass it on as whole.
    Accept,
    /// Treat it as one that broke off.
    Reject(Fault),
}

/// Search for a proof that an answer is whole.
#[derive(Debug, Clone)]
pub struct Inquiry {
    ended: Instant,
    action: Action,
    /// What is to be done if the engine goes on.
    if_alive: Action,
}

impl Inquiry {
    /// Begins when the body of an answer has ended in this way at `ended`.
    pub fn new(end: End, ended: Instant) -> Self {
        let action = match end {
            End::Marked => Action::Accept,
            End::Closed => Action::Check(ended + SETTLE_TIME),
        };
        Self {
            ended,
            action,
            if_alive: Action::Accept,
        }
    }

    /// Begins when a connection was closed in order at `ended` before anything of the body that
    /// counts. That is no answer, but only the check tells whether the engine has crashed.
    pub fn without_content(ended: Instant) -> Self {
        Self {
            if_alive: Action::Reject(Fault::Empty),
            ..Self::new(End::Closed, ended)
        }
    }

    /// What is to be done next.
    pub fn action(&self) -> Action {
        self.action
    }

    /// Records the result of a check that ended at `now`.
    pub fn record(&mut self, finding: Finding, now: Instant) {
        if !matches!(self.action, Action::Check(_)) {
            return;
        }
        let next = now + CHECK_INTERVAL;
        self.action = match finding {
            Finding::Alive => self.if_alive,
            Finding::Ended => Action::Reject(Fault::Ended),
            Finding::Unknown if next < self.ended + MAX_CHECK_TIME => Action::Check(next),
            Finding::Unknown => Action::Reject(Fault::Unproven),
        };
    }
}
