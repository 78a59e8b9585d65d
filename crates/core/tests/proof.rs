//! Tests of the decision whether an answer that has ended may be passed on as whole.

use {
    jayspread_core::{
        framing::End,
        proof::{Action, Fault, Inquiry},
        quarantine::Finding,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Longest time for which an answer may be held back, without the last check itself.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Goes through checks with these results, which take `check_time` each.
fn inquire(end: End, findings: &[Finding], check_time: Duration) -> (Action, Duration) {
    let ended = Instant::now();
    let mut now = ended;
    let mut inquiry = Inquiry::new(end, ended);
    for finding in findings {
        let Action::Check(at) = inquiry.action() else {
            break;
        };
        now = now.max(at) + check_time;
        inquiry.record(*finding, now);
    }
    (inquiry.action(), now - ended)
}

/// Guards against a part of an answer that looks whole because its engine crashed, and against a whole
/// one that is withheld from its caller.
#[rstest]
#[case::marked(End::Marked, &[], Action::Accept)]
#[case::marked_by_an_engine_that_ended(End::Marked, &[Finding::Ended], Action::Accept)]
#[case::closed_by_a_live_engine(End::Closed, &[Finding::Alive], Action::Accept)]
#[case::closed_by_a_crash(End::Closed, &[Finding::Ended], Action::Reject(Fault::Ended))]
#[case::alive_at_last(End::Closed, &[Finding::Unknown, Finding::Alive], Action::Accept)]
#[case::ended_at_last(
    End::Closed,
    &[Finding::Unknown, Finding::Ended],
    Action::Reject(Fault::Ended)
)]
#[case::alive_again_after_a_crash(
    End::Closed,
    &[Finding::Ended, Finding::Alive],
    Action::Reject(Fault::Ended)
)]
#[case::never_reached(End::Closed, &[Finding::Unknown; 9], Action::Reject(Fault::Unproven))]
fn answer_without_a_mark_needs_a_live_engine(
    #[case] end: End,
    #[case] findings: &[Finding],
    #[case] expected: Action,
) {
    let (action, _) = inquire(end, findings, Duration::from_millis(10));
    assert_eq!(action, expected);
}

/// Guards against a sound engine that is held to have crashed because it closed without a body, and
/// against an empty answer that counts as whole.
#[rstest]
#[case::alive(Finding::Alive, Fault::Empty)]
#[case::ended(Finding::Ended, Fault::Ended)]
fn empty_answer_is_never_whole(#[case] finding: Finding, #[case] fault: Fault) {
    let ended = Instant::now();
    let mut inquiry = Inquiry::without_content(ended);
    assert!(matches!(inquiry.action(), Action::Check(at) if at > ended));
    inquiry.record(finding, ended);
    assert_eq!(inquiry.action(), Action::Reject(fault));
}

/// A crash closes the listener of an engine after its connections, or before.
#[test]
fn first_check_waits_until_a_crash_is_over() {
    let ended = Instant::now();
    let Action::Check(at) = Inquiry::new(End::Closed, ended).action() else {
        panic!("nothing is checked");
    };
    assert!(at > ended);
}

fn finding() -> impl Strategy<Value = Finding> {
    prop_oneof![
        Just(Finding::Alive),
        Just(Finding::Ended),
        Just(Finding::Unknown)
    ]
}

proptest! {
    /// An inquiry ends in time, and accepts only what a live engine has closed.
    #[test]
    fn closed_answer_is_accepted_only_from_a_live_engine(
        findings in prop::collection::vec(finding(), 20),
        check_ms in 0u64..250,
    ) {
        let check_time = Duration::from_millis(check_ms);
        let (action, delay) = inquire(End::Closed, &findings, check_time);
        let first = findings.iter().find(|finding| **finding != Finding::Unknown);
        match action {
            Action::Accept => prop_assert_eq!(first, Some(&Finding::Alive)),
            Action::Reject(Fault::Ended) => prop_assert_eq!(first, Some(&Finding::Ended)),
            Action::Reject(Fault::Unproven) => {}
            Action::Reject(Fault::Empty) => prop_assert!(false, "content was received"),
            Action::Check(_) => prop_assert!(false, "no end of {:?}", findings),
        }
        prop_assert!(delay <= MAX_DELAY + check_time);
    }
}
