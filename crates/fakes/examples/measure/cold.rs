//! Load on a cold backend server that many entry hosts use, and time until configuration changes
//! are applied everywhere.

use {
    crate::deployment::{self, Pool, prompt},
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

/// Concurrent requests that the cold engine can take.
const COLD_CAPACITY: usize = 2;
/// Concurrent requests that the warm engine can take.
const WARM_CAPACITY: usize = 16;
/// Finished requests after which the engine is warm.
const WARM_AFTER_REQUESTS: u64 = 40;
/// Timeout of a request, and of waiting for a state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Load on a cold backend server that many entry hosts use.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Cold {
    /// Number of entry hosts.
    #[arg(long, default_value_t = 9)]
    entries: usize,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 90)]
    callers: usize,
    /// Duration of the load after the restart has been handled, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

impl Cold {
    /// Restarts the engine under load from many callers, which makes it cold.
    pub async fn run(&self) -> Result<()> {
        let options = Options {
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
                cold_capacity: COLD_CAPACITY,
                warm_after_requests: WARM_AFTER_REQUESTS,
                ..Behaviour::default()
            },
        }];
        let cluster = deployment::open(options, &pools, |settings| {
            settings.backend = Backend {
                concurrency: WARM_CAPACITY,
                cold_concurrency: COLD_CAPACITY,
                warm_up: Duration::from_secs(2),
                ..settings.backend.clone()
            };
        })
        .await?;
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = cluster.caller_addresses();
        let tasks: Vec<_> = (0..self.callers)
            .map(|number| {
                let caller = Caller::new(addresses[number % addresses.len()], TIMEOUT);
                let stop = Arc::clone(&stop);
                tokio::spawn(async move {
                    let mut answered = 0_u64;
                    while !stop.load(Ordering::Relaxed) {
                        let prompt = prompt(format!("cold {number} {answered}"), 1, false);
                        let response = caller
                            .generate("drafting", &prompt, &Request::default())
                            .await;
                        answered += u64::from(response.is_ok_and(|r| r.status.is_success()));
                    }
                    answered
                })
            })
            .collect();
        let host = cluster
            .backend_hosts
            .keys()
            .next()
            .cloned()
            .unwrap_or_default();
        let warm_up_seconds = wait_until_warm(&cluster, &host).await;
        cluster.backend_hosts[&host].engine.restart();
        time::sleep(Duration::from_secs(1)).await;
        let restart_warm_up_seconds = wait_until_warm(&cluster, &host).await;
        time::sleep(Duration::from_secs(self.seconds)).await;
        stop.store(true, Ordering::Relaxed);
        let mut answered = 0;
        for task in tasks {
            answered += task.await.unwrap_or(0);
        }
        let counters = cluster.backend_hosts[&host].engine.counters();
        println!(
            "result scenario=cold entries={} callers={} bears={COLD_CAPACITY} cold_peak={} \
             peak_over_limit={} unloaded={} peak={} seconds_to_full={warm_up_seconds:.2} \
             seconds_to_full_after_restart={restart_warm_up_seconds:.2} whole={answered}",
            self.entries,
            self.callers,
            counters.peak_running_cold,
            counters.cold_overloads,
            counters.requests_unloaded,
            counters.peak_running
        );
        cluster.close().await;
        Ok(())
    }
}

/// Seconds until the agent's concurrency limit reaches the capacity of a warm engine; NaN if it does
/// not within the timeout.
async fn wait_until_warm(cluster: &Cluster, host: &str) -> f64 {
    let warm = |c: &Cluster| {
        let agent = c.backend_hosts[host].agent.as_ref();
        agent.is_some_and(|a| a.shared().load().limit as usize == WARM_CAPACITY)
    };
    cluster
        .wait_until(TIMEOUT, warm)
        .await
        .map_or(f64::NAN, |time| time.as_secs_f64())
}

/// Time until configuration changes are applied everywhere, with racing operators and a slow log.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Config {
    /// Number of changes.
    #[arg(long, default_value_t = 200)]
    changes: u64,
}

impl Config {
    /// Makes changes one after another. Every third one races with a change of a second operator, and
    /// the log is slow from the middle on.
    pub async fn run(&self) -> Result<()> {
        let options = Options {
            entries_per_data_centre: 2,
            ..Options::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 4,
            kind: Kind::Engine,
            behaviour: Behaviour::default(),
        }];
        let cluster = deployment::open(options, &pools, |_| {}).await?;
        let mut max_time = Duration::ZERO;
        let mut total_time = Duration::ZERO;
        let mut disagreements = 0;
        let last_seen = RefCell::new(revisions(&cluster));
        let reverts = Cell::new(0);
        for number in 0..self.changes {
            let base = cluster.latest_revision();
            let data_centre = "karas-a".to_owned();
            let change = match number % 2 {
                0 => Change::DataCentreOut(data_centre),
                _ => Change::DataCentreIn(data_centre),
            };
            if number == self.changes / 2 {
                cluster.log.set_faults(Faults {
                    delay: Duration::from_millis(200),
                    ..Faults::default()
                });
            }
            let started = Instant::now();
            let signed = bundle::sign_change(&cluster.operator_key, base, change);
            cluster.log.append(bundle::encode_record(signed));
            if number % 3 == 0 {
                let racing_change = Change::DataCentreOut("erongo-a".to_owned());
                let signed = bundle::sign_change(&cluster.operator_key, base, racing_change);
                cluster.log.append(bundle::encode_record(signed));
            }
            let applied_everywhere = |c: &Cluster| {
                let now = revisions(c);
                let before = last_seen.replace(now.clone());
                let decreased = before.iter().zip(&now).filter(|(before, now)| now < before);
                reverts.set(reverts.get() + decreased.count());
                now.iter().all(|revision| *revision > base)
            };
            let elapsed = cluster.wait_until(TIMEOUT, applied_everywhere).await;
            ensure!(
                elapsed.is_some(),
                "a change was not applied everywhere in time"
            );
            max_time = max_time.max(started.elapsed());
            total_time += started.elapsed();
            let mut states = cluster.entries.values().map(|e| e.shared().state());
            let first = states.next();
            disagreements += states
                .filter(|s| Some(&s.drained) != first.as_ref().map(|f| &f.drained))
                .count();
        }
        println!(
            "result scenario=config changes={} processes={} seconds_max={:.3} seconds_mean={:.3} \
             reverts={} races_split={disagreements}",
            self.changes,
            cluster.entries.len() + cluster.backend_hosts.len(),
            max_time.as_secs_f64(),
            total_time.as_secs_f64() / self.changes as f64,
            reverts.get()
        );
        cluster.close().await;
        ensure!(disagreements == 0, "entry hosts have different states");
        Ok(())
    }
}

/// Revisions that the processes have applied, always in the same order of processes.
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
