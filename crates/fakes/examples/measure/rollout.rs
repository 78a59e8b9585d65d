//! Time to roll out a version to N replicas, compared with the lower bound and a baseline.

use {
    crate::sample,
    clap::Args,
    eyre::{Result, bail},
    jayspread_agent::metrics::Reason,
    jayspread_core::chunk::{self, Bandwidth, Policy},
    jayspread_fakes::{
        bundle,
        cluster::{Cluster, Options},
        engine::Behaviour,
    },
    jayspread_schema::settings::{Kind, MIB},
    std::{
        cell::{Cell, RefCell},
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Timeout of a roll-out.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(240);
/// Timeout for the agents to learn of each other.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest number of regions that the data centres are spread over.
const MAX_REGIONS: usize = 6;

/// Time to roll out a version to N replicas, and bytes over each link.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Rollout {
    /// Number of backend servers.
    #[arg(long, default_value_t = 48)]
    replicas: usize,
    /// Number of data centres; the first six are in regions of their own.
    #[arg(long, default_value_t = 3)]
    data_centres: usize,
    /// Seed of the weights and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Size of the weights, MiB.
    #[arg(long, default_value_t = 16)]
    mib: usize,
    /// Chunk size, KiB.
    #[arg(long, default_value_t = 64)]
    chunk_kib: usize,
    /// Bandwidth between regions, megabits per second each way.
    #[arg(long, default_value_t = 16.0)]
    thin_mbit: f64,
    /// Uplink bandwidth of the origin, megabits per second.
    #[arg(long, default_value_t = 400.0)]
    origin_mbit: f64,
    /// Name a second version this long after the first one, ms, and measure the second one.
    #[arg(long)]
    second_ms: Option<u64>,
    /// Inject faults.
    #[arg(long)]
    faults: bool,
    /// Skip the baseline.
    #[arg(long)]
    no_baseline: bool,
    /// Write a chart of the complete replicas over time to this SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// Results of one roll-out. Copies are multiples of the size of the weights.
#[derive(Debug, Clone, Default)]
struct Summary {
    seconds: f64,
    /// Copies that the origin sent in all, and until the measured version was named.
    origin_copies: f64,
    copies_before: f64,
    max_host_copies: f64,
    max_region_copies: f64,
    partial_loads: u64,
    version_changes: u64,
    cpu_seconds: f64,
}

impl Rollout {
    /// Measures a roll-out and its baseline.
    pub async fn run(&self) -> Result<()> {
        let bytes = self.weight_bytes() as f64;
        let region_bandwidth = bytes_per_second(self.thin_mbit);
        let origin = bytes_per_second(self.origin_mbit);
        let region = if self.data_centres > 1 {
            region_bandwidth
        } else {
            f64::INFINITY
        };
        let bandwidth = Bandwidth {
            origin,
            region,
            host: f64::INFINITY,
        };
        let bound = chunk::min_broadcast_time(bytes as u64, bandwidth).as_secs_f64();
        println!(
            "start scenario=rollout replicas={} bytes={bytes} bound_seconds={bound:.2}",
            self.replicas
        );
        let measured = self.measure(Policy::Exchange).await?;
        self.print("trade", &measured, bound);
        let mut baseline_ratio = "none".to_owned();
        if !self.no_baseline {
            let baseline = self.measure(Policy::SingleSeeder).await?;
            self.print("seeder", &baseline, bound);
            baseline_ratio = format!("{:.2}", baseline.seconds / bound);
        }
        println!(
            "result scenario=rollout seed={} replicas={} data_centres={} faults={} seconds={:.2} \
             bound_seconds={bound:.2} ratio={:.2} baseline_ratio={baseline_ratio} \
             origin_copies={:.2} copies_before={:.2} host_copies_max={:.2} \
             thin_copies_max={:.2} mixed={} partial={}",
            self.seed,
            self.replicas,
            self.data_centres,
            self.faults,
            measured.seconds,
            measured.seconds / bound,
            measured.origin_copies,
            measured.copies_before,
            measured.max_host_copies,
            measured.max_region_copies,
            measured.version_changes,
            measured.partial_loads
        );
        Ok(())
    }

    /// Version whose roll-out is measured.
    fn measured_version(&self) -> &'static str {
        match self.second_ms {
            Some(_) => "v2",
            None => "v1",
        }
    }

    /// Lower bound of the roll-out time with the given bandwidth, seconds.
    fn bound_seconds(&self) -> f64 {
        let region_bandwidth = bytes_per_second(self.thin_mbit);
        let bandwidth = Bandwidth {
            origin: bytes_per_second(self.origin_mbit),
            region: if self.data_centres > 1 {
                region_bandwidth
            } else {
                f64::INFINITY
            },
            host: f64::INFINITY,
        };
        chunk::min_broadcast_time(self.weight_bytes() as u64, bandwidth).as_secs_f64()
    }

    fn weight_bytes(&self) -> usize {
        self.mib * MIB as usize
    }

    fn print(&self, label: &str, summary: &Summary, bound: f64) {
        println!(
            "way={label} seconds={:.2} ratio={:.2} origin_copies={:.2} host_copies_max={:.2} \
             thin_copies_max={:.2} cpu_seconds={:.1}",
            summary.seconds,
            summary.seconds / bound,
            summary.origin_copies,
            summary.max_host_copies,
            summary.max_region_copies,
            summary.cpu_seconds
        );
    }

    fn options(&self, distribution_policy: Policy) -> Options {
        let data_centres = (0..self.data_centres).map(|number| {
            let region = number % MAX_REGIONS;
            (
                format!("dc-{number}").into(),
                format!("region-{region}").into(),
            )
        });
        let mut options = Options {
            data_centres: data_centres.collect(),
            region_bandwidth: Some(bytes_per_second(self.thin_mbit)),
            origin_bandwidth: bytes_per_second(self.origin_mbit),
            distribution_policy,
            seed: self.seed,
            ..Options::default()
        };
        options.timing.heartbeat_interval = Duration::from_millis(500);
        options.timing.silence_timeout = Duration::from_secs(3);
        options.timing.call_timeout = Duration::from_secs(5);
        options
    }

    async fn build(&self, policy: Policy) -> Result<Cluster> {
        let options = self.options(policy);
        let data_centres = options.data_centres.clone();
        let mut cluster = Cluster::open(options).await?;
        for number in 0..self.replicas {
            let (data_centre, _) = &data_centres[number % data_centres.len()];
            let host = format!("drafting-{number:04}");
            let behaviour = Behaviour::default();
            cluster
                .add_backend_host(
                    &host,
                    data_centre,
                    "drafting",
                    Kind::Engine,
                    behaviour,
                    |_| {},
                )
                .await?;
        }
        Ok(cluster)
    }

    /// Measures one roll-out with a distribution policy.
    async fn measure(&self, policy: Policy) -> Result<Summary> {
        let mut cluster = self.build(policy).await?;
        self.wait_until_connected(&cluster, policy).await?;
        let chunk_bytes = self.chunk_kib * 1024;
        let data_centres = cluster.options.data_centres.clone();
        let data_centres: Vec<(&str, &str)> = data_centres
            .iter()
            .map(|(name, region)| (&**name, &**region))
            .collect();
        let store = cluster.store.clone();
        let version_bundle = |version: &str, seed| {
            let size = self.weight_bytes();
            let base = bundle::artifact(&store, "base", size, chunk_bytes, seed);
            let services = vec![bundle::service("drafting", &["base"], &["/generate"], 50)];
            bundle::bundle(version, vec![base], services, &data_centres)
        };
        let first = version_bundle("v1", self.seed);
        let cpu_before = sample::cpu();
        let mut started = Instant::now();
        cluster.roll_out(first);
        let mut sent_before = 0;
        if let Some(second_ms) = self.second_ms {
            let second = version_bundle("v2", self.seed + 1);
            time::sleep(Duration::from_millis(second_ms)).await;
            sent_before = cluster.store.bytes_sent().0;
            started = Instant::now();
            cluster.roll_out(second);
        }
        if self.faults {
            self.inject_faults(&mut cluster).await?;
        }
        let printed_second = Cell::new(0);
        let replica_counts = RefCell::new(vec![(0.0, 0)]);
        let elapsed = cluster
            .wait_until(ROLLOUT_TIMEOUT, |c| {
                let second = started.elapsed().as_secs();
                if second > printed_second.replace(second) {
                    self.print_progress(c, second);
                }
                let count = complete_count(c, self.measured_version());
                let mut replica_counts = replica_counts.borrow_mut();
                if replica_counts
                    .last()
                    .is_some_and(|(_, last_count)| *last_count != count)
                {
                    replica_counts.push((started.elapsed().as_secs_f64(), count));
                }
                c.all_serve(self.measured_version())
            })
            .await;
        if let (Some(file), Policy::Exchange) = (&self.plot, policy) {
            crate::plot::draw_replicas(file, &replica_counts.borrow(), self.bound_seconds())?;
        }
        if elapsed.is_none() {
            self.print_incomplete(&cluster);
            cluster.close().await;
            bail!(
                "not all engines serve {} after {} s",
                self.measured_version(),
                ROLLOUT_TIMEOUT.as_secs()
            );
        }
        self.print_sums(&cluster);
        let mut summary = self.summarize(&cluster);
        summary.copies_before = sent_before as f64 / self.weight_bytes() as f64;
        summary.seconds = started.elapsed().as_secs_f64();
        summary.cpu_seconds = (sample::cpu() - cpu_before).as_secs_f64();
        cluster.close().await;
        Ok(summary)
    }

    /// Waits until every agent knows all others.
    async fn wait_until_connected(&self, cluster: &Cluster, policy: Policy) -> Result<()> {
        let connected = |c: &Cluster| {
            c.backend_hosts.values().all(|host| {
                let shared = host.agent.as_ref().map(|a| a.shared());
                shared.is_some_and(|s| {
                    let config = s.config.lock().expect("lock is not poisoned");
                    config.members.len() == self.replicas
                })
            })
        };
        let Some(elapsed) = cluster.wait_until(CONNECT_TIMEOUT, connected).await else {
            bail!(
                "not all agents know each other after {} s",
                CONNECT_TIMEOUT.as_secs()
            );
        };
        println!(
            "connected way={policy:?} seconds={:.2}",
            elapsed.as_secs_f64()
        );
        Ok(())
    }

    fn summarize(&self, cluster: &Cluster) -> Summary {
        let size = self.weight_bytes() as f64;
        let mut summary = Summary {
            origin_copies: cluster.store.bytes_sent().0 as f64 / size,
            ..Summary::default()
        };
        for host in cluster.backend_hosts.values() {
            let counters = host.engine.counters();
            summary.partial_loads += counters.partial_loads;
            summary.version_changes += counters.version_changes;
            let Some(agent) = &host.agent else {
                continue;
            };
            let metrics = &agent.shared().metrics;
            let bytes = metrics.bytes_from_peers.get()
                + metrics.bytes_from_origin.get()
                + metrics.bytes_sent.get();
            summary.max_host_copies = summary.max_host_copies.max(bytes as f64 / size);
        }
        for (_, name) in &cluster.options.data_centres {
            if let Some(region) = cluster.network.region(name) {
                let max_bytes = region.uplink.bytes_sent().max(region.downlink.bytes_sent()) as f64;
                summary.max_region_copies = summary.max_region_copies.max(max_bytes / size);
            }
        }
        summary
    }

    /// Prints how many replicas are complete, and how many copies the origin and the agents have sent
    /// to other regions.
    fn print_progress(&self, cluster: &Cluster, second: u64) {
        let size = self.weight_bytes() as f64;
        let agents = cluster
            .backend_hosts
            .values()
            .filter_map(|h| h.agent.as_ref());
        let cross_region_bytes: u64 = agents
            .map(|a| a.shared().metrics.bytes_sent_cross_region.get())
            .sum();
        println!(
            "progress second={second} complete={} origin_far={:.2} traded={:.2}",
            complete_count(cluster, self.measured_version()),
            cluster.store.bytes_sent().1 as f64 / size,
            cross_region_bytes as f64 / size
        );
    }

    /// Prints sums over all agents: copies sent to other regions, and failed fetches by reason.
    fn print_sums(&self, cluster: &Cluster) {
        const REASONS: [&str; 10] = [
            "limited",
            "missing",
            "busy",
            "broken",
            "stalled",
            "unreachable",
            "corrupt",
            "origin",
            "quota",
            "unknown_peer",
        ];
        let agents = cluster
            .backend_hosts
            .values()
            .filter_map(|h| h.agent.as_ref());
        let shared: Vec<_> = agents.map(|agent| agent.shared()).collect();
        let cross_region_bytes: u64 = shared
            .iter()
            .map(|s| s.metrics.bytes_sent_cross_region.get())
            .sum();
        let mut line = format!(
            "sums far_copies={:.2}",
            cross_region_bytes as f64 / self.weight_bytes() as f64
        );
        for reason in REASONS {
            let label = Reason {
                reason: reason.to_owned(),
            };
            let counts = shared
                .iter()
                .map(|s| s.metrics.fetch_failed.get_or_create(&label).get());
            let count: u64 = counts.sum();
            if count > 0 {
                line.push_str(&format!(" {reason}={count}"));
            }
        }
        println!("{line}");
    }

    /// Prints the state of each agent whose engine does not serve the version.
    fn print_incomplete(&self, cluster: &Cluster) {
        for (host, backend_host) in &cluster.backend_hosts {
            if let Some(agent) = &backend_host.agent {
                let load = agent.shared().load();
                if load.serving != self.measured_version() {
                    println!("stuck host={host} load={load:?}");
                }
            }
        }
    }

    /// Injects corrupt, throttled and stalled chunks, a partitioned region, and agents that are killed
    /// and started again.
    async fn inject_faults(&self, cluster: &mut Cluster) -> Result<()> {
        cluster.store.set_faults(jayspread_fakes::store::Faults {
            corruption_rate: 0.02,
            throttling_rate: 0.05,
            stall_rate: 0.01,
            down: false,
        });
        let hosts: Vec<Box<str>> = cluster.backend_hosts.keys().cloned().collect();
        let killed_hosts = [
            hosts[hosts.len() / 3].clone(),
            hosts[hosts.len() / 2].clone(),
        ];
        time::sleep(Duration::from_millis(1500)).await;
        for host in &killed_hosts {
            cluster.kill_agent(host).await;
        }
        let region = cluster
            .options
            .data_centres
            .last()
            .map(|(_, region)| region.clone());
        let region = region.unwrap_or_default();
        time::sleep(Duration::from_millis(500)).await;
        cluster.network.set_partitioned(&region, true);
        time::sleep(Duration::from_millis(800)).await;
        cluster.network.set_partitioned(&region, false);
        for host in &killed_hosts {
            cluster.start_agent(host).await?;
        }
        println!("faults killed={} cut={region}", killed_hosts.len());
        Ok(())
    }
}

/// Number of backend servers that serve a version.
fn complete_count(cluster: &Cluster, version: &str) -> usize {
    let agents = cluster
        .backend_hosts
        .values()
        .filter_map(|h| h.agent.as_ref());
    agents
        .filter(|agent| agent.shared().load().serving == version)
        .count()
}

/// Converts megabits per second to bytes per second.
fn bytes_per_second(mbit: f64) -> f64 {
    mbit * 1e6 / 8.0
}
