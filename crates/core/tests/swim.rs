//! Walks of a group that probes at random: losses, links that are cut one way or between two
//! regions, pauses, restarts and members that join together.

use {
    jayspread_core::swim::{
        EAGER_PROBE_PERIOD, Group, Message, PROBE_PERIOD, Send, Standing, Update,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

type Index = usize;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(20);
/// Changes passed on in one datagram.
const UPDATES_PER_DATAGRAM: usize = 12;
/// Time within which all others must know that a member has died.
const DETECTION_LIMIT: Duration = Duration::from_secs(12);
/// Time within which all members must know each other after a start or a cut.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(8);

struct Datagram {
    from: Index,
    to: Index,
    incarnation: u64,
    body: Body,
    updates: Vec<Update<Index>>,
    digest: u64,
}

enum Body {
    Hello,
    Message(Message),
    Members(Vec<Update<Index>>),
}

struct Node {
    group: Group<Index>,
    running: bool,
    paused: bool,
    /// Received while paused.
    inbox: Vec<Datagram>,
    started: Instant,
    last_list: Option<Instant>,
}

/// A fleet whose member `n` is in region `n % regions`.
struct Fleet {
    nodes: Vec<Node>,
    rng: StdRng,
    now: Instant,
    loss: f64,
    /// Links that lose everything, as pairs of sender and receiver.
    is_cut: Box<dyn Fn(Index, Index) -> bool>,
    sent: BTreeMap<Index, (u64, u64)>,
    next_incarnation: u64,
    /// Times at which a running member was considered dead by another running one.
    false_deaths: usize,
}

fn name(index: Index) -> String {
    format!("host-{index:03}")
}

fn index(host: &str) -> Index {
    host.trim_start_matches("host-")
        .parse()
        .expect("a host name")
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            loss: 0.0,
            is_cut: Box::new(|_, _| false),
            sent: BTreeMap::new(),
            next_incarnation: 1_000,
            false_deaths: 0,
        };
        for _ in 0..count {
            fleet.add();
        }
        (0..count).for_each(|me| fleet.greet(me));
        fleet
    }

    fn join(&mut self) {
        self.add();
        self.greet(self.nodes.len() - 1);
    }

    fn add(&mut self) {
        let me = self.nodes.len();
        self.next_incarnation += 1_000;
        self.nodes.push(Node {
            group: Group::new(name(me).into(), me, self.next_incarnation),
            running: true,
            paused: false,
            inbox: Vec::new(),
            started: self.now,
            last_list: None,
        });
    }

    fn greet(&mut self, me: Index) {
        for seed in 0..3 {
            self.send(me, seed, Body::Hello);
        }
    }

    fn restart(&mut self, me: Index, incarnation: u64) {
        let node = &mut self.nodes[me];
        node.group = Group::new(name(me).into(), me, incarnation);
        node.running = true;
        node.inbox.clear();
        node.started = self.now;
        self.greet(me);
    }

    fn send(&mut self, from: Index, to: Index, body: Body) {
        if from == to {
            return;
        }
        let group = &mut self.nodes[from].group;
        let datagram = Datagram {
            from,
            to,
            incarnation: group.incarnation(),
            updates: group.take_updates(&name(to), UPDATES_PER_DATAGRAM),
            digest: group.digest(),
            body,
        };
        let sent = self.sent.entry(from).or_default();
        sent.0 += 1;
        sent.1 += datagram.updates.len() as u64;
        if let Body::Members(list) = &datagram.body {
            sent.1 += list.len() as u64;
        }
        if (self.is_cut)(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        if self.nodes[to].running {
            self.nodes[to].inbox.push(datagram);
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let Datagram { from, to, .. } = datagram;
        let now = self.now;
        let group = &mut self.nodes[to].group;
        group.observe(&name(from), from, datagram.incarnation, false, now);
        let mut changes = group.merge(datagram.updates, now);
        let mut replies: Vec<(Index, Body)> = Vec::new();
        let mut forward = |send: Option<Send>| {
            let send = send?;
            replies.push((index(&send.to), Body::Message(send.message)));
            Some(())
        };
        match datagram.body {
            Body::Hello => replies.push((from, Body::Members(group.statements().collect()))),
            Body::Members(list) => changes.extend(group.merge_list(list, now)),
            Body::Message(Message::Probe { nonce }) => {
                replies.push((from, Body::Message(Message::Ack { nonce })));
            }
            Body::Message(Message::Ack { nonce }) => {
                forward(group.on_ack(nonce));
            }
            Body::Message(Message::ProbeRequest { nonce, host }) => {
                forward(group.on_probe_request(&name(from), nonce, &host, now));
            }
        }
        let node = &mut self.nodes[to];
        let list_due = node
            .last_list
            .is_none_or(|at| now >= at + Duration::from_secs(1));
        if datagram.digest != node.group.digest() && list_due {
            node.last_list = Some(now);
            replies.push((from, Body::Members(node.group.statements().collect())));
        }
        for change in changes {
            let subject = &self.nodes[index(&change.host)];
            if change.standing == Standing::Dead && subject.running && !subject.paused {
                self.false_deaths += 1;
            }
        }
        for (receiver, body) in replies {
            self.send(to, receiver, body);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for me in 0..self.nodes.len() {
            if !self.nodes[me].running || self.nodes[me].paused {
                continue;
            }
            for datagram in std::mem::take(&mut self.nodes[me].inbox) {
                self.receive(datagram);
            }
            let node = &mut self.nodes[me];
            if node.group.next_tick().is_some_and(|at| now < at) {
                continue;
            }
            let period = if now < node.started + Duration::from_secs(2) {
                EAGER_PROBE_PERIOD
            } else {
                PROBE_PERIOD
            };
            let (sends, changes) = node.group.tick(period, now, &mut self.rng);
            for change in changes {
                let subject = &self.nodes[index(&change.host)];
                if change.standing == Standing::Dead && subject.running && !subject.paused {
                    self.false_deaths += 1;
                }
            }
            for send in sends {
                self.send(me, index(&send.to), Body::Message(send.message));
            }
            if !self.nodes[me].group.has_heard() {
                self.greet(me);
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Whether each running member of `observers` gives all of `subjects` this standing.
    fn all_see(
        &self,
        observers: &[Index],
        subjects: &[Index],
        expected: impl Fn(Option<Standing>) -> bool,
    ) -> bool {
        observers.iter().all(|observer| {
            subjects
                .iter()
                .filter(|s| *s != observer)
                .all(|subject| expected(self.nodes[*observer].group.standing(&name(*subject))))
        })
    }

    fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + limit, "not reached within {limit:?}");
            self.step();
        }
        self.now - start
    }

    fn all(&self) -> Vec<Index> {
        (0..self.nodes.len()).collect()
    }

    fn converge(&mut self) -> Duration {
        let all = self.all();
        self.run_until(CONVERGENCE_LIMIT, |fleet| {
            fleet.all_see(&all, &all, is_alive)
        })
    }
}

fn is_alive(standing: Option<Standing>) -> bool {
    standing == Some(Standing::Alive)
}

fn is_gone(standing: Option<Standing>) -> bool {
    matches!(standing, None | Some(Standing::Dead | Standing::Left))
}

#[rstest]
#[case(3)]
#[case(30)]
#[case(268)]
fn members_that_start_together_know_each_other(#[case] count: usize) {
    let mut fleet = Fleet::new(count, 1);
    fleet.loss = 0.01;
    fleet.converge();
}

/// The datagrams and statements that a member sends in steady state, per second.
fn steady_cost(count: usize) -> (f64, f64) {
    let mut fleet = Fleet::new(count, 2);
    fleet.converge();
    fleet.run(Duration::from_secs(20));
    fleet.sent.clear();
    fleet.run(Duration::from_secs(10));
    let per_member = |total: u64| total as f64 / 10.0 / count as f64;
    let datagrams = fleet.sent.values().map(|sent| sent.0).sum();
    let statements = fleet.sent.values().map(|sent| sent.1).sum();
    (per_member(datagrams), per_member(statements))
}

#[test]
fn cost_of_a_member_does_not_grow_with_the_group() {
    let (small, large) = (steady_cost(30), steady_cost(300));
    assert!(large.0 <= small.0 * 1.2, "{small:?} {large:?}");
    assert!(large.0 <= 6.0, "{large:?} datagrams a second");
    assert!(large.1 <= 1.0, "{large:?} statements a second");
}

#[rstest]
fn a_dead_member_is_found_by_all(#[values(3, 4, 5)] seed: u64) {
    let mut fleet = Fleet::new(100, seed);
    fleet.loss = 0.02;
    fleet.converge();
    fleet.nodes[50].running = false;
    let others: Vec<Index> = (0..100).filter(|n| *n != 50).collect();
    fleet.run_until(DETECTION_LIMIT, |fleet| {
        fleet.all_see(&others, &[50], is_gone)
    });
}

#[rstest]
fn losses_and_a_one_way_cut_kill_nobody(#[values(6, 7, 8, 9)] seed: u64) {
    let mut fleet = Fleet::new(60, seed);
    fleet.converge();
    fleet.loss = 0.03;
    // Region 1 sends to region 0, but hears nothing from it.
    fleet.is_cut = Box::new(|from, to| from % 5 == 0 && to % 5 == 1);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.false_deaths, 0);
}

#[rstest]
fn two_regions_that_see_each_other_only_through_a_third_stay_together(
    #[values(10, 11, 12)] seed: u64,
) {
    let mut fleet = Fleet::new(60, seed);
    fleet.converge();
    fleet.loss = 0.01;
    fleet.is_cut = Box::new(|from, to| matches!((from % 3, to % 3), (0, 1) | (1, 0)));
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.false_deaths, 0);
    let news = fleet.nodes.len();
    fleet.join();
    let all = fleet.all();
    fleet.run_until(CONVERGENCE_LIMIT, |fleet| {
        fleet.all_see(&all, &[news], is_alive)
    });
}

#[rstest]
fn a_region_that_was_cut_off_goes_on_and_returns(#[values(13, 14)] seed: u64) {
    let mut fleet = Fleet::new(60, seed);
    fleet.converge();
    fleet.is_cut = Box::new(|from, to| (from % 5 == 2) != (to % 5 == 2));
    let inside: Vec<Index> = (0..60).filter(|n| n % 5 == 2).collect();
    let outside: Vec<Index> = (0..60).filter(|n| n % 5 != 2).collect();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all_see(&inside, &inside, is_alive));
    assert!(fleet.all_see(&outside, &outside, is_alive));
    assert!(fleet.all_see(&outside, &inside, is_gone));
    fleet.is_cut = Box::new(|_, _| false);
    let all = fleet.all();
    fleet.run_until(Duration::from_secs(15), |fleet| {
        fleet.all_see(&all, &all, is_alive)
    });
}

