//! Whether an engine's answers can be relied on, judged from the answers alone.
//!
//! An engine can fail part of its requests, or those of some senders, while its health check is
//! good. One whose requests fail is left out for a while and then tried with single requests.

use std::time::{Duration, Instant};

/// Weight of the newest result in the failure share.
const NEWEST: f64 = 0.2;
/// Failure share from which an engine is left out.
const BAD: f64 = 0.3;
/// Failures in a row from which an engine is left out.
const STREAK: u32 = 2;
/// Shortest time for which an engine is left out.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest time for which an engine is left out.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Result of sending a request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered in the protocol, be it with an error of its own.
    Success,
    /// It refused truthfully; says nothing about its soundness.
    Rejected,
    /// The connection failed, the answer was unusable, or none came.
    Failure,
}

/// Opinion on one engine.
#[derive(Debug, Clone)]
pub struct Detector {
    share: f64,
    streak: u32,
    pause: Duration,
    until: Option<Instant>,
    /// A single request is out to try it again.
    trying: Option<Instant>,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            share: 0.0,
            streak: 0,
            pause: PAUSE_MIN,
            until: None,
            trying: None,
        }
    }
}

impl Detector {
    /// Takes in a result; true when the engine is left out from now on.
    pub fn record_outcome(&mut self, verdict: Outcome, now: Instant) -> bool {
        match verdict {
            Outcome::Rejected => {
                self.trying = None;
                false
            }
            Outcome::Success => {
                self.share *= 1.0 - NEWEST;
                self.streak = 0;
                if self.trying.take().is_some() {
                    self.until = None;
                    self.share = self.share.min(BAD / 2.0);
                    self.pause = PAUSE_MIN;
                }
                false
            }
            Outcome::Failure => self.fail(now),
        }
    }

    fn fail(&mut self, now: Instant) -> bool {
        self.share = self.share * (1.0 - NEWEST) + NEWEST;
        self.streak += 1;
        let tried = self.trying.take().is_some();
        if tried {
            self.pause = (self.pause * 2).min(PAUSE_MAX);
        }
        if tried || self.streak >= STREAK || self.share >= BAD {
            let fresh = self.until.is_none();
            self.until = Some(now + self.pause);
            return fresh;
        }
        false
    }

    /// Whether a request may be sent: it is relied on, or it is time to try it with one.
    pub fn usable(&self, now: Instant) -> bool {
        let Some(until) = self.until else {
            return true;
        };
        let idle = self.trying.is_none_or(|since| now >= since + PAUSE_MAX);
        now >= until && idle
    }

    /// Notes that a request is sent; the first one after a pause is a try.
    pub fn record_send(&mut self, now: Instant) {
        if self.until.is_some() {
            self.trying = Some(now);
        }
    }

    /// Whether nothing is held against it.
    pub fn is_healthy(&self) -> bool {
        self.until.is_none()
    }

    /// Share of failures lately, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.share
    }
}
