//! Non-repeatable calls under faults. Checks that no call runs twice, that no call reported as not
//! run has run, and that every answered call has run.

use {
    crate::deployment::{self, Pool},
    clap::Args,
    eyre::{Result, ensure},
    jayspread_fakes::{
        caller::{Caller, Request},
        cluster::{Cluster, Options},
        engine::{Behaviour, Effect},
        log::Faults,
    },
    jayspread_schema::settings::{Backend, Kind},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest number of tries of one call.
const MAX_TRIES: usize = 3;
/// Time after the last call in which running requests may finish.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Non-repeatable calls under faults.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Once {
    /// Number of calls, each with its own idempotency key.
    #[arg(long, default_value_t = 100_000)]
    calls: u64,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 64)]
    callers: u64,
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject no faults.
    #[arg(long)]
    no_faults: bool,
}

/// Condition of the log when a call starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LogCondition {
    Up,
    Slow,
    Down,
}

/// Result of one call as its caller saw it.
#[derive(Debug, Clone, Default)]
struct CallResult {
    answered: bool,
    /// Every try was refused with the statement that the call did not run.
    refused: bool,
}

#[derive(Default)]
struct Results {
    /// Results by name of the effect.
    by_effect: Mutex<BTreeMap<String, CallResult>>,
    /// Numbers of answered and of all calls by condition of the log.
    by_condition: Mutex<BTreeMap<LogCondition, (u64, u64)>>,
    /// Tries after which the caller did not know whether the call ran.
    unknown: AtomicU64,
    tries: AtomicU64,
}

impl Once {
    /// Makes all calls and compares their results with the effects that the engines applied.
    pub async fn run(&self) -> Result<()> {
        let options = Options {
            entries_per_data_centre: 2,
            seed: self.seed,
            ..Options::default()
        };
        let pools = [Pool {
            service: "lodgement",
            servers_per_data_centre: 1,
            kind: Kind::Engine,
            behaviour: Behaviour::default(),
        }];
        let mut cluster = deployment::open(options, &pools, |settings| {
            settings.backend = Backend {
                concurrency: 64,
                cold_concurrency: 16,
                ..settings.backend.clone()
            };
        })
        .await?;
        let results = Arc::new(Results::default());
        let condition = Arc::new(Mutex::new(LogCondition::Up));
        let next_number = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        let tasks = (0..self.callers).map(|number| {
            let task = CallerTask {
                callers: cluster
                    .caller_addresses()
                    .into_iter()
                    .map(|address: SocketAddr| Caller::new(address, CALLER_TIMEOUT))
                    .collect(),
                results: Arc::clone(&results),
                condition: Arc::clone(&condition),
                next_number: Arc::clone(&next_number),
                total: self.calls,
                rng: StdRng::seed_from_u64(self.seed * 1000 + number),
            };
            tokio::spawn(task.run())
        });
        let tasks: Vec<_> = tasks.collect();
        while tasks.iter().any(|task| !task.is_finished()) {
            if self.no_faults {
                time::sleep(Duration::from_millis(200)).await;
            } else {
                inject_fault(&mut cluster, &condition, self.seed).await?;
            }
        }
        cluster.log.set_faults(Faults::default());
        time::sleep(SETTLE_TIME).await;
        self.check(&cluster, &results, started)
    }

    fn check(&self, cluster: &Cluster, results: &Results, started: Instant) -> Result<()> {
        let mut applied: BTreeMap<String, u64> = BTreeMap::new();
        for host in cluster.backend_hosts.values() {
            for (effect, count) in host.engine.counters().effects {
                *applied.entry(effect).or_default() += count;
            }
        }
        let by_effect = results.by_effect.lock().expect("lock is not poisoned");
        let applied_twice = applied.values().filter(|count| **count > 1).count();
        let refused = by_effect.iter().filter(|(_, result)| result.refused);
        let false_refusals = refused
            .filter(|(effect, _)| applied.contains_key(*effect))
            .count();
        let answered = by_effect.iter().filter(|(_, result)| result.answered);
        let lost_answers = answered
            .filter(|(effect, _)| !applied.contains_key(*effect))
            .count();
        let by_condition = results.by_condition.lock().expect("lock is not poisoned");
        let answered_share = |condition| {
            let (answered, sent) = by_condition.get(&condition).copied().unwrap_or((0, 0));
            if sent == 0 {
                "none".to_owned()
            } else {
                format!("{:.4}", answered as f64 / sent as f64)
            }
        };
        println!(
            "result scenario=once seed={} sent={} tries={} ran={} ran_twice={applied_twice} \
             false_refusals={false_refusals} lost_answers={lost_answers} unknown={} served_up={} \
             served_slow={} served_out={} seconds={:.1} appends={}",
            self.seed,
            by_effect.len(),
            results.tries.load(Ordering::Relaxed),
            applied.len(),
            results.unknown.load(Ordering::Relaxed),
            answered_share(LogCondition::Up),
            answered_share(LogCondition::Slow),
            answered_share(LogCondition::Down),
            started.elapsed().as_secs_f64(),
            cluster.log.append_count()
        );
        ensure!(
            applied_twice == 0 && false_refusals == 0 && lost_answers == 0,
            "a call ran twice, was refused after it ran, or was answered without running"
        );
        Ok(())
    }
}

