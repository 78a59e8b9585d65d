//! What is known of an engine's leaving beside the list: it says so in its answers, its agent reports
//! it, and other entry hosts tell what they were told.
//!
//! The start that an engine states may not tell its process from the one before, so that what is known
//! may concern a process that has ended. It is therefore tried again from time to time, and taken back
//! by an answer that does not repeat it.

use {
    crate::{
        id::{Engine, Started},
        mirror::Position,
    },
    std::time::{Duration, Instant},
};

/// Time after which an engine that said that it leaves gets a request again, to learn whether it still
/// says so.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(10);

/// Time by which news of other hosts must be later than what is known to count. News age by less than
/// the time that they are under way, so that hosts could otherwise keep what each other believes.
const NEWS_MARGIN: Duration = Duration::from_secs(5);

/// What an entry host tells others: an engine process says that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// Id of the engine.
    pub engine: Engine,
    /// Start of its process.
    pub started: Started,
    /// Position of the newest record about the process that was known to the host which the process
    /// told. A process listed later is another one.
    pub position: Position,
    /// Time at which the process last said so.
    pub said_at: Instant,
}

/// What an answer changes in whether the engine is known to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It leaves.
    Began,
    /// It does not leave, contrary to what was known.
    Ended,
}

/// Leaving of one engine, as it and others say.
#[derive(Debug, Clone, Copy, Default)]
pub struct Leaving {
    /// Time at which the engine last said that it leaves, and the position of its record known then.
    said: Option<(Instant, Position)>,
    /// Time from which the list lets this host infer it. That is told to no other host, which may use
    /// the next process already.
    inferred_at: Option<Instant>,
    /// Time of the last request whose answer did not say so.
    denied_at: Option<Instant>,
    /// Time of the last request that was sent although the engine leaves.
    tried_at: Option<Instant>,
    /// The reports of the engine's agent say so, so that one that does not takes it back.
    is_reported: bool,
}

impl Leaving {
    /// Applies an answer to a request that was sent at `sent_at`; `position` is that of the engine's
    /// record.
    pub fn apply_answer(
        &mut self,
        leaving: bool,
        position: Position,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if leaving {
            return self.set(now, position).then_some(Change::Began);
        }
        let was_known = self.known_at().is_some();
        self.denied_at = self.denied_at.max(Some(sent_at));
        (was_known && self.known_at().is_none()).then_some(Change::Ended)
    }

    /// Applies a report of the engine's agent that was sent at `sent_at`; `position` is that of the
    /// engine's record.
    pub fn apply_report(&mut self, leaving: bool, position: Position, sent_at: Instant) {
        if leaving {
            self.is_reported = true;
            self.set(sent_at, position);
        } else if self.is_reported {
            self.denied_at = self.denied_at.max(Some(sent_at));
        }
    }

    /// Applies what another host tells: the engine said at `said_at`, listed at `position`, that it
    /// leaves. Returns true if that is news.
    pub fn hear(&mut self, said_at: Instant, position: Position) -> bool {
        let is_known = self
            .said()
            .is_some_and(|(at, _)| said_at < at + NEWS_MARGIN);
        !is_known && self.set(said_at, position)
    }

    /// Applies that the engine may be leaving, as far as its records in the list tell, since `at`.
    pub fn infer(&mut self, at: Instant) {
        self.inferred_at = self.inferred_at.max(Some(at));
    }

    fn set(&mut self, said_at: Instant, position: Position) -> bool {
        let was_known = self.known_at().is_some();
        self.said = self.said.max(Some((said_at, position)));
        !was_known && self.known_at().is_some()
    }

    /// Time at which the engine last said that it leaves, and the position of its record known then;
    /// `None` once an answer does not say so.
    pub fn said(&self) -> Option<(Instant, Position)> {
        self.said.filter(|(at, _)| !self.is_denied(*at))
    }

    /// The same time, or the one from which this host infers it.
    pub fn known_at(&self) -> Option<Instant> {
        let said_at = self.said.map(|(at, _)| at);
        let known_at = said_at.max(self.inferred_at);
        known_at.filter(|at| !self.is_denied(*at))
    }

    /// Whether the answer to a request after `at` did not say that the engine leaves. An answer to an
    /// earlier one may be older than its decision.
    fn is_denied(&self, at: Instant) -> bool {
        self.denied_at >= Some(at)
    }

    /// Whether a request may be sent to learn whether the engine still says that it leaves.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        let last = self.known_at().max(self.tried_at);
        last.is_some_and(|at| now.saturating_duration_since(at) >= TRIAL_INTERVAL)
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now: Instant) {
        if self.known_at().is_some() {
            self.tried_at = Some(now);
        }
    }
}
