//! Tests of the versions that the operator has named, and of the limits of older ones.

use {
    jayspread_core::target::Targets,
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
