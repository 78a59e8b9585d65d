//! Walk through claims, attempts and refusals: entry hosts, agents, a log and a lossy network.

mod agents;

use {
    super::Safeguards,
    jayspread_core::{
        admission::{self, Table},
        claim::{KeyState, Ledger, Rule},
        id::Key,
        ramp::Ramp,
    },
    jayspread_schema::config::{Batch, Claim, Outcome, Void},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Entry hosts.
const ENTRIES: usize = 3;
/// Agents.
const AGENTS: usize = 3;
/// Requests that a cold backend server bears.
const COLD: usize = 1;
/// Requests that a warm backend server bears.
const FULL: usize = 4;
/// Messages under way at most.
const MESSAGES_MAX: usize = 200;
/// Age at which a message is lost, since its connection has ended; much less than the time for
/// which agents remember attempts.
const MESSAGE_AGE_MAX: Duration = Duration::from_secs(120);
/// Calls under way at most.
const CALLS_MAX: usize = 40;
/// Time that a call waits for an answer before it asks for certainty.
const PATIENCE: Duration = Duration::from_secs(2);
/// Steps after which finished calls and their effects are forgotten.
const FORGET_STEPS: u64 = 50_000;

/// Stats of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps made.
    pub steps: u64,
    /// Calls made.
    pub calls: u64,
    /// Calls with a whole answer.
    pub answered: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls refused as unknown.
    pub unknown: u64,
    /// Effects applied.
    pub effects: u64,
    /// Agents restarted.
    pub restarts: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Submit(String, u64),
    Cancel(String, u64),
    /// The attempt did not start and never will.
    NotStarted(String),
    /// The attempt is known and not finished.
    Known(String),
    Finished(String),
}

#[derive(Debug, Clone)]
struct Envelope {
    sent: Instant,
    agent: usize,
    to_agent: bool,
    message: Message,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The claim is on its way to the log.
    Claiming,
    /// The attempt was sent to its agent.
    Sent,
    /// Certainty is asked for.
    Asking,
}

#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    key: Key,
    agent: usize,
    incarnation: u64,
    /// Attempt that the call follows: its own, or the holder's.
    attempt: String,
    own: String,
    phase: Phase,
    since: Instant,
}

struct Agent {
    incarnation: u64,
    table: Table,
    running: BTreeSet<String>,
}

struct Entry {
    ledger: Ledger,
    read: usize,
}

struct World {
    rng: SmallRng,
    now: Instant,
    safeguards: Safeguards,
    log: Vec<Batch>,
    log_up: bool,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    network: Vec<Envelope>,
    calls: BTreeMap<u64, Call>,
    /// Key of each attempt.
    keys: BTreeMap<String, Key>,
    effects: BTreeMap<Key, u64>,
    /// Attempts of which a caller was told that they did not run.
    denied: BTreeSet<String>,
    started: BTreeSet<String>,
    next: u64,
    figures: Stats,
}

/// Walks `steps` steps from `seed`.
pub fn run(seed: u64, steps: u64, safeguards: Safeguards) -> Stats {
    let mut world = World::new(seed, safeguards);
    for step in 0..steps {
        world.step();
        if step % FORGET_STEPS == FORGET_STEPS - 1 {
            world.forget();
        }
    }
    world.figures.steps = steps;
    world.figures
}

