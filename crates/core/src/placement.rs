//! Which engine gets a request, and which requests are refused.
//!
//! A request goes only where its answer is expected in time. Every entry host sees the engines
//! through reports that are a little old; each therefore draws among all suitable engines, with
//! more weight on those with more time to spare, so that hosts do not all choose the same one.

use {
    crate::{
        catalog::{self, Backend, Route},
        engine::{self, Engine, Listing, Load, Report},
        id::{DataCentre, Engine as Id, Region, Service},
        outlier::Outcome,
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time that relaying adds to an engine's first event, both ways and at this host.
const RELAY: Duration = Duration::from_millis(25);
/// Share of an engine's slots up to which it takes requests that will be late.
const LATE_FILL: f64 = 0.75;
/// Waiting requests that a plain service's engine takes, as a multiple of its slots.
const PLAIN_WAITING: u32 = 2;
/// Shortest delay suggested to a refused caller.
const RETRY_MIN: Duration = Duration::from_millis(950);
/// Longest delay suggested to a refused caller.
const RETRY_MAX: Duration = Duration::from_millis(1_900);
/// Time that a listing which lapsed during an outage of the store has to come back.
pub const LISTING_GRACE: Duration = Duration::from_secs(2);

/// What a request needs of an engine.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Service that runs it.
    pub backend: &'a Backend,
    /// Region of this host.
    pub region: &'a str,
    /// Regions that the organisation allows.
    pub tenant_regions: &'a [Region],
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Expected answer, tokens; nothing where the caller does not say.
    pub answer_tokens: Option<u32>,
    /// Time left until the answer is late.
    pub time_left: Duration,
    /// Oldest version that may begin work.
    pub min_version: u64,
    /// Lives that have had the request.
    pub excluded: &'a [Id],
    /// Entry hosts that send to the same engines.
    pub entry_hosts: usize,
    /// A stream that broke off goes on: its caller has part of the answer, and losing it is worse than
    /// crowding an engine.
    pub resuming: bool,
}

/// Hold on a place at an engine; given back with [`Table::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Life of the engine.
    pub id: Id,
    /// Its address.
    pub address: SocketAddr,
    serial: u64,
}

/// An engine that was chosen and what decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The place.
    pub reservation: Reservation,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Expected time to the first event, for model engines.
    pub expected_first_event: Option<Duration>,
    /// Requests there, as estimated.
    pub occupancy: u32,
    /// Age of the load that decided, if any is known.
    pub load_age: Option<Duration>,
}

/// Why no engine was chosen; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No engine may serve it now.
    NoEngine(Duration),
    /// Every engine is too busy to answer in time.
    Busy(Duration),
}

impl Refusal {
    /// Delay after which a place is expected.
    pub fn retry_after(self) -> Duration {
        match self {
            Refusal::NoEngine(delay) | Refusal::Busy(delay) => delay,
        }
    }

    /// Short name for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NoEngine(_) => "no_engine",
            Refusal::Busy(_) => "busy",
        }
    }
}

struct Slot {
    engine: Engine,
    serial: u64,
    /// Its listing lapsed; it is dropped then unless it is listed again.
    lapses: Option<Instant>,
}

/// Engines of all services.
#[derive(Default)]
pub struct Table {
    slots: BTreeMap<Id, Slot>,
    by_address: BTreeMap<SocketAddr, Id>,
    evacuated: BTreeSet<DataCentre>,
    serial: u64,
}

impl Table {
    /// Takes in a listing; true when it is a new life.
    pub fn add_listing(&mut self, listing: Listing, now: Instant) -> bool {
        let id = listing.id.clone();
        self.by_address.insert(listing.address, id.clone());
        if let Some(slot) = self.slots.get_mut(&id) {
            let before = &slot.engine.listing;
            if before.started_ms == listing.started_ms && before.address == listing.address {
                slot.lapses = None;
                slot.engine.update_listing(listing, now);
                return false;
            }
        }
        self.serial += 1;
        let slot = Slot {
            engine: Engine::new(listing, now),
            serial: self.serial,
            lapses: None,
        };
        self.slots.insert(id, slot);
        true
    }

