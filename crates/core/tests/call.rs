//! What may be tried again and what may be promised, in every state of a request.

use {
    jayspread_core::{
        call::{Action, Call, Event},
        catalog::Kind,
    },
    proptest::prelude::*,
    rstest::rstest,
};

fn played(kind: Kind, most: u32, events: &[Event]) -> Call {
    let mut call = Call::new(kind, most, None);
    for event in events {
        call.handle(*event);
    }
    call
}

#[rstest]
#[case::nothing_sent(&[], Action::Retry, true)]
#[case::unsent(&[Event::Send, Event::Unsent], Action::Retry, true)]
#[case::refused_by_the_engine(&[Event::Send, Event::NotRun], Action::Refuse, true)]
#[case::answer_lost(&[Event::Send, Event::Lost], Action::Fail, false)]
fn a_request_that_runs_once(#[case] events: &[Event], #[case] next: Action, #[case] not_run: bool) {
    let call = played(Kind::Once, 1, events);
    assert_eq!(call.next_action(), next);
    assert_eq!(call.not_run(), not_run);
}

#[rstest]
#[case::answer_lost(&[Event::Send, Event::Lost], Action::Retry, false)]
#[case::lost_twice(&[Event::Send, Event::Lost, Event::Send, Event::Lost], Action::Fail, false)]
#[case::refused_after_a_loss(&[Event::Send, Event::Lost, Event::Send, Event::NotRun], Action::Fail, false)]
#[case::unsent_after_a_loss(&[Event::Send, Event::Lost, Event::Send, Event::Unsent], Action::Retry, false)]
#[case::refused_twice(&[Event::Send, Event::NotRun, Event::Send, Event::NotRun], Action::Refuse, true)]
fn an_idempotent_request(#[case] events: &[Event], #[case] next: Action, #[case] not_run: bool) {
    let call = played(Kind::Idempotent, 2, events);
    assert_eq!(call.next_action(), next);
    assert_eq!(call.not_run(), not_run);
}

#[rstest]
#[case::before_the_first_event(&[Event::Send, Event::Lost], Action::Retry)]
#[case::behind_an_event(&[Event::Send, Event::Relayed(Some(7)), Event::Lost], Action::Resume(7))]
#[case::without_ids(&[Event::Send, Event::Relayed(None), Event::Lost], Action::Fail)]
fn a_stream_that_breaks_off(#[case] events: &[Event], #[case] next: Action) {
    assert_eq!(played(Kind::Resumable, 2, events).next_action(), next);
}

#[test]
fn a_stream_that_nobody_can_continue_fails() {
    let call = played(Kind::Stream, 2, &[Event::Send, Event::Lost]);
    assert_eq!(call.next_action(), Action::Fail);
}

#[test]
#[should_panic(expected = "sent again after it may have run")]
fn twice_is_never_sent() {
    played(Kind::Once, 2, &[Event::Send, Event::Lost, Event::Send]);
}

#[test]
#[should_panic(expected = "more engines than allowed")]
fn budget_of_attempts_is_kept() {
    played(
        Kind::Idempotent,
        1,
        &[Event::Send, Event::NotRun, Event::Send],
    );
}

#[test]
#[should_panic(expected = "passed on twice or out of order")]
fn order_of_events_is_kept() {
    let events = [
        Event::Send,
        Event::Relayed(Some(3)),
        Event::Relayed(Some(3)),
    ];
    played(Kind::Resumable, 2, &events);
}

fn kinds() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Idempotent),
        Just(Kind::Once),
        Just(Kind::Resumable),
        Just(Kind::Stream),
    ]
}

proptest! {
    /// Engines that run a request or refuse it, answers that get lost: whoever follows `next` never
    /// runs a request twice that must not be, and never says falsely that it has not run.
    #[test]
    fn refused_is_true_and_once_is_once(
        kind in kinds(),
        most in 1_u32..4,
        turns in proptest::collection::vec((0_u8..5, 1_u64..4), 1..40),
    ) {
        let mut call = Call::new(kind, most, None);
        let mut runs = 0;
        let mut last = 0;
        for (turn, step) in turns {
            match call.next_action() {
                Action::Retry | Action::Resume(_) => {}
                Action::Refuse => {
                    prop_assert_eq!(runs, 0, "refused although it ran");
                    break;
                }
                Action::Fail => break,
            }
            call.handle(Event::Send);
            match turn {
                0 => call.handle(Event::Unsent),
                1 => call.handle(Event::NotRun),
                2 => {
                    runs += 1;
                    call.handle(Event::Lost);
                }
                3 => {
                    runs += 1;
                    last += step;
                    call.handle(Event::Relayed(Some(last)));
                    call.handle(Event::Lost);
                }
                _ => {
                    call.handle(Event::Done);
                    break;
                }
            }
            if !kind.retryable() {
                prop_assert!(runs <= 1, "ran {} times", runs);
            }
            if call.not_run() {
                prop_assert_eq!(runs, 0);
            }
        }
    }
}
