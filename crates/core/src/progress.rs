//! Measured pace at which the pieces of a version reach the fleet, and what counts as a stall.
//!
//! When versions are announced shortly after each other, hosts fetch the newest one first, because
//! the pieces of the older one will soon be useless. If the origin becomes unreachable before it
//! has sent all pieces of the newest version, no host can complete it, and hosts fetch the older
//! version after all to keep the engines in service. What is too long without a new piece follows
//! from the pace so far: an origin that is slow, or that two versions share, is not one that is gone.

use {
    crate::target::Target,
    std::time::{Duration, Instant},
};

/// Shortest time without a new piece that counts as a stall. Hosts report the pieces that they hold
/// within 0.4 s.
const MIN_LIMIT: Duration = Duration::from_millis(700);
/// Longest time without a new piece that does not count as a stall.
const MAX_LIMIT: Duration = Duration::from_millis(6_000);
/// Time for the first piece of a version while nothing has been measured.
const FIRST_LIMIT: Duration = Duration::from_millis(1_200);
/// Usual times between two pieces after which the next one is overdue.
const GAP_FACTOR: u32 = 4;
/// Times that the first piece took after which the next one is overdue. Leaders that share the
/// origin's link get their pieces together, so that the next ones take as long as the first.
const FIRST_FACTOR: f64 = 1.5;
/// Times that the first piece of the previous version took after which that of the next one is
/// overdue. At first both versions share the links.
const NEXT_FIRST_FACTOR: u32 = 3;
/// Weight of the time per piece that was assumed before the first piece, as a fraction of the pieces
/// of the version: two or three pieces that come late are no measurement.
const PRIOR_SHARE: f64 = 0.25;
/// Age of a version from which its pace counts from when it was first observed.
const MAX_AGE: Duration = Duration::from_millis(2_000);

/// What is assumed of a version before its first piece.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prior {
    /// Time that the first piece of the previous version took.
    pub first_delay: Duration,
    /// Time per piece.
    pub piece_time: Duration,
}

/// Pace at which the pieces of one version reach a group of hosts. Times count from any fixed point.
#[derive(Debug, Clone)]
pub struct Pace {
    prior: Prior,
    since: Duration,
    total: usize,
    /// Number of pieces held at the first observation.
    initial: Option<usize>,
    held: usize,
    /// Time at which `held` last grew, or a part of a piece last arrived.
    grown_at: Duration,
    /// Time from `since` to the first new piece.
    first_delay: Option<Duration>,
    /// Usual time between two new pieces. Longer ones count more, since pieces that come together
    /// say nothing of the time until the next ones.
    gap: Duration,
}

impl Pace {
    /// Creates the pace of a version that is expected from `since` on.
    pub fn new(since: Duration, prior: Prior) -> Self {
        Self {
            prior,
            since,
            total: 0,
            initial: None,
            held: 0,
            grown_at: since,
            first_delay: None,
            gap: Duration::ZERO,
        }
    }

    /// Records that `held` of `total` pieces are on at least one host.
    pub fn observe(&mut self, held: usize, total: usize, at: Duration) {
        self.total = total;
        self.initial.get_or_insert(held);
        if held <= self.held {
            return;
        }
        // An outage says nothing of the usual pace, but a pace that slows down must be followed.
        let longest = self.limit() / 2;
        let gap = at.saturating_sub(self.grown_at).min(longest);
        if self.first_delay.is_none() {
            self.first_delay = Some(gap);
        } else if self.gap.is_zero() {
            self.gap = gap;
        } else {
            let (known, new) = (self.gap.as_secs_f64(), gap.as_secs_f64());
            let weight = new / (new + known * f64::from(GAP_FACTOR));
            self.gap = Duration::from_secs_f64(known + (new - known) * weight);
        }
        self.held = held;
        self.grown_at = self.grown_at.max(at);
    }

    /// Records that a part of a piece has arrived.
    pub fn touch(&mut self, at: Duration) {
        self.grown_at = self.grown_at.max(at);
    }

