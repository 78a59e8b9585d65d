//! Refusal of a request that is sent to no engine.

use {rand::Rng, std::time::Duration};

/// Shortest delay suggested to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(950);
/// Longest delay suggested to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_900);

/// Why no engine was chosen, with the delay after which the caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No engine may serve the request.
    NoEngine(Duration),
    /// All engines are too busy to answer in time.
    Busy(Duration),
    /// The engines have asked this host to send nothing for this time.
    Resting(Duration),
    /// A part of the prompt crashes engines; it is refused for this time.
    Quarantined(Duration),
}

impl Refusal {
    /// Delay after which the caller should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Refusal::NoEngine(delay)
            | Refusal::Busy(delay)
            | Refusal::Resting(delay)
            | Refusal::Quarantined(delay) => delay,
        }
    }

    /// Short name for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NoEngine(_) => "no_engine",
            Refusal::Busy(_) => "busy",
            Refusal::Resting(_) => "resting",
            Refusal::Quarantined(_) => "quarantined",
        }
    }
}

/// Delay after which a refused caller should retry; random, so that callers refused together do not
/// return together.
pub(super) fn retry_delay(rng: &mut impl Rng) -> Duration {
    rng.random_range(RETRY_AFTER_MIN..RETRY_AFTER_MAX)
}
