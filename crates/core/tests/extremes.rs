//! Numbers from outside at the ends of their ranges must not overflow in the decisions on engines.

mod engines;

use {
    engines::{Fixture, listing, only_host, report, requirements, speed},
    jayspread_core::{
        catalog::{Speed, Target},
        clamp,
        delay::Sent,
        engine::{Listing, Load, Place, Report, Rotation},
        route::{self, Candidate, Policy},
        target::Bound,
    },
    proptest::{num, option, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::StdRng},
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

/// Guards against an overflow in the choice of an engine when its list entry states more slots than
/// a sum can hold: a panic in debug builds, and an engine without any room in release builds.
#[rstest]
#[case::model_with_reports(true, true)]
#[case::model_without_reports(true, false)]
#[case::no_model(false, false)]
fn engine_with_the_most_slots_gets_requests(#[case] has_model: bool, #[case] is_reported: bool) {
    let mut fixture = Fixture::new(&[]);
    if !has_model {
        fixture.backend.speed = None;
    }
    let mut wide = listing("a", 1, "r1");
    wide.slots = u32::MAX;
    fixture.table.add_listing(wide, fixture.now);
    if is_reported {
        fixture.apply_report(1, report(0, 0, only_host()));
    }
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
}

/// Guards against an overflow in the choice of an engine when an answer or a report states more
/// requests than a sum can hold.
#[rstest]
#[case::in_an_answer(false)]
#[case::in_a_report(true)]
fn engine_with_the_highest_load_gets_no_requests(#[case] is_reported: bool) {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    let load = Load {
        running: u32::MAX,
        waiting: u32::MAX,
        slowdown: 1.0,
    };
    if is_reported {
        let mut report = report(0, 0, only_host());
        report.load = load;
        fixture.apply_report(1, report);
    } else {
        fixture.now += Duration::from_millis(400);
        let requirements = requirements(&fixture.route, &fixture.backend);
        let choice = (0..100).find_map(|_| {
            let choice = fixture
                .table
                .choose(&requirements, &mut fixture.rng, fixture.now)
                .ok()?;
            (&*choice.reservation.id == "a").then_some(choice)
        });
        let reservation = choice.expect("is chosen").reservation;
        fixture.table.observe_load(&reservation, load, fixture.now);
    }
    for _ in 0..20 {
        assert_ne!(fixture.choose().as_deref(), Ok("a"));
    }
}

/// Guards against a panic in the prediction of the time to the first event when a configuration
/// states a speed, or an engine a slowdown, whose product is longer than any `Duration`.
#[rstest]
#[case::step(Duration::MAX, 1.0)]
#[case::slowdown(Duration::from_micros(7_400), f64::INFINITY)]
#[case::product(Duration::from_secs(u64::MAX / 4), f64::MAX)]
fn engine_of_any_slowness_is_compared(#[case] step_time: Duration, #[case] slowdown: f64) {
    let mut fixture = Fixture::new(&[("a", "r1"), ("b", "r1")]);
    fixture.backend.speed = Some(Speed {
        step_time,
        step_time_per_sequence: step_time,
        steps_per_pass: u32::MAX,
        mean_answer: u32::MAX,
        mean_prompt: u32::MAX,
        prefill_rate: -1.0,
        ..speed()
    });
    let mut slow = report(2, 3, only_host());
    slow.load.slowdown = slowdown;
    fixture.apply_report(1, slow);
    let bound = Bound {
        version: 2,
        until: fixture.now + Duration::from_secs(5),
    };
    for version_bounds in [&[][..], &[bound]] {
        for resuming in [false, true] {
            let mut requirements = requirements(&fixture.route, &fixture.backend);
            requirements.version_bounds = version_bounds;
            requirements.resuming = resuming;
            let result = fixture
                .table
                .choose(&requirements, &mut fixture.rng, fixture.now);
            assert_eq!(result.is_ok(), version_bounds.is_empty());
        }
    }
}

/// Guards against a limit that an engine names above the range of a count: the host's share
/// overflowed, or became zero.
#[rstest]
#[case::shares_overflow(2_147_483_647.75, 2)]
#[case::share_wraps_to_zero(1_073_741_824.0, 1)]
#[case::infinite(f64::INFINITY, 3)]
fn highest_limit_lets_requests_through(#[case] rate: f64, #[case] hosts: usize) {
    for index in 0..hosts {
        let mut fixture = Fixture::new(&[]);
        fixture
            .table
            .add_listing(listing("a", 1, "r1"), fixture.now);
        let mut limited = report(0, 0, only_host());
        limited.limit = Some(rate);
        limited.place = Place { index, hosts };
        fixture.apply_report(1, limited);
        assert_eq!(fixture.choose().as_deref(), Ok("a"));
    }
}

