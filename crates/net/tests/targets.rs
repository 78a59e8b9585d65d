//! Tests of what processes learn from the target versions in the messages of entry hosts.

use {
    jayspread_core::target::{Bound, Targets},
    jayspread_net::targets,
    jayspread_schema::peer::Target,
    std::time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(8);

/// Guards against a host that learns of the newest version only, and so allows engines with an older
/// one more time than the hosts that saw the versions in between.
#[test]
fn host_learns_the_limits_of_superseded_versions_from_another() {
    let start = Instant::now();
    let mut witness = Targets::default();
    witness.record("m", 2, start);
    witness.record("m", 3, start + Duration::from_secs(2));
    let now = start + Duration::from_secs(5);
    let relevant = witness.relevant("m", LIMIT, now);
    let told = Target {
        model: "m".into(),
        version: 3,
        age_ms: 3_000,
        superseded: targets::superseded(relevant, now),
        ..Target::default()
    };
    let mut restarted = Targets::default();
    restarted.record("m", 3, now);
    assert!(!targets::learn(&mut restarted, &told, now), "3 is known");
    let bound = |version, seconds| Bound {
        version,
        until: start + Duration::from_secs(seconds) + LIMIT,
    };
    assert_eq!(restarted.bounds("m", LIMIT), [bound(2, 0), bound(3, 2)]);
}

/// Guards against a version that was named long ago and counts as new at the next host, because its age
/// exceeds the range of the field that states it.
#[test]
fn age_of_any_length_stays_old_when_it_is_passed_on() {
    let now = Instant::now();
    let told = Target {
        model: "m".into(),
        version: 2,
        age_ms: u64::MAX,
        ..Target::default()
    };
    let mut known = Targets::default();
    targets::learn(&mut known, &told, now);
    known.record("m", 3, now);
    let later = now + Duration::from_secs(1);
    let passed_on = targets::superseded(known.relevant("m", Duration::MAX, now), later);
    assert_eq!(passed_on.len(), 1);
    assert!(Duration::from_millis(passed_on[0].age_ms) > LIMIT);
    assert_eq!(known.min_version("m", LIMIT, now), 2);
}
