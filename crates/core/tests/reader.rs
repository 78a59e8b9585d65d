//! Patterns: a whole region restarts behind a thin link; readers lose the store; hosts see different
//! members.

use {
    jayspread_core::reader::{Peer, READERS_PER_REGION, reads_store},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("edge-{n:02}")).collect()
}

/// Hosts that read when each sees all others, some of which have lost the store.
fn readers(hosts: &[String], lost: &[bool]) -> Vec<usize> {
    let reader = |me: &usize| {
        let others = (0..hosts.len()).filter(|other| other != me);
        reads_store(
            &hosts[*me],
            others.map(|n| Peer {
                host: &hosts[n],
                store_unreachable: lost[n],
            }),
        )
    };
    (0..hosts.len()).filter(reader).collect()
}

#[test]
fn restart_of_a_region_reads_the_store_three_times_whatever_its_size() {
    for count in [3, 13, 120, 360] {
        let hosts = hosts(count);
        assert_eq!(
            readers(&hosts, &vec![false; count]).len(),
            READERS_PER_REGION
        );
    }
}

#[test]
fn small_regions_read_with_all_their_hosts() {
    for count in 1..=READERS_PER_REGION {
        let hosts = hosts(count);
        assert_eq!(readers(&hosts, &vec![false; count]).len(), count);
    }
}

#[test]
fn readers_that_lose_the_store_are_replaced_and_go_on_trying() {
    let hosts = hosts(13);
    let mut lost = vec![false; 13];
    lost[0] = true;
    lost[2] = true;
    let now = readers(&hosts, &lost);
    let in_touch = now.iter().filter(|n| !lost[**n]).count();
    assert_eq!(in_touch, READERS_PER_REGION);
    assert!(now.contains(&0) && now.contains(&2), "{now:?}");
}

#[test]
fn a_region_that_lost_the_store_altogether_tries_with_all_hosts() {
    let hosts = hosts(13);
    assert_eq!(readers(&hosts, &[true; 13]).len(), 13);
}

#[test]
fn someone_in_touch_reads_whatever_part_of_the_members_each_host_sees() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let hosts = hosts(rng.random_range(1..40));
        let lost: Vec<bool> = hosts.iter().map(|_| rng.random_bool(0.3)).collect();
        let reader = |me: &usize| {
            let mut rng = StdRng::seed_from_u64(*me as u64);
            let mut seen: Vec<usize> = (0..hosts.len()).filter(|other| other != me).collect();
            seen.shuffle(&mut rng);
            seen.truncate(rng.random_range(0..=seen.len()));
            let others = seen.iter().map(|n| Peer {
                host: &hosts[*n],
                store_unreachable: lost[*n],
            });
            reads_store(&hosts[*me], others)
        };
        let reading = (0..hosts.len()).filter(reader);
        let in_touch = reading.filter(|n| !lost[*n]).count();
        let could = lost.iter().filter(|lost| !**lost).count();
        assert!(
            in_touch >= could.min(READERS_PER_REGION),
            "{in_touch} of {could}"
        );
    }
}
