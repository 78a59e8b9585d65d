//! An engine as one entry host sees it: what the platform lists, what its agent reports, and what
//! this host has in flight there.

use {
    crate::{
        catalog::Speed,
        id::{DataCentre, Engine as Id, Region, Service},
        outlier::Detector,
        window::Window,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Age from which a report says nothing about the present load.
const REPORT_STALE: Duration = Duration::from_millis(1_500);
/// Age up to which the credit that a report gives may be spent.
const CREDIT_FRESH: Duration = Duration::from_millis(300);
/// Free places of an engine that entry hosts of other regions leave to those of its own: both groups
/// share the same places out.
const FAR_RESERVE: u32 = 3;
/// Time for which a request may run on behind the planned order of a load.
const OVERTIME: Duration = Duration::from_millis(250);
/// Odd number that spreads successive rounds over all places; from Fibonacci hashing.
const ROTATION: u64 = 0x9E37_79B9_7F4A_7C15;
/// Time that an engine may read prompts in one pass. What runs there gets no event meanwhile, and
/// who comes in the middle waits for the end of the pass.
const READING_MAX: Duration = Duration::from_millis(130);
/// Requests of the intake that hosts of other regions leave to those of the engine's own.
const FAR_INTAKE: u32 = 2;
/// Requests that may wait at an engine for a slot, so that none stays empty between two reports.
const AHEAD: u32 = 2;
/// Window of the bound on requests to a cold engine.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Share of a pass that an arriving request waits on average until the next one begins.
const PASS_UNDER_WAY: f64 = 0.5;
/// Share of an engine's time that goes into reading prompts at full load.
const READING_SHARE: f64 = 0.4;

/// A model version that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Name of the model.
    pub model: Box<str>,
    /// Number of its version.
    pub version: u64,
    /// Whether the engine holds all layers.
    pub complete: bool,
}

/// What the platform lists of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of this life.
    pub id: Id,
    /// Service that it runs.
    pub service: Service,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is leaving and gets no new work.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_remaining: Duration,
    /// Start of its life, Unix milliseconds, where it says so.
    pub started_ms: Option<u64>,
    /// The version that it holds.
    pub loaded: Option<Weights>,
}

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests that have not begun.
    pub waiting: u32,
    /// Slowness against the published speed; 1 is the usual pace.
    pub slowdown: f64,
}

/// This host's place among the entry hosts that got the same report. It goes round from report to
/// report, so that all hosts know without talking whose turn a free slot is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rotation {
    /// Place, from 0.
    pub position: u32,
    /// Entry hosts.
    pub hosts: u32,
    /// Places that they leave to others.
    reserve: u32,
}

impl Rotation {
    /// Place of the host at `index` in that round of reports, among hosts of the engine's region.
    pub fn new(index: usize, of: usize, round: u64) -> Self {
        let of = of.max(1) as u64;
        // Hosts that get every third report must come to all places too.
        let turned = round.wrapping_mul(ROTATION) >> 32;
        Self {
            position: ((index as u64 + turned) % of) as u32,
            hosts: of as u32,
            reserve: 0,
        }
    }

    /// The same among hosts of other regions, which get what those of the engine's own leave.
    pub fn remote(index: usize, of: usize, round: u64) -> Self {
        Self {
            reserve: FAR_RESERVE,
            ..Self::new(index, of, round)
        }
    }

    /// This host's part of the free places, of which an engine takes so many at once.
    fn share(self, free: u32, intake: u32) -> u32 {
        let count = if self.reserve == 0 {
            free.min(intake)
        } else {
            let intake = intake.saturating_sub(FAR_INTAKE);
            free.saturating_sub(self.reserve).min(intake)
        };
        count / self.hosts + u32::from(self.position < count % self.hosts)
    }
}

/// What an agent says of the engine beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Whose turn it is.
    pub rotation: Rotation,
    /// Whether the engine answers.
    pub responsive: bool,
    /// Load.
    pub load: Load,
    /// Version that it serves whole, if any.
    pub version: Option<u64>,
    /// It takes no new work for now.
    pub closed: bool,
    /// Time at which its agent plans to order a load.
    pub closes_at: Option<Instant>,
    /// Requests that the engine can begin in one pass.
    pub max_new: u32,
}

