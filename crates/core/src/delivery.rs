//! Decides whether the peer of a connection is alive while it has not taken all that was sent to it.
//!
//! A slow reader and a dead peer both leave bytes unacknowledged. They differ in what the kernel hears:
//! a slow reader still acknowledges what reaches it, even if that is only a probe of its closed
//! window; a dead peer answers nothing.

use std::time::{Duration, Instant};

/// Interval between the samples of a connection with bytes that its peer has not taken.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a peer may leave everything unanswered.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Number of samples in a row that must find the peer silent: a process that was held up itself has
/// not listened meanwhile.
const MIN_SILENT_SAMPLES: u32 = 4;
/// Time for which a peer that answers may take no byte.
pub const STANDSTILL_LIMIT: Duration = Duration::from_secs(30);

/// What the kernel knows of the bytes that it has taken for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queue {
    /// Number of bytes that the peer has not acknowledged, sent or not.
    pub unacknowledged: u64,
    /// Whether data or a probe was sent that the peer has not acknowledged.
    pub awaits_reply: bool,
    /// Time since the last acknowledgement.
    pub silent_for: Duration,
}

/// State of a connection at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Number of bytes that the kernel has taken for the peer since the connection was opened.
    pub written: u64,
    /// Whether more bytes wait until the kernel takes them.
    pub is_blocked: bool,
    /// State of the kernel's queue; `None` if the kernel does not tell it.
    pub queue: Option<Queue>,
}

/// Why a connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The peer has left everything unanswered for [`SILENCE_LIMIT`].
    Dead,
    /// The peer has taken no byte for [`STANDSTILL_LIMIT`].
    StandsStill,
}

impl End {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            End::Dead => "dead",
            End::StandsStill => "stands_still",
        }
    }
}

/// State of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has taken all, as far as is known. No sample is needed until more is written.
    Idle,
    /// It has not taken all yet; another sample is due after [`SAMPLE_INTERVAL`].
    Waiting,
    /// The connection must be closed.
    Ended(End),
}

/// Watches one connection from the first byte that is written to it until its peer has taken all.
#[derive(Debug, Clone, Copy)]
pub struct Watch {
    /// Number of bytes that the peer had taken at the last sample.
    taken: u64,
    /// Time at which it last took one, or at which it was first offered some.
    taken_at: Instant,
    /// Time since which it has left something unanswered; `None` if nothing was.
    silent_since: Option<Instant>,
    /// Number of samples in a row that found it silent.
    silent_samples: u32,
}

impl Watch {
    /// Begins at the time at which bytes are first offered to an idle peer, which has taken all of
    /// the `written` bytes before.
    pub fn new(written: u64, now: Instant) -> Self {
        Self {
            taken: written,
            taken_at: now,
            silent_since: Some(now),
            silent_samples: 0,
        }
    }

    /// Time at which the peer last took a byte, or was first offered one.
    pub fn taken_at(&self) -> Instant {
        self.taken_at
    }

    /// Judges the peer.
    pub fn observe(&mut self, sample: Sample, now: Instant) -> Verdict {
        let unacknowledged = sample.queue.map_or(0, |queue| queue.unacknowledged);
        if unacknowledged == 0 && !sample.is_blocked {
            return Verdict::Idle;
        }
        let taken = sample.written.saturating_sub(unacknowledged);
        if taken > self.taken {
            self.taken = taken;
            self.taken_at = now;
        }
        if self.is_dead(sample.queue, now) {
            return Verdict::Ended(End::Dead);
        }
        if now.saturating_duration_since(self.taken_at) >= STANDSTILL_LIMIT {
            return Verdict::Ended(End::StandsStill);
        }
        Verdict::Waiting
    }

    fn is_dead(&mut self, queue: Option<Queue>, now: Instant) -> bool {
        let Some(queue) = queue.filter(|queue| queue.awaits_reply) else {
            self.silent_since = None;
            self.silent_samples = 0;
            return false;
        };
        let since = *self.silent_since.get_or_insert(now);
        let silent_for = now.saturating_duration_since(since);
        if queue.silent_for < silent_for {
            // It has answered since.
            self.silent_since = now.checked_sub(queue.silent_for);
            self.silent_samples = 0;
        }
        self.silent_samples += 1;
        self.silent_samples >= MIN_SILENT_SAMPLES
            && silent_for.min(queue.silent_for) >= SILENCE_LIMIT
    }
}