#[rstest]
fn a_member_that_was_paused_accuses_nobody_and_is_taken_back(#[values(15, 16, 17)] seed: u64) {
    let mut fleet = Fleet::new(60, seed);
    fleet.converge();
    fleet.run(Duration::from_secs(3));
    fleet.nodes[7].paused = true;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.false_deaths, 0);
    fleet.nodes[7].paused = false;
    let all = fleet.all();
    fleet.run_until(CONVERGENCE_LIMIT, |fleet| {
        fleet.all_see(&all, &all, is_alive)
    });
    assert_eq!(fleet.false_deaths, 0);
}

#[rstest]
#[case::later_clock(1_000_000)]
#[case::clock_set_back(1)]
fn a_restarted_member_is_known_again(#[case] incarnation: u64) {
    let mut fleet = Fleet::new(60, 18);
    fleet.converge();
    fleet.nodes[20].running = false;
    fleet.run(Duration::from_millis(600));
    fleet.restart(20, incarnation);
    fleet.converge();
    fleet.run(Duration::from_secs(4));
    let taken = fleet.nodes[20].group.incarnation();
    let believed: Vec<u64> = (0..60)
        .filter(|n| *n != 20)
        .map(|n| {
            let statements = fleet.nodes[n].group.statements();
            let about = statements.filter(|s| *s.host == *name(20));
            about.map(|s| s.incarnation).next().expect("a statement")
        })
        .collect();
    assert!(taken >= incarnation);
    assert!(
        believed.iter().all(|known| *known == taken),
        "{taken} {believed:?}"
    );
}

