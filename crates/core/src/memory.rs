//! Budget of a process for what callers make it hold: request bodies and connections.
//!
//! Answers have a budget of their own in `backlog`. A body counts with the memory reserved for it, which
//! grows with what has arrived; an announced length reserves nothing. Where no room is left, bodies
//! that hardly progress are closed, and otherwise the request that asks for more is refused. Small
//! bodies have a reserve that large ones can't use.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Memory of a process that holds nothing for callers, bytes: code, tables and the runtime. An idle entry
/// host takes 12 MB; the rest is for tables of large fleets.
const PROCESS_BYTES: u64 = 20_000_000;
/// Shares of the remaining memory, percent: bodies, small bodies when those are used up, and
/// connections. Answers take 30 % of all memory, and the rest is for what the allocator can't reuse.
const BODY_PERCENT: u64 = 25;
const SMALL_BODY_PERCENT: u64 = 8;
const CONNECTION_PERCENT: u64 = 25;
/// Least part of the memory that these shares are taken of.
const MIN_USABLE_DIVISOR: u64 = 4;
/// Largest body that may use the reserve for small ones, bytes.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Memory that a connection takes: its buffers with a part of a head, and its task. 700 connections
/// with heads of 12 KiB took 38 kB each.
const CONNECTION_BYTES: u64 = 40_000;
/// Descriptors of a process that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Share of the other descriptors that callers may take, percent; the rest is for engines, the store,
/// other processes and health checks.
const CALLER_PERCENT: u64 = 60;
/// Descriptors of a process whose settings state none.
const DEFAULT_MAX_FILES: u64 = 4_096;
/// Least number of connections, whatever the settings state.
const MIN_CONNECTIONS: usize = 16;
/// Rate below which a body may be closed for others, bytes per second. The largest body of 4 MiB would
/// take two minutes, far beyond any time limit for bodies.
const SLOW_RATE: f64 = 32_768.0;
/// Time for which a body is read before it may be closed for others: its first bytes may be on the way.
const MIN_READ_TIME: Duration = Duration::from_millis(300);
/// Period over which arrivals are counted; the counts of two periods give the rate.
const RATE_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a refused caller may try again: bodies that hardly progress are closed by then.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Interval between two log lines of the same kind.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// What callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Memory for bodies, bytes.
    pub bodies: u64,
    /// Memory for bodies of at most [`SMALL_BODY_BYTES`] beyond that, bytes.
    pub small_bodies: u64,
    /// Number of connections.
    pub connections: usize,
}

impl Limits {
    /// Limits of a process with this much memory, bytes, and this many descriptors.
    pub fn new(memory_bytes: u64, max_files: Option<u64>) -> Self {
        let usable = memory_bytes
            .saturating_sub(PROCESS_BYTES)
            .max(memory_bytes / MIN_USABLE_DIVISOR);
        let share = |percent: u64| (usable / 100).saturating_mul(percent);
        let files = max_files.unwrap_or(DEFAULT_MAX_FILES);
        let sockets = files.saturating_sub(FILE_DESCRIPTORS).max(files / 2);
        let by_files = sockets.saturating_mul(CALLER_PERCENT) / 100;
        let by_memory = share(CONNECTION_PERCENT) / CONNECTION_BYTES;
        Self {
            bodies: share(BODY_PERCENT),
            small_bodies: share(SMALL_BODY_PERCENT),
            connections: usize::try_from(by_files.min(by_memory))
                .unwrap_or(usize::MAX)
                .max(MIN_CONNECTIONS),
        }
    }
}

/// Refusal of a body for lack of room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// Which limit a body counts towards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pool {
    General,
    Small,
}

#[derive(Debug, Clone)]
struct Body {
    pool: Pool,
    reserved: u64,
    received: u64,
    is_complete: bool,
    started: Instant,
    /// Bytes that arrived in the current period and in the one before.
    recent: [u64; 2],
    period_start: Instant,
}

impl Body {
    fn turn(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < RATE_PERIOD {
            return;
        }
        let previous = if elapsed < 2 * RATE_PERIOD {
            self.recent[0]
        } else {
            0
        };
        self.recent = [0, previous];
        self.period_start = now;
    }

    /// Bytes per second that arrived lately.
    fn rate(&mut self, now: Instant) -> f64 {
        self.turn(now);
        let elapsed = RATE_PERIOD + now.saturating_duration_since(self.period_start);
        (self.recent[0] + self.recent[1]) as f64 / elapsed.as_secs_f64()
    }
}

