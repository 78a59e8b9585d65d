//! Tests of what agents know of the pieces that others hold.

use {
    jayspread_core::{
        holders::{Report, Reports},
        id::Incarnation,
    },
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

fn report(incarnation: Incarnation, now: Instant) -> Report {
    Report {
        incarnation,
        serving_version: 0,
        held_pieces: BTreeMap::from([(7, BTreeSet::from([incarnation as usize]))]),
        received_at: now,
    }
}

/// Guards against fetching pieces from a process that never had them: an earlier one of its host did.
#[rstest]
#[case::report_of_an_earlier_process_is_late(&[2, 1], 2, Some(2))]
#[case::later_process_has_not_reported(&[1], 2, None)]
#[case::earlier_process_is_still_the_known_one(&[2], 1, None)]
#[case::later_process_reports(&[1, 2], 2, Some(2))]
fn pieces_are_those_of_another_process(
    #[case] reports: &[Incarnation],
    #[case] incarnation: Incarnation,
    #[case] held: Option<usize>,
) {
    let now = Instant::now();
    let mut known = Reports::default();
    for sender in reports {
        known.insert("host".into(), report(*sender, now));
    }
    let pieces = known.pieces("host", incarnation, 7, 4, now);
    assert_eq!(pieces, held.map(|piece| BTreeSet::from([piece])));
}