#[test]
fn members_that_join_together_are_known_to_all() {
    let mut fleet = Fleet::new(100, 19);
    fleet.converge();
    for _ in 0..56 {
        fleet.join();
    }
    fleet.converge();
}

#[test]
fn a_group_killed_at_once_meets_again() {
    let mut fleet = Fleet::new(100, 20);
    fleet.converge();
    fleet.nodes.iter_mut().for_each(|node| node.running = false);
    fleet.run(Duration::from_millis(800));
    for n in 0..100 {
        fleet.restart(n, 500_000 + n as u64);
    }
    fleet.converge();
}

/// Random cuts, losses, pauses and restarts; after they end, all members know each other.
#[rstest]
fn random_trouble_ends_in_one_group(#[values(21, 22, 23, 24, 25, 26)] seed: u64) {
    let mut fleet = Fleet::new(40, seed);
    fleet.converge();
    let mut dice = StdRng::seed_from_u64(seed ^ 0xABCD);
    let mut incarnation = 1_000_000;
    for _ in 0..12 {
        let (a, b) = (dice.random_range(0..5), dice.random_range(0..5));
        let one_way = dice.random_bool(0.5);
        fleet.loss = dice.random_range(0.0..0.1);
        fleet.is_cut = Box::new(move |from, to| {
            (from % 5, to % 5) == (a, b) || !one_way && (from % 5, to % 5) == (b, a)
        });
        let victim = dice.random_range(3..40);
        match dice.random_range(0..3) {
            0 => {
                incarnation += 10;
                fleet.restart(victim, incarnation);
            }
            1 => fleet.nodes[victim].paused = !fleet.nodes[victim].paused,
            _ => {}
        }
        fleet.run(Duration::from_millis(dice.random_range(200..4_000)));
    }
    fleet.loss = 0.0;
    fleet.is_cut = Box::new(|_, _| false);
    fleet.nodes.iter_mut().for_each(|node| node.paused = false);
    let all = fleet.all();
    fleet.run_until(Duration::from_secs(20), |fleet| {
        fleet.all_see(&all, &all, is_alive)
    });
}
