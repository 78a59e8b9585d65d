//! Requests answered in time while a data centre is drained and put back into service.

use {
    crate::{
        deployment::{self, Pool},
        load::{Load, Phase},
    },
    clap::Args,
    eyre::{Result, ensure},
    jayspread_fakes::{
        cluster::{Cluster, Options},
        engine::Behaviour,
    },
    jayspread_schema::{
        config::change::Kind as Change,
        settings::{Backend, Kind},
    },
    std::time::{Duration, Instant},
    tokio::time,
};

/// Data centre that is drained.
const DATA_CENTRE: &str = "erongo-a";
/// Seconds after which a drained data centre must not get new requests.
const DRAIN_LIMIT_S: f64 = 3.0;

/// Requests answered in time while a data centre is drained and put back into service.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Move {
    /// Requests per second.
    #[arg(long, default_value_t = 300)]
    rate: u64,
    /// Duration of each of the three phases, seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Latency up to which an answer counts as in time, milliseconds.
    #[arg(long, default_value_t = 1000)]
    in_time_ms: u64,
    /// Write a chart of the answers in time to this SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<std::path::PathBuf>,
}

impl Move {
    /// Drains the data centre and puts it back into service under load.
    pub async fn run(&self) -> Result<()> {
        let behaviour = Behaviour {
            time_to_first_token: Duration::from_millis(20),
            ..Behaviour::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 4,
            kind: Kind::Engine,
            behaviour,
        }];
        let cluster = deployment::open(Options::default(), &pools, |settings| {
            settings.backend = Backend {
                concurrency: 16,
                cold_concurrency: 4,
                warm_up: Duration::from_secs(1),
                ..settings.backend.clone()
            };
        })
        .await?;
        let in_time = Duration::from_millis(self.in_time_ms);
        let load = Load::start(cluster.caller_addresses(), self.rate, in_time);
        let phase_time = Duration::from_secs(self.seconds);
        time::sleep(phase_time).await;
        load.enter(Phase::During);
        cluster.append_change(Change::DataCentreOut(DATA_CENTRE.to_owned()));
        let drain_seconds = self.last_request_after(&cluster, phase_time).await;
        load.enter(Phase::After);
        cluster.append_change(Change::DataCentreIn(DATA_CENTRE.to_owned()));
        let count_before = requests_started(&cluster);
        let return_time = cluster
            .wait_until(phase_time, |c| requests_started(c) > count_before)
            .await;
        time::sleep(phase_time).await;
        let summary = load.stop().await;
        if let Some(file) = &self.plot {
            crate::plot::draw_shares(file, &summary.seconds, self.seconds)?;
        }
        let [before, during, after] = summary.shares;
        println!(
            "result scenario=move rate={} in_time_before={before:.4} in_time_during={during:.4} \
             in_time_after={after:.4} seconds_to_no_new_work={drain_seconds:.3} \
             seconds_to_return={:.3} cut_off={} refused={} p99_ms={:.1}",
            self.rate,
            return_time.map_or(f64::NAN, |time| time.as_secs_f64()),
            summary.cut_off,
            summary.refused,
            summary.p99_ms
        );
        cluster.close().await;
        ensure!(
            drain_seconds < DRAIN_LIMIT_S,
            "the drained data centre got new requests for too long"
        );
        ensure!(summary.cut_off == 0, "answers were cut off");
        Ok(())
    }

    /// Seconds until the data centre got its last new request, watched for `phase_time`.
    async fn last_request_after(&self, cluster: &Cluster, phase_time: Duration) -> f64 {
        let drain_started = Instant::now();
        let mut last_count = requests_started(cluster);
        let mut last_request_after = 0.0;
        while drain_started.elapsed() < phase_time {
            let count = requests_started(cluster);
            if count != last_count {
                last_request_after = drain_started.elapsed().as_secs_f64();
            }
            last_count = count;
            time::sleep(Duration::from_millis(5)).await;
        }
        last_request_after
    }
}

/// Requests started by the engines of the data centre.
fn requests_started(cluster: &Cluster) -> u64 {
    let hosts = cluster.backend_hosts.values();
    let local_hosts = hosts.filter(|h| *h.settings.place.data_centre == *DATA_CENTRE);
    local_hosts
        .map(|h| h.engine.counters().requests_started)
        .sum()
}
