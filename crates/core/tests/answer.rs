//! Tests of the decision whose response a response head is.

use {
    jayspread_core::answer::{Arrival, Owner},
    rstest::rstest,
};

/// Refusal without an id that answers the first request on its connection.
const REFUSAL: Arrival<'_> = Arrival {
    named: None,
    is_refusal: true,
    is_first: true,
    request_sent: true,
};

/// A refusal that may be that of an earlier request must not prove that this one has not run.
#[rstest]
#[case::only_request(REFUSAL, Owner::Request)]
#[case::kept_connection(Arrival { is_first: false, ..REFUSAL }, Owner::Unknown)]
#[case::before_the_request(Arrival { request_sent: false, ..REFUSAL }, Owner::Unknown)]
#[case::no_refusal(Arrival { is_refusal: false, ..REFUSAL }, Owner::Unknown)]
#[case::own_id(Arrival { named: Some("a"), is_first: false, ..REFUSAL }, Owner::Request)]
#[case::own_id_early(Arrival { named: Some("a"), request_sent: false, ..REFUSAL }, Owner::Request)]
#[case::other_id(Arrival { named: Some("b"), ..REFUSAL }, Owner::Another)]
#[case::longer_id(Arrival { named: Some("aa"), ..REFUSAL }, Owner::Another)]
#[case::empty_id(Arrival { named: Some(""), ..REFUSAL }, Owner::Another)]
fn owner_follows_from_id_and_connection(#[case] arrival: Arrival<'_>, #[case] owner: Owner) {
    assert_eq!(arrival.owner("a"), owner);
}
