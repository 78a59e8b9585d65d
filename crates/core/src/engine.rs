//! An engine as one entry host sees it: the platform's listing, the reports of the engine's agent,
//! and the requests that this host has in flight there.

pub mod leaving;
mod limit;
mod rotation;

use {
    crate::{
        audience,
        catalog::Speed,
        clamp,
        delay::{Delay, Sent},
        id::{self, DataCentre, Engine as Id, Region, Service, Started},
        mirror::Position,
        outlier::Detector,
        pace::Pace,
        window::Window,
    },
    leaving::Leaving,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

pub use {limit::Limit, rotation::Rotation};

/// Age from which a report no longer describes the present load.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Longest time for which a report may grant slots.
const MAX_CREDIT_TIME: Duration = Duration::from_millis(1_000);
/// Time by which a request may delay a planned model load.
const LOAD_DELAY_TOLERANCE: Duration = Duration::from_millis(250);
/// Longest time that an engine should prefill in one pass. Running requests get no event meanwhile,
/// and requests that arrive during the pass wait for its end.
const MAX_PREFILL_TIME: Duration = Duration::from_millis(130);
/// Number of requests that may queue at an engine, so that no slot stays empty between two reports.
const QUEUE_LENGTH: u32 = 2;
/// Window in which requests to a cold engine are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Mean time that an arriving request waits for the next pass, as a share of a pass.
const MEAN_PASS_WAIT: f64 = 0.5;
/// Share of an engine's time spent on prefill at full load.
const PREFILL_SHARE: f64 = 0.4;

/// Model weights that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Name of the model.
    pub model: Box<str>,
    /// Number of the model's version.
    pub version: u64,
    /// Whether the engine holds all layers.
    pub complete: bool,
}

/// An engine as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of the instance.
    pub id: Id,
    /// Service that the engine runs.
    pub service: Service,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and gets no new work.
    pub draining: bool,
    /// Time for which it remains cold.
    pub cold_remaining: Duration,
    /// Start of the process.
    pub started_ms: Started,
    /// Position of this record in the list.
    pub position: Position,
    /// Weights that it holds, if any.
    pub loaded: Option<Weights>,
}

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Factor by which the engine is slower than its published speed; 1 at that speed.
    pub slowdown: f64,
}

impl Load {
    /// Number of running and queued requests.
    fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Report of an agent on its engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// This host's position among the recipients of the report.
    pub rotation: Rotation,
    /// This host's fixed place among all recipients.
    pub place: Place,
    /// Process of the agent, and the time on its clock at which it sent the report.
    pub sent: Sent,
    /// Time from sending for which the host may use the slots that the report grants.
    pub valid: Duration,
    /// Whether the engine answers its agent.
    pub responsive: bool,
    /// Load of the engine.
    pub load: Load,
    /// Version that the engine holds completely, if any.
    pub version: Option<u64>,
    /// Whether the engine takes no new work for now.
    pub closed: bool,
    /// Time at which the agent plans to order the next model load.
    pub closes_at: Option<Instant>,
    /// Number of requests that the engine can start in one pass.
    pub max_new: u32,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Requests per second that the engine takes from all hosts, if it names a limit.
    pub limit: Option<f64>,
}

/// Place of a host among those that may send to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Position, from 0.
    pub index: usize,
    /// Number of hosts, at least 1.
    pub hosts: usize,
}

/// Number of requests with mean prompts that an engine of this speed can prefill in one pass
/// without stalling the running requests; at least 1.
pub fn prefill_batch(speed: &Speed) -> u32 {
    let tokens = MAX_PREFILL_TIME.as_secs_f64() * speed.prefill_rate;
    let count = tokens / f64::from(speed.mean_prompt.max(1));
    (count as u32).clamp(1, speed.slots.max(1))
}

/// A load, and the requests that this host had in flight when it learned of it.
#[derive(Debug, Clone, Copy)]
struct Observation {
    load: Load,
    in_flight: u32,
    at: Instant,
}

