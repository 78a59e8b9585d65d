//! Where requests go and which are refused, by patterns of load and of change.

use {
    jayspread_core::{
        catalog::{Backend, Kind, Route, Speed, Target},
        engine::{Listing, Load, Loaded, Report, Turn},
        place::{LAPSE, Need, Refusal, Table},
        trust::Verdict,
    },
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const SLOTS: u32 = 16;

fn speed() -> Speed {
    Speed {
        slots: SLOTS,
        steps: 6,
        step: Duration::from_micros(7_400),
        step_per_writer: Duration::from_micros(39),
        read_rate: 31_900.0,
        usual_prompt: 973,
        usual_answer: 106,
        model: "m".into(),
    }
}

fn backend(speed: Option<Speed>) -> Backend {
    Backend {
        name: "s".into(),
        connections: 434,
        cold: Duration::from_secs(3),
        cold_rate: 38.0,
        speed,
        origin: None,
    }
}

fn route(regions: &[&str]) -> Route {
    Route {
        name: "r".into(),
        prefix: "/".into(),
        kind: Kind::Resumable,
        public: false,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
        gap: Some(Duration::from_millis(300)),
        rank: 1,
        attempts: 2,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        regions: regions.iter().map(|r| Box::from(*r)).collect(),
    }
}

fn listing(id: &str, number: u8, region: &str) -> Listing {
    Listing {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, number], 80)),
        data_centre: format!("{region}-a").into(),
        region: region.into(),
        slots: SLOTS,
        draining: false,
        cold_left: Duration::ZERO,
        born_ms: Some(1),
        model_engine: true,
        loaded: Some(Loaded {
            model: "m".into(),
            version: 1,
            whole: true,
        }),
    }
}

fn report(running: u32, waiting: u32, turn: Turn) -> Report {
    Report {
        turn,
        answers: true,
        load: Load {
            running,
            waiting,
            pace: 1.0,
        },
        version: Some(1),
        closed: false,
        closes: None,
        intake: SLOTS,
    }
}

/// Turn of the only entry host.
fn alone() -> Turn {
    Turn::new(0, 1, 0)
}

fn need<'a>(route: &'a Route, backend: &'a Backend) -> Need<'a> {
    Need {
        route,
        backend,
        region: "r1",
        regions: &[],
        prompt: 500,
        answer: None,
        left: route.objective,
        least_version: 0,
        avoid: &[],
        hosts: 1,
        urgent: false,
    }
}

struct Fixture {
    table: Table,
    route: Route,
    backend: Backend,
    rng: StdRng,
    now: Instant,
}

impl Fixture {
    fn new(engines: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let mut table = Table::default();
        for (number, (id, region)) in engines.iter().enumerate() {
            table.list(listing(id, number as u8 + 1, region), now);
            let address = SocketAddr::from(([127, 0, 0, number as u8 + 1], 80));
            table.hear(address, 1, report(0, 0, alone()), now);
        }
        Self {
            table,
            route: route(&[]),
            backend: backend(Some(speed())),
            rng: StdRng::seed_from_u64(7),
            now,
        }
    }

    fn hear(&mut self, number: u8, report: Report) {
        let address = SocketAddr::from(([127, 0, 0, number], 80));
        assert!(self.table.hear(address, 1, report, self.now));
    }

    fn choose(&mut self) -> Result<Box<str>, Refusal> {
        let need = need(&self.route, &self.backend);
        let choice = self.table.choose(&need, &mut self.rng, self.now)?;
        Ok(choice.ticket.id)
    }
}

#[test]
fn drain_sends_nothing_to_a_leaving_engine() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    let mut leaving = listing("a", 1, "r1");
    leaving.draining = true;
    f.table.list(leaving, f.now);
    for _ in 0..20 {
        assert_ne!(f.choose().ok().as_deref(), Some("a"));
    }
}

