//! Pieces of a version spread over a fleet of hosts with slow links, without sockets.

mod weights;

use {
    jayspread_core::{
        chunk::{Peer, Source},
        id::Host,
        spread::{self, Holder, MAX_DOWNLOADS, Scheduler},
    },
    proptest::prelude::*,
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    weights::{PIECES, peers, steps},
};

/// Time of one transfer over a host's link, steps of the model.
const TRANSFER: u64 = 5;
/// Time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Transfers that the origin's link carries at once.
const ORIGIN_LINK: usize = 2;

struct Fleet {
    peers: BTreeMap<Host, Peer>,
    spreads: BTreeMap<Host, Scheduler>,
    holders: BTreeMap<Host, Holder>,
    /// Transfers under way: who, index, source, end.
    moving: Vec<(Host, usize, Source, u64)>,
    from_origin: usize,
    dead: BTreeSet<Host>,
    origin_up: bool,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let peers = peers(count);
        let mut fleet = Self {
            peers: BTreeMap::new(),
            spreads: BTreeMap::new(),
            holders: BTreeMap::new(),
            moving: Vec::new(),
            from_origin: 0,
            dead: BTreeSet::new(),
            origin_up: true,
        };
        for (number, peer) in peers.iter().enumerate() {
            let steps = steps(peer, &peers);
            let patience = number as f64 / count as f64;
            let spread = Scheduler::new(&peer.data_centre, &peer.region, &steps, patience);
            let holder = Holder {
                data_centre: peer.data_centre.clone(),
                region: peer.region.clone(),
                pieces: BTreeSet::new(),
            };
            fleet.spreads.insert(peer.host.clone(), spread);
            fleet.holders.insert(peer.host.clone(), holder);
            fleet.peers.insert(peer.host.clone(), peer.clone());
        }
        fleet
    }

    fn done(&self) -> bool {
        let live = self.spreads.iter().filter(|(h, _)| !self.dead.contains(*h));
        live.map(|(_, spread)| spread).all(Scheduler::is_complete)
    }

    fn step(&mut self, now: u64, rng: &mut StdRng) {
        let ended: Vec<_> = self.moving.extract_if(.., |m| m.3 <= now).collect();
        for (host, index, source, _) in ended {
            let spread = self.spreads.get_mut(&host).expect("known");
            spread.finish_fetch(index);
            let alive = match &source {
                Source::Origin => self.origin_up,
                Source::Peer(peer) => !self.dead.contains(peer),
            };
            if alive {
                spread.mark_held(index);
                self.holders
                    .get_mut(&host)
                    .expect("known")
                    .pieces
                    .insert(index);
            }
        }
        let elapsed = STEP * now as u32;
        let hosts: Vec<Host> = self.spreads.keys().cloned().collect();
        for host in hosts {
            let busy = self.moving.iter().filter(|m| m.0 == host).count();
            if self.dead.contains(&host) || busy >= MAX_DOWNLOADS {
                continue;
            }
            let visible: BTreeMap<Host, Holder> = self
                .holders
                .iter()
                .filter(|(h, _)| **h != host && !self.dead.contains(*h))
                .map(|(h, holder)| (h.clone(), holder.clone()))
                .collect();
            let spread = self.spreads.get_mut(&host).expect("known");
            while let Some(ask) = spread.next_fetch(&visible, elapsed, rng) {
                let sharing = self.moving.iter().filter(|m| m.2 == ask.source).count();
                let link = if ask.source == Source::Origin {
                    self.from_origin += 1;
                    1 + sharing / ORIGIN_LINK
                } else {
                    1 + sharing
                };
                let end = now + TRANSFER * link as u64;
                self.moving.push((host.clone(), ask.piece, ask.source, end));
            }
        }
    }

    fn run(&mut self, limit: u64, seed: u64) -> Option<u64> {
        let mut rng = StdRng::seed_from_u64(seed);
        for now in 0..limit {
            self.step(now, &mut rng);
            if self.done() {
                return Some(now);
            }
        }
        None
    }
}

