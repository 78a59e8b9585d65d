//! Tests of splitting a byte stream that arrives in fragments into server-sent events.

use {
    jayspread_core::sse::{Event, Splitter, TooLong},
    proptest::prelude::*,
    rstest::rstest,
};

/// Events in the fragments, and whether no partial event remains.
fn split(fragments: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for fragment in fragments {
        splitter.push(fragment).expect("short input");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.is_empty())
}

#[rstest]
#[case::line_feeds(b"id: 4\ndata: x\n\n")]
#[case::carriage_returns(b"id: 4\r\ndata: x\r\n\r\n")]
#[case::no_space_after_colon(b"id:4\ndata:x\n\n")]
#[case::another_field_first(b"weights: 3\nid: 4\ndata: x\n\n")]
fn finds_event_and_id(#[case] bytes: &[u8]) {
    let (events, complete) = split(&[bytes]);
    assert!(complete);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(4));
    assert_eq!(&events[0].bytes[..], bytes);
}

#[test]
fn partial_event_is_not_returned() {
    let (events, complete) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!complete);
}

#[test]
fn partial_event_is_discarded_before_resuming() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 2\nda").expect("short input");
    assert!(splitter.discard());
    splitter.push(b"id: 2\ndata: b\n\n").expect("short input");
    assert_eq!(splitter.next_event().expect("complete event").id, Some(2));
    assert!(splitter.is_empty());
}

/// Comments and blank lines must not count as events, or a stream that has only these never stalls.
#[test]
fn comments_and_blank_lines_are_no_events() {
    let (events, complete) = split(&[b": a\n\n\n\n:", b" b\n\nid: 1\ndata: x\n\n: c\n\n"]);
    assert!(complete);
    assert_eq!(events.len(), 1);
    assert_eq!(
        &events[0].bytes[..],
        b": a\n\n\n\n: b\n\nid: 1\ndata: x\n\n"
    );
}

#[test]
fn overlong_event_is_rejected() {
    let mut splitter = Splitter::default();
    let fragment = vec![b'x'; 600 << 10];
    splitter.push(&fragment).expect("below the limit");
    assert_eq!(splitter.push(&fragment), Err(TooLong));
}

proptest! {
    #[test]
    fn events_do_not_depend_on_fragment_sizes(
        count in 1_u64..20,
        fragment_sizes in proptest::collection::vec(1_usize..40, 1..60),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\r\ndata: {}\r\n\r\n", "y".repeat(id as usize))).collect();
        let mut rest = text.as_bytes();
        let mut fragments = Vec::new();
        for size in fragment_sizes {
            let (fragment, remaining) = rest.split_at(size.min(rest.len()));
            fragments.push(fragment);
            rest = remaining;
        }
        fragments.push(rest);
        let (events, complete) = split(&fragments);
        prop_assert!(complete);
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, text.into_bytes());
    }

    #[test]
    fn arbitrary_bytes_are_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let (events, _) = split(&[&bytes]);
        let length: usize = events.iter().map(|event| event.bytes.len()).sum();
        prop_assert!(length <= bytes.len());
    }
}
