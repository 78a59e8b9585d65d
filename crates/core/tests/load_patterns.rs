//! Tests of the placement and refusal of requests under different patterns of load.

mod engines;

use {
    engines::{Fixture, SLOTS, backend, listing, only_host, report, requirements, route, speed},
    jayspread_core::{
        engine::{Place, Report, Rotation},
        placement::{Refusal, Requirements, Table},
    },
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// All hosts together stay within the request rate of a cold engine in every second.
#[rstest]
#[case(1)]
#[case(9)]
#[case(148)]
fn cold_limit_holds_over_all_hosts(#[case] hosts: usize) {
    let start = Instant::now();
    let mut tables: Vec<Table> = (0..hosts).map(|_| Table::default()).collect();
    let mut cold = listing("a", 1, "r1");
    cold.cold_remaining = Duration::from_secs(3);
    cold.slots = 10_000;
    for table in &mut tables {
        table.add_listing(cold.clone(), start);
    }
    let mut backend = backend(None);
    backend.cold_rate = 38.0;
    let route = route(&[]);
    let mut rng = StdRng::seed_from_u64(3);
    let mut sent = Vec::new();
    for ms in 0..2_900_u64 {
        let now = start + Duration::from_millis(ms);
        for (index, table) in tables.iter_mut().enumerate() {
            let requirements = Requirements {
                place: Place { index, hosts },
                ..requirements(&route, &backend)
            };
            if let Ok(choice) = table.choose(&requirements, &mut rng, now) {
                table.release(&choice.reservation, None, now);
                sent.push(ms);
            }
        }
    }
    for end in &sent {
        let in_window = sent
            .iter()
            .filter(|t| *t <= end && end - **t < 1_000)
            .count();
        assert!(
            in_window as f64 <= 38.0 * 1.5 + 5.0,
            "{in_window} in a second"
        );
    }
    assert!(sent.len() > 50, "a cold engine gets some requests");
}

/// In a burst on full engines, requests that cannot be answered in time are refused at once.
#[test]
fn burst_on_full_engines_is_refused() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    fixture.apply_report(1, report(SLOTS, 6, only_host()));
    fixture.apply_report(2, report(SLOTS, 8, only_host()));
    let Err(Refusal::Busy(delay)) = fixture.choose() else {
        panic!("not refused although all engines are full");
    };
    assert!(delay > Duration::ZERO);
}

/// A prompt that is too long to be prefilled in time is placed on an engine with free slots, but not
/// queued behind other requests.
#[test]
fn late_long_prompt_is_placed_only_on_free_slots() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    fixture.apply_report(1, report(SLOTS, 1, only_host()));
    fixture.apply_report(2, report(4, 0, only_host()));
    let mut requirements = requirements(&fixture.route, &fixture.backend);
    requirements.prompt_tokens = 20_000;
    let choice = fixture
        .table
        .choose(&requirements, &mut fixture.rng, fixture.now)
        .expect("b has free slots");
    assert_eq!(&*choice.reservation.id, "b");
    fixture.apply_report(2, report(SLOTS, 1, only_host()));
    let (route, backend) = (fixture.route.clone(), fixture.backend.clone());
    let mut requirements = self::requirements(&route, &backend);
    requirements.prompt_tokens = 20_000;
    assert!(
        fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .is_err()
    );
}