#[rstest]
#[case(12)]
#[case(20)]
#[case(45)]
fn every_piece_leaves_the_origin_about_once(#[case] hosts: usize) {
    let mut fleet = Fleet::new(hosts);
    let took = fleet.run(2_000, 1).expect("complete");
    assert!(
        fleet.from_origin <= PIECES * 2,
        "{} pieces",
        fleet.from_origin
    );
    // One copy over one link takes PIECES * TRANSFER steps.
    assert!(took <= 2 * PIECES as u64 * TRANSFER, "{took} steps");
}

#[test]
fn goes_on_without_hosts_that_die_in_the_middle() {
    let mut fleet = Fleet::new(20);
    let mut rng = StdRng::seed_from_u64(2);
    for now in 0..60 {
        fleet.step(now, &mut rng);
    }
    fleet.dead = ["host-0", "host-3", "host-4", "host-8"]
        .iter()
        .map(|h| Host::from(*h))
        .collect();
    for now in 60..3_000 {
        fleet.step(now, &mut rng);
    }
    assert!(fleet.done());
}

#[test]
fn waits_for_an_origin_that_is_away() {
    let mut fleet = Fleet::new(9);
    fleet.origin_up = false;
    let mut rng = StdRng::seed_from_u64(3);
    for now in 0..400 {
        fleet.step(now, &mut rng);
    }
    assert!(!fleet.done());
    fleet.origin_up = true;
    for now in 400..3_000 {
        fleet.step(now, &mut rng);
    }
    assert!(fleet.done());
}

/// An empty engine joins a fleet that serves the version: it takes nothing from the origin.
#[test]
fn a_newcomer_takes_its_pieces_near() {
    let peers = peers(7);
    let me = peers.iter().next().expect("has peers").clone();
    let steps = steps(&me, &peers);
    let mut spread = Scheduler::new(&me.data_centre, &me.region, &steps, 0.5);
    let holders: BTreeMap<Host, Holder> = peers
        .iter()
        .filter(|peer| peer.host != me.host)
        .map(|peer| {
            let holder = Holder {
                data_centre: peer.data_centre.clone(),
                region: peer.region.clone(),
                pieces: (0..PIECES).collect(),
            };
            (peer.host.clone(), holder)
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(4);
    let mut asked = 0;
    while !spread.is_complete() {
        let ask = spread
            .next_fetch(&holders, Duration::ZERO, &mut rng)
            .expect("all pieces are near");
        assert_ne!(ask.source, Source::Origin);
        spread.finish_fetch(ask.piece);
        spread.mark_held(ask.piece);
        asked += 1;
    }
    assert_eq!(asked, PIECES);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]
    #[test]
    fn whatever_dies_the_others_complete(
        seed in any::<u64>(),
        dead in proptest::collection::btree_set(0_usize..15, 0..6),
        at in 0_u64..300,
    ) {
        let mut fleet = Fleet::new(15);
        let mut rng = StdRng::seed_from_u64(seed);
        for now in 0..at {
            fleet.step(now, &mut rng);
        }
        fleet.dead = dead.iter().map(|n| Host::from(format!("host-{n}"))).collect();
        for now in at..4_000 {
            fleet.step(now, &mut rng);
        }
        prop_assert!(fleet.done());
    }
}

#[test]
fn reports_of_a_large_fleet_leave_the_links_between_regions_to_the_pieces() {
    // 25 hosts in each of three regions, 30 Mbit/s between two regions, reports of 200 bytes.
    let (near, far, bytes) = (25.0, 25, 200.0);
    let pause = spread::report_interval(Duration::from_millis(60), far * 2).as_secs_f64();
    let link = near * far as f64 * bytes * 8.0 / pause;
    assert!(link <= 30e6 * 0.2, "{link} bit/s of reports");
    let small = spread::report_interval(Duration::from_millis(60), 8);
    assert_eq!(small, Duration::from_millis(60));
}
