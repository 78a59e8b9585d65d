//! Tests of single decisions: admission, ramp, routing, retries, membership, roll-out gate,
//! download plan and fair queue.

use {
    jayspread_core::{
        admission::{Attempt, Dequeued, Safeguards, Table, Verdict},
        bundle::Piece,
        chunk::{Peer, Plan, Policy as DownloadPolicy, Quota, Source, Tier},
        fair::{Class, Queue},
        member::{self, Change, Health},
        ramp::Ramp,
        retry::{self, Budget},
        rollout::{self, Grants, Status, gate},
        route::{self, Candidate, Policy, choose, subset},
    },
    jayspread_schema::wire::{Phase, Refusal},
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn attempt(request: &str, now: Instant) -> Attempt {
    Attempt {
        request: request.into(),
        incarnation: 1,
        deadline: now + SECOND,
        priority: 0,
    }
}

fn table(limit: usize, now: Instant) -> Table {
    let mut table = Table::new(1, Ramp::fixed(limit, now));
    table.resume();
    table
}

#[test]
fn cancelled_attempt_cannot_start() {
    let now = Instant::now();
    let mut table = table(1, now);
    assert!(table.cancel(&"a".into(), now));
    let verdict = table.submit(&attempt("a", now), now);
    assert_eq!(verdict, Verdict::Refuse(Refusal::Tombstone));
}

#[test]
fn attempt_for_another_incarnation_leaves_no_tombstone() {
    let now = Instant::now();
    let mut table = table(1, now);
    let mut misaddressed = attempt("a", now);
    misaddressed.incarnation = 2;
    for _ in 0..2 {
        assert_eq!(
            table.submit(&misaddressed, now),
            Verdict::Refuse(Refusal::Incarnation)
        );
    }
}

#[test]
fn queued_attempt_starts_when_one_ends_and_copies_never_start() {
    let now = Instant::now();
    let mut table = table(1, now);
    assert_eq!(table.submit(&attempt("a", now), now), Verdict::Start);
    assert_eq!(table.submit(&attempt("b", now), now), Verdict::Wait);
    assert_eq!(table.submit(&attempt("b", now), now), Verdict::Known);
    assert_eq!(
        table.submit(&attempt("c", now), now),
        Verdict::Refuse(Refusal::Busy)
    );
    assert!(!table.cancel(&"a".into(), now));
    assert_eq!(
        table.finish(&"a".into(), now),
        vec![Dequeued::Start("b".into())]
    );
    assert_eq!(table.submit(&attempt("a", now), now), Verdict::Known);
    assert!(table.release(&"a".into(), now));
    assert_eq!(table.submit(&attempt("a", now), now), Verdict::Known);
}

#[test]
fn pause_refuses_queued_attempts() {
    let now = Instant::now();
    let mut table = table(1, now);
    table.submit(&attempt("a", now), now);
    table.submit(&attempt("b", now), now);
    let refused = vec![Dequeued::Refuse("b".into(), Refusal::NoVersion)];
    assert_eq!(table.pause(now), refused);
    let verdict = table.submit(&attempt("d", now), now);
    assert_eq!(verdict, Verdict::Refuse(Refusal::NoVersion));
}

#[test]
fn queued_attempt_past_its_deadline_is_refused() {
    let now = Instant::now();
    let mut table = table(1, now);
    table.submit(&attempt("a", now), now);
    table.submit(&attempt("b", now), now);
    let (dequeued, _) = table.tick(now + SECOND);
    assert_eq!(
        dequeued,
        vec![Dequeued::Refuse("b".into(), Refusal::Deadline)]
    );
}

#[test]
fn ramp_grows_with_answers_and_resets_when_cold() {
    let mut now = Instant::now();
    let mut ramp = Ramp::new(1, 8, SECOND, now);
    for _ in 0..100 {
        now += Duration::from_millis(50);
        assert!(!ramp.observe(Duration::from_millis(10), now));
    }
    assert_eq!(ramp.limit(), 8);
    let cold = (0..3).any(|_| ramp.observe(Duration::from_millis(900), now));
    assert!(cold);
    assert_eq!(ramp.limit(), 1);
}

#[test]
fn ramp_does_not_grow_before_the_warm_up_time() {
    let now = Instant::now();
    let mut ramp = Ramp::new(1, 8, SECOND, now);
    for _ in 0..1000 {
        ramp.observe(Duration::from_millis(1), now);
    }
    assert_eq!(ramp.limit(), 1);
}

fn candidate(host: &str, local: bool, load: u32) -> Candidate {
    Candidate {
        host: host.into(),
        local,
        reported_load: load,
        in_flight: 0,
        in_flight_at_report: 0,
        limit: 4,
    }
}

#[rstest]
#[case::local_first(&[("near", true, 3), ("far", false, 0)], "near")]
#[case::remote_when_full(&[("near", true, 4), ("far", false, 0)], "far")]
#[case::less_loaded(&[("a", true, 3), ("b", true, 0)], "b")]
fn prefers_local_and_less_loaded_candidates(
    #[case] hosts: &[(&str, bool, u32)],
    #[case] expected: &str,
) {
    let candidates: Vec<_> = hosts
        .iter()
        .map(|(host, local, load)| candidate(host, *local, *load))
        .collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut count = 0;
    for sequence_number in 0..100 {
        let chosen = choose(
            Policy::TwoChoices,
            &candidates,
            None,
            sequence_number,
            &mut rng,
        );
        count += usize::from(chosen.is_some_and(|c| &*c.host == expected));
    }
    assert!(count >= 70, "{expected} was chosen {count} of 100 times");
}

#[test]
fn affinity_applies_only_below_the_load_limit() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut candidates: Vec<_> = ["a", "b", "c"].map(|h| candidate(h, true, 0)).to_vec();
    let prefix = Some(&b"prompt"[..]);
    let first = choose(Policy::TwoChoices, &candidates, prefix, 0, &mut rng).cloned();
    let first = first.expect("there are candidates").host;
    for _ in 0..10 {
        let again = choose(Policy::TwoChoices, &candidates, prefix, 0, &mut rng);
        assert_eq!(again.map(|c| &c.host), Some(&first));
    }
    for candidate in candidates.iter_mut().filter(|c| c.host == first) {
        candidate.reported_load = 3;
    }
    let other = choose(Policy::TwoChoices, &candidates, prefix, 0, &mut rng);
    assert_ne!(other.map(|c| &c.host), Some(&first));
}

