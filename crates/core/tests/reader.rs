//! Tests of selecting the entry hosts that read the store: after a restart of a whole region, while readers
//! have lost the store, and while hosts see different members.

use {
    jayspread_core::{
        id::Host,
        reader::{Pace, Peer, READERS_PER_REGION, children, contacts, reads_store},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    rstest::rstest,
    std::time::Duration,
};

fn host_names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("edge-{n:02}")).collect()
}

/// Indices of the hosts that read the store when each host sees all others.
fn readers(hosts: &[String], store_unreachable: &[bool]) -> Vec<usize> {
    let is_reader = |own: &usize| {
        let others = (0..hosts.len()).filter(|other| other != own);
        reads_store(
            &hosts[*own],
            others.map(|n| Peer {
                host: &hosts[n],
                store_unreachable: store_unreachable[n],
            }),
        )
    };
    (0..hosts.len()).filter(is_reader).collect()
}

#[test]
fn number_of_readers_does_not_depend_on_region_size() {
    for count in [3, 13, 120, 360] {
        let hosts = host_names(count);
        assert_eq!(
            readers(&hosts, &vec![false; count]).len(),
            READERS_PER_REGION
        );
    }
}

#[test]
fn all_hosts_of_a_small_region_are_readers() {
    for count in 1..=READERS_PER_REGION {
        let hosts = host_names(count);
        assert_eq!(readers(&hosts, &vec![false; count]).len(), count);
    }
}

#[test]
fn readers_that_lose_the_store_are_replaced_and_keep_trying() {
    let hosts = host_names(13);
    let mut store_unreachable = vec![false; 13];
    store_unreachable[0] = true;
    store_unreachable[2] = true;
    let readers = readers(&hosts, &store_unreachable);
    let connected = readers.iter().filter(|n| !store_unreachable[**n]).count();
    assert_eq!(connected, READERS_PER_REGION);
    assert!(readers.contains(&0) && readers.contains(&2), "{readers:?}");
}

#[test]
fn all_hosts_try_if_none_reaches_the_store() {
    let hosts = host_names(13);
    assert_eq!(readers(&hosts, &[true; 13]).len(), 13);
}

#[test]
fn enough_hosts_read_the_store_whichever_members_each_sees() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let hosts = host_names(rng.random_range(1..40));
        let store_unreachable: Vec<bool> = hosts.iter().map(|_| rng.random_bool(0.3)).collect();
        let is_reader = |own: &usize| {
            let mut rng = StdRng::seed_from_u64(*own as u64);
            let mut seen: Vec<usize> = (0..hosts.len()).filter(|other| other != own).collect();
            seen.shuffle(&mut rng);
            seen.truncate(rng.random_range(0..=seen.len()));
            let peers = seen.iter().map(|n| Peer {
                host: &hosts[*n],
                store_unreachable: store_unreachable[*n],
            });
            reads_store(&hosts[*own], peers)
        };
        let readers = (0..hosts.len()).filter(is_reader);
        let connected_readers = readers.filter(|n| !store_unreachable[*n]).count();
        let connected = store_unreachable.iter().filter(|lost| !**lost).count();
        assert!(
            connected_readers >= connected.min(READERS_PER_REGION),
            "{connected_readers} of {connected}"
        );
    }
}

/// News reach each host of a region once, over hosts that each tell at most four others.
#[test]
fn news_reach_every_host_once() {
    for count in [1, 2, 5, 30, 148] {
        let mut hosts: Vec<Host> = host_names(count).into_iter().map(Into::into).collect();
        hosts.sort();
        for root in [0, count / 2, count - 1] {
            let root = &hosts[root];
            let mut told: Vec<&Host> = vec![root];
            let mut next = 0;
            while next < told.len() {
                let children = children(&hosts, root, told[next]);
                assert!(children.len() <= 4);
                told.extend(children);
                next += 1;
            }
            told.sort();
            assert_eq!(told, hosts.iter().collect::<Vec<_>>());
        }
    }
}

#[test]
fn host_that_does_not_know_the_root_tells_nobody() {
    let hosts: Vec<Host> = host_names(5).into_iter().map(Into::into).collect();
    assert!(children(&hosts, "edge-unknown", &hosts[0]).is_empty());
}

/// Guards against a silent store that is noticed so late that the next reader cannot meet the
/// limit.
#[rstest]
#[case::two_seconds(2_000)]
#[case::three_seconds(3_000)]
#[case::four_seconds(4_000)]
fn silent_store_is_noticed_with_time_to_spare(#[case] limit: u64) {
    /// Answer of a store that is 60 times as slow as usual.
    const SLOW_ANSWER: Duration = Duration::from_millis(240);
    /// Time for the next reader's call and for telling the region, at usual and at slow answers.
    const TAKEOVER_TIME: Duration = Duration::from_millis(300);
    let limit = Duration::from_millis(limit);
    let pace = Pace::new(Some(limit), 0);
    assert!(
        pace.silence_noticed_after() + TAKEOVER_TIME <= limit,
        "{pace:?}"
    );
    assert!(pace.answer_time > SLOW_ANSWER, "{pace:?}");
}

#[rstest]
#[case::without_a_limit(None, 0)]
#[case::of_the_second_reader(Some(Duration::from_secs(2)), 1)]
fn polls_are_long(#[case] limit: Option<Duration>, #[case] rank: usize) {
    let pace = Pace::new(limit, rank);
    assert!(pace.poll_wait >= Duration::from_secs(15), "{pace:?}");
}

/// News go to the readers of another region, and to further hosts in place of those that have lost
/// the store, but never to all hosts of a large region.
#[rstest]
#[case::small(&[false], &[0])]
#[case::all_reachable(&[false; 6], &[0, 1])]
#[case::first_lost(&[true, false, false, false], &[0, 1, 2])]
#[case::all_lost(&[true; 30], &[0, 1, 2, 3])]
fn news_are_told_to_few_hosts_of_another_region(
    #[case] store_unreachable: &[bool],
    #[case] expected: &[usize],
) {
    let hosts = host_names(store_unreachable.len());
    let peers = hosts.iter().zip(store_unreachable);
    let peers = peers.map(|(host, unreachable)| Peer {
        host,
        store_unreachable: *unreachable,
    });
    let expected: Vec<&str> = expected.iter().map(|n| &*hosts[*n]).collect();
    assert_eq!(contacts(peers), expected);
}
