//! Tests that facts about an engine hold for one process of it only.

mod engines;

use {
    engines::{Fixture, listing, only_host, report, requirements},
    jayspread_core::{
        engine::{
            Listing, Report,
            leaving::{Change, News, TRIAL_INTERVAL},
        },
        id::Started,
        mirror::Position,
        placement::{LISTING_GRACE, Reservation},
    },
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// News that a process, whose record was at `offset`, said at `said_at` that it leaves.
fn news(engine: &str, started: Started, offset: u64, said_at: Instant) -> News {
    News {
        engine: engine.into(),
        started,
        position: position(offset),
        said_at,
    }
}

fn position(offset: u64) -> Position {
    Position { era: 0, offset }
}

/// Listing of the engine `a` by the record at `offset`, with the start that it states, if any.
fn record(started_ms: Started, offset: u64) -> Listing {
    Listing {
        started_ms,
        position: position(offset),
        ..listing("a", 1, "r1")
    }
}

// Guards against hosts that pass on "leaving" to an engine that has started again under its id.
#[test]
fn late_news_of_leaving_does_not_mark_the_next_process() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let mut restarted = listing("a", 1, "r1");
    restarted.started_ms = Some(2);
    fixture.table.add_listing(restarted, fixture.now);
    let now = fixture.now;
    assert!(!fixture.table.hear_leaving(&news("a", Some(1), 0, now)));
    assert!(!fixture.table.hear_leaving(&news("a", None, 0, now)));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    assert_eq!(fixture.table.announced_leaving().count(), 0);
}

#[test]
fn news_of_leaving_marks_the_process_that_it_names() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let news = news("a", Some(1), 0, fixture.now);
    assert!(fixture.table.hear_leaving(&news));
    assert!(!fixture.table.hear_leaving(&news), "known");
    assert!(fixture.choose().is_err());
    let announced: Vec<_> = fixture.table.announced_leaving().collect();
    assert_eq!(announced, [news]);
}

/// Guards against hosts that never hear of an engine that is leaving because many others are.
#[test]
fn all_of_many_leaving_engines_are_told_in_time() {
    const MAX_TOLD: usize = 32;
    let ids: Vec<String> = (0..100).map(|number| format!("i-{number:02}")).collect();
    let engines: Vec<_> = ids.iter().map(|id| (id.as_str(), "r1")).collect();
    let mut fixture = Fixture::new(&engines);
    for id in &ids {
        let news = news(id, Some(1), 0, fixture.now);
        assert!(fixture.table.hear_leaving(&news));
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut told = BTreeSet::new();
    for _ in 0..30 {
        let some = fixture.table.sample_leaving(MAX_TOLD, &mut rng);
        assert_eq!(some.len(), MAX_TOLD);
        told.extend(some.into_iter().map(|news| news.engine));
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

/// Sends a request to the engine `a`, whose answer says whether it leaves.
fn exchange(fixture: &mut Fixture, leaving: bool) -> bool {
    let Some(reservation) = send(fixture) else {
        return false;
    };
    let now = fixture.now;
    let table = &mut fixture.table;
    table.apply_leaving(&reservation, leaving, now, now);
    table.release(&reservation, None, now);
    true
}

fn send(fixture: &mut Fixture) -> Option<Reservation> {
    let requirements = requirements(&fixture.route, &fixture.backend);
    let (table, rng) = (&mut fixture.table, &mut fixture.rng);
    let choice = table.choose(&requirements, rng, fixture.now).ok()?;
    Some(choice.reservation)
}

// Guards against marking an engine that has started again, when its processes state no start or the
// same: a host that stood still knows no record of the later one.
#[rstest]
#[case::without_a_start(None)]
#[case::with_the_same_start(Some(1))]
fn news_from_before_the_first_record_of_a_process_does_not_mark_it(#[case] started: Started) {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(started, 5), fixture.now);
    let now = fixture.now;
    assert!(!fixture.table.hear_leaving(&news("a", started, 4, now)));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    assert!(fixture.table.hear_leaving(&news("a", started, 5, now)));
    assert!(fixture.choose().is_err());
}

// Guards against a process that is never used because an earlier one that stated the same start was
// leaving when its record was removed.
#[test]
fn engine_that_starts_again_with_the_same_start_is_tried() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(Some(1), 1), fixture.now);
    assert!(exchange(&mut fixture, true));
    fixture.table.remove_listing("a", None, fixture.now);
    fixture.table.add_listing(record(Some(1), 3), fixture.now);
    assert!(send(&mut fixture).is_none(), "it may be the same process");
    fixture.now += TRIAL_INTERVAL;
    assert!(exchange(&mut fixture, false));
    assert!(exchange(&mut fixture, false), "its answer took it back");
    assert_eq!(fixture.table.announced_leaving().count(), 0);
}

// Guards against sending many requests to an engine that is still leaving.
#[test]
fn leaving_engine_gets_one_request_in_each_interval() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(Some(1), 1), fixture.now);
    assert!(exchange(&mut fixture, true));
    for _ in 0..3 {
        fixture.now += TRIAL_INTERVAL;
        let trial = send(&mut fixture).expect("a trial is due");
        assert!(send(&mut fixture).is_none(), "one is under way");
        let now = fixture.now;
        fixture.table.apply_leaving(&trial, true, now, now);
        fixture.table.release(&trial, None, now);
        assert!(send(&mut fixture).is_none());
    }
}

