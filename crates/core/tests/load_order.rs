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

/// Guards against a second order while the first, which left late because of a long check and whose
/// answer was lost, may still take effect.
#[rstest]
#[case::at_once(0, Event::OrderFailed)]
#[case::answer_lost(1_000, Event::OrderFailed)]
#[case::answered(1_000, Event::OrderAnswered)]
fn order_time_counts_from_the_end_of_its_check(#[case] check_ms: u64, #[case] answer: Event) {
    let mut now = Instant::now();
    let mut loader = Loader::new(Machine::new(false, ORDER_TIMEOUT));
    let report = Event::Report(Report::default());
    loader.handle(&report, now);
    now += ORDER_TIMEOUT;
    loader.handle(&report, now);
    loader.handle(
        &Event::Target(Target {
            version: "2".into(),
            fence: 2,
            piece_count: 1,
            equivalent_versions: BTreeSet::from(["2".into()]),
        }),
        now,
    );
    loader.handle(&Event::Verified("2".into()), now);
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
