//! Chooses the engine for a request, or refuses the request.
//!
//! A request goes only to an engine that is expected to answer it in time. Entry hosts learn the
//! load of engines with a delay. Each therefore chooses at random among the suitable engines,
//! weighted by the time to spare, so that hosts do not all choose the same one.

mod choice;
mod learning;
mod list;
mod refusal;

use {
    crate::{
        catalog::{Backend, Route},
        engine::{Engine, Load, Place, Report, leaving},
        id::{DataCentre, Engine as Id, Region, Service, Started},
        mirror::Position,
        outlier::Outcome,
        quarantine::Instance,
        target::Bound,
    },
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
    },
};

pub use {learning::Answered, refusal::Refusal};

/// Time within which a listing that expired during an outage of the store may be renewed.
pub const LISTING_GRACE: Duration = Duration::from_secs(2);

/// What a request requires of an engine.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Service that runs the request.
    pub backend: &'a Backend,
    /// Region of this host.
    pub region: &'a str,
    /// Regions that the organisation allows; empty for all.
    pub organisation_regions: &'a [Region],
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, tokens, if the caller states it.
    pub answer_tokens: Option<u32>,
    /// Time left until the answer is late.
    pub time_left: Duration,
    /// Time left until the caller gives up.
    pub deadline_left: Duration,
    /// Versions of the model, and the times until which work on older ones may begin.
    pub version_bounds: &'a [Bound],
    /// Engine instances that the request was already sent to.
    pub excluded: &'a [Id],
    /// This host's place among the entry hosts that send to the same engines.
    pub place: Place,
    /// Whether the request resumes a broken stream. Its caller has part of the answer, so an overload
    /// is preferred to a refusal.
    pub resuming: bool,
}

/// A slot reserved at an engine; given back with [`Table::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Id of the engine instance.
    pub id: Id,
    /// Address of the engine.
    pub address: SocketAddr,
    started: Started,
    listed_at: Option<Position>,
    generation: u64,
    forecast: Forecast,
}

/// What was known of an engine when a request was sent there; compared with the time of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Forecast {
    /// Number of requests there, without this one.
    occupancy: u32,
    /// Number of hosts that send to it.
    hosts: usize,
    /// Forecast of the first event without what was learned, if the engine runs a model.
    first_event: Option<Duration>,
}

impl Reservation {
    /// The engine process.
    pub fn instance(&self) -> Instance {
        Instance {
            engine: self.id.clone(),
            started: self.started,
            address: self.address,
            listed_at: self.listed_at,
        }
    }
}

/// The chosen engine, and the estimates that the choice was based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The reserved slot.
    pub reservation: Reservation,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Expected time to the first event, if the engine runs a model.
    pub expected_first_event: Option<Duration>,
    /// Estimated number of requests running and queued at the engine, without this one.
    pub occupancy: u32,
    /// Age of the latest known load, if any.
    pub load_age: Option<Duration>,
    /// Version of the model that the engine serves, if any.
    pub version: Option<u64>,
    /// Time for which work on this version may still begin; `None` without a limit.
    pub version_left: Option<Duration>,
}

struct Entry {
    engine: Engine,
    /// Distinguishes the entry from earlier ones with the same id.
    generation: u64,
    /// Position of the first record about the process that this host has read.
    since: Position,
    /// Number of the last listing; increases with each of any engine.
    listing_number: u64,
    /// Time at which the entry is removed unless it is listed again.
    expires_at: Option<Instant>,
}

impl Entry {
    /// The engine process.
    fn instance(&self) -> Instance {
        Instance::new(&self.engine.listing, self.since)
    }
}

/// Engines of all services.
#[derive(Default)]
pub struct Table {
    entries: BTreeMap<Id, Entry>,
    by_address: BTreeMap<SocketAddr, Id>,
    evacuated: BTreeSet<DataCentre>,
    history: list::History,
    last_generation: u64,
    last_listing: u64,
    /// Times at which the learned speeds of the engines of a service were last compared.
    compared_at: BTreeMap<Service, Instant>,
    /// Number of choices that were refused because no engine could answer within the deadline.
    hopeless: u64,
}