#[test]
fn evac_sends_nothing_into_an_emptied_data_centre() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.table.evacuate(BTreeSet::from(["r1-a".into()]));
    for _ in 0..10 {
        assert_eq!(f.choose().as_deref(), Ok("b"));
    }
    f.table.evacuate(BTreeSet::new());
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
        need.regions = &regions;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("r2 has room");
        assert_eq!(&*choice.ticket.id, "b");
    }
}

#[test]
fn home_regions_that_exclude_each_other_are_refused() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.route = route(&["r1"]);
    let regions: [Box<str>; 1] = ["r2".into()];
    let mut need = need(&f.route, &f.backend);
    need.regions = &regions;
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
        need.least_version = 2;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("b serves it");
        assert_eq!(&*choice.ticket.id, "b");
    }
}

#[test]
fn whole_versions_only() {
    let mut f = Fixture::new(&[]);
    let mut partial = listing("a", 1, "r1");
    partial.loaded.as_mut().expect("has a version").whole = false;
    f.table.list(partial, f.now);
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
    f.table.unlist("a", Some(f.now + LAPSE));
    assert_eq!(f.choose().as_deref(), Ok("a"));
    f.now += LAPSE;
    assert!(f.choose().is_err(), "not back in time");
    assert_eq!(f.table.sweep(f.now), vec![Box::from("a")]);

    let mut f = Fixture::new(&[("a", "r1")]);
    f.table.unlist("a", Some(f.now + LAPSE));
    f.table.list(listing("a", 1, "r1"), f.now);
    f.now += LAPSE;
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
        .ticket;
    f.table.unlist("a", None);
    let mut other = listing("z", 1, "r1");
    other.service = "t".into();
    f.table.list(other, f.now);
    assert!(!f.table.lives(&ticket));
    assert!(
        f.choose().is_err(),
        "the address belongs to another service"
    );
    assert!(!f.table.end(&ticket, Some(Verdict::Bad), f.now));
}

#[test]
fn a_life_that_starts_again_under_its_id_begins_from_nothing() {
    let mut f = Fixture::new(&[("a", "r1")]);
    let need = need(&f.route, &f.backend);
    let ticket = f
        .table
        .choose(&need, &mut f.rng, f.now)
        .expect("room")
        .ticket;
    let mut again = listing("a", 1, "r1");
    again.born_ms = Some(2);
    assert!(f.table.list(again, f.now), "a new life");
    f.table.end(&ticket, None, f.now);
    let engine = f.table.iter().next().expect("listed");
    assert_eq!(engine.own, 0);
}