/// Nine hosts get the same report of an engine and do not know of each other's requests. Together
/// they send no more requests than it has room for.
#[rstest]
#[case::one_slot_free(15, 3)]
#[case::four_slots_free(12, 6)]
#[case::empty(0, 16)]
fn hosts_with_the_same_report_do_not_overload_an_engine(
    #[case] running: u32,
    #[case] max_sent: usize,
) {
    let hosts = 9;
    let start = Instant::now();
    let (route, backend) = (route(&[]), backend(Some(speed())));
    let mut rng = StdRng::seed_from_u64(5);
    for round in 0..20 {
        let mut sent = 0;
        let mut sent_by_host = BTreeMap::new();
        for index in 0..hosts {
            let mut table = Table::default();
            table.add_listing(listing("a", 1, "r1"), start);
            let rotation = Rotation::new(index, hosts, round);
            let address = SocketAddr::from(([127, 0, 0, 1], 80));
            table.apply_report(address, 1, report(running, 0, rotation), start);
            for _ in 0..10 {
                let requirements = Requirements {
                    place: Place { index, hosts },
                    ..requirements(&route, &backend)
                };
                if table.choose(&requirements, &mut rng, start).is_ok() {
                    sent += 1;
                    *sent_by_host.entry(index).or_insert(0) += 1;
                }
            }
        }
        assert!(
            sent <= max_sent,
            "{sent} requests sent, room for {max_sent}"
        );
        assert!(sent > 0);
        assert!(
            sent_by_host
                .values()
                .all(|count| *count <= max_sent.div_ceil(hosts))
        );
    }
}

/// With one free slot per report, every host gets a slot over several reports.
#[test]
fn free_slots_rotate_among_hosts() {
    let hosts = 6;
    let mut served = BTreeSet::new();
    // Hosts of other regions get only every third report.
    for round in (0..60).step_by(3) {
        for index in 0..hosts {
            let mut fixture = Fixture::new(&[("a", "r1")]);
            fixture.apply_report(1, report(SLOTS + 1, 0, Rotation::new(index, hosts, round)));
            if fixture.choose().is_ok() {
                served.insert(index);
            }
        }
    }
    assert_eq!(served.len(), hosts);
}

/// An entry host that gets no reports from an agent sends no more than its share of the slots.
#[test]
fn host_without_reports_keeps_to_its_share() {
    let mut fixture = Fixture::new(&[]);
    fixture
        .table
        .add_listing(listing("a", 1, "r1"), fixture.now);
    let mut sent = 0;
    for _ in 0..50 {
        let requirements = Requirements {
            place: Place { index: 0, hosts: 9 },
            ..requirements(&fixture.route, &fixture.backend)
        };
        sent += u32::from(
            fixture
                .table
                .choose(&requirements, &mut fixture.rng, fixture.now)
                .is_ok(),
        );
    }
    assert!(sent <= (SLOTS + 2) / 9, "{sent} sent without a report");
    assert!(sent > 0);
}

#[test]
fn other_regions_are_used_only_when_the_local_region_is_full() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    for _ in 0..5 {
        assert_eq!(fixture.choose().as_deref(), Ok("a"));
    }
    fixture.apply_report(1, report(SLOTS, 6, only_host()));
    assert_eq!(fixture.choose().as_deref(), Ok("b"));
}

/// Before a planned model load, an engine still gets requests with short answers; those with long
/// answers go to other engines.
#[test]
fn long_answers_do_not_delay_a_planned_load() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    fixture.apply_report(
        1,
        Report {
            closes_at: Some(fixture.now + Duration::from_millis(1_200)),
            ..report(2, 0, only_host())
        },
    );
    let mut choose = |answer_tokens| {
        let mut requirements = requirements(&fixture.route, &fixture.backend);
        requirements.answer_tokens = Some(answer_tokens);
        let choice = fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .expect("an engine has free slots");
        choice.reservation.id
    };
    assert_eq!(&*choose(200), "b");
    assert_eq!(&*choose(12), "a");
}

