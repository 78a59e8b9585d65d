//! Tests of the next action after a failure, and of the proof that a request has not run.

use {
    jayspread_core::{
        call::{Action, Call, Event},
        catalog::Kind,
    },
    proptest::prelude::*,
    rstest::rstest,
};

fn call_after(kind: Kind, max_sends: u32, events: &[Event]) -> Call {
    let mut call = Call::new(kind, max_sends, None);
    for event in events {
        call.handle(*event);
    }
    call
}

#[rstest]
#[case::nothing_sent(&[], Action::Retry, true)]
#[case::connection_failed(&[Event::Send, Event::Unsent], Action::Retry, true)]
#[case::refused_by_the_engine(&[Event::Send, Event::NotRun], Action::Refuse, true)]
#[case::answer_lost(&[Event::Send, Event::Lost], Action::Fail, false)]
fn non_idempotent_request(#[case] events: &[Event], #[case] action: Action, #[case] not_run: bool) {
    let call = call_after(Kind::Once, 1, events);
    assert_eq!(call.next_action(), action);
    assert_eq!(call.not_run(), not_run);
}

#[rstest]
#[case::answer_lost(&[Event::Send, Event::Lost], Action::Retry, false)]
#[case::answer_lost_twice(&[Event::Send, Event::Lost, Event::Send, Event::Lost], Action::Fail, false)]
#[case::refused_after_lost_answer(&[Event::Send, Event::Lost, Event::Send, Event::NotRun], Action::Fail, false)]
#[case::connection_failed_after_lost_answer(&[Event::Send, Event::Lost, Event::Send, Event::Unsent], Action::Retry, false)]
#[case::refused_twice(&[Event::Send, Event::NotRun, Event::Send, Event::NotRun], Action::Refuse, true)]
fn idempotent_request(#[case] events: &[Event], #[case] action: Action, #[case] not_run: bool) {
    let call = call_after(Kind::Idempotent, 2, events);
    assert_eq!(call.next_action(), action);
    assert_eq!(call.not_run(), not_run);
}

#[rstest]
#[case::before_the_first_event(&[Event::Send, Event::Lost], Action::Retry)]
#[case::after_an_event(&[Event::Send, Event::Relayed(Some(7)), Event::Lost], Action::Resume(7))]
#[case::after_an_event_without_id(&[Event::Send, Event::Relayed(None), Event::Lost], Action::Fail)]
fn broken_resumable_stream(#[case] events: &[Event], #[case] action: Action) {
    assert_eq!(call_after(Kind::Resumable, 2, events).next_action(), action);
}

#[test]
fn lost_stream_that_is_not_resumable_fails() {
    let call = call_after(Kind::Stream, 2, &[Event::Send, Event::Lost]);
    assert_eq!(call.next_action(), Action::Fail);
}

#[test]
#[should_panic(expected = "sent again although it may have run")]
fn non_idempotent_request_that_may_have_run_is_not_sent_again() {
    call_after(Kind::Once, 2, &[Event::Send, Event::Lost, Event::Send]);
}

#[test]
#[should_panic(expected = "more engines than allowed")]
fn sends_are_limited() {
    call_after(
        Kind::Idempotent,
        1,
        &[Event::Send, Event::NotRun, Event::Send],
    );
}

