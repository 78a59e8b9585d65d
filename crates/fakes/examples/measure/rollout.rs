//! Time to N replicas, beside the lower bound and a baseline.

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

/// Longest roll-out measured.
const ROLLOUT_MAX: Duration = Duration::from_secs(240);
/// Longest wait for the processes to know each other.
const CONNECT_MAX: Duration = Duration::from_secs(60);
/// Regions that data centres are spread over at most.
const REGIONS_MAX: usize = 6;

/// Time to N replicas and bytes over each link.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Rollout {
    /// Backend servers.
    #[arg(long, default_value_t = 48)]
    replicas: usize,
    /// Data centres, each in its own region up to six.
    #[arg(long, default_value_t = 3)]
    data_centres: usize,
    /// Seed of the weights and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Weights, MiB.
    #[arg(long, default_value_t = 16)]
    mib: usize,
    /// Chunk size, KiB.
    #[arg(long, default_value_t = 64)]
    chunk_kib: usize,
    /// Links between regions, megabits a second each way.
    #[arg(long, default_value_t = 16.0)]
    thin_mbit: f64,
    /// Uplink of the origin, megabits a second.
    #[arg(long, default_value_t = 400.0)]
    origin_mbit: f64,
    /// Provoke faults.
    #[arg(long)]
    faults: bool,
    /// Leave the baseline out.
    #[arg(long)]
    no_baseline: bool,
    /// Draw replicas complete over time to this SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// Figures of one roll-out.
#[derive(Debug, Clone, Default)]
struct Figures {
    seconds: f64,
    origin_copies: f64,
    host_copies_max: f64,
    thin_copies_max: f64,
    partial: u64,
    mixed: u64,
    cpu_seconds: f64,
}

impl Rollout {
    /// Runs the roll-out and its baseline.
    pub async fn run(&self) -> Result<()> {
        let bytes = self.bytes() as f64;
        let thin = rate(self.thin_mbit);
        let origin = rate(self.origin_mbit);
        let region = if self.data_centres > 1 {
            thin
        } else {
            f64::INFINITY
        };
        let links = Bandwidth {
            origin,
            region,
            host: f64::INFINITY,
        };
        let bound = chunk::min_broadcast_time(bytes as u64, links).as_secs_f64();
        println!(
            "start scenario=rollout replicas={} bytes={bytes} bound_seconds={bound:.2}",
            self.replicas
        );
        let ours = self.once(Policy::Exchange).await?;
        self.print("trade", &ours, bound);
        let mut baseline_ratio = "none".to_owned();
        if !self.no_baseline {
            let baseline = self.once(Policy::SingleSeeder).await?;
            self.print("seeder", &baseline, bound);
            baseline_ratio = format!("{:.2}", baseline.seconds / bound);
        }
        println!(
            "result scenario=rollout seed={} replicas={} data_centres={} faults={} seconds={:.2} \
             bound_seconds={bound:.2} ratio={:.2} baseline_ratio={baseline_ratio} \
             origin_copies={:.2} host_copies_max={:.2} thin_copies_max={:.2} mixed={} partial={}",
            self.seed,
            self.replicas,
            self.data_centres,
            self.faults,
            ours.seconds,
            ours.seconds / bound,
            ours.origin_copies,
            ours.host_copies_max,
            ours.thin_copies_max,
            ours.mixed,
            ours.partial
        );
        Ok(())
    }

    /// Least time that the links allow, seconds.
    fn bound(&self) -> f64 {
        let thin = rate(self.thin_mbit);
        let links = Bandwidth {
            origin: rate(self.origin_mbit),
            region: if self.data_centres > 1 {
                thin
            } else {
                f64::INFINITY
            },
            host: f64::INFINITY,
        };
        chunk::min_broadcast_time(self.bytes() as u64, links).as_secs_f64()
    }

    fn bytes(&self) -> usize {
        self.mib * MIB as usize
    }