/// State of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Latest listing by the platform.
    pub listing: Listing,
    /// Failure detector, fed by the outcomes of this host's requests.
    pub outlier: Detector,
    /// Number of requests of this host in flight.
    pub in_flight: u32,
    observation: Option<Observation>,
    /// Last report of the engine's agent, and the time of its arrival.
    report: Option<(Instant, Report)>,
    /// Number of requests that this host may still send until the next report.
    credit: u32,
    /// Time until which the credit may be used.
    credit_until: Instant,
    /// Delay of the agent's reports.
    delay: Delay,
    /// Whether an agent that is alive grants the slots of this engine. Without a grant, this host
    /// sends nothing there.
    pub managed: bool,
    /// What the engine and others say of its leaving.
    pub leaving: Leaving,
    /// End of the time for which the engine has asked this host to send nothing.
    resting_until: Option<Instant>,
    cold_until: Instant,
    recent_requests: Window,
    /// Limit that the engine names.
    pub limit: Limit,
    /// Speed as learned from its answers.
    pub pace: Pace,
    /// Hash of the id, which decides which hosts get the remainder of a shared limit.
    subject: u64,
}

impl Engine {
    /// Creates the state of an engine that is listed for the first time.
    pub fn new(listing: Listing, now: Instant) -> Self {
        let cold_until = clamp::later(now, listing.cold_remaining);
        Self {
            subject: id::score(b"share", &listing.id),
            listing,
            outlier: Detector::default(),
            in_flight: 0,
            observation: None,
            report: None,
            credit: 0,
            credit_until: now,
            delay: Delay::default(),
            managed: false,
            leaving: Leaving::default(),
            resting_until: None,
            cold_until,
            recent_requests: Window::new(COLD_WINDOW),
            limit: Limit::default(),
            pace: Pace::default(),
        }
    }

    /// Applies a changed listing of the same instance. One that no longer drains is an older listing,
    /// or of another process that states the same start; the engine's answers tell.
    pub fn update_listing(&mut self, listing: Listing, now: Instant) {
        if !listing.cold_remaining.is_zero() {
            let cold_until = clamp::later(now, listing.cold_remaining);
            self.cold_until = self.cold_until.max(cold_until);
        }
        if self.listing.draining && !listing.draining {
            self.leaving.infer(now);
        }
        self.listing = listing;
    }

    /// Whether the engine leaves: its list entry says so, it has said so itself, or it may still do so
    /// after a change of its entry.
    pub fn is_leaving(&self) -> bool {
        self.listing.draining || self.leaving.known_at().is_some()
    }

    /// Whether the engine gets no request because it leaves. One whose entry does not say so gets a
    /// request every [`leaving::TRIAL_INTERVAL`].
    pub fn is_closed_by_leaving(&self, now: Instant) -> bool {
        self.is_leaving() && (self.listing.draining || !self.leaving.is_trial_due(now))
    }

    /// Records that the engine wants no request from this host until `until`.
    pub fn rest_until(&mut self, until: Instant) {
        self.resting_until = self.resting_until.max(Some(until));
    }

