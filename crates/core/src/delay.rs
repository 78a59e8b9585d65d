//! Age of datagrams from a process whose clock is not synchronised with this one's.
//!
//! The datagram that took the least time shows the difference of the clocks. Later ones are as old
//! as they exceed it. A process that was paused so recognises what waited in its receive buffer.

use std::time::{Duration, Instant};

/// Process that sent a datagram, and the time at which it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Distinguishes the process from others, whose clocks have other origins.
    pub process: u64,
    /// Time since the process started.
    pub uptime: Duration,
}

/// Number of datagrams after which older ones no longer count. The clock of a sender may stand still
/// while its host is suspended, so that all its later datagrams seem delayed.
const WINDOW: u32 = 4;

/// Clock of one sender, as its datagrams show it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delay {
    process: u64,
    /// Earliest start of the process that a datagram of the current window implies.
    current: Option<Instant>,
    /// The same for the window before.
    previous: Option<Instant>,
    /// Number of datagrams in the current window.
    count: u32,
}

impl Delay {
    /// Returns by how much a datagram that arrives now took longer than the fastest recent one.
    pub fn measure(&mut self, sent: Sent, now: Instant) -> Duration {
        let Some(implied_start) = now.checked_sub(sent.uptime) else {
            return Duration::ZERO;
        };
        if sent.process != self.process {
            *self = Self {
                process: sent.process,
                ..Self::default()
            };
        }
        if self.count >= WINDOW {
            self.previous = self.current.take();
            self.count = 0;
        }
        self.count += 1;
        let current = self.current.map_or(implied_start, |c| c.min(implied_start));
        self.current = Some(current);
        let start = self.previous.map_or(current, |p| p.min(current));
        implied_start.saturating_duration_since(start)
    }
}