// Guards against an answer that was under way before the engine decided to leave.
#[test]
fn answer_to_an_earlier_request_does_not_take_leaving_back() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(Some(1), 1), fixture.now);
    let earlier = send(&mut fixture).expect("it is ready");
    let sent_at = fixture.now;
    fixture.now += Duration::from_millis(50);
    assert!(exchange(&mut fixture, true));
    let now = fixture.now;
    fixture.table.apply_leaving(&earlier, false, sent_at, now);
    assert!(send(&mut fixture).is_none());
}

// Guards against hosts that keep each other's news alive: each time that it is told it seems later by
// the time that it was under way.
#[test]
fn hosts_do_not_renew_each_others_news() {
    let mut hosts = [Fixture::new(&[]), Fixture::new(&[])];
    for host in &mut hosts {
        host.table.add_listing(record(None, 1), host.now);
    }
    assert!(exchange(&mut hosts[0], true));
    let step = Duration::from_millis(200);
    let mut waited = Duration::ZERO;
    while waited < TRIAL_INTERVAL + step {
        for (from, to) in [(0, 1), (1, 0)] {
            let told: Vec<News> = hosts[from].table.announced_leaving().collect();
            for mut news in told {
                news.said_at += step;
                hosts[to].table.hear_leaving(&news);
            }
        }
        waited += step;
        for host in &mut hosts {
            host.now += step;
        }
    }
    for host in &mut hosts {
        assert!(exchange(host, false));
        assert!(exchange(host, false));
    }
}

// Guards against a host that still refuses requests after the agent of an engine that has started again
// reports that it is not leaving.
#[test]
fn report_takes_back_what_an_earlier_report_said() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    for (uptime, leaving) in [(100, true), (200, false)] {
        fixture.now += Duration::from_millis(100);
        let mut report = report(0, 0, only_host());
        report.sent.uptime = Duration::from_millis(uptime);
        report.leaving = leaving;
        fixture.apply_report(1, report);
        assert_eq!(fixture.choose().is_err(), leaving);
    }
}

// Guards against a process that is never used because its record follows, without a removal, that of an
// earlier process with the same start that drained.
#[rstest]
#[case::without_a_start(None)]
#[case::with_the_same_start(Some(1))]
fn engine_that_is_ready_after_it_drained_is_tried(#[case] started: Started) {
    let mut fixture = Fixture::new(&[]);
    let draining = Listing {
        draining: true,
        ..record(started, 1)
    };
    fixture.table.add_listing(draining, fixture.now);
    fixture.now += TRIAL_INTERVAL;
    assert!(send(&mut fixture).is_none(), "the list says that it drains");
    fixture.table.add_listing(record(started, 2), fixture.now);
    assert!(send(&mut fixture).is_none(), "the record may be a late one");
    fixture.now += TRIAL_INTERVAL;
    assert!(exchange(&mut fixture, false));
    assert!(exchange(&mut fixture, false));
}

