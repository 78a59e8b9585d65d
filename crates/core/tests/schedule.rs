//! Turns at loading a version.

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

const BOUND: Duration = Duration::from_secs(8);

fn pool(centres: usize, hosts: usize) -> BTreeMap<DataCentre, BTreeSet<Host>> {
    let mut pool: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
    for number in 0..hosts {
        let centre = format!("dc-{}", number % centres);
        let host = format!("host-{number}").into();
        pool.entry(centre.into()).or_default().insert(host);
    }
    pool
}

fn dues(pool: &BTreeMap<DataCentre, BTreeSet<Host>>, next: Target) -> Vec<Instant> {
    let mut dues = Vec::new();
    for (centre, hosts) in pool {
        for host in hosts {
            let turn = Turn {
                host,
                data_centre: centre,
                pool,
                serving_version: 1,
                target: next,
                cutoff: BOUND,
            };
            dues.push(turn.due());
        }
    }
    dues.sort();
    dues
}

fn named(version: u64, since: Instant) -> Target {
    Target {
        version,
        set_at: since,
    }
}

#[test]
fn turns_are_spread_evenly_before_the_bound() {
    let begin = Instant::now();
    for version in 2..12 {
        let dues = dues(&pool(3, 20), named(version, begin));
        assert!(dues[0] >= begin + TYPICAL_STAGING_TIME);
        assert!(dues[19] < begin + BOUND);
        let second = Duration::from_secs(1);
        for due in &dues {
            let together = dues.iter().filter(|d| **d >= *due && **d < *due + second);
            assert!(together.count() <= 8, "a third of the pool within a second");
        }
    }
}

#[test]
fn an_empty_engine_loads_at_once() {
    let begin = Instant::now();
    let pool = pool(1, 4);
    let turn = Turn {
        host: "host-2",
        data_centre: "dc-0",
        pool: &pool,
        serving_version: 0,
        target: named(3, begin),
        cutoff: BOUND,
    };
    assert_eq!(turn.due(), begin);
}

#[test]
fn a_turn_waits_for_a_newer_version_only_when_it_comes_in_time() {
    let begin = Instant::now();
    let pool = pool(1, 1);
    let turn = |due_version| Turn {
        host: "host-0",
        data_centre: "dc-0",
        pool: &pool,
        serving_version: 1,
        target: named(due_version, begin),
        cutoff: BOUND,
    };
    let soon = named(3, begin + Duration::from_millis(500));
    assert!(turn(2).should_skip_for(soon));
    let late = named(3, begin + Duration::from_secs(6));
    assert!(
        !turn(2).should_skip_for(late),
        "it would come after the bound"
    );
    let after = named(3, begin + Duration::from_secs(3));
    assert!(
        !turn(2).should_skip_for(after),
        "this engine's turn comes long before"
    );
}

#[test]
fn version_binds_from_its_naming_on() {
    let begin = Instant::now();
    let mut targets = Targets::default();
    assert!(targets.record("m", 2, begin));
    assert!(targets.record("m", 3, begin + Duration::from_secs(4)));
    assert!(!targets.record("m", 2, begin), "not newer");
    let least = |after| targets.min_version("m", BOUND, begin + Duration::from_secs(after));
    assert_eq!(least(7), 0);
    assert_eq!(least(8), 2);
    assert_eq!(least(11), 2);
    assert_eq!(least(12), 3);
    assert_eq!(targets.newest("m").map(|n| n.version), Some(3));
}

#[test]
fn a_naming_heard_of_late_counts_from_the_earliest_word() {
    let begin = Instant::now();
    let mut targets = Targets::default();
    targets.record("m", 2, begin + Duration::from_secs(5));
    targets.record("m", 2, begin);
    assert_eq!(targets.min_version("m", BOUND, begin + BOUND), 2);
}