impl World {
    fn new(seed: u64, safeguards: Safeguards) -> Self {
        let now = Instant::now();
        let rule = if safeguards.claims {
            Rule::FirstWins
        } else {
            Rule::AnyWins
        };
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            safeguards,
            log: Vec::new(),
            log_up: true,
            entries: Vec::new(),
            agents: Vec::new(),
            network: Vec::new(),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            effects: BTreeMap::new(),
            denied: BTreeSet::new(),
            started: BTreeSet::new(),
            next: 0,
            figures: Stats::default(),
        };
        for _ in 0..ENTRIES {
            world.entries.push(Entry {
                ledger: Ledger::new(rule),
                read: 0,
            });
        }
        for _ in 0..AGENTS {
            let agent = world.agent();
            world.agents.push(agent);
        }
        world
    }

    fn agent(&mut self) -> Agent {
        let incarnation = self.rng.random::<u64>() | 1;
        let ramp = Ramp::new(COLD, FULL, Duration::from_secs(5), self.now);
        let switches = admission::Safeguards {
            tombstones: self.safeguards.tombstones,
            ramp: self.safeguards.ramp,
        };
        let mut table = Table::with_safeguards(incarnation, ramp, switches);
        table.resume();
        Agent {
            incarnation,
            table,
            running: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        match self.rng.random_range(0..100) {
            0..6 => self.call(),
            6..50 => self.deliver(),
            50..68 => self.read(),
            68..85 => self.finish(),
            85..94 => self.patience(),
            94..96 => self.log_up = self.rng.random_bool(0.9),
            96..98 => self.tick(),
            98 => self.restart(),
            _ => self.chill(),
        }
    }

    /// A caller sends a request, often with a key that was used before.
    fn call(&mut self) {
        if self.calls.len() >= CALLS_MAX {
            return;
        }
        self.next += 1;
        let number = self.next;
        let recent = number.saturating_sub(self.rng.random_range(0..20)).max(1);
        let mut key = Key::default();
        key[..8].copy_from_slice(&recent.to_le_bytes());
        let entry = self.rng.random_range(0..ENTRIES);
        self.figures.calls += 1;
        let call = Call {
            entry,
            key,
            agent: 0,
            incarnation: 0,
            attempt: String::new(),
            own: format!("r{number}.0"),
            phase: Phase::Claiming,
            since: self.now,
        };
        self.calls.insert(number, call);
        self.claim(number);
    }

    /// Claims the call's key, unless the log shows it taken already.
    fn claim(&mut self, number: u64) {
        let agent = self.rng.random_range(0..AGENTS);
        let call = self.calls.get_mut(&number).expect("call is under way");
        call.agent = agent;
        call.incarnation = self.agents[agent].incarnation;
        call.attempt = call.own.clone();
        call.phase = Phase::Claiming;
        call.since = self.now;
        self.keys.insert(call.own.clone(), call.key);
        let call = call.clone();
        let ledger = &self.entries[call.entry].ledger;
        if ledger.state(&call.key) != KeyState::Free && self.safeguards.claims {
            return self.judge(number);
        }
        if !self.log_up {
            return self.refuse(number);
        }
        let claim = Claim {
            key: call.key.to_vec().into(),
            request: call.own.clone(),
            agent: agent.to_string(),
            incarnation: call.incarnation,
            claimed_at_ms: 1,
        };
        self.append(Batch {
            claims: vec![claim],
            ..Batch::default()
        });
    }

    /// Appends a batch; a lost answer makes the writer append it again.
    fn append(&mut self, batch: Batch) {
        let lost = self.rng.random_bool(0.1);
        if lost {
            self.log.push(batch.clone());
        }
        self.log.push(batch);
    }

    /// An entry host reads some of the log.
    fn read(&mut self) {
        if !self.log_up {
            return;
        }
        let number = self.rng.random_range(0..ENTRIES);
        let pages = self.rng.random_range(1..60);
        for _ in 0..pages {
            let entry = &mut self.entries[number];
            let Some(batch) = self.log.get(entry.read) else {
                break;
            };
            entry.ledger.apply(batch).expect("batches are well-formed");
            entry.read += 1;
        }
        let waiting: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.entry == number && call.phase == Phase::Claiming)
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            self.judge(number);
        }
    }

    /// Acts on what the log says of a call's key.
    fn judge(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        let ledger = &self.entries[call.entry].ledger;
        if ledger.is_held_by(&call.key, &call.own) {
            self.send(
                call.agent,
                true,
                Message::Submit(call.own.clone(), call.incarnation),
            );
            let call = self.calls.get_mut(&number).expect("call is under way");
            call.phase = Phase::Sent;
            call.since = self.now;
            return;
        }
        match ledger.state(&call.key) {
            KeyState::Free => {}
            KeyState::Done(_) => self.answer(number),
            KeyState::Claimed(claim) => {
                let call = self.calls.get_mut(&number).expect("call is under way");
                call.attempt = claim.request.clone();
                call.agent = claim.agent.parse().expect("agents are numbers");
                call.incarnation = claim.incarnation;
                call.phase = Phase::Asking;
                call.since = self.now;
                let (agent, incarnation) = (call.agent, call.incarnation);
                self.send(agent, true, Message::Cancel(claim.request, incarnation));
            }
        }
    }

    fn send(&mut self, agent: usize, to_agent: bool, message: Message) {
        if self.network.len() >= MESSAGES_MAX {
            let victim = self.rng.random_range(0..self.network.len());
            self.network.swap_remove(victim);
        }
        self.network.push(Envelope {
            sent: self.now,
            agent,
            to_agent,
            message,
        });
    }

    /// Some message arrives, is lost, or arrives and arrives again.
    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let envelope = self.network.swap_remove(index);
        let lost = self.rng.random_bool(0.08);
        if lost || envelope.sent + MESSAGE_AGE_MAX < self.now {
            return;
        }
        if self.rng.random_bool(0.08) {
            self.network.push(envelope.clone());
        }
        if envelope.to_agent {
            self.at_agent(envelope.agent, envelope.message);
        } else {
            self.at_entry(envelope.message);
        }
    }

    fn at_entry(&mut self, message: Message) {
        let attempt = match &message {
            Message::NotStarted(a) | Message::Known(a) | Message::Finished(a) => a.clone(),
            _ => return,
        };
        let following: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.attempt == attempt && call.phase != Phase::Claiming)
            .map(|(number, _)| *number)
            .collect();
        for number in following {
            match message {
                Message::Finished(_) => self.answered(number),
                Message::NotStarted(_) => self.not_started(number),
                _ => {
                    self.calls
                        .get_mut(&number)
                        .expect("call is under way")
                        .since = self.now
                }
            }
        }
    }

    fn answered(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        let outcome = Outcome {
            key: call.key.to_vec().into(),
            request: call.attempt,
            ..Outcome::default()
        };
        self.append(Batch {
            outcomes: vec![outcome],
            ..Batch::default()
        });
        self.answer(number);
    }

    fn answer(&mut self, number: u64) {
        let call = self.calls.remove(&number).expect("call is under way");
        let count = self.effects.get(&call.key).copied().unwrap_or(0);
        assert!(count == 1, "an answer without an effect");
        self.figures.answered += 1;
    }

    /// The attempt is proven not to start: frees the key and tries again, or refuses.
    fn not_started(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        assert!(!self.started.contains(&call.attempt), "a refusal is false");
        let void = Void {
            key: call.key.to_vec().into(),
            request: call.attempt.clone(),
        };
        self.append(Batch {
            voids: vec![void],
            ..Batch::default()
        });
        if call.attempt == call.own {
            self.denied.insert(call.own.clone());
        }
        if self.rng.random_bool(0.5) {
            return self.refuse(number);
        }
        let call = self.calls.get_mut(&number).expect("call is under way");
        self.next += 1;
        call.own = format!("{}+{}", call.own, self.next);
        self.claim(number);
    }

    /// Refuses a call none of whose attempts can run any more.
    fn refuse(&mut self, number: u64) {
        let call = self.calls.remove(&number).expect("call is under way");
        assert!(
            !self.started.contains(&call.own),
            "a refusal is false: {}",
            call.own
        );
        self.denied.insert(call.own);
        self.figures.not_run += 1;
    }

    /// A call that has waited long asks for certainty, or gives up as unknown.
    fn patience(&mut self) {
        let late = |call: &Call| call.since + PATIENCE < self.now;
        let found = self.calls.iter().find(|(_, call)| late(call));
        let Some((number, call)) = found.map(|(n, c)| (*n, c.clone())) else {
            return;
        };
        match call.phase {
            Phase::Claiming => {
                let void = Void {
                    key: call.key.to_vec().into(),
                    request: call.own.clone(),
                };
                self.append(Batch {
                    voids: vec![void],
                    ..Batch::default()
                });
                self.refuse(number);
            }
            Phase::Sent => {
                let message = Message::Cancel(call.attempt, call.incarnation);
                self.send(call.agent, true, message);
                let call = self.calls.get_mut(&number).expect("call is under way");
                call.phase = Phase::Asking;
                call.since = self.now;
            }
            Phase::Asking => {
                self.calls.remove(&number);
                self.figures.unknown += 1;
            }
        }
    }

    /// Lets everything under way end, so that long walks stay small.
    fn forget(&mut self) {
        self.network.clear();
        let numbers: Vec<u64> = self.calls.keys().copied().collect();
        for number in numbers {
            self.calls.remove(&number);
            self.figures.unknown += 1;
        }
        for entry in &mut self.entries {
            entry.read = 0;
            let rule = if self.safeguards.claims {
                Rule::FirstWins
            } else {
                Rule::AnyWins
            };
            entry.ledger = Ledger::new(rule);
        }
        self.log.clear();
        self.keys.clear();
        self.effects.clear();
        self.denied.clear();
        self.started.clear();
        self.next += 100;
        for number in 0..AGENTS {
            self.agents[number] = self.agent();
        }
    }
}