#[test]
fn remote_hosts_leave_the_last_slots_to_local_hosts() {
    let mut fixture = Fixture::new(&[("a", "r2")]);
    fixture.apply_report(1, report(SLOTS + 1, 0, Rotation::remote(0, 1, 0)));
    assert!(fixture.choose().is_err());
    fixture.apply_report(1, report(SLOTS + 1, 0, Rotation::new(0, 1, 0)));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

/// Reports to remote hosts go only to those that may get a slot. No other host would have got one.
#[test]
fn remote_hosts_without_a_report_would_get_no_slot() {
    for (round, index) in (0..50).flat_map(|round| (0..12).map(move |index| (round, index))) {
        let rotation = Rotation::remote(index, 12, round);
        let mut fixture = Fixture::new(&[("a", "r2")]);
        fixture.apply_report(1, report(0, 0, rotation));
        if fixture.choose().is_ok() {
            assert!(rotation.may_get_spare_slot());
        }
    }
}

/// A region whose engines get no new work does not count as serving. Its entry hosts are then treated
/// as local hosts of the engines in other regions.
#[test]
fn region_without_usable_engines_does_not_serve() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    let regions = |fixture: &Fixture| {
        let regions = fixture
            .table
            .serving_regions("s")
            .into_iter()
            .map(Box::<str>::from);
        regions.collect::<Vec<_>>()
    };
    assert_eq!(regions(&fixture), vec![Box::from("r1"), Box::from("r2")]);
    fixture.table.set_evacuated(BTreeSet::from(["r1-a".into()]));
    assert_eq!(regions(&fixture), vec![Box::from("r2")]);
    let mut draining = listing("b", 2, "r2");
    draining.draining = true;
    fixture.table.add_listing(draining, fixture.now);
    assert!(regions(&fixture).is_empty());
}

/// An empty engine gets its requests over several passes, since all of them would be late if it
/// prefilled all prompts in one pass.
#[test]
fn empty_engine_is_filled_over_several_passes() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let count_accepted =
        |fixture: &mut Fixture| (0..20).filter(|_| fixture.choose().is_ok()).count();
    let report_with_batch_of_four = |running, waiting| Report {
        max_new: 4,
        ..report(running, waiting, only_host())
    };
    fixture.apply_report(1, report_with_batch_of_four(0, 0));
    assert_eq!(count_accepted(&mut fixture), 4);
    fixture.apply_report(1, report_with_batch_of_four(0, 4));
    assert_eq!(
        count_accepted(&mut fixture),
        0,
        "the first four are still in prefill"
    );
    fixture.apply_report(1, report_with_batch_of_four(4, 0));
    assert_eq!(count_accepted(&mut fixture), 4);
}

/// When an engine fails under full load, its streams are resumed at the other engines although these
/// are full.
#[test]
fn broken_stream_is_resumed_on_a_full_engine() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    fixture.apply_report(1, report(SLOTS, 4, only_host()));
    fixture.apply_report(2, report(SLOTS, 2, only_host()));
    let mut requirements = requirements(&fixture.route, &fixture.backend);
    assert!(
        fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .is_err()
    );
    requirements.resuming = true;
    let mut resumed = BTreeMap::new();
    for _ in 0..100 {
        let choice = fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .expect("resumed despite the load");
        fixture
            .table
            .release(&choice.reservation, None, fixture.now);
        *resumed.entry(choice.reservation.id).or_insert(0) += 1;
    }
    assert!(resumed["b"] > resumed["a"], "{resumed:?}");
}

/// When a region is lost, many hosts resume streams at the same time. They do not all choose the
/// engine that looks fastest, nor one of which nothing is known.
#[test]
fn resumed_streams_are_spread_over_the_known_engines() {
    let engines: Vec<(String, &str)> = (0..20).map(|n| (format!("e{n:02}"), "r1")).collect();
    let engines: Vec<(&str, &str)> = engines.iter().map(|(id, r)| (&**id, *r)).collect();
    let mut resumed = BTreeMap::new();
    for host in 0..148 {
        let mut fixture = Fixture::new(&engines);
        fixture.rng = StdRng::seed_from_u64(host);
        fixture
            .table
            .add_listing(listing("unknown", 99, "r1"), fixture.now);
        for number in 1..=20 {
            fixture.apply_report(number, report(SLOTS, u32::from(number % 3), only_host()));
        }
        let mut requirements = requirements(&fixture.route, &fixture.backend);
        requirements.resuming = true;
        let choice = fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .expect("resumed");
        *resumed.entry(choice.reservation.id).or_insert(0) += 1;
    }
    assert!(!resumed.contains_key("unknown"), "{resumed:?}");
    assert!(resumed.len() >= 18, "{resumed:?}");
    assert!(resumed.values().all(|count| *count <= 30), "{resumed:?}");
}

