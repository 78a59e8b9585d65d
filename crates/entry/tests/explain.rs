//! Tests of the way of a request through log files, on lines as the processes write them.

use {
    jayspread_entry::explain::{Filter, Line, Report, Search},
    rstest::rstest,
};

const REFUSED: &str = "\
  46.0084 edge-kol-salt-lake-3 time=2026-10-15T21:15:25.008Z level=Info event=received request=8a506f92ad2caa4d route=r-y4pr4ui kind=Resumable organisation=fise331 prompt=3670 timeout_ms=5473 caller_retry=false revision=60
  46.0085 edge-kol-salt-lake-3 time=2026-10-15T21:15:25.008Z level=Info event=failed request=8a506f92ad2caa4d reason=busy after_ms=55
  46.0124 edge-kol-salt-lake-2 time=2026-10-15T21:15:25.012Z level=Info event=received request=53b39b0980b1a8e2 route=r-354zjse kind=Resumable organisation=wuje490 prompt=249 timeout_ms=3574 caller_retry=true revision=60
  46.0124 edge-kol-salt-lake-2 time=2026-10-15T21:15:25.012Z level=Info event=failed request=53b39b0980b1a8e2 reason=busy after_ms=0
  46.0224 edge-dgp-city-centre-2 time=2026-10-15T21:15:25.022Z level=Info event=rejected request=c87f47ebf7e26bfe status=401 reason=unknown_key
";

const LOST: &str = "\
time=2026-10-15T21:15:25.008Z level=Info event=received request=fa6d37101e6a53f2 route=r-4ts5mv8 kind=Once organisation=nyti681 prompt=0 timeout_ms=922 caller_retry=false revision=12
time=2026-10-15T21:15:25.009Z level=Info event=sent request=fa6d37101e6a53f2 engine=i-3dcd63f025 data_centre=litoral-a expected_ms=0 occupancy=0 load_age_ms=2016 send=1
time=2026-10-15T21:15:25.026Z level=Info event=missed request=fa6d37101e6a53f2 engine=i-3dcd63f025 reason=lost:broken
time=2026-10-15T21:15:25.026Z level=Info event=failed request=fa6d37101e6a53f2 reason=answer_lost after_ms=18
time=2026-10-15T21:15:25.020Z level=Warn event=engine_ejected engine=i-3dcd63f025 reason=broken
time=2026-10-15T21:15:25.021Z level=Warn event=engine_ejected engine=i-other reason=broken
time=2026-10-15T21:15:52.000Z level=Warn event=engine_ejected engine=i-3dcd63f025 reason=connect
";

const STREAM: &str = "\
time=2026-10-15T21:15:25.009Z level=Info event=sent request=0a4c5b816c58d569 engine=i-0d3f9d7936 data_centre=cuyo-a expected_ms=205 occupancy=9 load_age_ms=150 send=1
time=2026-10-15T21:15:25.512Z level=Info event=first_event request=0a4c5b816c58d569 took_ms=503
time=2026-10-15T21:15:26.888Z level=Info event=stream_broke request=0a4c5b816c58d569 reason=stalled last=Some(18)
time=2026-10-15T21:15:26.888Z level=Info event=no_repeat request=0a4c5b816c58d569 reason=budget
time=2026-10-15T21:15:26.888Z level=Info event=failed request=0a4c5b816c58d569 reason=stalled after_ms=1879
";

fn search(log: &str, filter: Filter) -> Report {
    let mut search = Search::new(filter);
    log.lines().for_each(|line| search.add(line, "edge-1"));
    search.finish()
}

fn request(id: &str) -> Filter {
    Filter {
        request: Some(id.into()),
        ..Filter::default()
    }
}

const QUARANTINED: &str = "\
time=2026-12-04T11:00:00.000Z level=Info event=received request=c0ffee route=stream kind=Resumable organisation=org prompt=100 parts=f0,bad0 timeout_ms=3000 caller_retry=false revision=1
time=2026-12-04T11:00:00.000Z level=Info event=quarantined request=c0ffee part=bad0 part_hash=0123456789abcdef
time=2026-12-04T11:00:00.000Z level=Info event=failed request=c0ffee reason=quarantined after_ms=0
";

const WITHDRAWN: &str = "\
time=2026-12-04T11:00:00.000Z level=Info event=received request=c0ffee route=stream kind=Resumable organisation=org prompt=100 parts=f0 timeout_ms=3000 caller_retry=false revision=1
time=2026-12-04T11:00:00.001Z level=Info event=sent request=c0ffee engine=i-1 version=1 version_left_ms=900 send=1
time=2026-12-04T11:00:00.751Z level=Info event=missed request=c0ffee engine=i-1 reason=withdrawn
time=2026-12-04T11:00:01.251Z level=Info event=failed request=c0ffee reason=no_engine after_ms=1251
";

const PANICKED: &str = "\
time=2026-12-04T11:00:00.001Z level=Info event=sent request=c0ffee engine=i-1 send=1
time=2026-12-04T11:00:00.251Z level=Info event=panicked request=c0ffee after_ms=251 sends=1 engine=i-1 reason=\"too large\"
";

