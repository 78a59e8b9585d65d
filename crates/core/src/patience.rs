//! Decides how long a request waits for a free engine, and in which order requests get one.

use std::{collections::BTreeSet, time::Duration};

/// A first attempt waits for the route's latency target divided by this; after that, an early refusal
/// serves the caller better.
const WAIT_DIVISOR: u32 = 8;
/// Time for which a further attempt waits.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// A request that needs an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether it was sent to an engine before.
    pub was_sent: bool,
    /// Latency target of its route.
    pub latency_target: Duration,
    /// Time since it arrived.
    pub age: Duration,
}

impl Request {
    /// Time for which the request waits at most. A caller's retry waits as long as its first try: it
    /// is given up if it is refused again.
    pub fn wait(&self) -> Duration {
        if self.was_sent {
            return RETRY_WAIT;
        }
        let limit = self.latency_target / WAIT_DIVISOR;
        limit.saturating_sub(self.age)
    }
}

/// Rank of a request among those that wait for an engine of a service: by class and, inside a class,
/// callers that return first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority in force; 0 is the most urgent.
    pub class: u8,
    /// Whether it is a caller's first try.
    pub is_first_try: bool,
}

/// Place of a request in the line; those before it have a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    rank: Rank,
    number: u64,
}

/// Requests that wait for an engine of a service, in the order in which they get one.
#[derive(Debug, Default)]
pub struct Line {
    places: BTreeSet<Place>,
    last_number: u64,
}

impl Line {
    /// Adds a request behind those of its rank.
    pub fn join(&mut self, rank: Rank) -> Place {
        self.last_number += 1;
        let number = self.last_number;
        let place = Place { rank, number };
        self.places.insert(place);
        place
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, place: Place) {
        self.places.remove(&place);
    }

    /// Whether no request of a better rank waits.
    pub fn is_next(&self, rank: Rank) -> bool {
        self.places.first().is_none_or(|first| first.rank >= rank)
    }

    /// Whether a request of a worse rank waits.
    pub fn has_behind(&self, rank: Rank) -> bool {
        self.places.last().is_some_and(|last| last.rank > rank)
    }

    /// Requests that wait, in their order.
    pub fn places(&self) -> impl Iterator<Item = Place> {
        self.places.iter().copied()
    }
}