/// Guards against an overflow in the task of the caller's request when the weights of a route's
/// services have a larger sum than a `u32`.
#[test]
fn heaviest_weights_are_shared_evenly() {
    let mut route = engines::route(&[]);
    let target = |service: &str| Target {
        service: service.into(),
        weight: u32::MAX,
    };
    route.targets = vec![target("s"), target("t")];
    assert_eq!(&**route.pick_service(0.25), "s");
    assert_eq!(&**route.pick_service(0.75), "t");
}

/// Guards against an overflow in the choice of a backend server when its agent reports a load that a
/// sum cannot hold.
#[rstest]
#[case::two_choices(Policy::TwoChoices)]
#[case::least_reported(Policy::LeastReported)]
fn backend_server_with_the_highest_load_is_not_chosen(#[case] policy: Policy) {
    let candidate = |host: &str, reported_load, limit| Candidate {
        host: host.into(),
        local: true,
        reported_load,
        in_flight: 1,
        in_flight_at_report: 0,
        limit,
    };
    let candidates = [candidate("a", u32::MAX, 1), candidate("b", 0, 4)];
    for number in 0..20 {
        let mut rng = StdRng::seed_from_u64(number);
        let chosen = route::choose(policy, &candidates, Some(b"prefix"), 0, &mut rng);
        assert_eq!(chosen.map(|candidate| &*candidate.host), Some("b"));
    }
}

prop_compose! {
    fn any_load()(running in any::<u32>(), waiting in any::<u32>(), slowdown in num::f64::ANY) -> Load {
        Load { running, waiting, slowdown }
    }
}

prop_compose! {
    fn any_listing()(slots in any::<u32>(), cold_remaining in any::<Duration>()) -> Listing {
        Listing { slots, cold_remaining, ..listing("a", 1, "r1") }
    }
}

prop_compose! {
    fn any_report()(
        load in any_load(),
        (position, size, round, remote) in any::<(u32, u32, u64, bool)>(),
        hosts in 1..=u32::MAX,
        (uptime, valid, closes_in) in any::<(Duration, Duration, Option<Duration>)>(),
        max_new in any::<u32>(),
        limit in option::of(num::f64::ANY),
    ) -> (Report, Option<Duration>) {
        let rotation = if remote { Rotation::remote } else { Rotation::new };
        let index = position as usize;
        let place = Place { index, hosts: hosts as usize };
        let sent = Sent { process: 1, uptime };
        let rotation = rotation(index, size as usize, round);
        let report = Report { load, place, sent, valid, max_new, limit, ..report(0, 0, rotation) };
        (report, closes_in)
    }
}

prop_compose! {
    fn any_speed()(
        (slots, steps_per_pass, mean_prompt, mean_answer) in any::<(u32, u32, u32, u32)>(),
        (step_time, step_time_per_sequence) in any::<(Duration, Duration)>(),
        prefill_rate in num::f64::ANY,
    ) -> Speed {
        Speed {
            slots, steps_per_pass, step_time, step_time_per_sequence, prefill_rate, mean_prompt,
            mean_answer, model: "m".into(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against an overflow while the engines are locked, whatever is stated of one.
    #[test]
    fn numbers_of_any_size_never_panic(
        (listed, relisted) in (any_listing(), any_listing()),
        (first, second) in (any_report(), any_report()),
        (load, limit, cold_rate) in (any_load(), option::of(num::f64::ANY), num::f64::ANY),
        speed in option::of(any_speed()),
        (prompt_tokens, answer_tokens) in any::<(u32, Option<u32>)>(),
        (time_left, until, resuming) in any::<(Duration, Duration, bool)>(),
        hosts in 1..=u32::MAX,
    ) {
        let mut fixture = Fixture::new(&[]);
        fixture.backend.speed = speed;
        fixture.backend.cold_rate = cold_rate;
        let bounds = [Bound { version: 2, until: clamp::later(fixture.now, until) }];
        let address = listed.address;
        fixture.table.add_listing(listed, fixture.now);
        for (mut report, closes_in) in [first, second] {
            report.closes_at = closes_in.map(|time| clamp::later(fixture.now, time));
            fixture.table.apply_report(address, 1, report, fixture.now);
            for version_bounds in [&[][..], &bounds] {
                let mut requirements = requirements(&fixture.route, &fixture.backend);
                requirements.prompt_tokens = prompt_tokens;
                requirements.answer_tokens = answer_tokens;
                requirements.time_left = time_left;
                requirements.version_bounds = version_bounds;
                requirements.resuming = resuming;
                requirements.place = Place { index: 0, hosts: hosts as usize };
                let (table, now) = (&mut fixture.table, fixture.now);
                let choice = table.choose(&requirements, &mut fixture.rng, now);
                if let Ok(choice) = choice {
                    table.observe_load(&choice.reservation, load, now);
                    table.apply_limit(&choice.reservation, limit, now, now);
                    let _ = table.choose(&requirements, &mut fixture.rng, now);
                    table.release(&choice.reservation, None, now);
                }
                fixture.now += Duration::from_millis(700);
            }
            fixture.table.add_listing(relisted.clone(), fixture.now);
        }
    }
}
