//! Whole events out of bytes that come in any pieces.

use {
    jayspread_core::sse::{Event, Splitter, TooLong},
    proptest::prelude::*,
    rstest::rstest,
};

fn split(pieces: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).expect("short input");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.is_empty())
}

#[rstest]
#[case::line_feeds(b"id: 4\ndata: x\n\n")]
#[case::carriage_returns(b"id: 4\r\ndata: x\r\n\r\n")]
#[case::no_blank_after_the_colon(b"id:4\ndata:x\n\n")]
#[case::another_field_first(b"weights: 3\nid: 4\ndata: x\n\n")]
fn finds_an_event_and_its_id(#[case] bytes: &[u8]) {
    let (events, whole) = split(&[bytes]);
    assert!(whole);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(4));
    assert_eq!(&events[0].bytes[..], bytes);
}

#[test]
fn holds_back_an_event_that_stops_in_the_middle() {
    let (events, whole) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!whole);
}

#[test]
fn discards_a_partial_event_before_a_resumption() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 2\nda").expect("short input");
    assert!(splitter.discard());
    splitter.push(b"id: 2\ndata: b\n\n").expect("short input");
    assert_eq!(splitter.next_event().expect("whole event").id, Some(2));
    assert!(splitter.is_empty());
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::default();
    let piece = vec![b'x'; 600 << 10];
    splitter.push(&piece).expect("below the bound");
    assert_eq!(splitter.push(&piece), Err(TooLong));
}

proptest! {
    #[test]
    fn pieces_of_any_size_give_the_same_events(
        count in 1_u64..20,
        cuts in proptest::collection::vec(1_usize..40, 1..60),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\r\ndata: {}\r\n\r\n", "y".repeat(id as usize))).collect();
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        for cut in cuts {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = left;
        }
        pieces.push(rest);
        let (events, whole) = split(&pieces);
        prop_assert!(whole);
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, text.into_bytes());
    }

    #[test]
    fn any_bytes_are_taken(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let (events, _) = split(&[&bytes]);
        let length: usize = events.iter().map(|event| event.bytes.len()).sum();
        prop_assert!(length <= bytes.len());
    }
}
