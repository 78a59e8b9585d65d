//! Tests of the versions that the operator has named, and of the limits of older ones.

use {
    jayspread_core::target::{Newest, Targets},
    std::time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(8);

/// Guards against dropping a superseded version whose limit comes first for engines that hold an
/// even older one.
#[test]
fn superseded_version_is_relevant_until_the_limit_of_a_later_one_has_passed() {
    let start = Instant::now();
    let mut targets = Targets::default();
    targets.record("m", 2, start);
    targets.record("m", 3, start + Duration::from_secs(2));
    let relevant = |seconds| -> Vec<u64> {
        let now = start + Duration::from_secs(seconds);
        let relevant = targets.relevant("m", LIMIT, now).iter();
        relevant.map(|target| target.version).collect()
    };
    assert_eq!(relevant(3), [2, 3]);
    assert_eq!(relevant(9), [2, 3], "the limit of version 2 has passed");
    assert_eq!(relevant(10), [3], "version 3 bars all that version 2 does");
    assert!(targets.relevant("other", LIMIT, start).is_empty());
}

/// Guards against taking the time at which a version was learned for the time at which it was named.
#[test]
fn time_that_some_process_knows_replaces_an_assumed_one_and_never_the_other_way() {
    let start = Instant::now();
    let seconds = Duration::from_secs;
    let mut targets = Targets::default();
    let until = |targets: &Targets| targets.bounds("m", LIMIT)[0].until - LIMIT - start;
    assert!(targets.assume("m", 2, start + seconds(3)));
    assert!(!targets.assume("m", 2, start + seconds(2)), "not newer");
    assert_eq!(until(&targets), seconds(2), "the stricter assumption");
    assert!(!targets.record("m", 2, start + seconds(6)));
    assert_eq!(until(&targets), seconds(6), "a known time is later");
    targets.assume("m", 2, start + seconds(1));
    assert_eq!(until(&targets), seconds(6));
    targets.record("m", 2, start + seconds(5));
    assert_eq!(until(&targets), seconds(5), "the earliest known time");
}

/// Guards against more time for an old version because many newer ones were named.
#[test]
fn many_versions_do_not_extend_the_limit_of_the_first() {
    let start = Instant::now();
    let mut targets = Targets::default();
    for version in 2..=20 {
        targets.record("m", version, start + Duration::from_millis(100 * version));
    }
    let first = targets
        .bounds("m", LIMIT)
        .into_iter()
        .map(|b| b.until)
        .min();
    assert_eq!(first, Some(start + Duration::from_millis(200) + LIMIT));
}

/// Guards against going back to a value of an earlier configuration, which a host that stood still tells.
#[test]
fn value_of_an_earlier_configuration_is_ignored() {
    let mut newest = Newest::default();
    assert!(newest.learn(3, "a"));
    assert!(!newest.learn(2, "b"));
    assert!(!newest.learn(4, "a"), "the value is the same");
    assert!(!newest.learn(3, "b"));
    assert_eq!(newest.get(), Some(&"a"));
    assert!(newest.learn(5, "b"));
    assert_eq!(newest.get(), Some(&"b"));
}
