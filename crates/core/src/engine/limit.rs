//! Limit that an engine names in its answers: the number of requests per second that it takes from all
//! hosts together.

use std::time::{Duration, Instant};

/// Age by which a report must be newer than an answer to take back what that answer named. The agent
/// read the engine's state some time before it sent the report.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Limit of one engine.
#[derive(Debug, Clone, Default)]
pub struct Limit {
    /// Requests per second from all hosts, and the time at which the engine named this limit.
    named: Option<(f64, Instant)>,
    /// The reports of the engine's agent state the limit, so that one without it ends the limit.
    is_reported: bool,
}

impl Limit {
    /// Requests per second that the engine takes from all hosts, if it has named a limit.
    pub fn rate(&self) -> Option<f64> {
        self.named.map(|(rate, _)| rate)
    }

    /// Applies what the answer to a request sent at `sent_at` names; returns whether the limit has
    /// changed.
    pub fn apply_answer(&mut self, rate: Option<f64>, sent_at: Instant, now: Instant) -> bool {
        match rate {
            Some(rate) => self.set(rate, now),
            // An answer to an earlier request may be older than the limit.
            None if self.named.is_some_and(|(_, at)| sent_at > at) => self.end(),
            None => false,
        }
    }

    /// Applies what a report of the agent sent at `sent_at` names; returns whether the limit has
    /// changed.
    pub fn apply_report(&mut self, rate: Option<f64>, sent_at: Instant) -> bool {
        match (rate, self.named) {
            (Some(rate), named) => {
                self.is_reported = true;
                named.is_none_or(|(_, at)| sent_at > at) && self.set(rate, sent_at)
            }
            (None, Some((_, at))) if self.is_reported && sent_at > at + REPORT_LAG => self.end(),
            _ => false,
        }
    }

    fn set(&mut self, rate: f64, now: Instant) -> bool {
        let previous = self.named.replace((rate, now));
        previous.is_none_or(|(previous, _)| previous != rate)
    }

    fn end(&mut self) -> bool {
        self.named.take().is_some()
    }
}
