//! Where requests go and which are refused, by patterns of load.

mod fleet;

use {
    fleet::{Fixture, SLOTS, alone, backend, listing, need, report, route, speed},
    jayspread_core::{
        engine::{Report, Rotation},
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

/// Pattern: a cold engine. All hosts together stay under its bound in every second.
#[rstest]
#[case(1)]
#[case(9)]
fn failback_holds_over_all_hosts(#[case] hosts: usize) {
    let begin = Instant::now();
    let mut tables: Vec<Table> = (0..hosts).map(|_| Table::default()).collect();
    let mut cold = listing("a", 1, "r1");
    cold.cold_remaining = Duration::from_secs(3);
    cold.slots = 10_000;
    for table in &mut tables {
        table.add_listing(cold.clone(), begin);
    }
    let mut backend = backend(None);
    backend.cold_rate = 38.0;
    let route = route(&[]);
    let mut rng = StdRng::seed_from_u64(3);
    let mut sent = Vec::new();
    for ms in 0..2_900_u64 {
        let now = begin + Duration::from_millis(ms);
        for table in &mut tables {
            let need = Requirements {
                entry_hosts: hosts,
                ..need(&route, &backend)
            };
            if let Ok(choice) = table.choose(&need, &mut rng, now) {
                table.release(&choice.reservation, None, now);
                sent.push(ms);
            }
        }
    }
    for at in &sent {
        let inside = sent.iter().filter(|t| *t <= at && at - **t < 1_000).count();
        assert!(inside as f64 <= 38.0 * 1.5 + 5.0, "{inside} in a second");
    }
    assert!(sent.len() > 50, "a cold engine still works");
}

/// Pattern: a burst on a full fleet. Whoever cannot be answered in time is refused at once.
#[test]
fn a_burst_on_a_full_fleet_is_refused() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    f.hear(1, report(SLOTS, 6, alone()));
    f.hear(2, report(SLOTS, 8, alone()));
    let Err(Refusal::Busy(delay)) = f.choose() else {
        panic!("no place is free");
    };
    assert!(delay > Duration::ZERO);
}

/// Pattern: long prompts behind short ones. A prompt that cannot be read in time goes where there is
/// room all the same, but not into a queue.
#[test]
fn a_prompt_too_long_for_its_objective_is_served_where_slots_are_free() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    f.hear(1, report(SLOTS, 1, alone()));
    f.hear(2, report(4, 0, alone()));
    let mut need = need(&f.route, &f.backend);
    need.prompt_tokens = 20_000;
    let choice = f
        .table
        .choose(&need, &mut f.rng, f.now)
        .expect("b has slots");
    assert_eq!(&*choice.reservation.id, "b");
    f.hear(2, report(SLOTS, 1, alone()));
    let (route, backend) = (f.route.clone(), f.backend.clone());
    let mut need = self::need(&route, &backend);
    need.prompt_tokens = 20_000;
    assert!(f.table.choose(&need, &mut f.rng, f.now).is_err());
}

/// Pattern: the herd on the emptiest engine. Nine hosts that see the same report send no more than
/// there are places, though none knows of the others' sends.
#[rstest]
#[case::one_slot_free(15, 3)]
#[case::four_slots_free(12, 6)]
#[case::empty(0, 16)]
fn a_herd_of_hosts_does_not_overrun_one_engine(#[case] running: u32, #[case] most: usize) {
    let hosts = 9;
    let begin = Instant::now();
    let (route, backend) = (route(&[]), backend(Some(speed())));
    let mut rng = StdRng::seed_from_u64(5);
    for sequence in 0..20 {
        let mut sent = 0;
        let mut by_host = BTreeMap::new();
        for index in 0..hosts {
            let mut table = Table::default();
            table.add_listing(listing("a", 1, "r1"), begin);
            let turn = Rotation::new(index, hosts, sequence);
            let address = SocketAddr::from(([127, 0, 0, 1], 80));
            table.apply_report(address, 1, report(running, 0, turn), begin);
            for _ in 0..10 {
                let need = Requirements {
                    entry_hosts: hosts,
                    ..need(&route, &backend)
                };
                if table.choose(&need, &mut rng, begin).is_ok() {
                    sent += 1;
                    *by_host.entry(index).or_insert(0) += 1;
                }
            }
        }
        assert!(sent <= most, "{sent} sends for {most} places");
        assert!(sent > 0);
        assert!(by_host.values().all(|count| *count <= most.div_ceil(hosts)));
    }
}