/// Requests whose prompts an engine of this speed reads in one pass without holding up others.
pub fn prefill_batch(speed: &Speed) -> u32 {
    let tokens = READING_MAX.as_secs_f64() * speed.prefill_rate;
    let count = tokens / f64::from(speed.mean_prompt.max(1));
    (count as u32).clamp(1, speed.slots.max(1))
}

/// A load and what this host had in flight when it was seen.
#[derive(Debug, Clone, Copy)]
struct Seen {
    load: Load,
    own: u32,
    at: Instant,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// What the platform lists.
    pub listing: Listing,
    /// Whether answers of this engine can be relied on.
    pub outlier: Detector,
    /// Requests of this host in flight.
    pub in_flight: u32,
    seen: Option<Seen>,
    /// Time and content of the last report of its agent.
    report: Option<(Instant, Report)>,
    /// Requests that this host may still send until the next report.
    credit: u32,
    cold_until: Instant,
    recent: Window,
}

impl Engine {
    /// Creates an engine that has just been listed.
    pub fn new(listing: Listing, now: Instant) -> Self {
        let cold_until = now + listing.cold_remaining;
        Self {
            listing,
            outlier: Detector::default(),
            in_flight: 0,
            seen: None,
            report: None,
            credit: 0,
            cold_until,
            recent: Window::new(COLD_WINDOW),
        }
    }

    /// Takes a changed listing of the same life.
    pub fn update_listing(&mut self, listing: Listing, now: Instant) {
        if !listing.cold_remaining.is_zero() {
            self.cold_until = self.cold_until.max(now + listing.cold_remaining);
        }
        self.listing = listing;
    }

    /// Takes its agent's report.
    pub fn apply_report(&mut self, report: Report, now: Instant) {
        let occupied = report.load.running + report.load.waiting;
        let free = (self.listing.slots + AHEAD).saturating_sub(occupied);
        let intake = report.max_new.saturating_sub(report.load.waiting);
        self.credit = report.rotation.share(free, intake);
        self.see(report.load, now);
        self.report = Some((now, report));
    }

    /// Whether this host may send another request without crowding out the others; `hosts` send
    /// to the engine.
    pub fn has_capacity(&self, hosts: usize, now: Instant) -> bool {
        if self.reported(CREDIT_FRESH, now) {
            return self.credit > 0;
        }
        let share = (self.listing.slots + AHEAD) / hosts.max(1) as u32;
        self.in_flight < share.max(1)
    }