impl Table {
    /// Sets the data centres that get no new work.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        self.evacuated = evacuated;
    }

    /// Data centres that get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Applies whether an answer of the engine of a reservation says that it is leaving; the request
    /// was sent at `sent_at`. Returns what that changes.
    pub fn apply_leaving(
        &mut self,
        reservation: &Reservation,
        leaving: bool,
        sent_at: Instant,
        now: Instant,
    ) -> Option<leaving::Change> {
        let engine = &mut self.reserved_entry(reservation)?.engine;
        let position = engine.listing.position;
        let state = &mut engine.leaving;
        state.apply_answer(leaving, position, sent_at, now)
    }

    /// Applies what another host tells; returns true if it is news that the engine leaves. News from
    /// before the first record of the process that is listed here is about an earlier one of its id.
    pub fn hear_leaving(&mut self, news: &leaving::News) -> bool {
        let entry = self.entries.get_mut(&news.engine).filter(|entry| {
            entry.engine.listing.started_ms == news.started && entry.since <= news.position
        });
        entry.is_some_and(|entry| entry.engine.leaving.hear(news.said_at, news.position))
    }

    /// Engines that say that they are leaving.
    pub fn announced_leaving(&self) -> impl Iterator<Item = leaving::News> {
        self.entries.iter().filter_map(|(id, entry)| {
            let (said_at, position) = entry.engine.leaving.said()?;
            Some(leaving::News {
                engine: id.clone(),
                started: entry.engine.listing.started_ms,
                position,
                said_at,
            })
        })
    }

    /// Some of the engines that say that they are leaving, at most `max`, drawn anew each time.
    pub fn sample_leaving(&self, max: usize, rng: &mut impl Rng) -> Vec<leaving::News> {
        self.announced_leaving().choose_multiple(rng, max)
    }

    /// Applies the limit that an answer of the engine of a reservation names, in requests per
    /// second from all hosts; the request was sent at `sent_at`. Returns true if that is news.
    pub fn apply_limit(
        &mut self,
        reservation: &Reservation,
        rate: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let entry = self.reserved_entry(reservation);
        entry.is_some_and(|entry| entry.engine.limit.apply_answer(rate, sent_at, now))
    }

    /// Engines that named a limit until recently, the start of their processes and the time since
    /// which this host knows that they name none.
    pub fn ended_limits(&self, now: Instant) -> impl Iterator<Item = (&Id, Started, Instant)> {
        self.entries.iter().filter_map(move |(id, entry)| {
            let ended_at = entry.engine.limit.ended_at(now)?;
            Some((id, entry.engine.listing.started_ms, ended_at))
        })
    }

    /// Some of the engines that named a limit until recently, at most `max`, drawn anew each time.
    pub fn sample_ended_limits(
        &self,
        max: usize,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<(&Id, Started, Instant)> {
        self.ended_limits(now).choose_multiple(rng, max)
    }

    /// Applies what another host tells of the process of an engine that started at `started_ms`: it
    /// named no limit at `ended_at`.
    pub fn hear_limit_end(
        &mut self,
        id: &str,
        started_ms: Started,
        ended_at: Instant,
        now: Instant,
    ) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|entry| entry.engine.listing.started_ms == started_ms) {
            entry.engine.limit.hear_end(ended_at, now);
        }
    }

    /// Records that the engine of a reservation wants no request from this host until `until`.
    pub fn rest_until(&mut self, reservation: &Reservation, until: Instant) {
        if let Some(entry) = self.reserved_entry(reservation) {
            entry.engine.rest_until(until);
        }
    }

    /// Applies an agent's report on the engine at an address. Returns false if no engine is listed
    /// there, or if it started at another time than the reported one; a `started_ms` of 0 matches
    /// any.
    pub fn apply_report(
        &mut self,
        address: SocketAddr,
        started_ms: u64,
        report: Report,
        now: Instant,
    ) -> bool {
        let reported = (started_ms != 0).then_some(started_ms);
        let Some(entry) = self.reported_entry(address, reported) else {
            return false;
        };
        entry.engine.apply_report(report, now);
        true
    }

    /// Entry that a report on the engine at an address is about. While the list has several processes
    /// at the address, their starts tell.
    fn reported_entry(&mut self, address: SocketAddr, reported: Started) -> Option<&mut Entry> {
        let matches = |entry: &Entry| {
            let listing = &entry.engine.listing;
            let pair = listing.started_ms.zip(reported);
            listing.address == address && pair.is_none_or(|(listed, reported)| listed == reported)
        };
        let latest = self.by_address.get(&address)?;
        if self.entries.get(latest).is_some_and(matches) {
            return self.entries.get_mut(latest);
        }
        self.entries.values_mut().find(|entry| matches(entry))
    }

    /// Regions with an engine of a service that may get new work.
    pub fn serving_regions(&self, service: &str) -> BTreeSet<&str> {
        let serving = |entry: &&Entry| {
            let listing = &entry.engine.listing;
            let excluded =
                entry.engine.is_leaving() || self.evacuated.contains(&listing.data_centre);
            *listing.service == *service && !excluded
        };
        let serving = self.entries.values().filter(serving);
        serving.map(|entry| &*entry.engine.listing.region).collect()
    }

    /// Service of the engine that is listed at an address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        let id = self.by_address.get(&address)?;
        self.entries
            .get(id)
            .map(|entry| &entry.engine.listing.service)
    }

    /// Records the load stated in an engine's answer.
    pub fn observe_load(&mut self, reservation: &Reservation, load: Load, now: Instant) {
        if let Some(entry) = self.reserved_entry(reservation) {
            entry.engine.observe_load(load, now);
        }
    }

    fn reserved_entry(&mut self, reservation: &Reservation) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&reservation.id)?;
        (entry.generation == reservation.generation).then_some(entry)
    }

    /// Releases a slot and records the outcome of its request, if known. Returns true if the outcome
    /// ejects the engine.
    pub fn release(
        &mut self,
        reservation: &Reservation,
        outcome: Option<Outcome>,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.reserved_entry(reservation) else {
            return false;
        };
        entry.engine.finish_request();
        outcome.is_some_and(|outcome| entry.engine.outlier.record_outcome(outcome, now))
    }

    /// Records that the engine of a reservation is silent, while its answer is still awaited. Returns
    /// true if that ejects the engine.
    pub fn record_silence(&mut self, reservation: &Reservation, now: Instant) -> bool {
        let entry = self.reserved_entry(reservation);
        entry.is_some_and(|entry| entry.engine.outlier.record_outcome(Outcome::Failure, now))
    }

    /// Whether the engine's agent reported within `age` that the engine answers.
    pub fn reported_responsive(
        &self,
        reservation: &Reservation,
        age: Duration,
        now: Instant,
    ) -> bool {
        let entry = self.entries.get(&reservation.id);
        entry.is_some_and(|entry| {
            entry.generation == reservation.generation && entry.engine.reported_responsive(age, now)
        })
    }

    /// Whether the engine instance of a reservation is still listed.
    pub fn is_current(&self, reservation: &Reservation) -> bool {
        let entry = self.entries.get(&reservation.id);
        entry.is_some_and(|entry| entry.generation == reservation.generation)
    }

    /// Processes of all engines.
    pub fn instances(&self) -> impl Iterator<Item = Instance> {
        self.entries.values().map(Entry::instance)
    }

    /// All engines, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.entries.values().map(|entry| &entry.engine)
    }

    /// Sets which engines are managed by an agent that is alive, by their IP addresses.
    pub fn set_managed(&mut self, is_managed: impl Fn(IpAddr) -> bool) {
        for entry in self.entries.values_mut() {
            entry.engine.managed = is_managed(entry.engine.listing.address.ip());
        }
    }
}