    fn print(&self, way: &str, figures: &Figures, bound: f64) {
        println!(
            "way={way} seconds={:.2} ratio={:.2} origin_copies={:.2} host_copies_max={:.2} \
             thin_copies_max={:.2} cpu_seconds={:.1}",
            figures.seconds,
            figures.seconds / bound,
            figures.origin_copies,
            figures.host_copies_max,
            figures.thin_copies_max,
            figures.cpu_seconds
        );
    }

    fn plan(&self, spreading: Policy) -> Options {
        let places = (0..self.data_centres).map(|number| {
            let region = number % REGIONS_MAX;
            (
                format!("dc-{number}").into(),
                format!("region-{region}").into(),
            )
        });
        let mut plan = Options {
            data_centres: places.collect(),
            region_bandwidth: Some(rate(self.thin_mbit)),
            origin_bandwidth: rate(self.origin_mbit),
            distribution_policy: spreading,
            seed: self.seed,
            ..Options::default()
        };
        plan.timing.heartbeat = Duration::from_millis(500);
        plan.timing.silent = Duration::from_secs(3);
        plan.timing.call = Duration::from_secs(5);
        plan
    }

    async fn build(&self, spreading: Policy) -> Result<Cluster> {
        let plan = self.plan(spreading);
        let places = plan.data_centres.clone();
        let mut cluster = Cluster::open(plan).await?;
        for number in 0..self.replicas {
            let (place, _) = &places[number % places.len()];
            let host = format!("drafting-{number:04}");
            let behaviour = Behaviour::default();
            cluster
                .add_backend_host(&host, place, "drafting", Kind::Engine, behaviour, |_| {})
                .await?;
        }
        Ok(cluster)
    }

    async fn once(&self, spreading: Policy) -> Result<Figures> {
        let mut cluster = self.build(spreading).await?;
        self.connected(&cluster, spreading).await?;
        let chunk = self.chunk_kib * 1024;
        let base = bundle::artifact(&cluster.store, "base", self.bytes(), chunk, self.seed);
        let places = cluster.options.data_centres.clone();
        let places: Vec<(&str, &str)> = places.iter().map(|(a, b)| (&**a, &**b)).collect();
        let services = vec![bundle::service("drafting", &["base"], &["/generate"], 50)];
        let raw = bundle::bundle("v1", vec![base], services, &places);
        let cpu = sample::cpu();
        let began = Instant::now();
        cluster.roll_out(raw);
        if self.faults {
            self.provoke(&mut cluster).await?;
        }
        let shown = Cell::new(0);
        let served = RefCell::new(vec![(0.0, 0)]);
        let took = cluster
            .wait_until(ROLLOUT_MAX, |c| {
                let second = began.elapsed().as_secs();
                if second > shown.replace(second) {
                    self.print_progress(c, second);
                }
                let count = complete(c);
                let mut served = served.borrow_mut();
                if served.last().is_some_and(|(_, before)| *before != count) {
                    served.push((began.elapsed().as_secs_f64(), count));
                }
                c.all_serve("v1")
            })
            .await;
        if let (Some(file), Policy::Exchange) = (&self.plot, spreading) {
            crate::plot::draw_replicas(file, &served.borrow(), self.bound())?;
        }
        if took.is_none() {
            self.stuck(&cluster);
            cluster.close().await;
            bail!(
                "v1 is not served everywhere after {} s",
                ROLLOUT_MAX.as_secs()
            );
        }
        self.print_sums(&cluster);
        let mut figures = self.figures(&cluster);
        figures.seconds = began.elapsed().as_secs_f64();
        figures.cpu_seconds = (sample::cpu() - cpu).as_secs_f64();
        cluster.close().await;
        Ok(figures)
    }