/// Pattern: a cold engine. All hosts together stay under its bound in every second.
#[rstest]
#[case(1)]
#[case(9)]
fn failback_holds_over_all_hosts(#[case] hosts: usize) {
    let begin = Instant::now();
    let mut tables: Vec<Table> = (0..hosts).map(|_| Table::default()).collect();
    let mut cold = listing("a", 1, "r1");
    cold.cold_left = Duration::from_secs(3);
    cold.slots = 10_000;
    for table in &mut tables {
        table.list(cold.clone(), begin);
    }
    let mut backend = backend(None);
    backend.cold_rate = 38.0;
    let route = route(&[]);
    let mut rng = StdRng::seed_from_u64(3);
    let mut sent = Vec::new();
    for ms in 0..2_900_u64 {
        let now = begin + Duration::from_millis(ms);
        for table in &mut tables {
            let need = Need {
                hosts,
                ..need(&route, &backend)
            };
            if let Ok(choice) = table.choose(&need, &mut rng, now) {
                table.end(&choice.ticket, None, now);
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
    need.prompt = 20_000;
    let choice = f
        .table
        .choose(&need, &mut f.rng, f.now)
        .expect("b has slots");
    assert_eq!(&*choice.ticket.id, "b");
    f.hear(2, report(SLOTS, 1, alone()));
    let (route, backend) = (f.route.clone(), f.backend.clone());
    let mut need = self::need(&route, &backend);
    need.prompt = 20_000;
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
            table.list(listing("a", 1, "r1"), begin);
            let turn = Turn::new(index, hosts, sequence);
            let address = SocketAddr::from(([127, 0, 0, 1], 80));
            table.hear(address, 1, report(running, 0, turn), begin);
            for _ in 0..10 {
                let need = Need {
                    hosts,
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
            f.hear(1, report(SLOTS + 1, 0, Turn::new(index, hosts, sequence)));
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
    f.table.list(listing("a", 1, "r1"), f.now);
    let mut sent = 0;
    for _ in 0..50 {
        let need = Need {
            hosts: 9,
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

#[test]
fn a_request_goes_to_another_engine_the_second_time() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    let avoid: [Box<str>; 1] = ["a".into()];
    for _ in 0..10 {
        let mut need = need(&f.route, &f.backend);
        need.avoid = &avoid;
        let choice = f
            .table
            .choose(&need, &mut f.rng, f.now)
            .expect("b has room");
        assert_eq!(&*choice.ticket.id, "b");
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
        let verdict = if &*choice.ticket.id == "a" {
            Verdict::Bad
        } else {
            Verdict::Good
        };
        f.table.end(&choice.ticket, Some(verdict), f.now);
    }
    f.hear(1, report(0, 0, alone()));
    f.hear(2, report(0, 0, alone()));
    for _ in 0..10 {
        assert_eq!(f.choose().as_deref(), Ok("b"));
    }
}

/// Pattern: a load that is planned. Long answers go to other engines, short ones still come.
#[test]
fn long_answers_do_not_hold_up_a_planned_load() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    f.hear(
        1,
        Report {
            closes: Some(f.now + Duration::from_millis(1_200)),
            ..report(2, 0, alone())
        },
    );
    let mut chosen = |answer| {
        let mut need = need(&f.route, &f.backend);
        need.answer = Some(answer);
        let choice = f.table.choose(&need, &mut f.rng, f.now).expect("room");
        choice.ticket.id
    };
    assert_eq!(&*chosen(200), "b");
    assert_eq!(&*chosen(12), "a");
}

/// Pattern: hosts of other regions. They leave the last free places to those of the engine's own.
#[test]
fn hosts_of_other_regions_leave_the_last_places() {
    let mut f = Fixture::new(&[("a", "r2")]);
    f.hear(1, report(SLOTS + 1, 0, Turn::far(0, 1, 0)));
    assert!(f.choose().is_err());
    f.hear(1, report(SLOTS + 1, 0, Turn::new(0, 1, 0)));
    assert_eq!(f.choose().as_deref(), Ok("a"));
}

/// Pattern: a region without engines. Its callers' hosts count among those of the other regions.
#[test]
fn a_region_is_no_home_while_its_engines_get_no_work() {
    let mut f = Fixture::new(&[("a", "r1"), ("b", "r2")]);
    let homes = |f: &Fixture| f.table.homes("s").into_iter().collect::<Vec<_>>();
    assert_eq!(homes(&f), vec![Box::from("r1"), Box::from("r2")]);
    f.table.evacuate(BTreeSet::from(["r1-a".into()]));
    assert_eq!(homes(&f), vec![Box::from("r2")]);
    let mut leaving = listing("b", 2, "r2");
    leaving.draining = true;
    f.table.list(leaving, f.now);
    assert!(homes(&f).is_empty());
}

/// Pattern: an engine that comes back empty. It is filled over several passes, since reading all
/// prompts in one would make each of them late.
#[test]
fn an_empty_engine_is_filled_in_steps() {
    let mut f = Fixture::new(&[("a", "r1")]);
    let count = |f: &mut Fixture| (0..20).filter(|_| f.choose().is_ok()).count();
    let read_four = |running, waiting| Report {
        intake: 4,
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
    need.urgent = true;
    let choice = f.table.choose(&need, &mut f.rng, f.now).expect("goes on");
    assert_eq!(&*choice.ticket.id, "b");
}