    /// Time for which the engine still wants no request from this host, if any.
    pub fn resting_for(&self, now: Instant) -> Option<Duration> {
        let remaining = self.resting_until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Applies a report of the engine's agent. A report that was delayed, or read late by this
    /// process, is as old as its delay, and what it grants ends that much earlier.
    pub fn apply_report(&mut self, report: Report, now: Instant) {
        let delay = self.delay.measure(report.sent, now);
        let sent_at = now.checked_sub(delay).unwrap_or(now);
        // What an agent last read of an engine that does not answer may be about an earlier process.
        if report.responsive {
            let position = self.listing.position;
            self.leaving.apply_report(report.leaving, position, sent_at);
        }
        self.limit.apply_report(report.limit, sent_at);
        let free = self.capacity().saturating_sub(report.load.total());
        let max_new = report.max_new.saturating_sub(report.load.waiting);
        self.credit = report.rotation.share(free, max_new);
        self.credit_until = sent_at + report.valid.min(MAX_CREDIT_TIME);
        // An answer that arrived after the report was sent tells of a later load.
        if self.observation.is_none_or(|known| known.at <= sent_at) {
            self.record_load(report.load, sent_at);
        }
        self.report = Some((sent_at, report));
    }

    /// Whether this host may send another request without exceeding its share. `default_place` is
    /// its place among the hosts that send to an engine whose agent grants nothing.
    pub fn has_capacity(&self, default_place: Place, now: Instant) -> bool {
        if now < self.credit_until {
            return self.credit > 0;
        }
        let capacity = f64::from(self.capacity());
        !self.managed && self.in_flight < self.share(capacity, default_place)
    }

    /// Number of requests that may run and queue at the engine.
    fn capacity(&self) -> u32 {
        self.listing.slots.saturating_add(QUEUE_LENGTH)
    }

    /// This host's share of a limit for all hosts at `place`.
    fn share(&self, limit: f64, place: Place) -> u32 {
        audience::share(limit, place.index, place.hosts, self.subject)
    }

    /// Whether the agent has reported to this host recently.
    pub fn is_reported(&self, now: Instant) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|(at, _)| now.saturating_duration_since(*at) < REPORT_MAX_AGE)
    }

    /// Records the load stated in an answer of the engine, which is newer than any report. An answer
    /// without a slowdown leaves that of a recent report; see [`Engine::observe_slowdown`].
    pub fn observe_load(&mut self, mut load: Load, now: Instant) {
        if let Some((_, report)) = self.report.as_ref().filter(|_| self.is_reported(now)) {
            load.slowdown = report.load.slowdown;
        }
        self.record_load(load, now);
    }

    /// Records the slowdown stated in an answer of the engine beside its load.
    pub fn observe_slowdown(&mut self, slowdown: f64, now: Instant) {
        self.pace.state(slowdown, now);
        if let Some(observation) = &mut self.observation
            && observation.at == now
        {
            observation.load.slowdown = slowdown;
        }
    }

    fn record_load(&mut self, load: Load, now: Instant) {
        self.observation = Some(Observation {
            load,
            in_flight: self.in_flight,
            at: now,
        });
    }

    /// Counts a request that is about to be sent; see [`Engine::has_capacity`] for `default_place`.
    pub fn start_request(&mut self, default_place: Place, now: Instant) {
        let place = self.granted_place(now).unwrap_or(default_place);
        self.credit = self.credit.saturating_sub(1);
        self.recent_requests.record(now);
        self.limit.record_request(place, now);
        self.leaving.record_request(now);
        self.pace.record_send(now);
        // Last, so that a panic above leaves no request that never ends.
        self.in_flight += 1;
    }

    /// Counts a request that has ended.
    pub fn finish_request(&mut self) {
        self.in_flight = self
            .in_flight
            .checked_sub(1)
            .expect("more requests ended than were sent");
    }

    /// Whether a report younger than `age` says that the engine answers.
    pub fn reported_responsive(&self, age: Duration, now: Instant) -> bool {
        let responsive = |(at, report): &(Instant, Report)| {
            report.responsive && now.saturating_duration_since(*at) < age
        };
        self.report.as_ref().is_some_and(responsive)
    }

    /// Age of the latest known load.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let observation = self.observation?;
        Some(now.saturating_duration_since(observation.at))
    }

    /// Version that the engine holds completely, by its latest report or else its listing.
    pub fn version(&self, now: Instant) -> Option<u64> {
        if let Some((at, report)) = &self.report
            && now.saturating_duration_since(*at) < REPORT_MAX_AGE
        {
            return report.version;
        }
        let loaded = self.listing.loaded.as_ref()?;
        loaded.complete.then_some(loaded.version)
    }

    /// Whether a recent report says that the engine takes no work or does not answer.
    pub fn reported_unavailable(&self, now: Instant) -> bool {
        let unavailable = |(at, report): &(Instant, Report)| {
            let recent = now.saturating_duration_since(*at) < REPORT_MAX_AGE;
            recent && (report.closed || !report.responsive)
        };
        self.report.as_ref().is_some_and(unavailable)
    }

    /// Whether a request would delay a planned model load, if it starts after `wait` and then runs
    /// for `duration`.
    pub fn delays_planned_load(&self, wait: Duration, duration: Duration, now: Instant) -> bool {
        let closes_at = self
            .report
            .as_ref()
            .and_then(|(_, report)| report.closes_at);
        closes_at.is_some_and(|at| now + wait + duration > at + LOAD_DELAY_TOLERANCE)
    }

    /// Estimated number of requests running and queued at the engine, if `hosts` send to it
    /// equally.
    pub fn occupancy(&self, hosts: usize, now: Instant) -> u32 {
        // A single request tells nothing of other hosts: most of them have none there.
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let of_others = self.in_flight.saturating_sub(1).saturating_mul(hosts);
        let extrapolated = self.in_flight.saturating_add(of_others);
        let Some(observation) = self.observation else {
            return extrapolated;
        };
        if now.saturating_duration_since(observation.at) > REPORT_MAX_AGE {
            return extrapolated;
        }
        let reported = observation.load.total();
        reported
            .saturating_add(self.in_flight)
            .saturating_sub(observation.in_flight)
            .max(self.in_flight)
    }

    /// Estimated number of requests queued at the engine.
    fn queued(&self, now: Instant) -> u32 {
        let Some(observation) = self.observation else {
            return self.in_flight;
        };
        if now.saturating_duration_since(observation.at) > REPORT_MAX_AGE {
            return self.in_flight.min(1);
        }
        let sent_since = self.in_flight.saturating_sub(observation.in_flight);
        observation.load.waiting.saturating_add(sent_since)
    }

    fn slowdown(&self) -> f64 {
        self.observation
            .map_or(1.0, |observation| observation.load.slowdown.max(1.0))
    }

    /// Whether a cold engine accepts another request of this host. `rate` is the number of requests
    /// per second that it accepts from all hosts; see [`Engine::has_capacity`] for `default_place`.
    /// An engine that is not cold has no such limit.
    pub fn within_cold_limit(&mut self, rate: f64, default_place: Place, now: Instant) -> bool {
        if rate <= 0.0 || now >= self.cold_until {
            return true;
        }
        let place = match self.granted_place(now) {
            Some(place) => place,
            None if self.managed => return false,
            None => default_place,
        };
        let count = self.recent_requests.count(now);
        count < self.share(rate, place) as usize
    }

    /// Time until this host may send another request within its share of the limit that the engine
    /// names; zero without a limit. See [`Engine::has_capacity`] for `default_place`.
    pub fn limited_for(&mut self, default_place: Place, now: Instant) -> Duration {
        let granted = self.granted_place(now);
        let place = granted.unwrap_or(default_place);
        let reports_arrive = granted.is_some();
        self.limit.wait(place, self.subject, reports_arrive, now)
    }

    /// This host's place among the recipients of the agent's reports, if there is a recent one.
    fn granted_place(&self, now: Instant) -> Option<Place> {
        let report = self.report.as_ref().filter(|_| self.is_reported(now));
        report.map(|(_, report)| report.place)
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Expected time to the first event of a request with `prompt` tokens; `hosts` send to the
    /// engine. A slow engine is expected to stay so.
    pub fn time_to_first_event(
        &self,
        speed: &Speed,
        prompt: u32,
        hosts: usize,
        now: Instant,
    ) -> Duration {
        let forecast = self.forecast_first_event(speed, prompt, hosts, now);
        let factor = self.pace.factor(now);
        if factor == 1.0 {
            return forecast;
        }
        clamp::seconds(forecast.as_secs_f64() * factor)
    }

    /// The same without what was learned from earlier requests.
    pub fn forecast_first_event(
        &self,
        speed: &Speed,
        prompt: u32,
        hosts: usize,
        now: Instant,
    ) -> Duration {
        let occupancy = self.occupancy(hosts, now);
        let queued = self.queued(now);
        let decoding = occupancy.saturating_sub(queued).min(speed.slots);
        let pass = pass_time(speed, decoding) * self.slowdown();
        let slots = f64::from(speed.slots.max(1));
        let slots_awaited = f64::from(occupancy.saturating_add(1).saturating_sub(speed.slots));
        let time_per_slot = slot_time(speed) * self.slowdown() / slots;
        let prompt_tokens = f64::from(queued) * f64::from(speed.mean_prompt) + f64::from(prompt);
        let prefill = prompt_tokens / speed.prefill_rate.max(1.0) * self.slowdown();
        let passes_awaited = if occupancy == 0 { 0.0 } else { MEAN_PASS_WAIT };
        clamp::seconds(passes_awaited * pass + slots_awaited * time_per_slot + prefill + pass)
    }
}

/// Time of a pass without prefill, seconds.
fn pass_time(speed: &Speed, decoding: u32) -> f64 {
    let step_time = speed.step_time.as_secs_f64()
        + speed.step_time_per_sequence.as_secs_f64() * f64::from(decoding);
    step_time * f64::from(speed.steps_per_pass.max(1))
}

/// Time for which a request with a mean answer occupies a slot at full load, seconds.
fn slot_time(speed: &Speed) -> f64 {
    decode_time(speed, speed.mean_answer).as_secs_f64()
}

/// Time to decode an answer of `tokens` at full load.
pub fn decode_time(speed: &Speed, tokens: u32) -> Duration {
    let passes = (f64::from(tokens) / f64::from(speed.steps_per_pass.max(1))).max(1.0);
    clamp::seconds(passes * pass_time(speed, speed.slots) / (1.0 - PREFILL_SHARE))
}