    /// Waits until all processes know each other.
    async fn connected(&self, cluster: &Cluster, spreading: Policy) -> Result<()> {
        let known = |c: &Cluster| {
            c.backend_hosts.values().all(|host| {
                let shared = host.agent.as_ref().map(|a| a.shared());
                shared.is_some_and(|s| {
                    let config = s.config.lock().expect("no panic holds the lock");
                    config.members.len() == self.replicas
                })
            })
        };
        let Some(took) = cluster.wait_until(CONNECT_MAX, known).await else {
            bail!(
                "agents do not know each other after {} s",
                CONNECT_MAX.as_secs()
            );
        };
        println!(
            "connected way={spreading:?} seconds={:.2}",
            took.as_secs_f64()
        );
        Ok(())
    }

    fn figures(&self, cluster: &Cluster) -> Figures {
        let size = self.bytes() as f64;
        let mut figures = Figures {
            origin_copies: cluster.store.bytes_sent().0 as f64 / size,
            ..Figures::default()
        };
        for host in cluster.backend_hosts.values() {
            let books = host.engine.counters();
            figures.partial += books.partial_loads;
            figures.mixed += books.version_changes;
            let Some(agent) = &host.agent else {
                continue;
            };
            let metrics = &agent.shared().metrics;
            let bytes = metrics.bytes_from_peers.get()
                + metrics.bytes_from_origin.get()
                + metrics.bytes_sent.get();
            figures.host_copies_max = figures.host_copies_max.max(bytes as f64 / size);
        }
        for (_, name) in &cluster.options.data_centres {
            if let Some(region) = cluster.network.region(name) {
                let most = region.up.bytes_sent().max(region.down.bytes_sent()) as f64;
                figures.thin_copies_max = figures.thin_copies_max.max(most / size);
            }
        }
        figures
    }

    /// Prints copies that have crossed the thin links, by who sent them.
    fn print_progress(&self, cluster: &Cluster, second: u64) {
        let size = self.bytes() as f64;
        let agents = cluster
            .backend_hosts
            .values()
            .filter_map(|h| h.agent.as_ref());
        let far: u64 = agents
            .map(|a| a.shared().metrics.bytes_sent_cross_region.get())
            .sum();
        println!(
            "progress second={second} complete={} origin_far={:.2} traded={:.2}",
            complete(cluster),
            cluster.store.bytes_sent().1 as f64 / size,
            far as f64 / size
        );
    }

    /// Prints sums over all agents: copies sent to other regions, and failed requests by reason.
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
        let far: u64 = shared
            .iter()
            .map(|s| s.metrics.bytes_sent_cross_region.get())
            .sum();
        let mut line = format!("sums far_copies={:.2}", far as f64 / self.bytes() as f64);
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

    fn stuck(&self, cluster: &Cluster) {
        for (host, at) in &cluster.backend_hosts {
            if let Some(agent) = &at.agent {
                let load = agent.shared().load();
                if load.serving != "v1" {
                    println!("stuck host={host} load={load:?}");
                }
            }
        }
    }

    /// Corrupt chunks, rate limits, stalls, a cut region, and hosts that die and come back.
    async fn provoke(&self, cluster: &mut Cluster) -> Result<()> {
        cluster.store.set_faults(jayspread_fakes::store::Faults {
            corruption_rate: 0.02,
            throttling_rate: 0.05,
            stall_rate: 0.01,
            down: false,
        });
        let hosts: Vec<Box<str>> = cluster.backend_hosts.keys().cloned().collect();
        let victims = [
            hosts[hosts.len() / 3].clone(),
            hosts[hosts.len() / 2].clone(),
        ];
        time::sleep(Duration::from_millis(1500)).await;
        for victim in &victims {
            cluster.kill_agent(victim).await;
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
        for victim in &victims {
            cluster.start_agent(victim).await?;
        }
        println!("faults killed={} cut={region}", victims.len());
        Ok(())
    }
}

/// Backend servers that serve the version.
fn complete(cluster: &Cluster) -> usize {
    let agents = cluster
        .backend_hosts
        .values()
        .filter_map(|h| h.agent.as_ref());
    agents
        .filter(|agent| agent.shared().load().serving == "v1")
        .count()
}

/// Bytes a second of a rate in megabits a second.
fn rate(mbit: f64) -> f64 {
    mbit * 1e6 / 8.0
}
