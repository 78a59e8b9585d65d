//! Bound on the memory that is held for answers which callers have not taken yet.
//!
//! What is held is never given up for it: a request is refused on arrival if its answer might not fit
//! beside those held and those expected for the requests in progress. An answer is expected to have
//! the mean size of the recent ones of its route: a single large one must not close the route to
//! others, and many of them raise the mean.

use std::{
    collections::BTreeMap,
    mem,
    time::{Duration, Instant},
};

/// Share of the memory of a process that answers may take, percent.
const MEMORY_PERCENT: u64 = 30;
/// Period over which released bytes are counted; the counts of two periods give the rate.
const RATE_PERIOD: Duration = Duration::from_secs(4);
/// Period over which the sizes of answers are collected; those of two periods count.
const SIZE_PERIOD: Duration = Duration::from_secs(30);
/// Bounds of the time for which a refused caller is told to wait.
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Number and total size of answers.
#[derive(Debug, Clone, Copy, Default)]
struct Sizes {
    count: u64,
    bytes: u64,
}

/// Counts the bytes of answers that are held or expected.
#[derive(Debug, Clone)]
pub struct Backlog {
    /// Number of bytes above which requests are refused.
    limit: u64,
    /// Number of bytes held.
    held: u64,
    /// Number of bytes reserved for the answers of requests in progress.
    reserved: u64,
    /// Answers of each route in the current period and in the one before.
    sizes: [BTreeMap<Box<str>, Sizes>; 2],
    /// Beginning of the current period of sizes.
    sizes_start: Instant,
    /// Number of bytes released in the current period and in the one before.
    released: [u64; 2],
    /// Beginning of the current period.
    period_start: Instant,
}

impl Backlog {
    /// Bounds the answers held by a process with this much memory, bytes.
    pub fn new(memory_bytes: u64, now: Instant) -> Self {
        Self {
            limit: (memory_bytes / 100).saturating_mul(MEMORY_PERCENT),
            held: 0,
            reserved: 0,
            sizes: [BTreeMap::new(), BTreeMap::new()],
            sizes_start: now,
            released: [0; 2],
            period_start: now,
        }
    }

    /// Number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Counts an answer as held.
    pub fn hold(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Counts an answer as taken or dropped; it was held.
    pub fn release(&mut self, bytes: u64, now: Instant) {
        assert!(bytes <= self.held, "{bytes} of {} released", self.held);
        self.turn(now);
        self.held -= bytes;
        self.released[0] += bytes;
    }

    /// Number of bytes reserved.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Records the size of an answer of a route.
    pub fn record(&mut self, route: &str, bytes: u64, now: Instant) {
        self.turn_sizes(now);
        let sizes = self.sizes[0].entry(route.into()).or_default();
        sizes.count += 1;
        sizes.bytes = sizes.bytes.saturating_add(bytes);
    }

    /// Size that an answer of a route is expected to have, bytes.
    fn expected(&self, route: &str) -> u64 {
        let sizes = self.sizes.iter().filter_map(|sizes| sizes.get(route));
        let (count, bytes) = sizes.fold((0, 0_u64), |(count, bytes), sizes| {
            (count + sizes.count, bytes.saturating_add(sizes.bytes))
        });
        bytes.checked_div(count).unwrap_or(0)
    }

    /// Reserves memory for the answer of a new request; returns the number of bytes, to be given back
    /// with `cancel` when the answer is held or will not come. Any request is let in while nothing is
    /// held or reserved.
    ///
    /// # Errors
    ///
    /// The time after which the answer will fit if answers are taken at the rate of the last seconds.
    pub fn reserve(&mut self, route: &str, now: Instant) -> Result<u64, Duration> {
        self.turn_sizes(now);
        let expected = self.expected(route);
        let used = self.held + self.reserved;
        if used < self.limit && (used == 0 || used + expected <= self.limit) {
            self.reserved += expected;
            return Ok(expected);
        }
        self.turn(now);
        let excess = (used + expected).saturating_sub(self.limit);
        let elapsed = RATE_PERIOD + now.saturating_duration_since(self.period_start);
        let rate = (self.released[0] + self.released[1]) as f64 / elapsed.as_secs_f64();
        let wait = Duration::try_from_secs_f64(excess as f64 / rate).unwrap_or(MAX_WAIT);
        Err(wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Gives back what `reserve` returned.
    pub fn cancel(&mut self, bytes: u64) {
        assert!(
            bytes <= self.reserved,
            "{bytes} of {} given back",
            self.reserved
        );
        self.reserved -= bytes;
    }

    /// Begins a new period of sizes if the current one is over.
    fn turn_sizes(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.sizes_start);
        if elapsed < SIZE_PERIOD {
            return;
        }
        let previous = mem::take(&mut self.sizes[0]);
        self.sizes[1] = if elapsed < 2 * SIZE_PERIOD {
            previous
        } else {
            BTreeMap::new()
        };
        self.sizes_start = now;
    }

    /// Begins a new period if the current one is over.
    fn turn(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < RATE_PERIOD {
            return;
        }
        let previous = self.released[0];
        self.released = [
            0,
            if elapsed < 2 * RATE_PERIOD {
                previous
            } else {
                0
            },
        ];
        self.period_start = now;
    }
}
