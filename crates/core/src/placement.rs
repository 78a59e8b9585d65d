//! Chooses the engine for a request, or refuses the request.
//!
//! A request goes only to an engine that is expected to answer it in time. Entry hosts learn the
//! load of engines with a delay. Each therefore chooses at random among the suitable engines,
//! weighted by the time to spare, so that hosts do not all choose the same one.

mod refusal;

use {
    crate::{
        catalog::{self, Backend, Route},
        engine::{self, Engine, Listing, Load, Place, Report},
        id::{DataCentre, Engine as Id, Region, Service},
        outlier::Outcome,
        target::Bound,
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
    },
};

pub use refusal::Refusal;

/// Time that relaying adds to the first event: processing at this host and the network round trip.
const RELAY_TIME: Duration = Duration::from_millis(25);
/// Share of occupied slots below which an engine also gets requests that it will answer late.
const LATE_MAX_OCCUPANCY: f64 = 0.75;
/// Margin before the end of the time in which work on an older version may begin: for late news of
/// the version, and for the error of the estimate of when a request begins.
const VERSION_MARGIN: Duration = Duration::from_millis(600);
/// Smallest sum of this margin and the allowance for the time until a request begins.
const MIN_VERSION_ALLOWANCE: Duration = Duration::from_millis(1_200);
/// The same for an engine without a recent report.
const UNREPORTED_VERSION_ALLOWANCE: Duration = Duration::from_millis(2_000);
/// Multiple of the estimated time until a request begins that is allowed for it.
const BEGIN_TIME_FACTOR: f64 = 2.0;
/// Longest random addition to the delay suggested to a caller while all engines rest.
const REST_SPREAD: Duration = Duration::from_millis(400);
/// Number of requests that may queue at an engine without a model, as a multiple of its slots.
const QUEUE_PER_SLOT: u32 = 2;
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

    /// Records that an instance is leaving, as another host was told; returns true if that is news.
    pub fn set_leaving_by_id(&mut self, id: &str) -> bool {
        let entry = self.entries.get_mut(id);
        entry.is_some_and(|entry| entry.engine.set_leaving())
    }

    /// Instances that have said that they are leaving.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &Id> {
        let announced = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.engine.has_announced_leaving());
        announced.map(|(id, _)| id)
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

    /// Chooses an engine and reserves a slot there, or refuses the request. Ejected engines are
    /// chosen only if there are no others.
    pub fn choose(
        &mut self,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<Choice, Refusal> {
        let cold_rate = requirements.backend.cold_rate;
        self.grant_unheard(&requirements.backend.name, now);
        let mut suitable = Vec::new();
        let mut ejected = Vec::new();
        let mut shortest_rest: Option<Duration> = None;
        for (id, entry) in &mut self.entries {
            if entry.expires_at.is_some_and(|expires_at| now >= expires_at) {
                continue;
            }
            if !is_eligible(&entry.engine, requirements, &self.evacuated, now) {
                continue;
            }
            if let Some(rest) = entry.engine.resting_for(now) {
                shortest_rest = Some(shortest_rest.map_or(rest, |shortest| shortest.min(rest)));
                continue;
            }
            if !entry
                .engine
                .within_cold_limit(cold_rate, requirements.place, now)
            {
                continue;
            }
            if entry.engine.outlier.usable(now) {
                suitable.push(id.clone());
            } else {
                ejected.push(id.clone());
            }
        }
        if suitable.is_empty() {
            suitable = ejected;
        }
        if suitable.is_empty() {
            return Err(match shortest_rest {
                Some(rest) => {
                    Refusal::Resting(rest + rng.random_range(Duration::ZERO..REST_SPREAD))
                }
                None => Refusal::NoEngine(refusal::retry_delay(rng)),
            });
        }
        let chosen = if requirements.backend.speed.is_some() {
            self.choose_in_time(&suitable, requirements, rng, now)
        } else {
            self.choose_less_busy(&suitable, requirements, rng, now)
        };
        let Some(id) = chosen else {
            return Err(Refusal::Busy(refusal::retry_delay(rng)));
        };
        Ok(self.reserve(&id, requirements, now))
    }

    /// While no agent of a service reports to this host, its engines count as unmanaged: this host
    /// may be new to the agents, or out of their reach.
    fn grant_unheard(&mut self, service: &str, now: Instant) {
        let engines = || {
            let of_service = |e: &&Entry| *e.engine.listing.service == *service;
            self.entries.values().filter(of_service)
        };
        let unheard =
            engines().any(|e| e.engine.managed) && !engines().any(|e| e.engine.is_reported(now));
        if !unheard {
            return;
        }
        for entry in self.entries.values_mut() {
            if *entry.engine.listing.service == *service {
                entry.engine.managed = false;
            }
        }
    }

    /// Sets which engines are managed by an agent that is alive, by their IP addresses.
    pub fn set_managed(&mut self, is_managed: impl Fn(IpAddr) -> bool) {
        for entry in self.entries.values_mut() {
            entry.engine.managed = is_managed(entry.engine.listing.address.ip());
        }
    }

    fn reserve(&mut self, id: &Id, requirements: &Requirements<'_>, now: Instant) -> Choice {
        let entry = self.entries.get_mut(id).expect("chosen engine is listed");
        let engine = &mut entry.engine;
        let speed = requirements.backend.speed.as_ref();
        let expected_first_event = speed.map(|s| {
            engine.time_to_first_event(s, requirements.prompt_tokens, requirements.place.hosts, now)
        });
        let choice = Choice {
            reservation: Reservation {
                id: id.clone(),
                address: engine.listing.address,
                generation: entry.generation,
            },
            data_centre: engine.listing.data_centre.clone(),
            expected_first_event,
            occupancy: engine.occupancy(requirements.place.hosts, now),
            load_age: engine.load_age(now),
        };
        engine.start_request(now);
        engine.outlier.record_send(now);
        choice
    }

    /// Chooses among the engines that answer in time, weighted by the square of the time to spare:
    /// first in this host's region, then in other regions, then among those whose planned model load
    /// the request would delay. If there are none, chooses the fastest engine with enough free
    /// slots. A resumed stream goes to any engine, however busy, the more likely the faster it is, and
    /// first to those with a known load: all hosts resume streams at once when a region is lost.
    fn choose_in_time(
        &self,
        suitable: &[Id],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Id> {
        let speed = requirements.backend.speed.as_ref()?;
        let answer_tokens = requirements.answer_tokens.unwrap_or(speed.mean_answer);
        let duration = engine::decode_time(speed, answer_tokens);
        let mut same_region = Vec::new();
        let mut other_regions = Vec::new();
        let mut delaying_load = Vec::new();
        let (mut reported, mut unreported) = (Vec::new(), Vec::new());
        let mut fastest: Option<(Duration, &Id)> = None;
        for id in suitable {
            let engine = &self.entries[id].engine;
            if !requirements.resuming && !engine.has_capacity(requirements.place, now) {
                continue;
            }
            let first_event = engine.time_to_first_event(
                speed,
                requirements.prompt_tokens,
                requirements.place.hosts,
                now,
            ) + RELAY_TIME;
            let spare = requirements
                .time_left
                .saturating_sub(first_event)
                .as_secs_f64();
            if engine.delays_planned_load(first_event, duration, now) {
                delaying_load.push((id, spare * spare));
            } else if *engine.listing.region == *requirements.region {
                same_region.push((id, spare * spare));
            } else {
                other_regions.push((id, spare * spare));
            }
            if requirements.resuming {
                let weight = 1.0 / first_event.as_secs_f64().powi(2);
                if engine.is_reported(now) {
                    reported.push((id, weight));
                } else {
                    unreported.push((id, weight));
                }
            }
            let occupancy = f64::from(engine.occupancy(requirements.place.hosts, now));
            let has_free_slots = occupancy < f64::from(speed.slots) * LATE_MAX_OCCUPANCY;
            if has_free_slots && fastest.is_none_or(|(best, _)| first_event < best) {
                fastest = Some((first_event, id));
            }
        }
        if requirements.resuming {
            return pick_weighted(&reported, rng)
                .or_else(|| pick_weighted(&unreported, rng))
                .cloned();
        }
        pick_weighted(&same_region, rng)
            .or_else(|| pick_weighted(&other_regions, rng))
            .or_else(|| pick_weighted(&delaying_load, rng))
            .or_else(|| fastest.map(|(_, id)| id))
            .cloned()
    }

    /// Chooses the less busy of two random engines whose queue is not full.
    fn choose_less_busy(
        &self,
        suitable: &[Id],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Id> {
        let usage = |id: &Id| {
            let engine = &self.entries[id].engine;
            let slots = engine.listing.slots.max(1);
            (engine.occupancy(requirements.place.hosts, now), slots)
        };
        let has_room = |id: &&Id| {
            let (occupancy, slots) = usage(id);
            occupancy < slots * (1 + QUEUE_PER_SLOT)
        };
        let candidates: Vec<&Id> = suitable.iter().filter(has_room).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        let utilisation = |id: &Id| {
            let (occupancy, slots) = usage(id);
            f64::from(occupancy) / f64::from(slots)
        };
        let less_busy = if utilisation(second) < utilisation(first) {
            second
        } else {
            first
        };
        Some(less_busy.clone())
    }
}

/// Whether an engine may run the request, regardless of its load.
fn is_eligible(
    engine: &Engine,
    requirements: &Requirements<'_>,
    evacuated: &BTreeSet<DataCentre>,
    now: Instant,
) -> bool {
    let listing = &engine.listing;
    if listing.service != requirements.backend.name
        || engine.is_leaving()
        || engine.reported_unavailable(now)
    {
        return false;
    }
    if evacuated.contains(&listing.data_centre) || requirements.excluded.contains(&listing.id) {
        return false;
    }
    if !catalog::region_allowed(
        &listing.region,
        &requirements.route.regions,
        requirements.organisation_regions,
    ) {
        return false;
    }
    let Some(speed) = &requirements.backend.speed else {
        return true;
    };
    let Some(version) = engine.version(now) else {
        return false;
    };
    let newer = requirements.version_bounds.iter();
    let bound = newer.filter(|b| b.version > version).map(|b| b.until).min();
    bound.is_none_or(|until| {
        let begin = engine.time_to_first_event(
            speed,
            requirements.prompt_tokens,
            requirements.place.hosts,
            now,
        );
        now + version_allowance(begin, engine.is_reported(now)) <= until
    })
}

/// Time before the end of an older version's work at which an engine gets its last request, when one
/// is expected to begin after `begin`.
fn version_allowance(begin: Duration, reported: bool) -> Duration {
    let least = if reported {
        MIN_VERSION_ALLOWANCE
    } else {
        UNREPORTED_VERSION_ALLOWANCE
    };
    least.max(VERSION_MARGIN + begin.mul_f64(BEGIN_TIME_FACTOR))
}

/// Picks a random id by weight; none if all weights are zero.
fn pick_weighted<'a>(weighted: &[(&'a Id, f64)], rng: &mut impl Rng) -> Option<&'a Id> {
    let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = rng.random::<f64>() * total;
    let mut picked = None;
    for (id, weight) in weighted.iter().filter(|(_, weight)| *weight > 0.0) {
        remaining -= weight;
        picked = Some(*id);
        if remaining < 0.0 {
            break;
        }
    }
    picked
}
