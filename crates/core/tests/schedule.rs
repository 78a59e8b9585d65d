//! Tests of the turns at loading a version, and of the versions that engines may still serve.

use {
    jayspread_core::{
        id::{DataCentre, Host},
        schedule::{TYPICAL_STAGING_TIME, Turn},
        target::{Target, Targets},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const CUTOFF: Duration = Duration::from_secs(8);

fn pool(data_centres: usize, hosts: usize) -> BTreeMap<DataCentre, BTreeSet<Host>> {
    let mut pool: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
    for number in 0..hosts {
        let data_centre = format!("dc-{}", number % data_centres);
        let host = format!("host-{number}").into();
        pool.entry(data_centre.into()).or_default().insert(host);
    }
    pool
}

fn due_times(pool: &BTreeMap<DataCentre, BTreeSet<Host>>, target: Target) -> Vec<Instant> {
    let mut due_times = Vec::new();
    for (data_centre, hosts) in pool {
        for host in hosts {
            let turn = Turn {
                host,
                data_centre,
                pool,
                serving_version: 1,
                target,
                cutoff: CUTOFF,
            };
            due_times.push(turn.due());
        }
    }
    due_times.sort();
    due_times
}

fn announced(version: u64, set_at: Instant) -> Target {
    Target {
        version,
        set_at,
        assumed: false,
    }
}

#[test]
fn turns_are_spread_evenly_before_the_cutoff() {
    let announced_at = Instant::now();
    for version in 2..12 {
        let due_times = due_times(&pool(3, 20), announced(version, announced_at));
        assert!(due_times[0] >= announced_at + TYPICAL_STAGING_TIME);
        assert!(due_times[19] < announced_at + CUTOFF);
        let second = Duration::from_secs(1);
        for due in &due_times {
            let within_second = due_times
                .iter()
                .filter(|d| **d >= *due && **d < *due + second);
            assert!(
                within_second.count() <= 8,
                "more than 8 of 20 turns within a second"
            );
        }
    }
}

#[test]
fn engine_without_version_loads_immediately() {
    let announced_at = Instant::now();
    let pool = pool(1, 4);
    let turn = Turn {
        host: "host-2",
        data_centre: "dc-0",
        pool: &pool,
        serving_version: 0,
        target: announced(3, announced_at),
        cutoff: CUTOFF,
    };
    assert_eq!(turn.due(), announced_at);
}

#[test]
fn turn_is_skipped_only_if_a_newer_version_is_staged_in_time() {
    let announced_at = Instant::now();
    let pool = pool(1, 1);
    let turn = |version| Turn {
        host: "host-0",
        data_centre: "dc-0",
        pool: &pool,
        serving_version: 1,
        target: announced(version, announced_at),
        cutoff: CUTOFF,
    };
    let soon = announced(3, announced_at + Duration::from_millis(500));
    assert!(turn(2).should_skip_for(soon));
    let late = announced(3, announced_at + Duration::from_secs(6));
    assert!(
        !turn(2).should_skip_for(late),
        "it would be staged after the cutoff"
    );
    let later = announced(3, announced_at + Duration::from_secs(3));
    assert!(
        !turn(2).should_skip_for(later),
        "it would be staged long after the turn"
    );
}

#[test]
fn version_is_required_once_its_cutoff_has_passed() {
    let announced_at = Instant::now();
    let mut targets = Targets::default();
    assert!(targets.record("m", 2, announced_at));
    assert!(targets.record("m", 3, announced_at + Duration::from_secs(4)));
    assert!(!targets.record("m", 2, announced_at), "not newer");
    let min_version =
        |seconds| targets.min_version("m", CUTOFF, announced_at + Duration::from_secs(seconds));
    assert_eq!(min_version(7), 0);
    assert_eq!(min_version(8), 2);
    assert_eq!(min_version(11), 2);
    assert_eq!(min_version(12), 3);
    assert_eq!(targets.newest("m").map(|n| n.version), Some(3));
}

#[test]
fn earliest_announcement_of_a_version_counts() {
    let announced_at = Instant::now();
    let mut targets = Targets::default();
    targets.record("m", 2, announced_at + Duration::from_secs(5));
    targets.record("m", 2, announced_at);
    assert_eq!(targets.min_version("m", CUTOFF, announced_at + CUTOFF), 2);
}
