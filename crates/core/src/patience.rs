//! Decides how long a request waits for a free engine.

use std::time::Duration;

/// A first attempt waits for the route's latency target divided by this; after that, an early refusal
/// serves the caller better.
const WAIT_DIVISOR: u32 = 8;
/// Time for which a further attempt waits.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Retry delay suggested to a caller that retries while the service is saturated; its request gives
/// way to the first tries of other callers.
const SATURATED_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// A request that needs an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether it was sent to an engine before.
    pub was_sent: bool,
    /// Whether it is a caller's retry of a request that was refused before.
    pub is_caller_retry: bool,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Latency target of its route.
    pub latency_target: Duration,
    /// Time since it arrived.
    pub age: Duration,
}

/// What a request does while all engines are busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// It is refused at once; the caller may retry after this time.
    Refuse(Duration),
    /// It waits for at most this time.
    AtMost(Duration),
}

impl Request {
    /// How long the request waits, given whether the service is saturated. Only a request that no
    /// engine has had gives way to others: the caller of any other one may have part of its answer.
    pub fn wait(&self, is_saturated: bool) -> Wait {
        if self.was_sent {
            return Wait::AtMost(RETRY_WAIT);
        }
        if !self.is_caller_retry {
            let limit = self.latency_target / WAIT_DIVISOR;
            return Wait::AtMost(limit.saturating_sub(self.age));
        }
        if self.is_stream && is_saturated {
            return Wait::Refuse(SATURATED_RETRY_AFTER);
        }
        Wait::AtMost(Duration::ZERO)
    }
}
