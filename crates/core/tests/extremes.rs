//! Numbers from outside at the ends of their ranges must not overflow in the decisions on engines.

mod engines;

use {
    engines::{Fixture, listing},
    rstest::rstest,
    std::time::Duration,
};

/// Guards against a panic while the engines are locked, after which no request can be placed, when
/// an engine is listed as cold for longer than an `Instant` can hold.
#[rstest]
#[case::new_engine("b")]
#[case::known_engine("a")]
fn engine_that_stays_cold_for_ever_is_listed(#[case] id: &str) {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let number = if id == "a" { 1 } else { 2 };
    let mut cold = listing(id, number, "r1");
    cold.cold_remaining = Duration::MAX;
    fixture.table.add_listing(cold, fixture.now);
    let engine = fixture.table.iter().find(|e| &*e.listing.id == id);
    assert!(engine.expect("is listed").is_cold(fixture.now));
    assert!(fixture.choose().is_ok());
}
