//! What a caller's connection has in hand, and when it may be closed.
//!
//! A request is in hand from the first byte of its head until the last byte of its answer has left
//! this process.

use {
    crate::memory::Standing,
    std::time::{Duration, Instant},
};

/// Time for which a caller takes no byte of an answer before its connection may be closed for others.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);

/// Part of a request that a connection has in hand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// None: no byte has arrived since the last answer.
    #[default]
    Idle,
    /// A part of a head.
    Head,
    /// A request that is not answered completely.
    Request,
    /// An answer that is complete, but not sent completely.
    Answer,
    /// What the caller has not received when this side closes the connection.
    Closing,
}

impl Stage {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Idle => "idle",
            Stage::Head => "head",
            Stage::Request => "request",
            Stage::Answer => "answer",
            Stage::Closing => "closing",
        }
    }
}

/// How long callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between an answer and the next request.
    pub idle: Duration,
    /// Time from the first byte of a head to the last.
    pub head: Duration,
}

/// State of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    stage: Stage,
    /// When the stage began.
    since: Instant,
    /// Number of requests that are not answered completely.
    requests: usize,
    /// Idle time that the caller was told in the last answer.
    promised: Duration,
    /// When the last bytes arrived, or the stage began.
    progressed: Instant,
    /// Whether the body of a request is being read.
    is_reading: bool,
    /// Since when the caller has taken no byte of what was sent; `None` if it has all.
    untaken_since: Option<Instant>,
}

impl Connection {
    /// A connection that was accepted at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            stage: Stage::Idle,
            since: now,
            requests: 0,
            promised: Duration::ZERO,
            progressed: now,
            is_reading: false,
            untaken_since: None,
        }
    }

    /// Records the idle time that an answer tells the caller; it holds also if the limit is lowered.
    pub fn promise(&mut self, idle: Duration) {
        self.promised = idle;
    }

    /// What the connection has in hand.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether anything is in hand.
    pub fn is_in_hand(&self) -> bool {
        self.stage != Stage::Idle
    }

    /// Records that bytes have arrived.
    pub fn receive(&mut self, now: Instant) {
        self.progressed = now;
        if self.stage == Stage::Idle {
            self.enter(Stage::Head, now);
        }
    }

    /// Records whether the body of a request is being read.
    pub fn set_reading(&mut self, is_reading: bool) {
        self.is_reading = is_reading;
    }

    /// Records since when the caller has taken no byte of what was sent.
    pub fn set_untaken(&mut self, since: Option<Instant>) {
        self.untaken_since = since;
    }

    /// Whether a part of a request has arrived, and no answer was begun.
    pub fn is_incomplete(&self) -> bool {
        self.stage == Stage::Head || self.stage == Stage::Request && self.is_reading
    }

    /// Whether and how readily the connection is closed for others.
    pub fn standing(&self, now: Instant) -> Option<Standing> {
        let is_unread = |since: &Instant| now.saturating_duration_since(*since) >= UNREAD_LIMIT;
        if let Some(since) = self.untaken_since.filter(is_unread) {
            return Some(Standing::Unread(since));
        }
        let is_waiting = self.stage == Stage::Idle || self.is_incomplete();
        is_waiting.then_some(Standing::Waiting(self.progressed))
    }

    /// Records that the head of a request is complete.
    pub fn begin(&mut self, now: Instant) {
        self.requests += 1;
        if self.stage != Stage::Closing {
            self.enter(Stage::Request, now);
        }
    }

    /// Records that the answer to a request is complete, or given up.
    pub fn end(&mut self, now: Instant) {
        self.requests = self.requests.saturating_sub(1);
        if self.requests == 0 && self.stage == Stage::Request {
            self.enter(Stage::Answer, now);
        }
    }

    /// Records that this side closes the connection. Its last answer stays in hand, since the caller
    /// may still receive it.
    pub fn close(&mut self, now: Instant) {
        self.requests = 0;
        self.enter(Stage::Closing, now);
    }

    /// Records that no byte to the caller is left in this process.
    pub fn flush(&mut self, now: Instant) {
        if self.stage == Stage::Answer {
            self.enter(Stage::Idle, now);
        }
    }

    /// Time from which the connection may be closed; `None` while a request or an answer is in hand.
    ///
    /// A caller may begin a request up to the end of its idle time, and that request may still be on
    /// its way for as long as a head may take.
    pub fn expiry(&self, limits: Limits) -> Option<Instant> {
        let limit = match self.stage {
            Stage::Idle => limits.idle.max(self.promised).saturating_add(limits.head),
            Stage::Head => limits.head,
            Stage::Request | Stage::Answer | Stage::Closing => return None,
        };
        self.since.checked_add(limit)
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.since = now;
        self.progressed = now;
    }
}