#[test]
#[should_panic(expected = "relayed twice or out of order")]
fn event_ids_increase() {
    let events = [
        Event::Send,
        Event::Relayed(Some(3)),
        Event::Relayed(Some(3)),
    ];
    call_after(Kind::Resumable, 2, &events);
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
    /// Engines run or refuse requests and answers get lost. A client that follows `next_action`
    /// never runs a request twice that is not retryable, and never refuses a request that has run.
    #[test]
    fn refused_requests_have_not_run_and_others_run_once_if_not_retryable(
        kind in kinds(),
        max_sends in 1_u32..4,
        attempts in proptest::collection::vec((0_u8..5, 1_u64..4), 1..40),
    ) {
        let mut call = Call::new(kind, max_sends, None);
        let mut runs = 0;
        let mut last_event_id = 0;
        for (result, id_increment) in attempts {
            match call.next_action() {
                Action::Retry | Action::Resume(_) => {}
                Action::Refuse => {
                    prop_assert_eq!(runs, 0, "refused although it ran");
                    break;
                }
                Action::Fail => break,
            }
            call.handle(Event::Send);
            match result {
                0 => call.handle(Event::Unsent),
                1 => call.handle(Event::NotRun),
                2 => {
                    runs += 1;
                    call.handle(Event::Lost);
                }
                3 => {
                    runs += 1;
                    last_event_id += id_increment;
                    call.handle(Event::Relayed(Some(last_event_id)));
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

#[rstest]
#[case::before_it_is_sent(Kind::Idempotent, 2, &[], false)]
#[case::plain(Kind::Idempotent, 2, &[Event::Send], true)]
#[case::stream_before_the_first_event(Kind::Resumable, 2, &[Event::Send], true)]
#[case::stream_with_events(Kind::Resumable, 2, &[Event::Send, Event::Relayed(Some(4))], true)]
#[case::event_without_id(Kind::Resumable, 2, &[Event::Send, Event::Relayed(None)], false)]
#[case::attempts_used_up(Kind::Idempotent, 1, &[Event::Send], false)]
#[case::second_of_two(Kind::Idempotent, 2, &[Event::Send, Event::Lost, Event::Send], false)]
#[case::second_of_three(Kind::Idempotent, 3, &[Event::Send, Event::Lost, Event::Send], true)]
#[case::two_engines_have_it(Kind::Idempotent, 3, &[Event::Send, Event::SendBeside], true)]
#[case::three_engines_have_it(
    Kind::Idempotent,
    3,
    &[Event::Send, Event::SendBeside, Event::SendBeside],
    false
)]
#[case::one_of_three_is_left(
    Kind::Idempotent,
    4,
    &[Event::Send, Event::SendBeside, Event::SendBeside, Event::Lost, Event::NotRun],
    true
)]
#[case::runs_once(Kind::Once, 2, &[Event::Send], false)]
#[case::stream_that_runs_once(Kind::Stream, 2, &[Event::Send, Event::Relayed(Some(4))], false)]
#[case::no_engine_has_it(Kind::Idempotent, 3, &[Event::Send, Event::Lost], false)]
fn second_engine_beside_a_silent_one(
    #[case] kind: Kind,
    #[case] max_sends: u32,
    #[case] events: &[Event],
    #[case] allowed: bool,
) {
    assert_eq!(
        call_after(kind, max_sends, events).can_send_beside(),
        allowed
    );
}

/// Guards against a stream that is given up because the second of two engines failed, although the
/// silent one goes on.
#[rstest]
#[case::refused(Event::NotRun)]
#[case::not_reached(Event::Unsent)]
#[case::broken(Event::Lost)]
fn silent_engine_goes_on_after_the_second_one_failed(#[case] failure: Event) {
    let events = [
        Event::Send,
        Event::Relayed(Some(1)),
        Event::SendBeside,
        failure,
        Event::Relayed(Some(2)),
    ];
    let mut call = call_after(Kind::Resumable, 2, &events);
    assert_eq!(call.last_event_id(), Some(2));
    assert!(!call.not_run());
    call.handle(Event::Lost);
    let resumable = matches!(failure, Event::Unsent);
    let action = if resumable {
        Action::Resume(2)
    } else {
        Action::Fail
    };
    assert_eq!(call.next_action(), action);
}

#[rstest]
#[case::runs_once(Kind::Once)]
#[case::stream_that_runs_once(Kind::Stream)]
#[should_panic(expected = "sent again although it may have run")]
fn request_that_runs_once_gets_no_second_engine(#[case] kind: Kind) {
    call_after(kind, 2, &[Event::Send, Event::SendBeside]);
}