fn names(prefix: &str, count: usize) -> BTreeSet<Box<str>> {
    (0..count).map(|n| format!("{prefix}{n}").into()).collect()
}

#[test]
fn subsets_cover_every_backend_server_evenly() {
    let entries = names("entry", 19);
    let backends = names("backend", 579);
    let mut connections: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for entry in &entries {
        let selected = subset(entry, &entries, &backends, route::SUBSET_SIZE);
        assert!(
            selected.len() < 579 * route::SUBSET_SIZE / 19 * 3 / 2,
            "{} at {entry}",
            selected.len()
        );
        for host in selected {
            *connections.entry(host).or_default() += 1;
        }
    }
    assert_eq!(connections.len(), 579);
    assert!(connections.values().all(|n| *n == route::SUBSET_SIZE));
}

#[test]
fn every_entry_host_connects_to_all_of_a_small_pool() {
    let entries = names("entry", 9);
    let backends = names("backend", 1);
    for entry in &entries {
        assert_eq!(
            subset(entry, &entries, &backends, route::SUBSET_SIZE),
            backends
        );
    }
}

#[test]
fn retry_budget_is_a_fraction_of_requests() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let initial = (0..1000).filter(|_| budget.withdraw(now)).count();
    assert_eq!(initial, 10);
    for _ in 0..1000 {
        budget.deposit(now);
    }
    let earned = (0..1000).filter(|_| budget.withdraw(now)).count();
    assert!((190..=201).contains(&earned), "{earned}");
}

#[rstest]
#[case(retry::Attempt::NotStarted, false, true)]
#[case(retry::Attempt::Unknown, true, true)]
#[case(retry::Attempt::Unknown, false, false)]
fn started_attempt_is_retried_only_if_retryable(
    #[case] attempt: retry::Attempt,
    #[case] retryable: bool,
    #[case] allowed: bool,
) {
    assert_eq!(retry::allowed(attempt, retryable), allowed);
}

