//! Random walk through claims, attempts and refusals with entry hosts, agents and a lossy network.

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

/// Number of entry hosts.
const ENTRY_COUNT: usize = 3;
/// Number of agents.
const AGENT_COUNT: usize = 3;
/// Concurrent requests that a cold backend server can take.
const COLD_LIMIT: usize = 1;
/// Concurrent requests that a warm backend server can take.
const WARM_LIMIT: usize = 4;
/// Highest number of messages in flight.
const MAX_MESSAGES: usize = 200;
/// Age at which a message is lost because its connection has ended; much less than the time for
/// which agents remember attempts.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(120);
/// Highest number of concurrent calls.
const MAX_CALLS: usize = 40;
/// Time that a call waits for a response before it sends a cancellation or gives up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Steps after which the state is reset, so that long walks use little memory.
const RESET_INTERVAL_STEPS: u64 = 50_000;

/// Counters of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps taken.
    pub steps: u64,
    /// Calls started.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused with the statement that they did not run.
    pub not_run: u64,
    /// Calls given up without knowing whether they ran.
    pub unknown: u64,
    /// Side effects applied.
    pub effects: u64,
    /// Agents restarted.
    pub restarts: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Submit(String, u64),
    Cancel(String, u64),
    /// The attempt did not start and cannot start any more.
    NotStarted(String),
    /// The agent knows the attempt, which has not finished.
    Known(String),
    Finished(String),
}

#[derive(Debug, Clone)]
struct Envelope {
    sent_at: Instant,
    agent: usize,
    to_agent: bool,
    message: Message,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The claim has been appended and is not yet read back.
    Claiming,
    /// The attempt was sent to its agent.
    Sent,
    /// The agent was asked to cancel the attempt if it has not started.
    Cancelling,
}

#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    key: Key,
    agent: usize,
    incarnation: u64,
    /// Attempt that the call waits for: its own, or the one that holds the key.
    attempt: String,
    own_attempt: String,
    phase: Phase,
    phase_started: Instant,
}

struct Agent {
    incarnation: u64,
    table: Table,
    running: BTreeSet<String>,
}

struct Entry {
    ledger: Ledger,
    next_record: usize,
}

struct Simulation {
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
    attempt_keys: BTreeMap<String, Key>,
    effects: BTreeMap<Key, u64>,
    /// Attempts known not to have run, which must not start later.
    refused: BTreeSet<String>,
    started: BTreeSet<String>,
    last_number: u64,
    stats: Stats,
}

/// Runs a walk of `steps` steps determined by `seed`.
pub fn run(seed: u64, steps: u64, safeguards: Safeguards) -> Stats {
    let mut simulation = Simulation::new(seed, safeguards);
    for step in 0..steps {
        simulation.step();
        if step % RESET_INTERVAL_STEPS == RESET_INTERVAL_STEPS - 1 {
            simulation.reset();
        }
    }
    simulation.stats.steps = steps;
    simulation.stats
}

