//! One attempt at one engine, from the request until it is known whether the engine crashed on it.

use {
    crate::{
        front::{
            quarantine::MAX_EVENTS_BEFORE_CRASH,
            state::State,
            upstream::{Permit, read_head},
        },
        shared::lock,
    },
    http::StatusCode,
    jayspread_core::{framing::End, outlier::Outcome, quarantine::Part},
    jayspread_net::{
        channel::{Channel, Error},
        clock,
    },
    std::{
        ops::{Deref, DerefMut},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, time},
};

/// Time for which the answer to a plain request is still read when nobody awaits it any more. It is
/// short beside the time within which an engine must be told that its caller has left.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// Largest size of such an answer, bytes.
const MAX_LINGERING_BYTES: usize = 1 << 20;

/// What was sent to the engine.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Id of the request.
    pub request_id: Box<str>,
    /// Hashes of what may crash engines.
    pub parts: Arc<[Part]>,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Whether the answer has a head only, which does not show that the engine has run the request.
    pub is_head_only: bool,
    /// Time by which the engine must have begun, if its version is an old one.
    pub begin_by: Option<Instant>,
}

impl Subject {
    /// Whether the answer may still be read when nobody awaits it. A stream is closed at once: the
    /// engine would go on reading its prompt. So is a request that might begin too late.
    fn may_linger(&self, now: Instant) -> bool {
        !self.is_stream && self.begin_by.is_none_or(|at| now + LINGER_TIME < at)
    }
}

/// How much is known of the engine's fate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// The engine may still answer, or crash.
    Open,
    /// The connection is of no more use, but the engine may still crash.
    Failed,
    /// Nothing remains to be recorded.
    Settled,
}

/// An attempt with its connection.
pub struct Line {
    /// Permit at the engine.
    pub permit: Permit,
    /// Connection that carries the request.
    pub channel: Channel,
    /// Status of the answer, once its head has been read.
    pub status: Option<StatusCode>,
    subject: Subject,
    fate: Fate,
}

impl Line {
    fn state(&self) -> &Arc<State> {
        self.permit.state()
    }

    /// Records that nothing is to be learnt from this attempt: the engine has not run the request,
    /// or has answered with an error of its own.
    pub fn settle(&mut self) {
        self.fate = Fate::Settled;
    }

    /// Records that the connection failed, or was given up, for `reason` after the engine had sent
    /// `events` events of its answer.
    pub fn record_failure(&mut self, reason: &'static str, events: u32) {
        self.permit.set_outcome(Outcome::Failure, reason);
        if self.fate != Fate::Open {
            return;
        }
        let has_ended = matches!(reason, "broken" | "ended" | "ended_inside_an_event");
        if events > MAX_EVENTS_BEFORE_CRASH {
            self.fate = Fate::Settled;
        } else if has_ended {
            self.fate = Fate::Settled;
            let instance = self.permit.reservation.instance();
            self.state().record_crash(&self.subject, &instance, reason);
        } else {
            self.fate = Fate::Failed;
        }
    }

    /// Records that the engine has sent its whole answer.
    pub fn record_answer(&mut self) {
        if self.subject.is_head_only {
            self.settle();
        } else if self.channel.end() == Some(End::Marked) {
            self.record_completion();
        } else if self.fate == Fate::Open {
            self.fate = Fate::Settled;
            let (parts, reservation) = (&self.subject.parts, &self.permit.reservation);
            self.state().record_unproven_completion(parts, reservation);
        }
    }

    /// Records that the engine answered completely, or beyond the events after which it may crash.
    pub fn record_completion(&mut self) {
        if self.fate == Fate::Open {
            self.fate = Fate::Settled;
            self.state().record_completion(&self.subject.parts);
        }
    }

    /// Reads the rest of the answer to a plain request.
    async fn read_rest(&mut self) -> Result<(), Error> {
        if self.status.is_none() {
            let (head, metadata) = read_head(&mut self.channel, &self.subject.request_id).await?;
            let is_answer = head.status.is_success() && metadata.sealed;
            self.permit.observe(&metadata);
            if metadata.not_executed || !is_answer {
                self.settle();
            }
            self.status = Some(head.status);
        }
        self.channel.receive_body(MAX_LINGERING_BYTES).await?;
        if self.status.is_some_and(|status| status.is_success()) {
            self.record_answer();
        }
        self.settle();
        Ok(())
    }

    /// Waits a short time for what becomes of the attempt.
    async fn linger(mut self) {
        match time::timeout(LINGER_TIME, self.read_rest()).await {
            Ok(Ok(())) => {
                let instance = self.permit.reservation.instance();
                let state = Arc::clone(self.state());
                lock(&state.pool).put(&instance, self.channel);
                return;
            }
            Ok(Err(cause)) => self.record_failure(cause.kind(), 0),
            Err(_) => {}
        }
        self.abandon();
    }

    /// Leaves it to a later check whether the engine has crashed.
    fn abandon(&self) {
        if self.fate == Fate::Settled {
            return;
        }
        let instance = self.permit.reservation.instance();
        self.state()
            .record_abandoned(&self.subject.parts, &instance);
    }
}

/// An attempt in progress. Dropped before the engine's fate is known, it still finds that out.
pub struct Attempt(Option<Line>);

impl Attempt {
    /// Begins an attempt on a connection on which the request is queued.
    pub fn new(permit: Permit, channel: Channel, subject: Subject) -> Self {
        Self(Some(Line {
            permit,
            channel,
            status: None,
            subject,
            fate: Fate::Open,
        }))
    }

    /// Ends an attempt whose answer was read completely and returns its connection to the pool, if
    /// it can be used again.
    pub fn close(mut self) {
        if let Some(mut line) = self.0.take() {
            line.settle();
            let state = Arc::clone(line.state());
            lock(&state.pool).put(&line.permit.reservation.instance(), line.channel);
        }
    }
}

impl Deref for Attempt {
    type Target = Line;

    fn deref(&self) -> &Line {
        self.0.as_ref().expect("attempt is in progress")
    }
}

impl DerefMut for Attempt {
    fn deref_mut(&mut self) -> &mut Line {
        self.0.as_mut().expect("attempt is in progress")
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(line) = self.0.take() else {
            return;
        };
        if !line.channel.has_sent() {
            return;
        }
        let can_linger = line.fate == Fate::Open
            && line.subject.may_linger(clock::now())
            && line.channel.is_request_sent();
        match Handle::try_current() {
            Ok(runtime) if can_linger => {
                runtime.spawn(line.linger());
            }
            _ => line.abandon(),
        }
    }
}