    /// Whether all pieces are held.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.held >= self.total
    }

    /// Number of pieces held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Time of the last new piece, or the start.
    pub fn grown_at(&self) -> Duration {
        self.grown_at
    }

    /// Time without a new piece after which the next one is overdue.
    pub fn limit(&self) -> Duration {
        let Some(first_delay) = self.first_delay else {
            let expected = self.prior.first_delay * NEXT_FIRST_FACTOR;
            return expected.clamp(FIRST_LIMIT, MAX_LIMIT);
        };
        let expected = (self.gap * GAP_FACTOR).max(first_delay.mul_f64(FIRST_FACTOR));
        expected.clamp(MIN_LIMIT, MAX_LIMIT)
    }

    /// Whether the next piece is overdue.
    pub fn is_stalled(&self, at: Duration) -> bool {
        !self.is_complete() && at >= self.grown_at + self.limit()
    }

    /// Time that the origin takes for one piece, as it looks from here.
    pub fn piece_time(&self, at: Duration) -> Duration {
        let grown = self.held - self.initial.unwrap_or(0).min(self.held);
        let end = match self.is_complete() {
            true => self.grown_at,
            false => at,
        };
        let weight = (self.total as f64 * PRIOR_SHARE).max(1.0);
        let assumed = self.prior.piece_time.as_secs_f64() * weight;
        let elapsed = end.saturating_sub(self.since).as_secs_f64();
        Duration::from_secs_f64((assumed + elapsed) / (weight + grown as f64))
    }

    /// What this version says of the next one.
    pub fn prior(&self, at: Duration) -> Prior {
        Prior {
            first_delay: self.first_delay.unwrap_or(self.prior.first_delay),
            piece_time: match self.first_delay {
                Some(_) => self.piece_time(at),
                None => self.prior.piece_time,
            },
        }
    }
}

/// Tracks how many pieces of the newest version are held by at least one host that sends reports.
#[derive(Debug, Default)]
pub struct Tracker {
    latest: Option<Observation>,
}

#[derive(Debug, Clone)]
struct Observation {
    version: u64,
    set_at: Instant,
    pace: Pace,
}

impl Observation {
    fn at(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.set_at)
    }
}

impl Tracker {
    /// Records that `held` of the `count` pieces of the newest version are on at least one host.
    /// Returns whether the version progresses: all pieces are held, or the next one is not overdue.
    pub fn observe(&mut self, newest: Target, held: usize, count: usize, now: Instant) -> bool {
        self.observe_with(newest, held, count, Duration::ZERO, None, now)
    }

    /// Like [`Tracker::observe`], given the time that a link takes for one piece, which is assumed of
    /// the origin before anything is measured, and the time at which this host last received a part of
    /// a piece.
    pub fn observe_with(
        &mut self,
        newest: Target,
        held: usize,
        count: usize,
        link_time: Duration,
        received_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        let known = self.latest.take();
        let mut latest = match known {
            Some(known) if known.version == newest.version => known,
            previous => {
                let prior = previous.map_or_else(Prior::default, |p| p.pace.prior(p.at(now)));
                let prior = Prior {
                    piece_time: prior.piece_time.max(link_time),
                    ..prior
                };
                let age = now.saturating_duration_since(newest.set_at);
                let since = match age > MAX_AGE {
                    true => age,
                    false => Duration::ZERO,
                };
                Observation {
                    version: newest.version,
                    set_at: newest.set_at,
                    pace: Pace::new(since, prior),
                }
            }
        };
        let at = latest.at(now);
        latest.pace.observe(held, count, at);
        if let Some(received_at) = received_at {
            let received_at = latest.at(received_at);
            latest.pace.touch(received_at);
        }
        let progresses = !latest.pace.is_stalled(at);
        self.latest = Some(latest);
        progresses
    }

    /// Time that the origin takes for one piece, as it looks from here.
    pub fn piece_time(&self, now: Instant) -> Duration {
        let latest = self.latest.as_ref();
        latest.map_or(Duration::ZERO, |l| l.pace.piece_time(l.at(now)))
    }

    /// Time without a new piece after which the newest version counts as stalled.
    pub fn limit(&self) -> Duration {
        let latest = self.latest.as_ref();
        latest.map_or(FIRST_LIMIT, |latest| latest.pace.limit())
    }
}