    fn reported(&self, age: Duration, now: Instant) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|(at, _)| now.saturating_duration_since(*at) < age)
    }

    /// Takes the load that an answer of the engine carries, unless its agent's word is fresher.
    pub fn observe_load(&mut self, load: Load, now: Instant) {
        if !self.reported(CREDIT_FRESH, now) {
            self.see(load, now);
        }
    }

    fn see(&mut self, load: Load, now: Instant) {
        self.seen = Some(Seen {
            load,
            own: self.in_flight,
            at: now,
        });
    }

    /// Counts a request that is about to be sent.
    pub fn start_request(&mut self, now: Instant) {
        self.in_flight += 1;
        self.credit = self.credit.saturating_sub(1);
        self.recent.record(now);
    }

    /// Counts a request that has ended.
    pub fn finish_request(&mut self) {
        self.in_flight = self
            .in_flight
            .checked_sub(1)
            .expect("request was counted once");
    }

    /// Whether a report of its agent younger than `age` says that it answers.
    pub fn reported_responsive(&self, age: Duration, now: Instant) -> bool {
        let fresh = |(at, report): &(Instant, Report)| {
            report.responsive && now.saturating_duration_since(*at) < age
        };
        self.report.as_ref().is_some_and(fresh)
    }

    /// Age of the load that decisions are based on.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let seen = self.seen?;
        Some(now.saturating_duration_since(seen.at))
    }

    /// Version that it serves whole, as heard last.
    pub fn version(&self, now: Instant) -> Option<u64> {
        if let Some((at, report)) = &self.report
            && now.saturating_duration_since(*at) < REPORT_STALE
        {
            return report.version;
        }
        let loaded = self.listing.loaded.as_ref()?;
        loaded.complete.then_some(loaded.version)
    }

    /// Whether its agent says that it takes no work.
    pub fn reported_unavailable(&self, now: Instant) -> bool {
        let shut = |(at, report): &(Instant, Report)| {
            let fresh = now.saturating_duration_since(*at) < REPORT_STALE;
            fresh && (report.closed || !report.responsive)
        };
        self.report.as_ref().is_some_and(shut)
    }

    /// Whether a request that begins after `expected` and runs for `duration` would hold up a load
    /// that is planned.
    pub fn delays_planned_load(
        &self,
        expected: Duration,
        duration: Duration,
        now: Instant,
    ) -> bool {
        let closes = self
            .report
            .as_ref()
            .and_then(|(_, report)| report.closes_at);
        closes.is_some_and(|at| now + expected + duration > at + OVERTIME)
    }

    /// Requests running and waiting there now; `hosts` send to it about equally.
    pub fn occupancy(&self, hosts: usize, now: Instant) -> u32 {
        let blind = self.in_flight * hosts.max(1) as u32;
        let Some(seen) = self.seen else {
            return blind;
        };
        if now.saturating_duration_since(seen.at) > REPORT_STALE {
            return blind;
        }
        let reported = seen.load.running + seen.load.waiting;
        (reported + self.in_flight)
            .saturating_sub(seen.own)
            .max(self.in_flight)
    }

    /// Requests that have not begun there now.
    fn pending(&self, now: Instant) -> u32 {
        let Some(seen) = self.seen else {
            return self.in_flight;
        };
        if now.saturating_duration_since(seen.at) > REPORT_STALE {
            return self.in_flight.min(1);
        }
        seen.load.waiting + self.in_flight.saturating_sub(seen.own)
    }

    fn pace(&self) -> f64 {
        self.seen.map_or(1.0, |seen| seen.load.slowdown.max(1.0))
    }

    /// Whether a cold engine bears another request of this host, whose share of the bound is
    /// `rate` a second.
    pub fn within_cold_limit(&mut self, rate: f64, now: Instant) -> bool {
        if rate <= 0.0 || now >= self.cold_until {
            return true;
        }
        self.recent.count(now) as f64 + 1.0 <= rate.max(1.0)
    }

    /// Whether the engine counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Expected time to the first event of a request with `prompt` tokens.
    pub fn time_to_first_event(
        &self,
        speed: &Speed,
        prompt: u32,
        hosts: usize,
        now: Instant,
    ) -> Duration {
        let occupancy = self.occupancy(hosts, now);
        let pending = self.pending(now);
        let writers = occupancy.saturating_sub(pending).min(speed.slots);
        let pass = pass(speed, writers) * self.pace();
        let slots = f64::from(speed.slots.max(1));
        let ahead = f64::from((occupancy + 1).saturating_sub(speed.slots));
        let turnover = lifetime(speed) * self.pace() / slots;
        let unread = f64::from(pending) * f64::from(speed.mean_prompt) + f64::from(prompt);
        let reading = unread / speed.prefill_rate.max(1.0) * self.pace();
        let under_way = if occupancy == 0 { 0.0 } else { PASS_UNDER_WAY };
        Duration::from_secs_f64(under_way * pass + ahead * turnover + reading + pass)
    }
}

/// Time of one pass with so many writing requests, without reading, seconds.
fn pass(speed: &Speed, writers: u32) -> f64 {
    let step = speed.step_time.as_secs_f64()
        + speed.step_time_per_sequence.as_secs_f64() * f64::from(writers);
    step * f64::from(speed.steps_per_pass.max(1))
}

/// Time that a usual request occupies a slot at full load, seconds.
fn lifetime(speed: &Speed) -> f64 {
    decode_time(speed, speed.mean_answer).as_secs_f64()
}

/// Time that an answer of so many tokens takes at full load.
pub fn decode_time(speed: &Speed, answer: u32) -> Duration {
    let passes = (f64::from(answer) / f64::from(speed.steps_per_pass.max(1))).max(1.0);
    Duration::from_secs_f64(passes * pass(speed, speed.slots) / (1.0 - READING_SHARE))
}
