//! Patterns: a large fleet spreads a version over slow links, where each host sends one piece at a
//! time and learns late what the others hold; all ask the first holders of a piece at once.

mod weights;

use {
    jayspread_core::{
        chunk::{Peer, Source},
        id::Host,
        spread::{self, Holder, MAX_QUEUED_UPLOADS, Scheduler},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    weights::{PIECES, peers, steps},
};

/// One step of the model.
const STEP: Duration = Duration::from_millis(10);
/// Steps that a piece of 48 KiB takes over a host's paced link of 9.4 Mbit/s.
const SEND: u64 = 5;
/// Pieces that the origin's link of 15 Mbit/s carries in a step.
const ORIGIN_RATE: f64 = 0.38;
/// Shortest time between two reports of what a host holds.
const REPORT: Duration = Duration::from_millis(60);

/// A host of the model.
struct Member {
    peer: Peer,
    spread: Scheduler,
    pieces: BTreeSet<usize>,
    /// What hosts of its data centre and others know of it.
    told: [BTreeSet<usize>; 2],
    /// Transfers that wait here, the first one runs: to whom, which piece.
    queue: VecDeque<(usize, usize)>,
    /// Step at which the running transfer ends.
    busy: u64,
    /// Asks that were refused, and when that is known.
    refused: Vec<(usize, u64)>,
}

/// Fleet of three data centres whose hosts refuse to queue more than `queue` transfers.
struct Fleet {
    members: Vec<Member>,
    origin: VecDeque<(usize, usize)>,
    sent: f64,
    from_origin: usize,
    queue: usize,
}

impl Fleet {
    fn new(count: usize, queue: usize) -> Self {
        let peers = peers(count);
        let member = |(number, peer): (usize, &Peer)| Member {
            peer: peer.clone(),
            spread: Scheduler::new(
                &peer.data_centre,
                &peer.region,
                &steps(peer, &peers),
                number as f64 / count as f64,
            ),
            pieces: BTreeSet::new(),
            told: <[BTreeSet<usize>; 2]>::default(),
            queue: VecDeque::new(),
            busy: 0,
            refused: Vec::new(),
        };
        Self {
            members: peers.iter().enumerate().map(member).collect(),
            origin: VecDeque::new(),
            sent: 0.0,
            from_origin: 0,
            queue,
        }
    }

    fn receive(&mut self, to: usize, index: usize) {
        let member = &mut self.members[to];
        member.spread.finish_fetch(index);
        member.spread.mark_held(index);
        member.pieces.insert(index);
    }

    /// Ends transfers and starts those that wait.
    fn carry(&mut self, now: u64) {
        for at in 0..self.members.len() {
            let member = &mut self.members[at];
            if member.busy > now {
                continue;
            }
            if member.busy == now && now > 0 {
                let (to, index) = member.queue.pop_front().expect("runs");
                self.receive(to, index);
            }
            let member = &mut self.members[at];
            if !member.queue.is_empty() {
                member.busy = now + SEND;
            }
            let refused = std::mem::take(&mut member.refused);
            for (index, when) in refused {
                if when <= now {
                    member.spread.finish_fetch(index);
                } else {
                    member.refused.push((index, when));
                }
            }
        }
        self.sent += ORIGIN_RATE;
        while self.sent >= 1.0 && !self.origin.is_empty() {
            self.sent -= 1.0;
            let (to, index) = self.origin.pop_front().expect("not empty");
            self.receive(to, index);
        }
        self.sent = self.sent.min(1.0);
    }

    /// Tells the others what each host holds, as often as a fleet of this size may.
    fn report(&mut self, now: u64) {
        let near = self.members.len() / 3;
        for (at, member) in self.members.iter_mut().enumerate() {
            for (group, hosts) in [(0, near), (1, near * 2)] {
                let every = spread::report_interval(REPORT, hosts).as_millis() / STEP.as_millis();
                if (now + at as u64).is_multiple_of(every as u64) {
                    member.told[group] = member.pieces.clone();
                }
            }
        }
    }

    fn holders(&self, me: usize) -> BTreeMap<Host, Holder> {
        let own = &self.members[me].peer;
        let others = self.members.iter().filter(|m| m.peer.host != own.host);
        let holder = |m: &Member| {
            let far = usize::from(m.peer.data_centre != own.data_centre);
            let holder = Holder {
                data_centre: m.peer.data_centre.clone(),
                region: m.peer.region.clone(),
                pieces: m.told[far].clone(),
            };
            (m.peer.host.clone(), holder)
        };
        others.map(holder).collect()
    }

    fn ask(&mut self, now: u64, rng: &mut StdRng) {
        let elapsed = STEP * now as u32;
        let index: BTreeMap<Host, usize> = self
            .members
            .iter()
            .enumerate()
            .map(|(at, m)| (m.peer.host.clone(), at))
            .collect();
        for me in 0..self.members.len() {
            if self.members[me].spread.is_complete() {
                continue;
            }
            let holders = self.holders(me);
            while let Some(ask) = self.members[me].spread.next_fetch(&holders, elapsed, rng) {
                let Source::Peer(host) = &ask.source else {
                    self.from_origin += 1;
                    self.origin.push_back((me, ask.piece));
                    continue;
                };
                let at = index[host];
                if self.members[at].queue.len() > self.queue {
                    self.members[me].refused.push((ask.piece, now + 3));
                } else {
                    let idle = self.members[at].queue.is_empty();
                    self.members[at].queue.push_back((me, ask.piece));
                    if idle {
                        self.members[at].busy = now + SEND;
                    }
                }
            }
        }
    }

    /// Time until all hosts hold all pieces.
    fn run(&mut self, seed: u64) -> Duration {
        let mut rng = StdRng::seed_from_u64(seed);
        for now in 0..3_000 {
            self.carry(now);
            self.report(now);
            self.ask(now, &mut rng);
            if self.members.iter().all(|m| m.spread.is_complete()) {
                return STEP * now as u32;
            }
        }
        panic!("not complete in 30 s");
    }
}

/// Time for a version to reach all hosts: a second version named 2 s after the first one must be
/// there 1.4 s before the bound of the first, 8 s after its naming.
const LIMIT: Duration = Duration::from_millis(4_600);

#[test]
fn herd_on_the_first_holders_is_sent_on_and_a_large_fleet_has_the_version_in_time() {
    for seed in 1..=2 {
        let mut fleet = Fleet::new(75, MAX_QUEUED_UPLOADS);
        let took = fleet.run(seed);
        assert!(took <= LIMIT, "{took:?}");
        assert_eq!(fleet.from_origin, PIECES, "one copy leaves the origin");
    }
}
