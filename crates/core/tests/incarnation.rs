//! Tests that facts about an engine hold for one process of it only.

mod engines;

use {
    engines::{Fixture, listing, only_host, report},
    jayspread_core::{
        engine::{Listing, Report},
        placement::LISTING_GRACE,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::collections::BTreeSet,
};

// Guards against hosts that pass on "leaving" to an engine that has started again under its id.
#[test]
fn late_news_of_leaving_does_not_mark_the_next_process() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let mut restarted = listing("a", 1, "r1");
    restarted.started_ms = Some(2);
    fixture.table.add_listing(restarted, fixture.now);
    assert!(!fixture.table.set_instance_leaving("a", Some(1)));
    assert!(!fixture.table.set_instance_leaving("a", None));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    assert_eq!(fixture.table.announced_leaving().count(), 0);
}

#[test]
fn news_of_leaving_marks_the_process_that_it_names() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    assert!(fixture.table.set_instance_leaving("a", Some(1)));
    assert!(!fixture.table.set_instance_leaving("a", Some(1)), "known");
    assert!(fixture.choose().is_err());
    let announced: Vec<_> = fixture.table.announced_leaving().collect();
    assert_eq!(announced, [(&"a".into(), Some(1))]);
}

/// Guards against hosts that never hear of an engine that is leaving because many others are.
#[test]
fn all_of_many_leaving_engines_are_told_in_time() {
    const MAX_TOLD: usize = 32;
    let ids: Vec<String> = (0..100).map(|number| format!("i-{number:02}")).collect();
    let engines: Vec<_> = ids.iter().map(|id| (id.as_str(), "r1")).collect();
    let mut fixture = Fixture::new(&engines);
    for id in &ids {
        assert!(fixture.table.set_instance_leaving(id, Some(1)));
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut told = BTreeSet::new();
    for _ in 0..30 {
        let some = fixture.table.sample_leaving(MAX_TOLD, &mut rng);
        assert_eq!(some.len(), MAX_TOLD);
        told.extend(some.into_iter().map(|(id, _)| id.clone()));
    }
    assert_eq!(told.len(), ids.len());
}

/// A listing of the process of the engine `a` that started at `started_ms`.
fn process(started_ms: u64) -> Listing {
    Listing {
        started_ms: Some(started_ms),
        ..listing("a", 1, "r1")
    }
}

fn draining(started_ms: u64) -> Listing {
    Listing {
        draining: true,
        ..process(started_ms)
    }
}

// Guards against taking all records of an engine for older copies, its leaving among them, after its
// clock was set back between two starts.
#[test]
fn process_that_started_on_a_clock_set_back_replaces_the_earlier_one() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    fixture.table.add_listing(process(5_000), fixture.now);
    assert!(fixture.table.add_listing(process(2_600), fixture.now));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    assert!(!fixture.table.add_listing(draining(2_600), fixture.now));
    assert!(fixture.choose().is_err());
}

// Guards against giving the reports of a process to an earlier one at its address with a later clock.
#[test]
fn reports_go_to_the_process_that_they_name_whatever_its_clock() {
    let mut fixture = Fixture::new(&[]);
    let earlier = Listing {
        id: "b".into(),
        ..process(5_000)
    };
    let address = earlier.address;
    fixture.table.add_listing(earlier, fixture.now);
    fixture.table.add_listing(process(2_600), fixture.now);
    let closed = Report {
        closed: true,
        ..report(0, 0, only_host())
    };
    assert!(
        fixture
            .table
            .apply_report(address, 2_600, closed.clone(), fixture.now)
    );
    assert_eq!(fixture.choose().as_deref(), Ok("b"));
    assert!(
        !fixture
            .table
            .apply_report(address, 4_000, closed, fixture.now)
    );
}

// Guards against a late record of an earlier process that takes back that the later one leaves.
#[test]
fn process_that_is_listed_again_is_still_leaving() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    fixture.table.add_listing(draining(2), fixture.now);
    fixture.table.add_listing(process(1), fixture.now);
    fixture.table.add_listing(process(2), fixture.now);
    assert!(fixture.choose().is_err());
    fixture.table.add_listing(process(3), fixture.now);
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

// Guards against leaving out, for good, a process that a copy of the list names after an earlier one of
// its id was removed.
#[test]
fn copy_of_the_list_brings_another_process_at_once() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    fixture.table.remove_listing("a", None, fixture.now);
    let until = fixture.now + LISTING_GRACE;
    let added = fixture
        .table
        .add_copied_listing(process(2), until, fixture.now);
    assert_eq!(added, Some(true));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

// Guards against leaving out, for good, an engine that runs on after its record was removed and came
// back in a copy: the store gets no record of it while nothing changes.
#[test]
fn doubted_process_is_used_if_no_record_refutes_it() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    fixture.table.remove_listing("a", None, fixture.now);
    let until = fixture.now + LISTING_GRACE;
    let added = fixture
        .table
        .add_copied_listing(process(1), until, fixture.now);
    assert_eq!(added, None);
    assert!(fixture.table.list_doubted(fixture.now).is_empty());
    assert!(fixture.choose().is_err());
    fixture.now = until;
    assert_eq!(fixture.table.list_doubted(until), [Box::from("a")]);
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

#[test]
fn doubted_process_whose_record_is_removed_stays_gone() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    fixture.table.add_listing(process(2), fixture.now);
    let until = fixture.now + LISTING_GRACE;
    let added = fixture
        .table
        .add_copied_listing(process(1), until, fixture.now);
    assert_eq!(added, None, "the later one goes on");
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    fixture.table.remove_listing("a", None, fixture.now);
    assert!(fixture.table.list_doubted(until).is_empty());
    assert!(fixture.choose().is_err());
}
