//! Refusal of a request that is sent to no engine.

use {
    super::{Requirements, Table},
    crate::{comeback::Supply, engine::Engine},
    rand::Rng,
    std::time::{Duration, Instant},
};

/// Shortest delay suggested to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(950);
/// Longest delay suggested to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_900);

/// Why no engine was chosen, with the delay after which the caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No engine may serve the request.
    NoEngine(Duration),
    /// All engines are too busy to answer in time.
    Busy(Duration),
    /// The engines can't take all requests, and more urgent ones go first.
    Shed(Duration),
    /// The engines have asked this host to send nothing for this time.
    Resting(Duration),
    /// A part of the prompt crashes engines; it is refused for this time.
    Quarantined(Duration),
}

impl Refusal {
    /// Delay after which the caller should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Refusal::NoEngine(delay)
            | Refusal::Busy(delay)
            | Refusal::Shed(delay)
            | Refusal::Resting(delay)
            | Refusal::Quarantined(delay) => delay,
        }
    }

    /// The same refusal with another delay, unless the engines or the prompt determine it.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        match self {
            Refusal::NoEngine(_) => Refusal::NoEngine(delay),
            Refusal::Busy(_) => Refusal::Busy(delay),
            Refusal::Shed(_) => Refusal::Shed(delay),
            Refusal::Resting(_) | Refusal::Quarantined(_) => self,
        }
    }

    /// Short name for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NoEngine(_) => "no_engine",
            Refusal::Busy(_) => "busy",
            Refusal::Shed(_) => "shed",
            Refusal::Resting(_) => "resting",
            Refusal::Quarantined(_) => "quarantined",
        }
    }
}

/// Delay after which a refused caller should retry; random, so that callers refused together do not
/// return together.
pub(super) fn retry_delay(rng: &mut impl Rng) -> Duration {
    rng.random_range(RETRY_AFTER_MIN..RETRY_AFTER_MAX)
}

impl Table {
    /// Mean number of free slots of the engines that may run requests such as this one, without its
    /// restriction to regions: those of this host's region, or else of all. Negative where requests
    /// queue; `None` if no agent has reported recently.
    pub fn free_slots(&self, requirements: &Requirements<'_>, now: Instant) -> Option<f64> {
        let (mut regional, mut all) = (Mean::default(), Mean::default());
        for entry in self.entries.values() {
            let engine = &entry.engine;
            let is_evacuated = self.evacuated.contains(&engine.listing.data_centre);
            if is_evacuated || !is_open(engine, requirements, now) {
                continue;
            }
            let occupancy = engine.occupancy(requirements.place.hosts, now);
            let free = f64::from(engine.listing.slots) - f64::from(occupancy);
            all.add(free);
            if *engine.listing.region == *requirements.region {
                regional.add(free);
            }
        }
        regional.get().or(all.get())
    }
}

impl Table {
    /// The engines that a refused request could use, now or later.
    pub fn supply(&self, requirements: &Requirements<'_>, now: Instant) -> Supply {
        let mut supply = Supply::default();
        let of_service = self.entries.iter().filter(|(_, entry)| {
            let listing = &entry.engine.listing;
            listing.service == requirements.backend.name
                && !self.evacuated.contains(&listing.data_centre)
                && !entry.engine.is_closed_by_leaving(now)
        });
        for (id, entry) in of_service {
            if entry.engine.reported_unavailable(now) {
                supply.closed.push(id.clone());
            } else if let Some(rest) = entry.engine.resting_for(now) {
                supply.ends.push(rest);
            } else if !entry.engine.is_cold(now) {
                supply.open += 1;
            }
        }
        supply
    }
}

/// Whether an engine takes requests of a service at its full rate, as its agent reports.
fn is_open(engine: &Engine, requirements: &Requirements<'_>, now: Instant) -> bool {
    let bounds = requirements.version_bounds.iter();
    let mut ended = bounds.filter(|bound| bound.until <= now);
    let has_version = |version| !ended.any(|bound| bound.version > version);
    engine.listing.service == requirements.backend.name
        && engine.is_reported(now)
        && !engine.reported_unavailable(now)
        && !engine.is_closed_by_leaving(now)
        && !engine.is_cold(now)
        && engine.resting_for(now).is_none()
        && engine.version(now).is_some_and(has_version)
}

/// Mean of some numbers.
#[derive(Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, number: f64) {
        self.sum += number;
        self.count += 1;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}
