//! Chooses the engine for a request, or refuses the request.
//!
//! A request goes only to an engine that is expected to answer it in time. Entry hosts learn the
//! load of engines with a delay. Each therefore chooses at random among the suitable engines,
//! weighted by the time to spare, so that hosts do not all choose the same one.

mod choice;
mod refusal;

use {
    crate::{
        catalog::{Backend, Route},
        engine::{Engine, Listing, Load, Place, Report},
        id::{DataCentre, Engine as Id, Region, Service, Started},
        outlier::Outcome,
        target::Bound,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
    },
};

pub use refusal::Refusal;

/// Time for which removed instances are remembered, so that an older copy of the list does not bring
/// them back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);
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
    generation: u64,
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
    /// Time at which the entry is removed unless it is listed again.
    expires_at: Option<Instant>,
}

/// Engines of all services.
#[derive(Default)]
pub struct Table {
    entries: BTreeMap<Id, Entry>,
    by_address: BTreeMap<SocketAddr, Id>,
    evacuated: BTreeSet<DataCentre>,
    /// Instances that were removed from the list, and the time at which this happened.
    departed: BTreeMap<Id, Instant>,
    last_generation: u64,
}

impl Table {
    /// Adds or updates an engine; returns true if it is a new instance.
    pub fn add_listing(&mut self, listing: Listing, now: Instant) -> bool {
        let id = listing.id.clone();
        if let Some(entry) = self.entries.get_mut(&id) {
            let known = &entry.engine.listing;
            if listing.started_ms.is_some() && listing.started_ms < known.started_ms {
                // An older copy of the list; the instance that it names no longer runs.
                return false;
            }
            if known.started_ms == listing.started_ms && known.address == listing.address {
                entry.expires_at = None;
                entry.engine.update_listing(listing, now);
                return false;
            }
        }
        self.departed.remove(&id);
        let address = listing.address;
        self.last_generation += 1;
        let entry = Entry {
            engine: Engine::new(listing, now),
            generation: self.last_generation,
            expires_at: None,
        };
        self.entries.insert(id, entry);
        self.map_address(address);
        true
    }

    /// Maps an address to the instance there that started last. An earlier one may stay listed for a
    /// while after its end.
    fn map_address(&mut self, address: SocketAddr) {
        let at_address = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.engine.listing.address == address);
        let latest = at_address.max_by_key(|(_, e)| (e.engine.listing.started_ms, e.generation));
        match latest.map(|(id, _)| id.clone()) {
            Some(id) => self.by_address.insert(address, id),
            None => self.by_address.remove(&address),
        };
    }

    /// Removes an engine that is no longer listed, at once or, after an outage of the store, at
    /// `expires_at` unless it is listed again. Returns whether the engine was known.
    pub fn remove_listing(&mut self, id: &str, expires_at: Option<Instant>, now: Instant) -> bool {
        let Some(expires_at) = expires_at else {
            self.departed.insert(id.into(), now);
            return self.remove(id);
        };
        match self.entries.get_mut(id) {
            Some(entry) => {
                entry.expires_at.get_or_insert(expires_at);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(entry) = self.entries.remove(id) else {
            return false;
        };
        self.map_address(entry.engine.listing.address);
        true
    }

    /// Whether an engine was removed from the list a short time ago and not listed again since.
    pub fn has_departed(&self, id: &str) -> bool {
        self.departed.contains_key(id)
    }

    /// Removes engines whose listing expired, and returns their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Id> {
        let expired_id = |(id, entry): (&Id, &Entry)| {
            entry
                .expires_at
                .is_some_and(|expires_at| now >= expires_at)
                .then(|| id.clone())
        };
        let expired: Vec<Id> = self.entries.iter().filter_map(expired_id).collect();
        for id in &expired {
            self.remove(id);
            self.departed.insert(id.clone(), now);
        }
        self.departed
            .retain(|_, at| now.saturating_duration_since(*at) < DEPARTED_RETENTION);
        expired
    }

    /// Sets the data centres that get no new work.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        self.evacuated = evacuated;
    }

    /// Data centres that get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Records that the engine of a reservation says that it is leaving; returns true if that is
    /// news.
    pub fn set_leaving(&mut self, reservation: &Reservation) -> bool {
        let entry = self.reserved_entry(reservation);
        entry.is_some_and(|entry| entry.engine.set_leaving())
    }

    /// Records that the process of an engine that started at `started_ms` is leaving, as another host
    /// was told; returns true if that is news. Another process under the same id is not concerned.
    pub fn set_instance_leaving(&mut self, id: &str, started_ms: Started) -> bool {
        let entry = self.entries.get_mut(id);
        let entry = entry.filter(|entry| entry.engine.listing.started_ms == started_ms);
        entry.is_some_and(|entry| entry.engine.set_leaving())
    }

    /// Engines that have said that they are leaving, and the start of their processes.
    pub fn announced_leaving(&self) -> impl Iterator<Item = (&Id, Started)> {
        let announced = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.engine.has_announced_leaving());
        announced.map(|(id, entry)| (id, entry.engine.listing.started_ms))
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
        let Some(entry) = self.entry_at(address) else {
            return false;
        };
        let listed = entry.engine.listing.started_ms;
        if listed.is_some_and(|listed| started_ms != 0 && listed != started_ms) {
            return false;
        }
        entry.engine.apply_report(report, now);
        true
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

    fn entry_at(&mut self, address: SocketAddr) -> Option<&mut Entry> {
        let id = self.by_address.get(&address)?;
        self.entries.get_mut(id)
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