/// The fleet has more entry hosts than the engine has slots, and an agent that is alive grants them
/// to a few hosts. The others send nothing, however many requests they have.
#[test]
fn hosts_without_a_grant_leave_a_managed_engine_alone() {
    let mut fixture = Fixture::new(&[("reported", "r1")]);
    fixture.apply_report(1, report(SLOTS + 2, 0, only_host()));
    fixture
        .table
        .add_listing(listing("managed", 9, "r1"), fixture.now);
    fixture.table.set_managed(|_| true);
    for index in 0..148 {
        let requirements = Requirements {
            place: Place { index, hosts: 148 },
            ..requirements(&fixture.route, &fixture.backend)
        };
        let choice = fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now);
        assert!(matches!(choice, Err(Refusal::Busy(_))), "{choice:?}");
    }
}

/// While no agent reports, 148 hosts together use the slots of an engine, and not more.
#[test]
fn hosts_without_any_report_share_the_slots() {
    let mut sent = 0;
    for index in 0..148 {
        let mut fixture = Fixture::new(&[]);
        fixture
            .table
            .add_listing(listing("a", 1, "r1"), fixture.now);
        fixture.table.set_managed(|_| true);
        for _ in 0..3 {
            let requirements = Requirements {
                place: Place { index, hosts: 148 },
                ..requirements(&fixture.route, &fixture.backend)
            };
            let choice = fixture
                .table
                .choose(&requirements, &mut fixture.rng, fixture.now);
            sent += u32::from(choice.is_ok());
        }
    }
    assert_eq!(sent, SLOTS + 2);
}

/// A host that was paused for seconds reads the reports that arrived meanwhile. Their grants have run
/// out.
#[test]
fn grant_that_ran_out_during_a_pause_is_not_used() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("full", "r1")]);
    fixture.apply_report(2, report(SLOTS + 2, 0, only_host()));
    fixture.table.set_managed(|_| true);
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    let mut waiting = report(0, 0, only_host());
    waiting.sent.uptime = Duration::from_millis(100);
    fixture.now += Duration::from_secs(5);
    fixture.apply_report(2, report(SLOTS + 2, 0, only_host()));
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    fixture.table.apply_report(address, 1, waiting, fixture.now);
    assert!(fixture.choose().is_err(), "used a grant of 4.9 s ago");
    fixture.apply_report(1, report(0, 0, only_host()));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

/// All engines rest at the same time; callers learn when a place will be there.
#[test]
fn callers_wait_for_the_end_of_the_rest() {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    for (seconds, _) in [(7, "a"), (4, "b")] {
        let requirements = requirements(&fixture.route, &fixture.backend);
        let choice = fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .expect("one engine does not rest");
        fixture
            .table
            .release(&choice.reservation, None, fixture.now);
        let until = fixture.now + Duration::from_secs(seconds);
        fixture.table.rest_until(&choice.reservation, until);
    }
    let Err(Refusal::Resting(delay)) = fixture.choose() else {
        panic!("a resting engine got a request");
    };
    assert!(delay >= Duration::from_secs(4) && delay < Duration::from_secs(5));
    let mut requirements = requirements(&fixture.route, &fixture.backend);
    requirements.resuming = true;
    assert!(
        fixture
            .table
            .choose(&requirements, &mut fixture.rng, fixture.now)
            .is_err(),
        "a resumed stream does not end a rest either"
    );
    fixture.now += Duration::from_secs(4);
    fixture.apply_report(1, report(0, 0, only_host()));
    fixture.apply_report(2, report(0, 0, only_host()));
    assert!(fixture.choose().is_ok());
}