    /// Takes in that an engine is not listed any more; true when it was known. After an outage of
    /// the store it may come back until `until`.
    pub fn remove_listing(&mut self, id: &str, until: Option<Instant>) -> bool {
        let Some(until) = until else {
            return self.remove(id);
        };
        match self.slots.get_mut(id) {
            Some(slot) => {
                slot.lapses.get_or_insert(until);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(slot) = self.slots.remove(id) else {
            return false;
        };
        let address = slot.engine.listing.address;
        if self.by_address.get(&address).is_some_and(|at| **at == *id) {
            self.by_address.remove(&address);
        }
        true
    }

    /// Drops engines whose listing did not come back, and returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Id> {
        let lapsed = |(id, slot): (&Id, &Slot)| {
            slot.lapses
                .is_some_and(|until| now >= until)
                .then(|| id.clone())
        };
        let gone: Vec<Id> = self.slots.iter().filter_map(lapsed).collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Sets the data centres that get no new work.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        self.evacuated = evacuated;
    }

    /// Data centres that get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Takes an agent's report on the engine at an address; false when none is listed there.
    pub fn apply_report(
        &mut self,
        address: SocketAddr,
        born_ms: u64,
        report: Report,
        now: Instant,
    ) -> bool {
        let Some(slot) = self.at(address) else {
            return false;
        };
        let born = slot.engine.listing.started_ms;
        if born.is_some_and(|born| born_ms != 0 && born != born_ms) {
            return false;
        }
        slot.engine.apply_report(report, now);
        true
    }

    /// Regions in which an engine of a service may get work.
    pub fn serving_regions(&self, service: &str) -> BTreeSet<&str> {
        let open = |slot: &&Slot| {
            let listing = &slot.engine.listing;
            let out = listing.draining || self.evacuated.contains(&listing.data_centre);
            *listing.service == *service && !out
        };
        let open = self.slots.values().filter(open);
        open.map(|slot| &*slot.engine.listing.region).collect()
    }

    /// Service of the engine that is listed at an address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        let id = self.by_address.get(&address)?;
        self.slots.get(id).map(|slot| &slot.engine.listing.service)
    }

    fn at(&mut self, address: SocketAddr) -> Option<&mut Slot> {
        let id = self.by_address.get(&address)?;
        self.slots.get_mut(id)
    }

    /// Takes the load that an answer carries.
    pub fn observe_load(&mut self, ticket: &Reservation, load: Load, now: Instant) {
        if let Some(slot) = self.held(ticket) {
            slot.engine.observe_load(load, now);
        }
    }