#[test]
fn loss_of_one_in_ten_heartbeats_marks_no_host_dead() {
    let interval = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut table = member::Table::new(interval);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut deaths = 0;
    for sequence in 1..20_000 {
        now += interval;
        if !rand::Rng::random_bool(&mut rng, 0.1) {
            table.heartbeat("a", 1, sequence, false, now);
        }
        let degraded = table.tick(now);
        deaths += degraded
            .iter()
            .filter(|(_, health)| *health == Health::Dead)
            .count();
    }
    assert_eq!(deaths, 0);
}

#[test]
fn restart_and_shutdown_are_detected() {
    let now = Instant::now();
    let mut table = member::Table::new(SECOND);
    assert_eq!(table.heartbeat("a", 1, 5, false, now), Change::Up);
    assert_eq!(table.heartbeat("a", 1, 4, true, now), Change::None);
    assert!(table.usable("a"));
    assert_eq!(table.heartbeat("a", 1, 6, true, now), Change::Leaving);
    assert!(!table.usable("a"));
    assert_eq!(table.heartbeat("a", 2, 1, false, now), Change::Restarted);
    assert!(table.usable("a"));
    table.set_listed("a", false, now);
    assert!(
        table.usable("a"),
        "the platform's list must not remove a host that sends heartbeats"
    );
}

#[test]
fn gate_keeps_the_minimum_serving() {
    let status = |phase, serving: &str| Status {
        alive: true,
        phase,
        serving: serving.into(),
        wanted: "v2".into(),
    };
    let mut pool: BTreeMap<Box<str>, Status> = names("host", 4)
        .into_iter()
        .map(|host| (host, status(Phase::Ready, "v1")))
        .collect();
    assert_eq!(gate(&pool, "v2", 50).allowed.len(), 2);
    assert_eq!(gate(&pool, "v2", 75).allowed.len(), 1);
    pool.insert("host0".into(), status(Phase::Loading, ""));
    let decision = gate(&pool, "v2", 75);
    assert!(decision.allowed.is_empty() && !decision.pause_reason.is_empty());
    pool.insert("host1".into(), status(Phase::Ready, ""));
    assert!(
        gate(&pool, "v2", 75).allowed.contains("host1"),
        "a backend server that serves nothing may load"
    );
    assert_eq!(
        rollout::min_serving(1, 50),
        0,
        "a pool of one can be updated"
    );
}

#[test]
fn load_needs_a_grant_from_every_entry_host() {
    let mut grants = Grants::default();
    assert!(!grants.allows("v2"));
    grants.record("a", "v2");
    assert!(grants.allows("v2"));
    grants.record("b", "");
    assert!(!grants.allows("v2"));
    grants.forget("b");
    assert!(grants.allows("v2"));
}

fn pieces(count: usize) -> Vec<Piece> {
    let piece = |index: usize| Piece {
        artifact: "base".into(),
        offset: index as u64 * 1024,
        length: 1024,
        hash: *hash_of_index(index).as_bytes(),
    };
    (0..count).map(piece).collect()
}

fn hash_of_index(index: usize) -> blake3::Hash {
    blake3::hash(&index.to_le_bytes())
}

fn fleet(regions: usize, hosts: usize) -> BTreeSet<Peer> {
    let peer = |n: usize| Peer {
        host: format!("host{n}").into(),
        data_centre: format!("dc{}", n % regions).into(),
        region: format!("r{}", n % regions).into(),
    };
    (0..hosts).map(peer).collect()
}