/// Task of one caller, which makes one call after another.
struct CallerTask {
    /// One client for each entry host.
    callers: Vec<Caller>,
    results: Arc<Results>,
    condition: Arc<Mutex<LogCondition>>,
    next_number: Arc<AtomicU64>,
    total: u64,
    rng: StdRng,
}

impl CallerTask {
    async fn run(mut self) {
        loop {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            if number >= self.total {
                return;
            }
            self.call(number).await;
        }
    }

    /// Makes one call, through a random entry host at each try, until it is answered or has used up
    /// its tries.
    async fn call(&mut self, number: u64) {
        let name = format!("effect-{number}");
        let condition = *self.condition.lock().expect("lock is not poisoned");
        let request = Request {
            idempotency_key: Some(name.clone()),
            deadline: Some(Duration::from_secs(2)),
            ..Request::default()
        };
        let effect = Effect {
            effect: name.clone(),
            takes_ms: self.rng.random_range(0..10),
        };
        let mut result = CallResult {
            answered: false,
            refused: true,
        };
        for _ in 0..MAX_TRIES {
            self.results.tries.fetch_add(1, Ordering::Relaxed);
            let caller = &self.callers[self.rng.random_range(0..self.callers.len())];
            match caller.apply_effect("lodgement", &effect, &request).await {
                Ok(response) if response.status.is_success() => {
                    result.answered = true;
                    result.refused = false;
                    break;
                }
                Ok(response) if response.reported_ran().as_deref() == Some("no") => {}
                _ => {
                    result.refused = false;
                    self.results.unknown.fetch_add(1, Ordering::Relaxed);
                }
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        let mut by_condition = self
            .results
            .by_condition
            .lock()
            .expect("lock is not poisoned");
        let counts = by_condition.entry(condition).or_default();
        counts.0 += u64::from(result.answered);
        counts.1 += 1;
        drop(by_condition);
        self.results
            .by_effect
            .lock()
            .expect("lock is not poisoned")
            .insert(name, result);
    }
}

/// Injects one random fault for a while, then lets the deployment recover.
async fn inject_fault(
    cluster: &mut Cluster,
    condition: &Mutex<LogCondition>,
    seed: u64,
) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed ^ cluster.log.next_offset());
    let set_condition = |value| *condition.lock().expect("lock is not poisoned") = value;
    let faults = |down, delay_ms, loss_rate| Faults {
        down,
        delay: Duration::from_millis(delay_ms),
        response_loss_rate: loss_rate,
        rejection_rate: loss_rate / 2.0,
    };
    match rng.random_range(0..6) {
        0 => {
            set_condition(LogCondition::Down);
            cluster.log.set_faults(faults(true, 0, 0.0));
            time::sleep(Duration::from_millis(800)).await;
        }
        1 => {
            set_condition(LogCondition::Slow);
            cluster.log.set_faults(faults(false, 100, 0.1));
            time::sleep(Duration::from_millis(1500)).await;
        }
        2 => {
            let hosts: Vec<Box<str>> = cluster.backend_hosts.keys().cloned().collect();
            let host = hosts[rng.random_range(0..hosts.len())].clone();
            cluster.kill_agent(&host).await;
            time::sleep(Duration::from_millis(500)).await;
            cluster.start_agent(&host).await?;
        }
        3 => {
            let hosts: Vec<Box<str>> = cluster.entries.keys().cloned().collect();
            let host = hosts[rng.random_range(0..hosts.len())].clone();
            if let Some(settings) = cluster.kill_entry(&host).await {
                time::sleep(Duration::from_millis(300)).await;
                cluster.start_entry(settings).await?;
            }
        }
        4 => {
            let addresses: Vec<_> = cluster
                .backend_hosts
                .values()
                .map(|h| h.settings.listen.peer)
                .collect();
            let address = addresses[rng.random_range(0..addresses.len())];
            cluster.network.set_blackholed(address, true);
            time::sleep(Duration::from_millis(700)).await;
            cluster.network.set_blackholed(address, false);
        }
        _ => cluster.log.set_faults(faults(false, 0, 0.1)),
    }
    time::sleep(Duration::from_millis(500)).await;
    cluster.log.set_faults(Faults::default());
    set_condition(LogCondition::Up);
    time::sleep(Duration::from_millis(1000)).await;
    Ok(())
}
