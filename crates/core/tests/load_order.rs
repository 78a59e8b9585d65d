//! Tests of the time at which a load order with an unknown result may be followed by another.

use {
    jayspread_core::load::{Action, Event, Loader, Machine, Report, Target},
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

fn target(version: &str, fence: u64) -> Event {
    Event::Target(Target {
        version: version.into(),
        fence,
        piece_count: 1,
        equivalent_versions: BTreeSet::from([version.into()]),
    })
}

/// Loader of an empty engine on which version 2 is staged, and the time.
fn loader() -> (Loader, Instant) {
    let mut now = Instant::now();
    let mut loader = Loader::new(Machine::new(false, ORDER_TIMEOUT));
    let report = Event::Report(Report::default());
    loader.handle(&report, now);
    now += ORDER_TIMEOUT;
    loader.handle(&report, now);
    loader.handle(&target("2", 2), now);
    loader.handle(&Event::Verified("2".into()), now);
    (loader, now)
}

/// Guards against a second order while the first, which left late because of a long check and whose
/// answer was lost, may still take effect.
#[rstest]
#[case::at_once(0, Event::OrderFailed)]
#[case::answer_lost(1_000, Event::OrderFailed)]
#[case::answered(1_000, Event::OrderAnswered)]
fn order_time_counts_from_the_end_of_its_check(#[case] check_ms: u64, #[case] answer: Event) {
    let (mut loader, mut now) = loader();
    let report = Event::Report(Report::default());
    let mut orders = |event: &Event, now| {
        let actions = loader.handle(event, now);
        actions
            .iter()
            .any(|action| matches!(action, Action::Load(_)))
    };
    assert!(orders(&Event::Tick, now));
    now += Duration::from_millis(check_ms);
    orders(&answer, now);
    let mut order_after = |delay| {
        orders(&report, now + delay);
        orders(&Event::Tick, now + delay)
    };
    let tick = Duration::from_millis(50);
    let early = (1..14).any(|ticks| order_after(tick * ticks));
    assert!(!early, "ordered while the first order may take effect");
    assert!(order_after(ORDER_TIMEOUT), "never ordered again");
}

/// Guards against an engine that loads pieces of two versions: a newer one staged over the one whose
/// order may still take effect, or is being carried out.
#[test]
fn newer_version_is_not_staged_while_an_order_may_take_the_staged_pieces() {
    let adopting = Loader::new(Machine::new(false, ORDER_TIMEOUT));
    assert!(!adopting.allows_staging(), "of an earlier process");
    let (mut loader, now) = loader();
    assert!(loader.allows_staging());
    loader.handle(&Event::Tick, now);
    loader.handle(&Event::OrderAnswered, now);
    loader.handle(&target("3", 3), now);
    let mut report = Report::default();
    for (is_loading, after_ms) in [(false, 650), (true, 690), (true, 2_000)] {
        report.loading = is_loading;
        let now = now + Duration::from_millis(after_ms);
        loader.handle(&Event::Report(report.clone()), now);
        assert!(!loader.allows_staging(), "{after_ms} ms");
    }
    (report.loading, report.serving, report.fence) = (false, Some("2".into()), 2);
    loader.handle(&Event::Report(report), now + Duration::from_secs(3));
    assert!(loader.allows_staging());
}
