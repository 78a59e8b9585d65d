//! Decides when a request is sent to another engine beside one that is silent.
//!
//! A sound engine may be silent for a second and go on, and a silent engine cannot be told from one
//! that has ended. Its attempt is therefore kept until another engine has answered, and it keeps the
//! request if no other engine can have it.

use std::time::Duration;

/// Silence after which an engine counts as stalled, as a multiple of the intended wait.
const STALL_FACTOR: f64 = 1.5;
/// The same multiple for an engine that its agent reports as responsive: it is busy rather than
/// gone.
const RESPONSIVE_STALL_FACTOR: f64 = 4.0;
/// Silence of a plain request after which its engine counts as stalled, as a multiple of the latency
/// target.
const PLAIN_STALL_FACTOR: f64 = 2.0;
/// Shortest such silence; with less, the delay of one lost packet would exceed it.
const MIN_PLAIN_STALL: Duration = Duration::from_millis(150);

/// Silence that is longer than that of a sound engine.
const LONG_SILENCE: Duration = Duration::from_millis(1_500);

/// What an engine is expected to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// A whole plain answer, intended to arrive within this time.
    Answer(Duration),
    /// An event of a stream, intended to arrive within this time.
    Event(Duration),
}

/// Silence of an engine to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// What is awaited.
    pub awaited: Awaited,
    /// Time since the request was sent, or since the last event.
    pub lasted: Duration,
    /// Whether the engine's agent has recently reported that it responds.
    pub is_responsive: bool,
}

impl Awaited {
    /// Silence from which an engine counts as stalled.
    pub fn stall_limit(self, is_responsive: bool) -> Duration {
        match self {
            Awaited::Answer(target) => scale(target, PLAIN_STALL_FACTOR).max(MIN_PLAIN_STALL),
            Awaited::Event(target) if is_responsive => scale(target, RESPONSIVE_STALL_FACTOR),
            Awaited::Event(target) => scale(target, STALL_FACTOR),
        }
    }
}

impl Silence {
    /// Whether the engine counts as stalled.
    pub fn is_stall(&self) -> bool {
        self.lasted >= self.awaited.stall_limit(self.is_responsive)
    }

    /// Whether the engine is so long silent that it has probably ended. The request then competes for
    /// retries with those that have lost their engine.
    pub fn is_long(&self) -> bool {
        self.lasted >= LONG_SILENCE
    }
}

fn scale(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