const CUT_OFF: &str = "\
time=2026-12-04T11:00:00.001Z level=Info event=sent request=c0ffee engine=i-1 send=1
time=2026-12-04T11:00:00.251Z level=Info event=cut_off request=c0ffee after_ms=251 sends=1 engine=i-1 reason=shutdown
";

const UNREACHABLE: &str = "\
time=2026-12-04T11:00:00.001Z level=Info event=sent request=c0ffee engine=i-1 send=1
time=2026-12-04T11:00:00.251Z level=Info event=caller_unreachable request=c0ffee after_ms=251 sends=1 engine=i-1 reason=reset
";

#[rstest]
#[case::panicked(
    PANICKED,
    "c0ffee",
    "edge-1 failed to handle it after 1 sends: panic: too large"
)]
#[case::cut_off(CUT_OFF, "c0ffee", "edge-1 shut down 251 ms after it came")]
#[case::caller_unreachable(
    UNREACHABLE,
    "c0ffee",
    "the connection to its caller failed 251 ms after it came: reset"
)]
#[case::withdrawn(
    WITHDRAWN,
    "c0ffee",
    "it was withdrawn from i-1, which had not begun it shortly before work on its version had to end, and no other engine took it"
)]
#[case::refused_under_load(
    REFUSED,
    "8a506f92ad2caa4d",
    "edge-kol-salt-lake-3 refused it: no engine that it may use was expected to answer in time; no engine got it"
)]
#[case::gave_way(
    REFUSED,
    "53b39b0980b1a8e2",
    "edge-kol-salt-lake-2 refused it: all engines were busy, and it gave way to first tries of other callers; no engine got it"
)]
#[case::rejected(
    REFUSED,
    "c87f47ebf7e26bfe",
    "edge-dgp-city-centre-2 rejected it with status 401: unknown_key; no engine got it"
)]
#[case::crashing_part(
    QUARANTINED,
    "c0ffee",
    "edge-1 refused it: engines crash on part bad0 of its prompt; no engine got it"
)]
#[case::ended_unknown(
    LOST,
    "fa6d37101e6a53f2",
    "i-3dcd63f025 got it and gave no usable response (lost:broken): it may have run; it must not be sent twice"
)]
#[case::stream_cut(
    STREAM,
    "0a4c5b816c58d569",
    "its stream from i-0d3f9d7936 broke (stalled) after event Some(18) and no engine resumed it; the retry budget was spent"
)]
fn cause_of_a_failed_request(#[case] log: &str, #[case] id: &str, #[case] cause: &str) {
    assert_eq!(search(log, request(id)).cause.as_deref(), Some(cause));
}

#[test]
fn lines_about_its_engines_belong_to_a_request() {
    let report = search(LOST, request("fa6d37101e6a53f2"));
    let events: Vec<&str> = report.lines.iter().map(|line| &*line.event).collect();
    assert_eq!(
        events,
        ["received", "sent", "engine_ejected", "missed", "failed"]
    );
    assert!(report.lines.iter().all(|line| &*line.host == "edge-1"));
}

#[test]
fn resumed_stream_is_a_success() {
    let resumed = STREAM.replace(
        "event=failed request=0a4c5b816c58d569 reason=stalled after_ms=1879",
        "event=streamed request=0a4c5b816c58d569 events=20 longest_pause_ms=700 took_ms=2400",
    );
    let cause = search(&resumed, request("0a4c5b816c58d569")).cause;
    let expected = "its stream broke and was resumed at i-0d3f9d7936; it ended whole after 2400 ms";
    assert_eq!(cause.as_deref(), Some(expected));
}

#[test]
fn request_that_nobody_logged() {
    let cause = search(LOST, request("0")).cause.expect("a request");
    assert!(cause.starts_with("no process logged its end"), "{cause}");
}

#[test]
fn lines_of_a_host_within_a_time() {
    let filter = Filter {
        host: Some("edge-kol-salt-lake-2".into()),
        between: Some((
            "2026-10-15T21:15:25.010".into(),
            "2026-10-15T21:15:26".into(),
        )),
        ..Filter::default()
    };
    let report = search(REFUSED, filter);
    assert_eq!(report.lines.len(), 2);
    assert_eq!(report.cause, None);
}

#[rstest]
#[case::empty("")]
#[case::without_an_event("time=2026 level=Info nothing")]
#[case::not_a_log_line("quiet-1  268/132  0.58  0.714")]
fn other_lines_are_skipped(#[case] line: &str) {
    assert_eq!(Line::parse(line, "edge-1"), None);
}

#[test]
fn quoted_value_is_whole_and_a_key_is_not_found_inside_another() {
    let line = "time=1 level=Warn event=store_lost topic=engines reason=\"could not connect\" after_reason=2";
    let line = Line::parse(line, "edge-1").expect("a log line");
    assert_eq!(line.get("reason"), Some("could not connect"));
    assert_eq!(line.get("son"), None);
}