#[rstest]
#[case::one_region(1, 8)]
#[case::three_regions(3, 48)]
#[case::six_regions(6, 60)]
fn plan_sends_each_chunk_once_out_of_the_origin_region(
    #[case] regions: usize,
    #[case] hosts: usize,
) {
    let peers = fleet(regions, hosts);
    let pieces = pieces(240);
    let mut from_origin: BTreeMap<[u8; 32], usize> = BTreeMap::new();
    let mut pairs: BTreeSet<(Box<str>, Box<str>)> = BTreeSet::new();
    for local_peer in &peers {
        let plan = Plan::new(DownloadPolicy::Exchange, local_peer, &peers, &pieces, "r0");
        assert_eq!(plan.steps.len(), pieces.len());
        let led = plan.steps.iter().filter(|s| s.tier != Tier::Member).count();
        let even_share = pieces.len() * regions / hosts;
        assert!(
            led <= even_share + 1,
            "{} leads {led} chunks, an even share is {even_share}",
            local_peer.host
        );
        for step in &plan.steps {
            match (&step.tier, &step.sources[step.probe_count]) {
                (Tier::Origin, Source::Origin) => *from_origin.entry(step.hash).or_default() += 1,
                (Tier::Region, Source::Peer(source)) => {
                    pairs.insert((local_peer.host.clone(), source.clone()));
                }
                (Tier::Member, Source::Peer(source)) => assert_ne!(*source, local_peer.host),
                unexpected => panic!("unexpected step {unexpected:?}"),
            }
        }
    }
    let expected = regions.min(2);
    assert!(
        from_origin.values().all(|n| *n == expected),
        "the origin sends {expected} copies"
    );
    let pairs_per_region_pair = 2 * hosts / regions;
    let max_pairs = regions * regions * pairs_per_region_pair;
    assert!(
        pairs.len() <= max_pairs,
        "{} pairs of hosts between regions",
        pairs.len()
    );
}

#[test]
fn quota_limits_bytes_sent_and_refills() {
    let mut quota = Quota::new(1000, 10);
    let mut sent = 0;
    while quota.reserve(10, Duration::ZERO) {
        quota.commit(10, 10);
        sent += 10;
    }
    assert_eq!(sent, 1050);
    assert!(quota.reserve(10, Duration::from_secs(60)));
}

#[test]
fn fair_queue_shares_by_weight_and_serves_late_payers() {
    let now = Instant::now();
    let mut queue = Queue::new(10_000);
    for n in 0..1000 {
        queue.push("large", 400, Class::Repeatable, now + SECOND, ("large", n));
    }
    for n in 0..100 {
        queue.push("late", 70, Class::Repeatable, now + SECOND, ("late", n));
    }
    let mut expired = Vec::new();
    let served: Vec<_> = (0..100)
        .filter_map(|_| queue.pop(now, &mut expired))
        .collect();
    let share = served
        .iter()
        .filter(|(organisation, _)| *organisation == "late")
        .count();
    assert!(
        (12..=18).contains(&share),
        "the late payer got {share} of 100 requests"
    );
}

#[test]
fn full_queue_sheds_the_lowest_class_of_the_longest_backlog() {
    let now = Instant::now();
    let mut queue = Queue::new(3);
    queue.push("a", 100, Class::Repeatable, now + SECOND, 1);
    queue.push("a", 100, Class::Repeatable, now + SECOND, 2);
    queue.push("b", 100, Class::SideEffect, now + SECOND, 3);
    assert_eq!(
        queue.push("b", 100, Class::SideEffect, now + SECOND, 4),
        Some(2)
    );
    let mut expired = Vec::new();
    assert_eq!(
        queue.pop(now, &mut expired),
        Some(3),
        "the higher class is served first"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn table_never_runs_more_than_its_limit(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let ramp = Ramp::new(1, 6, SECOND, now);
        let mut table = Table::with_safeguards(1, ramp, Safeguards::default());
        table.resume();
        let mut running: Vec<Box<str>> = Vec::new();
        for step in 0..300 {
            now += Duration::from_millis(20);
            let dequeued = if rand::Rng::random_bool(&mut rng, 0.6) {
                let submitted = attempt(&format!("r{step}"), now);
                if table.submit(&submitted, now) == Verdict::Start {
                    running.push(submitted.request);
                }
                Vec::new()
            } else if let Some(ended) = running.pop() {
                table.ramp.observe(Duration::from_millis(5), now);
                table.finish(&ended, now)
            } else {
                table.tick(now).0
            };
            let started = dequeued.into_iter().filter_map(|attempt| match attempt {
                Dequeued::Start(request) => Some(request),
                Dequeued::Refuse(..) => None,
            });
            running.extend(started);
            prop_assert_eq!(running.len(), table.running());
            prop_assert!(running.len() <= table.ramp.limit());
        }
    }
}
