//! Model of a fleet whose entry hosts quarantine a crashing prompt part by gossip.

use {
    jayspread_core::quarantine::{Ledger, Part, Statement, Verdict, crash, part},
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
};

/// Length of a step, milliseconds.
const STEP: u64 = 5;
/// Length of a run, milliseconds.
const END: u64 = 13_000;
const GOSSIP_INTERVAL: u64 = 100;
const FAN_OUT: usize = 3;
const MAX_NEWS: usize = 16;
const ENGINES: usize = 20;
/// Milliseconds until an ended engine is back as a new instance.
const RESTART: u64 = 3_000;
const SESSIONS: usize = 40;
const CRASH_INTERVAL: u64 = 125;
/// Milliseconds from the start of an answer on the crashing part to the end of its engine.
const CRASH_DELAY: u64 = 100;
/// Interval at which a random host starts anew, milliseconds.
const HOST_RESTART_INTERVAL: u64 = 500;
const SEEDS: u64 = 20;

/// Sound requests of a run.
#[derive(Clone)]
struct Load {
    /// Requests in an interval of a session.
    rate: f64,
    /// Milliseconds of an answer.
    answer: Range<u64>,
    /// Latest time of the first request that crashes an engine, milliseconds. At 0 no completion is
    /// known yet.
    crashes_from: u64,
}

/// Few requests with short answers.
const SHORT: Load = Load {
    rate: 1.0,
    answer: 100..400,
    crashes_from: 2_000,
};
/// Many requests with long answers, of which each crash breaks several; no answer is completed before
/// the first crashes.
const LONG: Load = Load {
    rate: 8.0,
    answer: 1_000..3_000,
    crashes_from: 0,
};
/// Largest number of statements that a host may send in a second from 6 s after the fifth crash, over
/// all its peers. Until then only the rounds of gossip limit it.
const MAX_LATE_STATEMENTS: usize = 60;

struct Engine {
    instance: u32,
    up_at: u64,
}

struct Call {
    host: usize,
    engine: usize,
    parts: Vec<Part>,
    bad: bool,
    retried: bool,
    ends_at: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashed instances under the part.
    crashes: usize,
    fifth_crash_at: Option<u64>,
    /// Attempts with the crashing part later than 3 s after the fifth crash.
    late_attempts: usize,
    /// Sound requests offered and refused from 6 s after the fifth crash.
    sound: usize,
    sound_refused: usize,
    /// Sound requests refused in the whole run.
    sound_refused_ever: usize,
    /// Most statements that one host sent in a second, over all its peers.
    max_statements: usize,
    /// The same from 6 s after the fifth crash.
    max_late_statements: usize,
}

struct Fleet {
    load: Load,
    rng: StdRng,
    begin: Instant,
    time: u64,
    hosts: Vec<Ledger>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    inbox: Vec<(usize, Statement)>,
    sent: Vec<Vec<usize>>,
    bad: Part,
    outcome: Outcome,
}

impl Fleet {
    fn new(hosts: usize, load: Load, seed: u64) -> Self {
        Self {
            load,
            rng: StdRng::seed_from_u64(seed),
            begin: Instant::now() + Duration::from_secs(1_000),
            time: 0,
            hosts: (0..hosts).map(|_| Ledger::default()).collect(),
            engines: (0..ENGINES as u32)
                .map(|_| Engine {
                    instance: 0,
                    up_at: 0,
                })
                .collect(),
            calls: Vec::new(),
            inbox: Vec::new(),
            sent: vec![vec![0; (END / 1_000) as usize + 1]; hosts],
            bad: part("bad"),
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Instant {
        self.begin + Duration::from_millis(self.time)
    }

    /// Whether the time is later than `delay` after the fifth crash.
    fn is_after_fifth_crash(&self, delay: u64) -> bool {
        self.outcome
            .fifth_crash_at
            .is_some_and(|at| self.time > at + delay)
    }

    fn send(&mut self, host: usize, parts: Vec<Part>, bad: bool, retried: bool) {
        let now = self.now();
        let verdict = self.hosts[host].check(&parts, |_| host as u32, now);
        let late = self.is_after_fifth_crash(6_000);
        if !bad && !retried && late {
            self.outcome.sound += 1;
        }
        if matches!(verdict, Verdict::Refuse { .. }) {
            if !bad {
                self.outcome.sound_refused_ever += 1;
                self.outcome.sound_refused += usize::from(late);
            }
            return;
        }
        let up: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.engines[*engine].up_at <= self.time)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        if bad && self.is_after_fifth_crash(3_000) {
            self.outcome.late_attempts += 1;
        }
        let duration = if bad {
            CRASH_DELAY
        } else {
            self.rng.random_range(self.load.answer.clone())
        };
        self.calls.push(Call {
            host,
            engine,
            parts,
            bad,
            retried,
            ends_at: self.time + duration,
        });
    }

    /// Ends the calls that are due; returns those that a crash broke.
    fn end_calls(&mut self) -> Vec<Call> {
        let now = self.now();
        let (ended, mut running): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.ends_at <= self.time);
        let mut broken = Vec::new();
        for call in ended {
            if self.engines[call.engine].up_at > self.time {
                broken.push(call);
            } else if call.bad {
                self.engines[call.engine].up_at = self.time + RESTART;
                self.outcome.crashes += 1;
                if self.outcome.crashes == 5 {
                    self.outcome.fifth_crash_at = Some(self.time);
                }
                broken.push(call);
            } else {
                self.hosts[call.host].record_completion(&call.parts, now);
            }
        }
        for call in running.extract_if(.., |call| self.engines[call.engine].up_at > self.time) {
            broken.push(call);
        }
        self.calls = running;
        for call in &broken {
            let engine = &self.engines[call.engine];
            let id = format!("i-{}-{}", call.engine, engine.instance);
            self.hosts[call.host].record_crash(&call.parts, crash(&id, None), now);
        }
        for engine in &mut self.engines {
            if engine.up_at == self.time + RESTART {
                engine.instance += 1;
            }
        }
        broken
    }