impl Simulation {
    fn new(seed: u64, safeguards: Safeguards) -> Self {
        let now = Instant::now();
        let rule = if safeguards.claims {
            Rule::FirstWins
        } else {
            Rule::AnyWins
        };
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            safeguards,
            log: Vec::new(),
            log_up: true,
            entries: Vec::new(),
            agents: Vec::new(),
            network: Vec::new(),
            calls: BTreeMap::new(),
            attempt_keys: BTreeMap::new(),
            effects: BTreeMap::new(),
            refused: BTreeSet::new(),
            started: BTreeSet::new(),
            last_number: 0,
            stats: Stats::default(),
        };
        for _ in 0..ENTRY_COUNT {
            simulation.entries.push(Entry {
                ledger: Ledger::new(rule),
                next_record: 0,
            });
        }
        for _ in 0..AGENT_COUNT {
            let agent = simulation.new_agent();
            simulation.agents.push(agent);
        }
        simulation
    }

    fn new_agent(&mut self) -> Agent {
        let incarnation = self.rng.random::<u64>() | 1;
        let ramp = Ramp::new(COLD_LIMIT, WARM_LIMIT, Duration::from_secs(5), self.now);
        let safeguards = admission::Safeguards {
            tombstones: self.safeguards.tombstones,
            ramp: self.safeguards.ramp,
        };
        let mut table = Table::with_safeguards(incarnation, ramp, safeguards);
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
            0..6 => self.start_call(),
            6..50 => self.deliver(),
            50..68 => self.read_log(),
            68..85 => self.finish_attempt(),
            85..94 => self.time_out_call(),
            94..96 => self.log_up = self.rng.random_bool(0.9),
            96..98 => self.tick_agent(),
            98 => self.restart_agent(),
            _ => self.reset_ramp(),
        }
    }

    /// Starts a call, often with a key that was used before.
    fn start_call(&mut self) {
        if self.calls.len() >= MAX_CALLS {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let recent = number.saturating_sub(self.rng.random_range(0..20)).max(1);
        let mut key = Key::default();
        key[..8].copy_from_slice(&recent.to_le_bytes());
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        self.stats.calls += 1;
        let call = Call {
            entry,
            key,
            agent: 0,
            incarnation: 0,
            attempt: String::new(),
            own_attempt: format!("r{number}.0"),
            phase: Phase::Claiming,
            phase_started: self.now,
        };
        self.calls.insert(number, call);
        self.claim(number);
    }

    /// Claims the key of a call, unless the entry host knows that it is taken.
    fn claim(&mut self, number: u64) {
        let agent = self.rng.random_range(0..AGENT_COUNT);
        let call = self.calls.get_mut(&number).expect("call is in progress");
        call.agent = agent;
        call.incarnation = self.agents[agent].incarnation;
        call.attempt = call.own_attempt.clone();
        call.phase = Phase::Claiming;
        call.phase_started = self.now;
        self.attempt_keys.insert(call.own_attempt.clone(), call.key);
        let call = call.clone();
        let ledger = &self.entries[call.entry].ledger;
        if ledger.state(&call.key) != KeyState::Free && self.safeguards.claims {
            return self.act_on_key_state(number);
        }
        if !self.log_up {
            return self.refuse(number);
        }
        let claim = Claim {
            key: call.key.to_vec().into(),
            request: call.own_attempt.clone(),
            agent: agent.to_string(),
            incarnation: call.incarnation,
            claimed_at_ms: 1,
        };
        self.append(Batch {
            claims: vec![claim],
            ..Batch::default()
        });
    }

    /// Appends a batch; if the response is lost, the writer appends it again.
    fn append(&mut self, batch: Batch) {
        let response_lost = self.rng.random_bool(0.1);
        if response_lost {
            self.log.push(batch.clone());
        }
        self.log.push(batch);
    }

    /// A random entry host reads the next records of the log.
    fn read_log(&mut self) {
        if !self.log_up {
            return;
        }
        let entry_number = self.rng.random_range(0..ENTRY_COUNT);
        let count = self.rng.random_range(1..60);
        for _ in 0..count {
            let entry = &mut self.entries[entry_number];
            let Some(batch) = self.log.get(entry.next_record) else {
                break;
            };
            entry.ledger.apply(batch).expect("batches are valid");
            entry.next_record += 1;
        }
        let claiming: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.entry == entry_number && call.phase == Phase::Claiming)
            .map(|(number, _)| *number)
            .collect();
        for number in claiming {
            self.act_on_key_state(number);
        }
    }

    /// Continues a call according to the state of its key in the log.
    fn act_on_key_state(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        let ledger = &self.entries[call.entry].ledger;
        if ledger.is_held_by(&call.key, &call.own_attempt) {
            self.send(
                call.agent,
                true,
                Message::Submit(call.own_attempt.clone(), call.incarnation),
            );
            let call = self.calls.get_mut(&number).expect("call is in progress");
            call.phase = Phase::Sent;
            call.phase_started = self.now;
            return;
        }
        match ledger.state(&call.key) {
            KeyState::Free => {}
            KeyState::Done(_) => self.finish_call(number),
            KeyState::Claimed(claim) => {
                let call = self.calls.get_mut(&number).expect("call is in progress");
                call.attempt = claim.request.clone();
                call.agent = claim.agent.parse().expect("agents are numbers");
                call.incarnation = claim.incarnation;
                call.phase = Phase::Cancelling;
                call.phase_started = self.now;
                let (agent, incarnation) = (call.agent, call.incarnation);
                self.send(agent, true, Message::Cancel(claim.request, incarnation));
            }
        }
    }

    fn send(&mut self, agent: usize, to_agent: bool, message: Message) {
        if self.network.len() >= MAX_MESSAGES {
            let dropped = self.rng.random_range(0..self.network.len());
            self.network.swap_remove(dropped);
        }
        self.network.push(Envelope {
            sent_at: self.now,
            agent,
            to_agent,
            message,
        });
    }

    /// Delivers, drops or duplicates a random message.
    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let envelope = self.network.swap_remove(index);
        let lost = self.rng.random_bool(0.08);
        if lost || envelope.sent_at + MAX_MESSAGE_AGE < self.now {
            return;
        }
        if self.rng.random_bool(0.08) {
            self.network.push(envelope.clone());
        }
        if envelope.to_agent {
            self.receive_at_agent(envelope.agent, envelope.message);
        } else {
            self.receive_at_entry(envelope.message);
        }
    }

    fn receive_at_entry(&mut self, message: Message) {
        let attempt = match &message {
            Message::NotStarted(id) | Message::Known(id) | Message::Finished(id) => id.clone(),
            _ => return,
        };
        let waiting_calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.attempt == attempt && call.phase != Phase::Claiming)
            .map(|(number, _)| *number)
            .collect();
        for number in waiting_calls {
            match message {
                Message::Finished(_) => self.record_outcome(number),
                Message::NotStarted(_) => self.retry_or_refuse(number),
                _ => {
                    self.calls
                        .get_mut(&number)
                        .expect("call is in progress")
                        .phase_started = self.now
                }
            }
        }
    }

    fn record_outcome(&mut self, number: u64) {
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
        self.finish_call(number);
    }

    fn finish_call(&mut self, number: u64) {
        let call = self.calls.remove(&number).expect("call is in progress");
        let effects = self.effects.get(&call.key).copied().unwrap_or(0);
        assert!(effects == 1, "answered without applying the effect");
        self.stats.answered += 1;
    }

    /// Handles an attempt that cannot start any more: frees the key, then retries or refuses.
    fn retry_or_refuse(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        assert!(!self.started.contains(&call.attempt), "refused after start");
        let void = Void {
            key: call.key.to_vec().into(),
            request: call.attempt.clone(),
        };
        self.append(Batch {
            voids: vec![void],
            ..Batch::default()
        });
        if call.attempt == call.own_attempt {
            self.refused.insert(call.own_attempt.clone());
        }
        if self.rng.random_bool(0.5) {
            return self.refuse(number);
        }
        let call = self.calls.get_mut(&number).expect("call is in progress");
        self.last_number += 1;
        call.own_attempt = format!("{}+{}", call.own_attempt, self.last_number);
        self.claim(number);
    }

    /// Refuses a call none of whose attempts can start any more.
    fn refuse(&mut self, number: u64) {
        let call = self.calls.remove(&number).expect("call is in progress");
        assert!(
            !self.started.contains(&call.own_attempt),
            "refused after start: {}",
            call.own_attempt
        );
        self.refused.insert(call.own_attempt);
        self.stats.not_run += 1;
    }

    /// Cancels the attempt of a call that has timed out, or gives up with an unknown result.
    fn time_out_call(&mut self) {
        let timed_out = |call: &Call| call.phase_started + CALL_TIMEOUT < self.now;
        let overdue = self.calls.iter().find(|(_, call)| timed_out(call));
        let Some((number, call)) = overdue.map(|(number, call)| (*number, call.clone())) else {
            return;
        };
        match call.phase {
            Phase::Claiming => {
                let void = Void {
                    key: call.key.to_vec().into(),
                    request: call.own_attempt.clone(),
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
                let call = self.calls.get_mut(&number).expect("call is in progress");
                call.phase = Phase::Cancelling;
                call.phase_started = self.now;
            }
            Phase::Cancelling => {
                self.calls.remove(&number);
                self.stats.unknown += 1;
            }
        }
    }

    /// Drops all messages, calls and records, which bounds the memory of long walks.
    fn reset(&mut self) {
        self.network.clear();
        let numbers: Vec<u64> = self.calls.keys().copied().collect();
        for number in numbers {
            self.calls.remove(&number);
            self.stats.unknown += 1;
        }
        for entry in &mut self.entries {
            entry.next_record = 0;
            let rule = if self.safeguards.claims {
                Rule::FirstWins
            } else {
                Rule::AnyWins
            };
            entry.ledger = Ledger::new(rule);
        }
        self.log.clear();
        self.attempt_keys.clear();
        self.effects.clear();
        self.refused.clear();
        self.started.clear();
        self.last_number += 100;
        for number in 0..AGENT_COUNT {
            self.agents[number] = self.new_agent();
        }
    }
}