/// Memory that the bodies of requests hold.
#[derive(Debug, Clone)]
pub struct Budget {
    limits: Limits,
    bodies: BTreeMap<u64, Body>,
    next_id: u64,
    general: u64,
    small: u64,
    closed: Vec<u64>,
}

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            bodies: BTreeMap::new(),
            next_id: 0,
            general: 0,
            small: 0,
            closed: Vec::new(),
        }
    }

    /// Memory reserved for bodies, bytes.
    pub fn reserved(&self) -> u64 {
        self.general + self.small
    }

    /// Number of bodies that are read or held.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Begins to read a body, with its length if that is announced. Nothing is reserved yet, but there
    /// must be room for it now.
    ///
    /// # Errors
    ///
    /// There is no room for the body.
    pub fn begin(&mut self, announced: Option<u64>, now: Instant) -> Result<u64, NoRoom> {
        self.find_pool(announced.unwrap_or(1), 0, None, now)?;
        let id = self.next_id;
        self.next_id += 1;
        let body = Body {
            pool: Pool::General,
            reserved: 0,
            received: 0,
            is_complete: false,
            started: now,
            recent: [0; 2],
            period_start: now,
        };
        self.bodies.insert(id, body);
        Ok(id)
    }

    /// Raises what is reserved for a body to `bytes`; does nothing for a body that was closed.
    ///
    /// # Errors
    ///
    /// There is no room for more of the body.
    pub fn reserve(&mut self, id: u64, bytes: u64, now: Instant) -> Result<(), NoRoom> {
        let Some(body) = self.bodies.get(&id) else {
            return Ok(());
        };
        let (pool, reserved) = (body.pool, body.reserved);
        if bytes <= reserved {
            return Ok(());
        }
        let pool_after = self.find_pool(bytes, reserved, Some((id, pool)), now)?;
        *self.used(pool) -= reserved;
        *self.used(pool_after) += bytes;
        if let Some(body) = self.bodies.get_mut(&id) {
            body.pool = pool_after;
            body.reserved = bytes;
        }
        Ok(())
    }

    /// Records that bytes of a body have arrived.
    pub fn receive(&mut self, id: u64, bytes: u64, now: Instant) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.turn(now);
            body.received += bytes;
            body.recent[0] += bytes;
        }
    }

    /// Records that a body is complete and takes `bytes`. It is held until it is released.
    pub fn complete(&mut self, id: u64, bytes: u64) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.is_complete = true;
        let unused = body.reserved.saturating_sub(bytes);
        body.reserved -= unused;
        let pool = body.pool;
        *self.used(pool) -= unused;
    }

    /// Gives back what is reserved for a body; nothing if it was closed.
    pub fn release(&mut self, id: u64) {
        if let Some(body) = self.bodies.remove(&id) {
            *self.used(body.pool) -= body.reserved;
        }
    }

    /// Bodies that were closed for others since the last call. Their memory must be freed at once: it
    /// counts as free.
    pub fn take_closed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.closed)
    }

    fn used(&mut self, pool: Pool) -> &mut u64 {
        match pool {
            Pool::General => &mut self.general,
            Pool::Small => &mut self.small,
        }
    }

    /// Finds a pool with room for `bytes` of a body, of which `reserved` are in the pool of `own`; makes
    /// room if there is none.
    fn find_pool(
        &mut self,
        bytes: u64,
        reserved: u64,
        own: Option<(u64, Pool)>,
        now: Instant,
    ) -> Result<Pool, NoRoom> {
        let is_small = bytes <= SMALL_BODY_BYTES;
        let pools = [Some(Pool::General), is_small.then_some(Pool::Small)];
        let pools = pools.into_iter().flatten();
        let fits = |budget: &mut Self| {
            pools.clone().find(|pool| {
                let is_own = own.is_some_and(|(_, current)| current == *pool);
                let others = *budget.used(*pool) - if is_own { reserved } else { 0 };
                let limit = match pool {
                    Pool::General => budget.limits.bodies,
                    Pool::Small => budget.limits.small_bodies,
                };
                // A body that nothing presses is read whatever its size.
                (others == 0 && budget.reserved() == reserved) || others + bytes <= limit
            })
        };
        loop {
            if let Some(pool) = fits(self) {
                return Ok(pool);
            }
            let slowest = self.slowest(own.map(|(id, _)| id), is_small, now);
            let id = slowest.ok_or(NoRoom)?;
            self.release(id);
            self.closed.push(id);
        }
    }

    /// The body to close first: the slowest, and of those the least complete one. None if all progress,
    /// are complete, or hold nothing that would help.
    fn slowest(&mut self, own: Option<u64>, is_small: bool, now: Instant) -> Option<u64> {
        let candidates = self.bodies.iter_mut().filter(|(id, body)| {
            let read_for = now.saturating_duration_since(body.started);
            Some(**id) != own
                && !body.is_complete
                && body.reserved > 0
                && (is_small || body.pool == Pool::General)
                && read_for >= MIN_READ_TIME
        });
        let rated = candidates.map(|(id, body)| (body.rate(now), body.received, *id));
        let slow = rated.filter(|(rate, ..)| *rate < SLOW_RATE);
        let slowest = slow.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        slowest.map(|(.., id)| id)
    }
}

/// How readily a connection is closed for others; lower ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has nothing in hand, or a part of a head or a body, and has made no progress since then.
    Waiting(Instant),
    /// Its caller has taken no byte of an answer since then.
    Unread(Instant),
}

/// Connections to close so that `count` new ones find room: the oldest progress first.
pub fn first_to_close(
    connections: impl IntoIterator<Item = (u64, Standing)>,
    count: usize,
) -> Vec<u64> {
    let mut connections: Vec<_> = connections.into_iter().collect();
    connections.sort_unstable_by_key(|(id, standing)| (*standing, *id));
    connections
        .into_iter()
        .take(count)
        .map(|(id, _)| id)
        .collect()
}

/// Bounds log lines of one kind: one in each interval, with the count since the last one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Notice {
    last: Option<Instant>,
    count: u64,
}

impl Notice {
    /// Counts cases; returns the number to log if a line is due.
    pub fn record(&mut self, count: u64, now: Instant) -> Option<u64> {
        self.count += count;
        let is_due = self
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= NOTICE_INTERVAL);
        if !is_due || self.count == 0 {
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}
