//! Tests of the decision how the end of a response body is marked, and whether the body is whole.

use {
    jayspread_core::framing::{End, Fault, Fields, Framing},
    proptest::prelude::*,
    rstest::rstest,
};

fn framing(status: u16, codings: &[&str], lengths: &[&str]) -> Result<Framing, Fault> {
    let fields = Fields {
        method: b"GET",
        status,
        is_http_10: false,
        codings: codings.iter().map(|value| value.as_bytes()).collect(),
        lengths: lengths.iter().map(|value| value.as_bytes()).collect(),
    };
    fields.framing()
}

/// Guards against a body whose end is taken from one of several fields that contradict each other.
#[rstest]
#[case::length(200, &[], &["5"], Ok(Framing::Length(5)))]
#[case::same_length_twice(200, &[], &["5", "5"], Ok(Framing::Length(5)))]
#[case::same_length_in_a_list(200, &[], &["5, 5"], Ok(Framing::Length(5)))]
#[case::largest_length(200, &[], &["18446744073709551615"], Ok(Framing::Length(u64::MAX)))]
#[case::other_length(200, &[], &["5", "2"], Err(Fault::Length))]
#[case::other_length_in_a_list(200, &[], &["5, 2"], Err(Fault::Length))]
#[case::second_length_no_number(200, &[], &["5", "x"], Err(Fault::Length))]
#[case::too_large(200, &[], &["18446744073709551616"], Err(Fault::Length))]
#[case::sign(200, &[], &["+5"], Err(Fault::Length))]
#[case::negative(200, &[], &["-5"], Err(Fault::Length))]
#[case::empty_length(200, &[], &[""], Err(Fault::Length))]
#[case::chunks(200, &["Chunked"], &[], Ok(Framing::Chunks))]
#[case::chunks_and_length(200, &["chunked"], &["5"], Err(Fault::Ambiguous))]
#[case::chunks_and_bad_length(200, &["chunked"], &["x"], Err(Fault::Length))]
#[case::chunks_twice(200, &["chunked, chunked"], &[], Err(Fault::Coding))]
#[case::compressed_chunks(200, &["gzip, chunked"], &[], Err(Fault::Coding))]
#[case::compressed(200, &["gzip"], &[], Err(Fault::Coding))]
#[case::longer_name(200, &["chunkedly"], &["5"], Err(Fault::Coding))]
#[case::neither(200, &[], &[], Ok(Framing::Close))]
#[case::error(500, &[], &[], Ok(Framing::Close))]
#[case::no_content(204, &[], &["5"], Ok(Framing::Empty))]
#[case::not_modified(304, &[], &["5"], Ok(Framing::Empty))]
#[case::informational(103, &[], &[], Ok(Framing::Empty))]
fn framing_follows_from_all_fields(
    #[case] status: u16,
    #[case] codings: &[&str],
    #[case] lengths: &[&str],
    #[case] expected: Result<Framing, Fault>,
) {
    assert_eq!(framing(status, codings, lengths), expected);
}

#[test]
fn http_10_has_no_chunks() {
    let fields = Fields {
        method: b"GET",
        status: 200,
        is_http_10: true,
        codings: vec![b"chunked"],
        lengths: Vec::new(),
    };
    assert_eq!(fields.framing(), Err(Fault::Coding));
}

/// Guards against a body that is awaited after a response to HEAD, whatever its fields announce.
#[rstest]
#[case::length(&[], &["5"])]
#[case::chunks(&["chunked"], &[])]
#[case::neither(&[], &[])]
fn response_to_head_has_no_body(#[case] codings: &[&str], #[case] lengths: &[&str]) {
    let fields = Fields {
        method: b"HEAD",
        status: 200,
        is_http_10: false,
        codings: codings.iter().map(|value| value.as_bytes()).collect(),
        lengths: lengths.iter().map(|value| value.as_bytes()).collect(),
    };
    assert_eq!(fields.framing(), Ok(Framing::Empty));
}

/// Guards against a response that looks whole although its sender stopped after the head or inside
/// the body.
#[rstest]
#[case::empty(Framing::Empty, 0, Some(End::Marked))]
#[case::whole_length(Framing::Length(5), 5, Some(End::Marked))]
#[case::no_length(Framing::Length(0), 0, Some(End::Marked))]
#[case::part_of_length(Framing::Length(5), 4, None)]
#[case::no_chunk(Framing::Chunks, 0, None)]
#[case::no_last_chunk(Framing::Chunks, 5, None)]
#[case::nothing_after_the_head(Framing::Close, 0, None)]
#[case::closed(Framing::Close, 5, Some(End::Closed))]
fn end_of_connection_is_no_end_of_a_part(
    #[case] framing: Framing,
    #[case] received: u64,
    #[case] expected: Option<End>,
) {
    assert_eq!(framing.end_at_close(received), expected);
}

proptest! {
    /// Only a body that its own marks end counts as marked, whatever the fields say.
    #[test]
    fn body_without_marks_never_ends_as_marked(
        codings in prop::collection::vec("[a-z, ]{0,9}|chunked", 0..3),
        lengths in prop::collection::vec("[0-9, +x]{0,4}", 0..3),
        received in 0u64..20,
    ) {
        let codings: Vec<&str> = codings.iter().map(String::as_str).collect();
        let lengths: Vec<&str> = lengths.iter().map(String::as_str).collect();
        if let Ok(framing) = framing(200, &codings, &lengths) {
            let is_marked = framing.end_at_close(received) == Some(End::Marked);
            prop_assert_eq!(is_marked, matches!(framing, Framing::Length(length) if length <= received));
        }
    }
}
