//! Non-repeatable calls under faults: none runs twice, no refusal is false, no answer is lost.

use {
    crate::site::{self, Pool},
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

/// Time that a caller waits for an answer.
const CALLER_MAX: Duration = Duration::from_secs(4);
/// Attempts of a caller at one call.
const TRIES: usize = 3;
/// Time after the last call for outcomes to settle.
const SETTLE: Duration = Duration::from_secs(3);

/// Non-repeatable calls under faults.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Once {
    /// Calls with a key.
    #[arg(long, default_value_t = 100_000)]
    calls: u64,
    /// Callers at once.
    #[arg(long, default_value_t = 64)]
    callers: u64,
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Provoke no faults.
    #[arg(long)]
    no_faults: bool,
}

/// State of the log while calls are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Weather {
    Up,
    Slow,
    Out,
}

/// What callers were told of one effect.
#[derive(Debug, Clone, Default)]
struct Told {
    answered: bool,
    /// Every try was refused as not run.
    denied: bool,
}

#[derive(Default)]
struct Books {
    told: Mutex<BTreeMap<String, Told>>,
    served: Mutex<BTreeMap<Weather, (u64, u64)>>,
    unknown: AtomicU64,
    tries: AtomicU64,
}

impl Once {
    /// Runs the calls and checks the books.
    pub async fn run(&self) -> Result<()> {
        let plan = Options {
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
        let mut cluster = site::open(plan, &pools, |settings| {
            settings.backend = Backend {
                concurrency: 64,
                cold_concurrency: 16,
                ..settings.backend.clone()
            };
        })
        .await?;
        let books = Arc::new(Books::default());
        let weather = Arc::new(Mutex::new(Weather::Up));
        let next = Arc::new(AtomicU64::new(0));
        let began = Instant::now();
        let callers = (0..self.callers).map(|number| {
            let task = Calls {
                callers: cluster
                    .caller_addresses()
                    .into_iter()
                    .map(|address: SocketAddr| Caller::new(address, CALLER_MAX))
                    .collect(),
                books: Arc::clone(&books),
                weather: Arc::clone(&weather),
                next: Arc::clone(&next),
                total: self.calls,
                rng: StdRng::seed_from_u64(self.seed * 1000 + number),
            };
            tokio::spawn(task.run())
        });
        let callers: Vec<_> = callers.collect();
        while callers.iter().any(|task| !task.is_finished()) {
            if self.no_faults {
                time::sleep(Duration::from_millis(200)).await;
            } else {
                provoke(&mut cluster, &weather, self.seed).await?;
            }
        }
        cluster.log.set_faults(Faults::default());
        time::sleep(SETTLE).await;
        self.judge(&cluster, &books, began)
    }

    fn judge(&self, cluster: &Cluster, books: &Books, began: Instant) -> Result<()> {
        let mut applied: BTreeMap<String, u64> = BTreeMap::new();
        for host in cluster.backend_hosts.values() {
            for (effect, count) in host.engine.counters().effects {
                *applied.entry(effect).or_default() += count;
            }
        }
        let told = books.told.lock().expect("no panic holds the lock");
        let twice = applied.values().filter(|count| **count > 1).count();
        let denied = told.iter().filter(|(_, told)| told.denied);
        let false_refusals = denied.filter(|(e, _)| applied.contains_key(*e)).count();
        let answered = told.iter().filter(|(_, told)| told.answered);
        let lost = answered.filter(|(e, _)| !applied.contains_key(*e)).count();
        let served = books.served.lock().expect("no panic holds the lock");
        let share = |weather| {
            let (served, sent) = served.get(&weather).copied().unwrap_or((0, 0));
            if sent == 0 {
                "none".to_owned()
            } else {
                format!("{:.4}", served as f64 / sent as f64)
            }
        };
        println!(
            "result scenario=once seed={} sent={} tries={} ran={} ran_twice={twice} \
             false_refusals={false_refusals} lost_answers={lost} unknown={} served_up={} \
             served_slow={} served_out={} seconds={:.1} appends={}",
            self.seed,
            told.len(),
            books.tries.load(Ordering::Relaxed),
            applied.len(),
            books.unknown.load(Ordering::Relaxed),
            share(Weather::Up),
            share(Weather::Slow),
            share(Weather::Out),
            began.elapsed().as_secs_f64(),
            cluster.log.append_count()
        );
        ensure!(
            twice == 0 && false_refusals == 0 && lost == 0,
            "a promise is broken"
        );
        Ok(())
    }
}

/// One caller after another call.
struct Calls {
    callers: Vec<Caller>,
    books: Arc<Books>,
    weather: Arc<Mutex<Weather>>,
    next: Arc<AtomicU64>,
    total: u64,
    rng: StdRng,
}

impl Calls {
    async fn run(mut self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.total {
                return;
            }
            self.call(number).await;
        }
    }

    /// Makes one call, through another entry host at each try, until it is answered.
    async fn call(&mut self, number: u64) {
        let name = format!("effect-{number}");
        let weather = *self.weather.lock().expect("no panic holds the lock");
        let request = Request {
            idempotency_key: Some(name.clone()),
            deadline: Some(Duration::from_secs(2)),
            ..Request::default()
        };
        let effect = Effect {
            effect: name.clone(),
            takes_ms: self.rng.random_range(0..10),
        };
        let mut told = Told {
            answered: false,
            denied: true,
        };
        for _ in 0..TRIES {
            self.books.tries.fetch_add(1, Ordering::Relaxed);
            let caller = &self.callers[self.rng.random_range(0..self.callers.len())];
            match caller.apply_effect("lodgement", &effect, &request).await {
                Ok(answer) if answer.status.is_success() => {
                    told.answered = true;
                    told.denied = false;
                    break;
                }
                Ok(answer) if answer.reported_ran().as_deref() == Some("no") => {}
                _ => {
                    told.denied = false;
                    self.books.unknown.fetch_add(1, Ordering::Relaxed);
                }
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        let mut served = self.books.served.lock().expect("no panic holds the lock");
        let entry = served.entry(weather).or_default();
        entry.0 += u64::from(told.answered);
        entry.1 += 1;
        drop(served);
        self.books
            .told
            .lock()
            .expect("no panic holds the lock")
            .insert(name, told);
    }
}

/// One round of faults.
async fn provoke(cluster: &mut Cluster, weather: &Mutex<Weather>, seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed ^ cluster.log.next_offset());
    let set = |now| *weather.lock().expect("no panic holds the lock") = now;
    let faults = |down, delay_ms, lose| Faults {
        down,
        delay: Duration::from_millis(delay_ms),
        response_loss_rate: lose,
        rejection_rate: lose / 2.0,
    };
    match rng.random_range(0..6) {
        0 => {
            set(Weather::Out);
            cluster.log.set_faults(faults(true, 0, 0.0));
            time::sleep(Duration::from_millis(800)).await;
        }
        1 => {
            set(Weather::Slow);
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
            let hosts: Vec<_> = cluster
                .backend_hosts
                .values()
                .map(|h| h.settings.listen.peer)
                .collect();
            let silent = hosts[rng.random_range(0..hosts.len())];
            cluster.network.set_blackholed(silent, true);
            time::sleep(Duration::from_millis(700)).await;
            cluster.network.set_blackholed(silent, false);
        }
        _ => cluster.log.set_faults(faults(false, 0, 0.1)),
    }
    time::sleep(Duration::from_millis(500)).await;
    cluster.log.set_faults(Faults::default());
    set(Weather::Up);
    time::sleep(Duration::from_millis(1000)).await;
    Ok(())
}
