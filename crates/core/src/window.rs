//! Sliding windows of events, and a retry budget that entry hosts share without coordination.
//!
//! Each host spends its share of the budget, computed for all hosts that may be alive, so that the
//! sum stays within the limit even if hosts see different members.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of events in a sliding window of time.
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

    /// Number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.events.len()
    }

    /// Time until fewer than `limit` events are in the window; zero if that is so at `now`. `limit`
    /// is at least 1.
    pub fn time_to_room(&mut self, limit: usize, now: Instant) -> Duration {
        self.expire(now);
        let Some(index) = self.events.len().checked_sub(limit) else {
            return Duration::ZERO;
        };
        let leaves_at = self.events.get(index).map(|at| *at + self.length);
        leaves_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    fn expire(&mut self, now: Instant) {
        while self
            .events
            .pop_front_if(|at| now.saturating_duration_since(*at) >= self.length)
            .is_some()
        {}
    }
}

/// Retry budget of a service over a sliding window.
///
/// Retries are limited to a share of the requests in the same window, plus this host's part of an
/// allowance.
#[derive(Debug, Clone)]
pub struct Budget {
    requests: Window,
    retries: Window,
    ratio: f64,
    allowance: f64,
}

/// Share of the permitted ratio that is used. The rest is a margin for limits enforced elsewhere,
/// where the same requests are counted at other times.
const RATIO_USED: f64 = 0.7;
/// Share of the permitted allowance that is used, for the same reason.
const ALLOWANCE_USED: f64 = 0.6;
/// Share of the budget that requests may use while their engine may still answer.
const SPARE_SHARE: f64 = 0.5;

impl Budget {
    /// Creates a budget for a window of `length`: `ratio` retries per request and `allowance` more
    /// for all hosts together.
    pub fn new(length: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            requests: Window::new(length),
            retries: Window::new(length),
            ratio: ratio * RATIO_USED,
            allowance: allowance * ALLOWANCE_USED,
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// Takes one retry; returns false if the budget is spent. The allowance is divided among
    /// `hosts`.
    pub fn try_take(&mut self, hosts: usize, now: Instant) -> bool {
        let is_left = self.used_after_one(now) <= self.limit(hosts, now);
        if is_left {
            self.retries.record(now);
        }
        is_left
    }

    /// Whether a retry is left that a request may take while its engine may still answer. The rest is
    /// kept for requests that have lost their engine.
    pub fn has_spare(&mut self, hosts: usize, now: Instant) -> bool {
        self.used_after_one(now) <= self.limit(hosts, now) * SPARE_SHARE
    }

    fn limit(&mut self, hosts: usize, now: Instant) -> f64 {
        let requests = self.requests.count(now) as f64;
        requests * self.ratio + self.allowance / hosts.max(1) as f64
    }

    fn used_after_one(&mut self, now: Instant) -> f64 {
        self.retries.count(now) as f64 + 1.0
    }
}
