//! Tests of attempts that end before it is known whether their engine crashes on them.

use {
    jayspread_core::quarantine::{Finding, Instance, Ledger, Part, Verdict, request},
    rstest::rstest,
    std::time::{Duration, Instant},
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn content(body: &str) -> Part {
    request("org", "x.example", "/r/1", "", body.as_bytes())
}

fn instance(engine: &str) -> Instance {
    process(engine, 1)
}

fn process(engine: &str, started: u64) -> Instance {
    Instance {
        engine: engine.into(),
        started: Some(started),
        address: ([127, 0, 0, 1], 80).into(),
        listed_at: None,
    }
}

fn accepts(ledger: &mut Ledger, parts: &[Part], now: Instant) -> bool {
    ledger.check(parts, |_| 1_000, now) == Verdict::Accept
}

/// Guards against crashes that nobody records because the caller had left, and against blaming a
/// request for the end of an engine that had survived it.
#[rstest]
#[case::engine_has_ended(&[(300, Finding::Ended)], true)]
#[case::another_attempt_finds_it_first(&[(10, Finding::Ended)], true)]
#[case::first_check_has_no_result(&[(300, Finding::Unknown), (500, Finding::Ended)], true)]
#[case::engine_begins_the_request_late(&[(300, Finding::Alive), (1_900, Finding::Ended)], true)]
#[case::engine_survives(&[(300, Finding::Alive), (2_000, Finding::Alive), (2_100, Finding::Ended)], false)]
#[case::check_is_too_early_to_tell(&[(20, Finding::Alive), (300, Finding::Ended)], true)]
#[case::engine_ends_long_after(&[(300, Finding::Unknown), (2_600, Finding::Ended)], false)]
fn abandoned_attempt_is_blamed(#[case] findings: &[(u64, Finding)], #[case] is_blamed: bool) {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    let bad = content("bad");
    for engine in ["i-1", "i-2"] {
        ledger.record_abandoned(&[bad], &instance(engine), start);
    }
    for (at, finding) in findings {
        for engine in ["i-1", "i-2"] {
            ledger.record_finding(
                &instance(engine),
                *finding,
                start + ms(*at),
                start + ms(*at),
            );
        }
    }
    let now = start + ms(2_700);
    assert_eq!(accepts(&mut ledger, &[bad], now), !is_blamed);
}

/// Guards against refusing a popular request because it was at engines that ended for another
/// reason while many of its callers left.
#[test]
fn popular_request_is_refused_when_engines_end() {
    let mut now = Instant::now();
    let popular = content("");
    let mut ledger = Ledger::default();
    ledger.record_completion(&[popular], now);
    for engine in ["i-1", "i-2", "i-3"] {
        now += ms(5_000);
        ledger.record_abandoned(&[popular], &instance(engine), now);
        assert_eq!(ledger.next_check(), None, "no check is needed");
        ledger.record_finding(&instance(engine), Finding::Ended, now, now);
        assert!(accepts(&mut ledger, &[popular], now));
    }
}

/// Guards against a check for each of many callers that leave.
#[test]
fn abandoned_attempts_cost_a_check_each() {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    let (mut checks, mut first_check) = (0, None);
    for step in 0..5_000 {
        let now = start + ms(step);
        if step < 2_000 {
            ledger.record_abandoned(&[content(&step.to_string())], &instance("i-1"), now);
        }
        for due in ledger.due_checks(now) {
            first_check.get_or_insert(step);
            checks += 1;
            ledger.record_finding(&due, Finding::Alive, now, now);
        }
    }
    assert_eq!(first_check, Some(300));
    assert!(checks <= 5_000 / 200, "{checks} checks");
    assert_eq!(ledger.next_check(), None, "all attempts are forgotten");
}

/// Guards against forgetting a check of an engine, also because another one was found alive first.
#[test]
fn last_check_is_left_out() {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    ledger.record_abandoned(&[content("a")], &instance("i-1"), start);
    assert!(ledger.due_checks(start + ms(299)).is_empty());
    assert!(ledger.has_unchecked());
    assert_eq!(ledger.due_checks(start + ms(300)), [instance("i-1")]);
    let checked_at = start + ms(300);
    ledger.record_finding(&instance("i-1"), Finding::Alive, checked_at, checked_at);
    assert!(!ledger.has_unchecked());
    assert_eq!(ledger.next_check(), Some(start + ms(2_000)));
    ledger.record_abandoned(&[content("a")], &instance("i-2"), start);
    ledger.record_finding(&instance("i-2"), Finding::Alive, checked_at, checked_at);
    let last = start + ms(2_000);
    assert_eq!(ledger.due_checks(last), [instance("i-1"), instance("i-2")]);
    ledger.record_finding(&instance("i-1"), Finding::Alive, last, last);
    assert_eq!(
        ledger.record_finding(&instance("i-2"), Finding::Ended, last, last),
        1
    );
}

/// Guards against taking the end of a process for that of the next one of its id, and the life of the
/// next one for that of the earlier.
#[test]
fn finding_concerns_the_process_that_was_checked() {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    let (earlier, later) = (process("i-1", 1), process("i-1", 2));
    for instance in [&earlier, &later] {
        ledger.record_abandoned(&[content("a")], instance, start);
    }
    let last = start + ms(2_000);
    ledger.record_finding(&later, Finding::Alive, last, last);
    assert_eq!(ledger.due_checks(last), std::slice::from_ref(&earlier));
    let ended = ledger.record_finding(&earlier, Finding::Ended, last, last);
    assert_eq!(ended, 1);
    ledger.record_abandoned(&[content("b")], &later, last);
    let ended = ledger.record_finding(&earlier, Finding::Ended, last, last);
    assert_eq!(ended, 0, "the later one goes on");
}