    fn gossip(&mut self) {
        let now = self.now();
        for (to, statement) in std::mem::take(&mut self.inbox) {
            self.hosts[to].merge(&statement, now);
        }
        for host in 0..self.hosts.len() {
            // Hosts are not in step with each other.
            if !(self.time + host as u64 * 35).is_multiple_of(GOSSIP_INTERVAL) {
                continue;
            }
            let news = self.hosts[host].news(MAX_NEWS, now);
            for _ in 0..FAN_OUT {
                let to = self.rng.random_range(0..self.hosts.len());
                self.sent[host][(self.time / 1_000) as usize] += news.len();
                self.inbox
                    .extend(news.iter().map(|statement| (to, statement.clone())));
            }
        }
    }

    /// Starts a random host anew with the statements of another one.
    fn restart_host(&mut self) {
        let now = self.now();
        let host = self.rng.random_range(0..self.hosts.len());
        let distance = self.rng.random_range(1..self.hosts.len());
        let peer = (host + distance) % self.hosts.len();
        let statements = self.hosts[peer].statements(MAX_NEWS, now);
        self.hosts[host] = Ledger::default();
        self.hosts[host].adopt(&statements, now);
    }

    fn run(mut self) -> Outcome {
        let first = part("first");
        let sessions: Vec<Part> = (0..SESSIONS)
            .map(|session| part(&format!("session {session}")))
            .collect();
        // Some sessions send a request every quarter of a second, others every few seconds.
        let intervals: Vec<u64> = (0..SESSIONS as u64)
            .map(|index| 250 + index * 100)
            .collect();
        let bad_from = self.rng.random_range(0..=self.load.crashes_from);
        while self.time < END {
            for call in self.end_calls() {
                if !call.retried {
                    self.send(call.host, call.parts, call.bad, true);
                }
            }
            self.gossip();
            if self.time.is_multiple_of(HOST_RESTART_INTERVAL) {
                self.restart_host();
            }
            for (session, interval) in sessions.iter().zip(&intervals) {
                if self
                    .rng
                    .random_bool(self.load.rate * STEP as f64 / *interval as f64)
                {
                    let host = self.rng.random_range(0..self.hosts.len());
                    self.send(host, vec![first, *session], false, false);
                }
            }
            if self.time >= bad_from && self.time.is_multiple_of(CRASH_INTERVAL) {
                let host = self.rng.random_range(0..self.hosts.len());
                let session = sessions[self.rng.random_range(0..SESSIONS)];
                self.send(host, vec![first, self.bad, session], true, false);
            }
            self.time += STEP;
        }
        let settled = self.outcome.fifth_crash_at.unwrap_or(END) / 1_000 + 7;
        for sent in &self.sent {
            for (second, count) in (0..).zip(sent) {
                let outcome = &mut self.outcome;
                outcome.max_statements = outcome.max_statements.max(*count);
                if second >= settled {
                    outcome.max_late_statements = outcome.max_late_statements.max(*count);
                }
            }
        }
        self.outcome
    }
}

/// Guards against a fleet that goes on sending the crashing part to engines, refuses sound requests
/// because of it, or floods itself with statements.
#[rstest]
#[case::small_fleet(9, SHORT)]
#[case::large_fleet(148, SHORT)]
#[case::small_fleet_with_long_answers(9, LONG)]
#[case::large_fleet_with_long_answers(148, LONG)]
fn fleet_does_not_contain_a_crashing_part(#[case] hosts: usize, #[case] load: Load) {
    for seed in 1..=SEEDS {
        let outcome = Fleet::new(hosts, load.clone(), seed).run();
        println!(
            "hosts={hosts} answer={:?} seed={seed} {outcome:?}",
            load.answer
        );
        assert!(outcome.fifth_crash_at.is_some(), "seed {seed}");
        assert!(outcome.late_attempts <= 3, "seed {seed}: {outcome:?}");
        assert!(outcome.sound > 100, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
        assert!(
            outcome.max_late_statements <= MAX_LATE_STATEMENTS,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a host that does not learn of a quarantine because it was out of reach while this
/// was news, and against an exchange without end between hosts that know the same.
#[test]
fn host_that_was_out_of_reach_sends_a_quarantined_part() {
    let now = Instant::now();
    let (mut informed, mut other) = (Ledger::default(), Ledger::default());
    let bad = part("bad");
    let confirmation = Duration::from_millis(300);
    for engine in ["i-1", "i-2", "i-3"] {
        informed.record_crash(&[bad], crash(engine, None), now);
    }
    let mut now = now + confirmation;
    while informed.has_news() {
        informed.news(usize::MAX, now);
    }
    assert_eq!(other.check(&[bad], |_| 1_000, now), Verdict::Accept);
    for statement in informed.catch_up(other.digest(now), 16, now) {
        other.merge(&statement, now);
    }
    assert_eq!(
        informed.catch_up(0, 16, now + Duration::from_millis(299)),
        [],
        "too soon"
    );
    now += confirmation;
    assert_ne!(other.check(&[bad], |_| 1_000, now), Verdict::Accept);
    assert_eq!(informed.digest(now), other.digest(now));
    let digest = other.digest(now);
    assert_eq!(
        informed.catch_up(digest, 16, now + Duration::from_secs(10)),
        []
    );
}