    fn held(&mut self, ticket: &Reservation) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(&ticket.id)?;
        (slot.serial == ticket.serial).then_some(slot)
    }

    /// Gives a place back with the verdict on the engine; true when it is left out from now on.
    pub fn release(
        &mut self,
        ticket: &Reservation,
        verdict: Option<Outcome>,
        now: Instant,
    ) -> bool {
        let Some(slot) = self.held(ticket) else {
            return false;
        };
        slot.engine.finish_request();
        verdict.is_some_and(|verdict| slot.engine.outlier.record_outcome(verdict, now))
    }

    /// Whether the agent beside the engine said within `age` that it answers.
    pub fn reported_responsive(&self, ticket: &Reservation, age: Duration, now: Instant) -> bool {
        let slot = self.slots.get(&ticket.id);
        slot.is_some_and(|slot| {
            slot.serial == ticket.serial && slot.engine.reported_responsive(age, now)
        })
    }

    /// Whether this life of an engine is still listed.
    pub fn is_current(&self, ticket: &Reservation) -> bool {
        let slot = self.slots.get(&ticket.id);
        slot.is_some_and(|slot| slot.serial == ticket.serial)
    }

    /// Engines, for dumps and for closing connections.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.slots.values().map(|slot| &slot.engine)
    }

    /// Chooses an engine and takes a place there, or says why the request is refused.
    pub fn choose(
        &mut self,
        need: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<Choice, Refusal> {
        let rate = need.backend.cold_rate / need.entry_hosts.max(1) as f64;
        let mut suitable = Vec::new();
        let mut distrusted = Vec::new();
        for (id, slot) in &mut self.slots {
            if slot.lapses.is_some_and(|until| now >= until) {
                continue;
            }
            if !suits(&slot.engine, need, &self.evacuated, now)
                || !slot.engine.within_cold_limit(rate, now)
            {
                continue;
            }
            if slot.engine.outlier.usable(now) {
                suitable.push(id.clone());
            } else {
                distrusted.push(id.clone());
            }
        }
        if suitable.is_empty() {
            suitable = distrusted;
        }
        if suitable.is_empty() {
            return Err(Refusal::NoEngine(delay(rng)));
        }
        let chosen = if need.backend.speed.is_some() {
            self.in_time(&suitable, need, rng, now)
        } else {
            self.least_busy(&suitable, need, rng, now)
        };
        let Some(id) = chosen else {
            return Err(Refusal::Busy(delay(rng)));
        };
        Ok(self.take(&id, need, now))
    }

    fn take(&mut self, id: &Id, need: &Requirements<'_>, now: Instant) -> Choice {
        let slot = self.slots.get_mut(id).expect("chosen engine is listed");
        let engine = &mut slot.engine;
        let speed = need.backend.speed.as_ref();
        let expected =
            speed.map(|s| engine.time_to_first_event(s, need.prompt_tokens, need.entry_hosts, now));
        let choice = Choice {
            reservation: Reservation {
                id: id.clone(),
                address: engine.listing.address,
                serial: slot.serial,
            },
            data_centre: engine.listing.data_centre.clone(),
            expected_first_event: expected,
            occupancy: engine.occupancy(need.entry_hosts, now),
            load_age: engine.load_age(now),
        };
        engine.start_request(now);
        engine.outlier.record_send(now);
        choice
    }

    /// Draws among the engines that answer in time, by the square of the time to spare: those of the
    /// own region first, then others, then those whose planned load the request would hold up.
    /// Failing all these, the soonest of those with free slots.
    fn in_time(
        &self,
        suitable: &[Id],
        need: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Id> {
        let speed = need.backend.speed.as_ref()?;
        let answer = need.answer_tokens.unwrap_or(speed.mean_answer);
        let duration = engine::decode_time(speed, answer);
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut closing = Vec::new();
        let mut soonest: Option<(Duration, &Id)> = None;
        for id in suitable {
            let engine = &self.slots[id].engine;
            if !need.resuming && !engine.has_capacity(need.entry_hosts, now) {
                continue;
            }
            let expected =
                engine.time_to_first_event(speed, need.prompt_tokens, need.entry_hosts, now)
                    + RELAY;
            let spare = need.time_left.saturating_sub(expected).as_secs_f64();
            if engine.delays_planned_load(expected, duration, now) {
                closing.push((id, spare * spare));
            } else if *engine.listing.region == *need.region {
                near.push((id, spare * spare));
            } else {
                far.push((id, spare * spare));
            }
            let occupancy = f64::from(engine.occupancy(need.entry_hosts, now));
            let free = occupancy < f64::from(speed.slots) * LATE_FILL;
            if (free || need.resuming) && soonest.is_none_or(|(best, _)| expected < best) {
                soonest = Some((expected, id));
            }
        }
        if need.resuming {
            return soonest.map(|(_, id)| id.clone());
        }
        draw(&near, rng)
            .or_else(|| draw(&far, rng))
            .or_else(|| draw(&closing, rng))
            .or_else(|| soonest.map(|(_, id)| id))
            .cloned()
    }

    /// The less busy of two engines drawn at random.
    fn least_busy(
        &self,
        suitable: &[Id],
        need: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Id> {
        let busy = |id: &Id| {
            let engine = &self.slots[id].engine;
            let slots = engine.listing.slots.max(1);
            (engine.occupancy(need.entry_hosts, now), slots)
        };
        let room = |id: &&Id| {
            let (occupancy, slots) = busy(id);
            occupancy < slots * (1 + PLAIN_WAITING)
        };
        let open: Vec<&Id> = suitable.iter().filter(room).collect();
        if open.is_empty() {
            return None;
        }
        let first = open[rng.random_range(0..open.len())];
        let second = open[rng.random_range(0..open.len())];
        let share = |id: &Id| {
            let (occupancy, slots) = busy(id);
            f64::from(occupancy) / f64::from(slots)
        };
        let better = if share(second) < share(first) {
            second
        } else {
            first
        };
        Some(better.clone())
    }
}

/// Whether an engine may get the request at all.
fn suits(
    engine: &Engine,
    need: &Requirements<'_>,
    evacuated: &BTreeSet<DataCentre>,
    now: Instant,
) -> bool {
    let listing = &engine.listing;
    if listing.service != need.backend.name || listing.draining || engine.reported_unavailable(now)
    {
        return false;
    }
    if evacuated.contains(&listing.data_centre) || need.excluded.contains(&listing.id) {
        return false;
    }
    if !catalog::region_allowed(&listing.region, &need.route.regions, need.tenant_regions) {
        return false;
    }
    if need.backend.speed.is_none() {
        return true;
    }
    let version = engine.version(now);
    version.is_some_and(|version| version >= need.min_version)
}

/// Draws one by weight; nothing when all weights are zero.
fn draw<'a>(weighted: &[(&'a Id, f64)], rng: &mut impl Rng) -> Option<&'a Id> {
    let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut left = rng.random::<f64>() * total;
    let mut last = None;
    for (id, weight) in weighted.iter().filter(|(_, weight)| *weight > 0.0) {
        left -= weight;
        last = Some(*id);
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Delay after which a refused caller may find a place; drawn, so that callers who were refused
/// together do not come back together.
fn delay(rng: &mut impl Rng) -> Duration {
    rng.random_range(RETRY_MIN..RETRY_MAX)
}
