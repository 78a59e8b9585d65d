//! Numbers at the ends of their ranges in the messages of peers must not overflow.

use {
    jayspread_core::swim::{Group, Standing, Update},
    rstest::rstest,
    std::time::Instant,
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
