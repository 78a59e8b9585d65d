//! Where requests go and which are refused, by what the platform says of engines.

mod fleet;

use {
    fleet::{Fixture, alone, listing, need, report, route},
    jayspread_core::{
        engine::Report,
        outlier::Outcome,
        placement::{LISTING_GRACE, Refusal},
    },
    rstest::rstest,
    std::collections::BTreeSet,
};

#[test]
fn drain_sends_nothing_to_a_leaving_engine() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    let mut leaving = listing("a", 1, "r1");
    leaving.draining = true;
    f.table.add_listing(leaving, f.now);
    for _ in 0..20 {
        assert_ne!(f.choose().ok().as_deref(), Some("a"));
    }
}

#[test]
fn evac_sends_nothing_into_an_emptied_data_centre() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.table.set_evacuated(BTreeSet::from(["r1-a".into()]));
    for _ in 0..10 {
        assert_eq!(f.choose().as_deref(), Ok("b"));
    }
    f.table.set_evacuated(BTreeSet::new());
    assert_eq!(f.choose().as_deref(), Ok("a"), "own region again");
}

#[rstest]
#[case::of_the_route(&["r2"], &[])]
#[case::of_the_organisation(&[], &["r2"])]
#[case::of_both(&["r1", "r2"], &["r2", "r3"])]
fn home_regions_bind(#[case] routes: &[&str], #[case] organisation: &[&str]) {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2"), ("c", "r3")]);
    f.route = route(routes);
    let regions: Vec<Box<str>> = organisation.iter().map(|r| Box::from(*r)).collect();
    for _ in 0..10 {
        let mut need = need(&f.route, &f.backend);
        need.tenant_regions = &regions;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("r2 has room");
        assert_eq!(&*choice.reservation.id, "b");
    }
}

#[test]
fn home_regions_that_exclude_each_other_are_refused() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.route = route(&["r1"]);
    let regions: [Box<str>; 1] = ["r2".into()];
    let mut need = need(&f.route, &f.backend);
    need.tenant_regions = &regions;
    let refused = f.table.choose(&need, &mut f.rng, f.now);
    assert!(matches!(refused, Err(Refusal::NoEngine(_))));
}

#[test]
fn version_that_is_past_its_bound_begins_nothing() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    f.hear(
        2,
        Report {
            version: Some(2),
            ..report(0, 0, alone())
        },
    );
    for _ in 0..10 {
        let mut need = need(&f.route, &f.backend);
        need.min_version = 2;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("b serves it");
        assert_eq!(&*choice.reservation.id, "b");
    }
}

#[test]
fn whole_versions_only() {
    let mut f = Fixture::new(&[]);
    let mut partial = listing("a", 1, "r1");
    partial.loaded.as_mut().expect("has a version").complete = false;
    f.table.add_listing(partial, f.now);
    assert!(matches!(f.choose(), Err(Refusal::NoEngine(_))));
}

#[test]
fn an_engine_about_to_load_gets_nothing() {
    let mut f = Fixture::new(&[("a", "r1")]);
    f.hear(
        1,
        Report {
            closed: true,
            ..report(0, 0, alone())
        },
    );
    assert!(matches!(f.choose(), Err(Refusal::NoEngine(_))));
}

/// The store was away: a listing that lapsed may come back, and is gone when it does not.
#[test]
fn a_listing_that_lapsed_in_an_outage_comes_back_or_goes() {
    let mut f = Fixture::new(&[("a", "r1")]);
    f.table.remove_listing("a", Some(f.now + LISTING_GRACE));
    assert_eq!(f.choose().as_deref(), Ok("a"));
    f.now += LISTING_GRACE;
    assert!(f.choose().is_err(), "not back in time");
    assert_eq!(f.table.remove_expired(f.now), vec![Box::from("a")]);

    let mut f = Fixture::new(&[("a", "r1")]);
    f.table.remove_listing("a", Some(f.now + LISTING_GRACE));
    f.table.add_listing(listing("a", 1, "r1"), f.now);
    f.now += LISTING_GRACE;
    f.hear(1, report(0, 0, alone()));
    assert_eq!(f.choose().as_deref(), Ok("a"));
}

#[test]
fn route_does_not_follow_an_address_to_another_engine() {
    let mut f = Fixture::new(&[("a", "r1")]);
    let need = need(&f.route, &f.backend);
    let ticket = f
        .table
        .choose(&need, &mut f.rng, f.now)
        .expect("room")
        .reservation;
    f.table.remove_listing("a", None);
    let mut other = listing("z", 1, "r1");
    other.service = "t".into();
    f.table.add_listing(other, f.now);
    assert!(!f.table.is_current(&ticket));
    assert!(
        f.choose().is_err(),
        "the address belongs to another service"
    );
    assert!(!f.table.release(&ticket, Some(Outcome::Failure), f.now));
}

#[test]
fn a_life_that_starts_again_under_its_id_begins_from_nothing() {
    let mut f = Fixture::new(&[("a", "r1")]);
    let need = need(&f.route, &f.backend);
    let ticket = f
        .table
        .choose(&need, &mut f.rng, f.now)
        .expect("room")
        .reservation;
    let mut again = listing("a", 1, "r1");
    again.started_ms = Some(2);
    assert!(f.table.add_listing(again, f.now), "a new life");
    f.table.release(&ticket, None, f.now);
    let engine = f.table.iter().next().expect("listed");
    assert_eq!(engine.in_flight, 0);
}

#[test]
fn a_request_goes_to_another_engine_the_second_time() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    let avoid: [Box<str>; 1] = ["a".into()];
    for _ in 0..10 {
        let mut need = need(&f.route, &f.backend);
        need.excluded = &avoid;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("b has room");
        assert_eq!(&*choice.reservation.id, "b");
    }
}

#[test]
fn an_engine_whose_answers_fail_is_left_out() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    for _ in 0..12 {
        let need = need(&f.route, &f.backend);
        let Ok(choice) = f.table.choose(&need, &mut f.rng, f.now) else {
            continue;
        };
        let verdict = if &*choice.reservation.id == "a" {
            Outcome::Failure
        } else {
            Outcome::Success
        };
        f.table.release(&choice.reservation, Some(verdict), f.now);
    }
    f.hear(1, report(0, 0, alone()));
    f.hear(2, report(0, 0, alone()));
    for _ in 0..10 {
        assert_eq!(f.choose().as_deref(), Ok("b"));
    }
}
