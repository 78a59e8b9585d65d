//! Random walks with the invariants asserted, and proof that the assertions bite.

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
fn attempts_start_at_most_once_and_refusals_are_true(#[case] seed: u64) {
    let figures = attempts::run(seed, STEPS, Safeguards::default());
    assert!(
        figures.answered > 1000 && figures.restarts > 100,
        "{figures:?}"
    );
}

#[rstest]
#[case::fencing(1, true)]
#[case::no_fencing(2, false)]
fn orders_never_hit_a_serving_engine(#[case] seed: u64, #[case] checks_fencing: bool) {
    let figures = orders::run(seed, STEPS, checks_fencing, Safeguards::default());
    assert!(figures.loads > 500 && figures.restarts > 100, "{figures:?}");
}

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
fn a_revision_has_one_state_everywhere(#[case] seed: u64) {
    let figures = revisions::run(seed, 10_000);
    assert!(
        figures.accepted > 500 && figures.truncated > 500,
        "{figures:?}"
    );
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
    let message = message.expect("a walk without tombstones breaks a promise");
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
    let message = message.expect("a walk without claims breaks a promise");
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
    assert_eq!(message.as_deref(), Some("a backend server is overrun"));
}

#[test]
fn fails_without_settling() {
    let safeguards = Safeguards {
        order_timeout: false,
        ..Safeguards::default()
    };
    let message = panic_message(|| {
        orders::run(1, STEPS, false, safeguards);
    });
    let message = message.expect("a walk without settling breaks a promise");
    assert!(message.contains("late order"), "{message}");
}
