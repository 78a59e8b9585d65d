//! Load on a cold backend server before many entry hosts, and time until changes are in force.

use {
    crate::site::{self, Pool, prompt},
    clap::Args,
    eyre::{Result, ensure},
    jayspread_fakes::{
        bundle,
        caller::{Caller, Request},
        cluster::{Cluster, Options},
        engine::Behaviour,
        log::Faults,
    },
    jayspread_schema::{
        config::change::Kind as Change,
        settings::{Backend, Kind},
    },
    std::{
        cell::{Cell, RefCell},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Requests that the engine bears in cold start.
const BEARS: usize = 2;
/// Requests that it bears when warm.
const FULL: usize = 16;
/// Answers after which the engine is warm.
const WARM_AFTER: u64 = 40;
/// Longest wait for any state.
const LIMIT: Duration = Duration::from_secs(20);

/// Load on a cold backend server before many entry hosts.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Cold {
    /// Entry hosts.
    #[arg(long, default_value_t = 9)]
    entries: usize,
    /// Callers at once.
    #[arg(long, default_value_t = 90)]
    callers: usize,
    /// Seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

impl Cold {
    /// Lets the engine turn cold with a restart while many callers press on.
    pub async fn run(&self) -> Result<()> {
        let plan = Options {
            data_centres: vec![("khomas-a".into(), "khomas".into())],
            entries_per_data_centre: self.entries,
            ..Options::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 1,
            kind: Kind::Engine,
            behaviour: Behaviour {
                time_to_first_token: Duration::from_millis(20),
                cold_capacity: BEARS,
                warm_after_requests: WARM_AFTER,
                ..Behaviour::default()
            },
        }];
        let cluster = site::open(plan, &pools, |settings| {
            settings.backend = Backend {
                concurrency: FULL,
                cold_concurrency: BEARS,
                warm: Duration::from_secs(2),
                ..settings.backend.clone()
            };
        })
        .await?;
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = cluster.caller_addresses();
        let tasks: Vec<_> = (0..self.callers)
            .map(|number| {
                let caller = Caller::new(addresses[number % addresses.len()], LIMIT);
                let stop = Arc::clone(&stop);
                tokio::spawn(async move {
                    let mut whole = 0_u64;
                    while !stop.load(Ordering::Relaxed) {
                        let prompt = prompt(format!("cold {number} {whole}"), 1, false);
                        let answer = caller
                            .generate("drafting", &prompt, &Request::default())
                            .await;
                        whole += u64::from(answer.is_ok_and(|a| a.status.is_success()));
                    }
                    whole
                })
            })
            .collect();
        let host = cluster
            .backend_hosts
            .keys()
            .next()
            .cloned()
            .unwrap_or_default();
        let first = full(&cluster, &host).await;
        cluster.backend_hosts[&host].engine.restart();
        time::sleep(Duration::from_secs(1)).await;
        let again = full(&cluster, &host).await;
        time::sleep(Duration::from_secs(self.seconds)).await;
        stop.store(true, Ordering::Relaxed);
        let mut whole = 0;
        for task in tasks {
            whole += task.await.unwrap_or(0);
        }
        let books = cluster.backend_hosts[&host].engine.counters();
        println!(
            "result scenario=cold entries={} callers={} bears={BEARS} cold_peak={} \
             peak_over_limit={} unloaded={} peak={} seconds_to_full={first:.2} \
             seconds_to_full_after_restart={again:.2} whole={whole}",
            self.entries,
            self.callers,
            books.peak_running_cold,
            books.cold_overloads,
            books.requests_unloaded,
            books.peak_running
        );
        cluster.close().await;
        Ok(())
    }
}

/// Seconds until the agent's limit has reached its full height.
async fn full(cluster: &Cluster, host: &str) -> f64 {
    let reached = |c: &Cluster| {
        let agent = c.backend_hosts[host].agent.as_ref();
        agent.is_some_and(|a| a.shared().load().limit as usize == FULL)
    };
    cluster
        .wait_until(LIMIT, reached)
        .await
        .map_or(f64::NAN, |t| t.as_secs_f64())
}

/// Time until changes are in force, with racing operators and a log outage.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Config {
    /// Changes.
    #[arg(long, default_value_t = 200)]
    changes: u64,
}

impl Config {
    /// Makes changes, every third one raced by a second operator.
    pub async fn run(&self) -> Result<()> {
        let plan = Options {
            entries_per_data_centre: 2,
            ..Options::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 4,
            kind: Kind::Engine,
            behaviour: Behaviour::default(),
        }];
        let cluster = site::open(plan, &pools, |_| {}).await?;
        let mut slowest = Duration::ZERO;
        let mut total = Duration::ZERO;
        let mut split = 0;
        let seen = RefCell::new(revisions(&cluster));
        let reverts = Cell::new(0);
        for number in 0..self.changes {
            let base = cluster.latest_revision();
            let place = "karas-a".to_owned();
            let kind = match number % 2 {
                0 => Change::DataCentreOut(place),
                _ => Change::DataCentreIn(place),
            };
            if number == self.changes / 2 {
                cluster.log.set_faults(Faults {
                    delay: Duration::from_millis(200),
                    ..Faults::default()
                });
            }
            let began = Instant::now();
            let signed = bundle::sign_change(&cluster.operator_key, base, kind);
            cluster.log.append(bundle::encode_record(signed));
            if number % 3 == 0 {
                let rival = Change::DataCentreOut("erongo-a".to_owned());
                let signed = bundle::sign_change(&cluster.operator_key, base, rival);
                cluster.log.append(bundle::encode_record(signed));
            }
            let everywhere = |c: &Cluster| {
                let now = revisions(c);
                let before = seen.replace(now.clone());
                let back = before.iter().zip(&now).filter(|(before, now)| now < before);
                reverts.set(reverts.get() + back.count());
                now.iter().all(|revision| *revision > base)
            };
            let took = cluster.wait_until(LIMIT, everywhere).await;
            ensure!(took.is_some(), "a change is not in force everywhere");
            slowest = slowest.max(began.elapsed());
            total += began.elapsed();
            let mut states = cluster.entries.values().map(|e| e.shared().state());
            let first = states.next();
            split += states
                .filter(|s| Some(&s.drained) != first.as_ref().map(|f| &f.drained))
                .count();
        }
        println!(
            "result scenario=config changes={} processes={} seconds_max={:.3} seconds_mean={:.3} \
             reverts={} races_split={split}",
            self.changes,
            cluster.entries.len() + cluster.backend_hosts.len(),
            slowest.as_secs_f64(),
            total.as_secs_f64() / self.changes as f64,
            reverts.get()
        );
        cluster.close().await;
        ensure!(split == 0, "processes disagree");
        Ok(())
    }
}

/// Revisions in force at every process, always in the same order.
fn revisions(cluster: &Cluster) -> Vec<u64> {
    let entries = cluster
        .entries
        .values()
        .map(|e| e.shared().state().revision);
    let agents = cluster
        .backend_hosts
        .values()
        .filter_map(|h| h.agent.as_ref());
    entries
        .chain(agents.map(|a| a.shared().state().revision))
        .collect()
}
