//! Tests of the decision whether an engine's response may continue a caller's stream.

use {
    jayspread_core::resume::{Fault, Run},
    rstest::rstest,
};

/// Result of a response with these events: the first fault, or that of the end.
fn result(mut run: Run, ids: &[Option<u64>]) -> Result<(), Fault> {
    for id in ids {
        run.check_event(*id)?;
    }
    run.check_end()
}

/// A piece that is missing, comes twice or belongs elsewhere must not reach the caller.
#[rstest]
#[case::whole(Run::first(None), &[Some(1), Some(2), Some(3)], Ok(()))]
#[case::starts_at_zero(Run::first(None), &[Some(0), Some(1)], Ok(()))]
#[case::gap(Run::first(None), &[Some(1), Some(3)], Err(Fault::Gap))]
#[case::same_id(Run::first(None), &[Some(1), Some(1)], Err(Fault::Repeated))]
#[case::backwards(Run::first(None), &[Some(4), Some(2)], Err(Fault::Repeated))]
#[case::no_id(Run::first(None), &[Some(1), None], Err(Fault::NoId))]
#[case::no_id_first(Run::first(None), &[None], Err(Fault::NoId))]
#[case::resumed(Run::resumed(Some(4)), &[Some(5), Some(6)], Ok(()))]
#[case::resumed_with_gap(Run::resumed(Some(4)), &[Some(6)], Err(Fault::Gap))]
#[case::resumed_from_the_start(Run::resumed(Some(4)), &[Some(1)], Err(Fault::Repeated))]
#[case::resumed_with_last_event(Run::resumed(Some(4)), &[Some(4)], Err(Fault::Repeated))]
#[case::resumed_without_id(Run::resumed(Some(4)), &[None], Err(Fault::NoId))]
#[case::resumed_by_caller(Run::first(Some(4)), &[Some(5)], Ok(()))]
#[case::resumed_by_caller_with_gap(Run::first(Some(4)), &[Some(7)], Err(Fault::Gap))]
#[case::largest_id(Run::first(Some(u64::MAX)), &[Some(u64::MAX)], Err(Fault::Repeated))]
#[case::from_largest_gap(Run::first(Some(0)), &[Some(u64::MAX)], Err(Fault::Gap))]
fn events_must_follow_each_other(
    #[case] run: Run,
    #[case] ids: &[Option<u64>],
    #[case] expected: Result<(), Fault>,
) {
    assert_eq!(result(run, ids), expected);
}

/// An end that might be incomplete must not look complete.
#[rstest]
#[case::no_events(Run::first(None), Err(Fault::Empty))]
#[case::caller_may_have_all(Run::first(Some(9)), Ok(()))]
#[case::resumed(Run::resumed(Some(9)), Err(Fault::Empty))]
fn end_without_events_is_complete_only_for_a_caller_that_resumes(
    #[case] run: Run,
    #[case] expected: Result<(), Fault>,
) {
    assert_eq!(run.check_end(), expected);
}

/// The text of an error must not reach the caller as part of its stream.
#[rstest]
#[case::stream(true, "text/event-stream", Ok(()))]
#[case::parameters(true, "Text/Event-Stream; charset=utf-8", Ok(()))]
#[case::error(false, "text/event-stream", Err(Fault::Status))]
#[case::text(true, "text/plain", Err(Fault::ContentType))]
#[case::prefix(true, "text/event-streams", Err(Fault::ContentType))]
#[case::no_type(true, "", Err(Fault::ContentType))]
fn head_must_be_that_of_a_stream(
    #[case] is_success: bool,
    #[case] content_type: &str,
    #[case] expected: Result<(), Fault>,
) {
    let run = Run::resumed(Some(1));
    assert_eq!(run.check_head(is_success, content_type), expected);
}
