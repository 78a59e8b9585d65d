//! Numbers at the ends of their ranges in the messages of peers must not overflow.

use {
    jayspread_core::{
        quarantine::{Ledger, Statement},
        swim::{Group, Standing, Update},
        target::Targets,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::time::{Duration, Instant},
};

fn update(host: &str, incarnation: u64, standing: Standing) -> Update<u8> {
    Update {
        host: host.into(),
        contact: 0,
        incarnation,
        standing,
    }
}

/// Guards against a panic of a process while its members are locked when a datagram states the largest
/// incarnation of it, which no other contradicts.
#[rstest]
#[case::largest(u64::MAX)]
#[case::next_to_largest(u64::MAX - 1)]
fn statement_about_the_largest_incarnation_is_ignored(#[case] incarnation: u64) {
    let now = Instant::now();
    let mut group = Group::new("a".into(), 0, 7);
    for standing in [Standing::Dead, Standing::Alive] {
        let updates = vec![
            update("a", incarnation, standing),
            update("b", incarnation, standing),
        ];
        assert!(group.merge(updates, now).is_empty());
    }
    assert!(group.observe("c", 0, incarnation, false, now).is_none());
    assert_eq!(group.incarnation(), 7);
    // A false statement that a process can contradict still is contradicted.
    group.merge(vec![update("a", 7, Standing::Dead)], now);
    assert_eq!(group.incarnation(), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against an overflow while what a peer states, or the limit of the settings, is applied.
    #[test]
    fn times_of_any_length_never_panic(
        ages in proptest::collection::vec(any::<Duration>(), 1..12),
        completed in any::<Option<Duration>>(),
        limit in any::<Duration>(),
        rank in any::<u32>(),
    ) {
        let now = Instant::now();
        let mut ledger = Ledger::default();
        let mut targets = Targets::default();
        for (number, age) in (0..).zip(&ages) {
            let crashes = ages.iter().zip(0..).map(|(age, crash)| (crash, *age)).collect();
            let statement = Statement { part: number % 3, crashes, completed };
            ledger.adopt(&[statement], now);
            ledger.check(&[number % 3], |_| rank, now);
            targets.record("m", number, now.checked_sub(*age).unwrap_or(now));
            targets.assume("m", u64::MAX - number, now);
        }
        ledger.news(64, now);
        targets.bounds("m", limit);
        targets.relevant("m", limit, now);
        targets.min_version("m", limit, now);
    }
}
