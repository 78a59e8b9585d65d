//! Choice of an engine among the eligible ones.

use {
    super::{Choice, Entry, Forecast, Refusal, Requirements, Reservation, Table, refusal},
    crate::{
        catalog,
        engine::{self, Engine},
        id::{DataCentre, Engine as Id},
        pace::Occupancy,
        quarantine::Instance,
    },
    rand::Rng,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Time that relaying adds to the first event: processing at this host and the network round trip.
pub(super) const RELAY_TIME: Duration = Duration::from_millis(25);
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
/// Power of an engine's expected time by which it is chosen less often. With 3 and 4, the loads of the
/// tests had up to 0.04 fewer answers in time; 10 was no better.
const SPEED_PREFERENCE: i32 = 6;
/// Weight of the share of occupied slots beside the expected time: an engine fills up before its answers
/// show that it is slow.
const CROWD_WEIGHT: f64 = 2.0;
/// Time after which half of what was known of an engine's occupancy is replaced by the mean of all.
const OCCUPANCY_HALF_LIFE: Duration = Duration::from_millis(500);
/// Share of the expected time within which work may end; it varies by about a half.
const OPTIMISTIC_SHARE: f64 = 0.5;
/// Multiple of the expected time that a request must have left to be sent to a slow engine, to learn
/// whether it is fast again.
const PROBE_MARGIN: u32 = 3;
/// Number of samples without which an engine may be faster than it seems.
const MIN_CONFIDENCE: f64 = 2.0;

impl Table {
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
            let limited = entry.engine.limited_for(requirements.place, now);
            let rest = entry.engine.resting_for(now).unwrap_or_default();
            let rest = rest.max(limited);
            if !rest.is_zero() {
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
        } else if self.is_uneven(&suitable, now) {
            self.choose_fast(&suitable, requirements, rng, now)
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

    fn reserve(&mut self, id: &Id, requirements: &Requirements<'_>, now: Instant) -> Choice {
        let entry = self.entries.get_mut(id).expect("chosen engine is listed");
        let Instance {
            engine: id,
            started,
            address,
            listed_at,
        } = entry.instance();
        let engine = &mut entry.engine;
        let speed = requirements.backend.speed.as_ref();
        let expected_first_event = speed.map(|s| {
            engine.time_to_first_event(s, requirements.prompt_tokens, requirements.place.hosts, now)
        });
        let hosts = requirements.place.hosts;
        let occupancy = engine.occupancy(hosts, now);
        let forecast = Forecast {
            occupancy,
            hosts,
            first_event: speed
                .map(|s| engine.forecast_first_event(s, requirements.prompt_tokens, hosts, now)),
        };
        let version = engine.version(now);
        let bound = version.and_then(|version| version_bound(version, requirements));
        let choice = Choice {
            reservation: Reservation {
                id,
                address,
                started,
                listed_at,
                generation: entry.generation,
                forecast,
            },
            data_centre: engine.listing.data_centre.clone(),
            expected_first_event,
            occupancy,
            load_age: engine.load_age(now),
            version,
            version_left: bound.map(|until| until.saturating_duration_since(now)),
        };
        engine.outlier.record_send(now);
        engine.start_request(requirements.place, now);
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

    /// Whether there is evidence that the engines without a model are not equally fast.
    fn is_uneven(&self, suitable: &[Id], now: Instant) -> bool {
        let mut engines = suitable.iter().map(|id| &self.entries[id].engine);
        engines.any(|engine| engine.pace.is_uneven(engine.listing.slots, now))
    }

    /// Chooses an engine without a model by the time in which it is expected to answer: at random, so
    /// that hosts do not all choose the same one, and first among those expected to answer in time.
    /// A request with much time left may go to a slow engine, to learn whether it is fast again.
    /// Chooses none if all have as many requests as they can run without loss, or if none can answer
    /// within the deadline.
    fn choose_fast(
        &mut self,
        suitable: &[Id],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Id> {
        let hosts = requirements.place.hosts;
        let (mut in_time, mut late) = (Draw::default(), Draw::default());
        let mut may_be_answered = false;
        let occupancies = suitable.iter().map(|id| &self.entries[id].engine);
        let sum: f64 = occupancies
            .map(|e| f64::from(e.occupancy(hosts, now)))
            .sum();
        let mean = sum / suitable.len() as f64;
        for id in suitable {
            let engine = &self.entries[id].engine;
            let load = present_load(engine, hosts, mean, now);
            let bound = load.slots.max(1).saturating_mul(1 + QUEUE_PER_SLOT);
            let limit = engine.pace.knee(load.slots, now).unwrap_or(bound);
            let expected = engine.pace.expected(load, now);
            let is_known = engine.pace.confidence(now) >= MIN_CONFIDENCE;
            let shortest = expected.filter(|_| is_known).unwrap_or_default();
            may_be_answered |= shortest.mul_f64(OPTIMISTIC_SHARE) <= requirements.deadline_left;
            if load.requests >= limit || engine.occupancy(hosts, now) >= bound {
                continue;
            }
            if let Some(expected) = expected
                && expected.saturating_mul(PROBE_MARGIN) <= requirements.time_left
                && engine.pace.is_probe_due(load, hosts, now)
            {
                return Some(id.clone());
            }
            let crowd = f64::from(load.requests) / f64::from(load.slots.max(1));
            let time = engine.pace.relative(load, now) * (1.0 + CROWD_WEIGHT * crowd);
            let weight = time.powi(-SPEED_PREFERENCE);
            if expected.is_none_or(|expected| expected <= requirements.time_left) {
                in_time.add(id, weight, rng);
            } else {
                late.add(id, weight, rng);
            }
        }
        if !may_be_answered {
            self.hopeless += 1;
            return None;
        }
        in_time.drawn.or(late.drawn).cloned()
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
            occupancy < slots.saturating_mul(1 + QUEUE_PER_SLOT)
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
        || engine.is_closed_by_leaving(now)
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
    version_bound(version, requirements).is_none_or(|until| {
        let begin = engine.time_to_first_event(
            speed,
            requirements.prompt_tokens,
            requirements.place.hosts,
            now,
        );
        now + version_allowance(begin, engine.is_reported(now)) <= until
    })
}

/// End of the time in which work on `version` may begin; `None` if no newer version is known.
fn version_bound(version: u64, requirements: &Requirements<'_>) -> Option<Instant> {
    let newer = requirements.version_bounds.iter();
    let newer = newer.filter(|bound| bound.version > version);
    newer.map(|bound| bound.until).min()
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

/// Requests at an engine now: the longer ago its load was observed, the nearer to `mean`.
fn present_load(engine: &Engine, hosts: usize, mean: f64, now: Instant) -> Occupancy {
    let age = engine.load_age(now).unwrap_or(Duration::MAX).as_secs_f64();
    let share = (-age / OCCUPANCY_HALF_LIFE.as_secs_f64()).exp2();
    let known = f64::from(engine.occupancy(hosts, now));
    let requests = (known * share + mean * (1.0 - share)).round() as u32;
    Occupancy {
        requests: requests.max(engine.in_flight),
        slots: engine.listing.slots,
    }
}

/// Random draw by weight among ids that are added one by one.
#[derive(Default)]
struct Draw<'a> {
    total: f64,
    drawn: Option<&'a Id>,
}

impl<'a> Draw<'a> {
    fn add(&mut self, id: &'a Id, weight: f64, rng: &mut impl Rng) {
        // An infinite weight would leave no chance to any other engine.
        let weight = weight.clamp(f64::MIN_POSITIVE, 1e12);
        self.total += weight;
        if rng.random::<f64>() * self.total < weight || self.drawn.is_none() {
            self.drawn = Some(id);
        }
    }
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