// Guards against taking the next process at an address for the one that crashed there, when neither
// states a start: its callers' connections, crashes and findings would count for one process.
#[test]
fn processes_without_a_start_are_told_apart_by_their_records() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(None, 1), fixture.now);
    let earlier = send(&mut fixture).expect("it is ready").instance();
    fixture.table.add_listing(record(None, 2), fixture.now);
    let updated = send(&mut fixture).expect("it is ready").instance();
    assert_eq!(earlier, updated, "not removed in between");
    assert!(!fixture.table.is_replaced(&earlier));
    fixture.table.remove_listing("a", None, fixture.now);
    assert!(!fixture.table.is_replaced(&earlier), "it may still answer");
    fixture.table.add_listing(record(None, 4), fixture.now);
    let later = send(&mut fixture).expect("it is ready").instance();
    assert_ne!(earlier, later);
    assert_ne!(earlier.crash(), later.crash());
    assert!(fixture.table.is_replaced(&earlier));
    assert!(!fixture.table.is_replaced(&later));
}

// Guards against counting the crash of one process twice: hosts know it by different records if its
// entry expired and came back.
#[test]
fn process_with_a_start_is_the_same_after_its_record_came_back() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(Some(1), 1), fixture.now);
    let earlier = send(&mut fixture).expect("it is ready").instance();
    fixture.table.remove_listing("a", None, fixture.now);
    fixture.table.add_listing(record(Some(1), 3), fixture.now);
    let later = send(&mut fixture).expect("it is ready").instance();
    assert_eq!(earlier.crash(), later.crash());
    assert!(!fixture.table.is_replaced(&earlier));
}

// Guards against a host that was paused and closes an engine at hosts that use it already: it tells
// them what it only infers from the records that it reads when it goes on.
#[rstest]
#[case::listed_as_ready(false)]
#[case::removed_and_listed_again(true)]
fn what_a_host_infers_from_records_is_not_told(#[case] removed: bool) {
    let mut fixture = Fixture::new(&[]);
    let draining = Listing {
        draining: true,
        ..record(Some(1), 1)
    };
    fixture.table.add_listing(draining, fixture.now);
    if removed {
        fixture.table.remove_listing("a", None, fixture.now);
    }
    fixture.table.add_listing(record(Some(1), 3), fixture.now);
    assert!(send(&mut fixture).is_none(), "it may be the same process");
    assert_eq!(fixture.table.announced_leaving().count(), 0);
}

// Guards against news that marks the next process because it seems to be about a later record than the
// one that was known when the engine said so.
#[test]
fn news_keeps_the_record_that_was_known_when_the_engine_said_so() {
    let mut hosts = [Fixture::new(&[]), Fixture::new(&[])];
    for host in &mut hosts {
        host.table.add_listing(record(None, 1), host.now);
    }
    let [told, tells] = &mut hosts;
    assert!(exchange(told, true));
    for news in told.table.announced_leaving() {
        assert!(tells.table.hear_leaving(&news));
    }
    for host in &mut hosts {
        host.table.add_listing(record(None, 7), host.now);
        let told: Vec<News> = host.table.announced_leaving().collect();
        assert_eq!(told.len(), 1);
        assert_eq!(told[0].position, position(1));
    }
}

// Guards against an engine that is used again without a line that says so.
#[test]
fn answer_that_takes_leaving_back_is_a_change() {
    let mut fixture = Fixture::new(&[]);
    fixture.table.add_listing(record(None, 1), fixture.now);
    let reservation = send(&mut fixture).expect("it is ready");
    let start = fixture.now;
    let mut apply = |leaving, ms| {
        let at = start + Duration::from_millis(ms);
        fixture.table.apply_leaving(&reservation, leaving, at, at)
    };
    assert_eq!(apply(false, 0), None);
    assert_eq!(apply(true, 10), Some(Change::Began));
    assert_eq!(apply(true, 20), None);
    assert_eq!(apply(false, 5), None, "an earlier request");
    assert_eq!(apply(false, 30), Some(Change::Ended));
    assert_eq!(apply(false, 40), None);
}
