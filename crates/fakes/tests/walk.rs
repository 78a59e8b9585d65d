//! Random walks with asserted invariants, and checks that the assertions detect each missing
//! safeguard.

use {
    jayspread_fakes::walk::{Safeguards, attempts, orders, panic_message, revisions},
    rstest::rstest,
};

const STEPS: u64 = 200_000;

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
fn attempts_start_at_most_once_and_refused_ones_never_start(#[case] seed: u64) {
    let stats = attempts::run(seed, STEPS, Safeguards::default());
    assert!(stats.answered > 1000 && stats.restarts > 100, "{stats:?}");
}

#[rstest]
#[case::fencing(1, true)]
#[case::no_fencing(2, false)]
fn late_load_orders_never_reach_a_serving_engine(#[case] seed: u64, #[case] checks_fencing: bool) {
    let stats = orders::run(seed, STEPS, checks_fencing, Safeguards::default());
    assert!(stats.loads > 500 && stats.restarts > 100, "{stats:?}");
}

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
fn each_revision_has_the_same_state_in_all_processes(#[case] seed: u64) {
    let stats = revisions::run(seed, 10_000);
    assert!(stats.accepted > 500 && stats.truncated > 500, "{stats:?}");
}

#[test]
fn fails_without_tombstones() {
    let safeguards = Safeguards {
        tombstones: false,
        ..Safeguards::default()
    };
    let message = panic_message(|| {
        attempts::run(1, STEPS, safeguards);
    });
    let message = message.expect("a walk without tombstones violates an invariant");
    assert!(message.contains("refus"), "{message}");
}

#[test]
fn fails_without_claims() {
    let safeguards = Safeguards {
        claims: false,
        ..Safeguards::default()
    };
    let message = panic_message(|| {
        attempts::run(1, STEPS, safeguards);
    });
    let message = message.expect("a walk without claims violates an invariant");
    assert!(message.contains("twice"), "{message}");
}

#[test]
fn fails_without_the_ramp() {
    let safeguards = Safeguards {
        ramp: false,
        ..Safeguards::default()
    };
    let message = panic_message(|| {
        attempts::run(1, STEPS, safeguards);
    });
    assert_eq!(message.as_deref(), Some("a backend server is overloaded"));
}

#[test]
fn fails_without_order_timeout() {
    let safeguards = Safeguards {
        order_timeout: false,
        ..Safeguards::default()
    };
    let message = panic_message(|| {
        orders::run(1, STEPS, false, safeguards);
    });
    let message = message.expect("a walk without the order timeout violates an invariant");
    assert!(message.contains("late order"), "{message}");
}