/// Pattern: one free place after the other. Over several reports every host gets its turn.
#[test]
fn free_places_go_round_among_hosts() {
    let hosts = 6;
    let mut got = BTreeSet::new();
    // Hosts of other regions get every third report.
    for sequence in (0..60).step_by(3) {
        for index in 0..hosts {
            let mut f = Fixture::new(&[("a", "r1")]);
            f.hear(
                1,
                report(SLOTS + 1, 0, Rotation::new(index, hosts, sequence)),
            );
            if f.choose().is_ok() {
                got.insert(index);
            }
        }
    }
    assert_eq!(got.len(), hosts);
}

/// Pattern: an agent cut off from this host. Without reports each host keeps to its share.
#[test]
fn without_reports_hosts_keep_to_their_shares() {
    let mut f = Fixture::new(&[]);
    f.table.add_listing(listing("a", 1, "r1"), f.now);
    let mut sent = 0;
    for _ in 0..50 {
        let need = Requirements {
            entry_hosts: 9,
            ..need(&f.route, &f.backend)
        };
        sent += u32::from(f.table.choose(&need, &mut f.rng, f.now).is_ok());
    }
    assert!(sent <= (SLOTS + 2) / 9, "{sent} sent blindly");
    assert!(sent > 0);
}

/// Pattern: one region full, another with room. The own region goes first and the rest spills over.
#[test]
fn spills_into_another_region_only_when_the_own_is_full() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    for _ in 0..5 {
        assert_eq!(f.choose().as_deref(), Ok("a"));
    }
    f.hear(1, report(SLOTS, 6, alone()));
    assert_eq!(f.choose().as_deref(), Ok("b"));
}

/// Pattern: a load that is planned. Long answers go to other engines, short ones still come.
#[test]
fn long_answers_do_not_hold_up_a_planned_load() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.hear(
        1,
        Report {
            closes_at: Some(f.now + Duration::from_millis(1_200)),
            ..report(2, 0, alone())
        },
    );
    let mut chosen = |answer| {
        let mut need = need(&f.route, &f.backend);
        need.answer_tokens = Some(answer);
        let choice = f.table.choose(&need, &mut f.rng, f.now).expect("room");
        choice.reservation.id
    };
    assert_eq!(&*chosen(200), "b");
    assert_eq!(&*chosen(12), "a");
}

/// Pattern: hosts of other regions. They leave the last free places to those of the engine's own.
#[test]
fn hosts_of_other_regions_leave_the_last_places() {
    let mut f = Fixture::new(&[("a", "r2")]);
    f.hear(1, report(SLOTS + 1, 0, Rotation::remote(0, 1, 0)));
    assert!(f.choose().is_err());
    f.hear(1, report(SLOTS + 1, 0, Rotation::new(0, 1, 0)));
    assert_eq!(f.choose().as_deref(), Ok("a"));
}

/// Pattern: a region without engines. Its callers' hosts count among those of the other regions.
#[test]
fn a_region_is_no_home_while_its_engines_get_no_work() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    let homes = |f: &Fixture| {
        let homes = f
            .table
            .serving_regions("s")
            .into_iter()
            .map(Box::<str>::from);
        homes.collect::<Vec<_>>()
    };
    assert_eq!(homes(&f), vec![Box::from("r1"), Box::from("r2")]);
    f.table.set_evacuated(BTreeSet::from(["r1-a".into()]));
    assert_eq!(homes(&f), vec![Box::from("r2")]);
    let mut leaving = listing("b", 2, "r2");
    leaving.draining = true;
    f.table.add_listing(leaving, f.now);
    assert!(homes(&f).is_empty());
}

/// Pattern: an engine that comes back empty. It is filled over several passes, since reading all
/// prompts in one would make each of them late.
#[test]
fn an_empty_engine_is_filled_in_steps() {
    let mut f = Fixture::new(&[("a", "r1")]);
    let count = |f: &mut Fixture| (0..20).filter(|_| f.choose().is_ok()).count();
    let read_four = |running, waiting| Report {
        max_new: 4,
        ..report(running, waiting, alone())
    };
    f.hear(1, read_four(0, 0));
    assert_eq!(count(&mut f), 4);
    f.hear(1, read_four(0, 4));
    assert_eq!(count(&mut f), 0, "the first ones are still being read");
    f.hear(1, read_four(4, 0));
    assert_eq!(count(&mut f), 4);
}

/// Pattern: an engine dies under full load. Its streams go on at the others, full as they are.
#[test]
fn a_broken_stream_finds_a_place_on_a_full_fleet() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    f.hear(1, report(SLOTS, 4, alone()));
    f.hear(2, report(SLOTS, 2, alone()));
    let mut need = need(&f.route, &f.backend);
    assert!(f.table.choose(&need, &mut f.rng, f.now).is_err());
    need.resuming = true;
    let choice = f.table.choose(&need, &mut f.rng, f.now).expect("goes on");
    assert_eq!(&*choice.reservation.id, "b");
}
