//! Sliding windows over events, and the limits that several entry hosts share without talking.
//!
//! Each entry host takes the share of a limit that is its own if all hosts that may live use
//! theirs, so that the sum stays inside the limit when their views differ.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Events counted over the time just past.
#[derive(Debug, Clone)]
pub struct Window {
    length: Duration,
    events: VecDeque<Instant>,
}

impl Window {
    /// Creates an empty window of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            events: VecDeque::new(),
        }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Events inside the window that ends now.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.events.len()
    }

    fn expire(&mut self, now: Instant) {
        while self
            .events
            .pop_front_if(|at| now.saturating_duration_since(*at) >= self.length)
            .is_some()
        {}
    }
}

/// Budget of repeats over a sliding window, one for each service.
///
/// Repeats are bounded by a share of the requests seen in the same window plus an allowance, of
/// which this host takes its part.
#[derive(Debug, Clone)]
pub struct Budget {
    requests: Window,
    repeats: Window,
    ratio: f64,
    allowance: f64,
}

/// Part of the permitted ratio that is used; the rest covers requests counted at other moments.
const RATIO_USED: f64 = 0.7;
/// Part of the permitted allowance that is used, for the same reason.
const ALLOWANCE_USED: f64 = 0.6;

impl Budget {
    /// Creates a budget for a window of `length`.
    pub fn new(length: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            requests: Window::new(length),
            repeats: Window::new(length),
            ratio: ratio * RATIO_USED,
            allowance: allowance * ALLOWANCE_USED,
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// Takes one repeat, if the budget has any; `hosts` share the allowance.
    pub fn try_take(&mut self, hosts: usize, now: Instant) -> bool {
        let requests = self.requests.count(now) as f64;
        let share = self.allowance / hosts.max(1) as f64;
        let limit = requests * self.ratio + share;
        if self.repeats.count(now) as f64 + 1.0 > limit {
            return false;
        }
        self.repeats.record(now);
        true
    }
}
