//! Tests of blaming the content of a request as a whole, beside the parts of its prompt.

use {
    jayspread_core::{
        id::Started,
        quarantine::{Ledger, Part, Verdict, crash, part, request},
    },
    rstest::rstest,
    std::time::{Duration, Instant},
};

fn content(body: &str) -> Part {
    content_of("org", body)
}

fn content_of(caller: &str, body: &str) -> Part {
    request(
        caller,
        "x.example",
        "/s/1",
        "f0:40,own:100",
        body.as_bytes(),
    )
}

fn accepts(ledger: &mut Ledger, parts: &[Part], now: Instant) -> bool {
    ledger.check(parts, |_| 1_000, now) == Verdict::Accept
}

/// Guards against a request that comes again under new ids while answers to other requests clear
/// the part that they share.
#[test]
fn content_is_refused_after_two_crashes_though_its_part_is_sound() {
    let now = Instant::now();
    let (shared, bad) = (part("f0"), content("bad"));
    let mut ledger = Ledger::default();
    for (second, engine) in (0..).zip(["i-1", "i-2"]) {
        let now = now + Duration::from_secs(second);
        assert!(accepts(&mut ledger, &[shared, bad], now), "before {engine}");
        ledger.record_crash(&[shared, bad], crash(engine, None), now);
        ledger.record_completion(&[shared, content("sound")], now);
    }
    let now = now + Duration::from_secs(1);
    assert!(!accepts(&mut ledger, &[shared, bad], now));
    assert!(accepts(&mut ledger, &[shared, content("sound")], now));
    assert!(accepts(&mut ledger, &[shared, content("new")], now));
}

/// Guards against blaming the wrong one of a part and the contents of the requests that have it.
#[rstest]
#[case::one_request(&["a", "a", "a"], true)]
#[case::many_requests_with_one_part(&["a", "b", "c"], false)]
fn crashes_are_explained_by_what_they_have_in_common(
    #[case] contents: &[&str],
    #[case] content_is_to_blame: bool,
) {
    let now = Instant::now();
    let shared = part("f0");
    let mut ledger = Ledger::default();
    for (engine, name) in contents.iter().enumerate() {
        ledger.record_crash(
            &[shared, content(name)],
            crash(&format!("i-{engine}"), None),
            now,
        );
    }
    let later = now + Duration::from_secs(1);
    let part_accepted = accepts(&mut ledger, &[shared, content("new")], later);
    assert_eq!(part_accepted, content_is_to_blame);
    let content_accepted = accepts(&mut ledger, &[content("a")], later);
    assert_eq!(content_accepted, !content_is_to_blame);
}

/// Guards against refusing content that many callers send, such as a status query, because it was
/// at engines that ended for another reason.
#[test]
fn content_that_was_answered_lately_is_not_blamed() {
    let now = Instant::now();
    let popular = content("");
    let mut ledger = Ledger::default();
    ledger.record_completion(&[popular], now);
    for engine in ["i-1", "i-2", "i-3"] {
        ledger.record_crash(
            &[popular],
            crash(engine, None),
            now + Duration::from_secs(5),
        );
    }
    assert!(accepts(
        &mut ledger,
        &[popular],
        now + Duration::from_secs(6)
    ));
}

/// Guards against taking the answers to one caller for proof that the same request of another one
/// crashes no engine, and against refusing the former.
#[test]
fn content_of_another_caller_is_answered() {
    let now = Instant::now();
    let (bad, sound) = (content_of("org", ""), content_of("other", ""));
    let mut ledger = Ledger::default();
    for engine in ["i-1", "i-2"] {
        ledger.record_completion(&[sound], now);
        ledger.record_crash(&[bad], crash(engine, None), now + Duration::from_secs(1));
    }
    let later = now + Duration::from_secs(2);
    assert!(!accepts(&mut ledger, &[bad], later));
    assert!(accepts(&mut ledger, &[sound], later));
}

#[rstest]
#[case::of_another_caller(["other", "x.example", "/s/1", "f0:40", "body"])]
#[case::of_another_host(["org", "y.example", "/s/1", "f0:40", "body"])]
#[case::of_another_target(["org", "x.example", "/s/2", "f0:40", "body"])]
#[case::with_another_prompt(["org", "x.example", "/s/1", "f1:40", "body"])]
#[case::with_another_body(["org", "x.example", "/s/1", "f0:40", "ydob"])]
fn contents_differ(#[case] other: [&str; 5]) {
    let hash = |[caller, host, target, prompt, body]: [&str; 5]| {
        request(caller, host, target, prompt, body.as_bytes())
    };
    let first = hash(["org", "x.example", "/s/1", "f0:40", "body"]);
    assert_ne!(hash(other), first);
}

/// Guards against counting the crashes of all processes of an id as one, and that of one process,
/// which two hosts tell, as two.
#[rstest]
#[case::two_processes_of_an_id(Some(2), false)]
#[case::one_process(Some(1), true)]
fn crashes_are_counted_by_process(#[case] second: Started, #[case] is_accepted: bool) {
    let now = Instant::now();
    let bad = content("bad");
    let (mut ledger, mut other) = (Ledger::default(), Ledger::default());
    ledger.record_crash(&[bad], crash("i-1", Some(1)), now);
    other.record_crash(&[bad], crash("i-1", second), now);
    for statement in other.news(1, now) {
        ledger.merge(&statement, now);
    }
    assert_eq!(accepts(&mut ledger, &[bad], now), is_accepted);
}
