//! Number of entry hosts that share limits, as one of them counts it.

use std::time::{Duration, Instant};

/// Time for which the peak number of entry hosts divides the shared limits; a host whose
/// heartbeats are missing may still send requests.
const PEAK_WINDOW: Duration = Duration::from_secs(15);
/// Time after the start in which other hosts may not have been discovered yet.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_500);
/// Time after the start in which a host that agrees with no other one on the members may be cut off
/// from them.
const ISOLATION_PERIOD: Duration = DISCOVERY_PERIOD.saturating_add(PEAK_WINDOW);
/// Minimum number of entry hosts assumed until the others are known, so that hosts that start
/// together do not overload the engines.
const ASSUMED_HOSTS: usize = 9;

/// Recent peak of the number of live entry hosts.
#[derive(Debug, Clone)]
pub struct Census {
    started: Instant,
    /// Whether another member has named the members that this host knew after `DISCOVERY_PERIOD`.
    is_confirmed: bool,
    peak: usize,
    /// Time at which the peak was last seen.
    seen_at: Instant,
}

impl Census {
    /// Creates the census of a host that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            is_confirmed: false,
            peak: 1,
            seen_at: now,
        }
    }

    /// Number of hosts that share limits, if this one and `others` are live. `agrees` says that
    /// another member has named the same members as this host knows now. Hosts that start together
    /// may agree before they know the others.
    pub fn count(&mut self, others: usize, agrees: bool, now: Instant) -> usize {
        let live = others.saturating_add(1);
        let age = now.saturating_duration_since(self.started);
        self.is_confirmed |= agrees && age >= DISCOVERY_PERIOD;
        if live >= self.peak || now.saturating_duration_since(self.seen_at) > PEAK_WINDOW {
            self.peak = live;
            self.seen_at = now;
        }
        let unsure = if self.is_confirmed {
            DISCOVERY_PERIOD
        } else {
            ISOLATION_PERIOD
        };
        if age < unsure {
            self.peak.max(ASSUMED_HOSTS)
        } else {
            self.peak
        }
    }
}
