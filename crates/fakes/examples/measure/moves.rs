//! Service while a data centre leaves and returns.

use {
    crate::{
        load::{Load, Phase},
        site::{self, Pool},
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

/// Data centre that moves.
const PLACE: &str = "erongo-a";
/// Time within which it must get no new work.
const NO_NEW_WORK_MAX: f64 = 3.0;

/// Service while a data centre leaves and returns.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Move {
    /// Requests a second.
    #[arg(long, default_value_t = 300)]
    rate: u64,
    /// Seconds before, during and after.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Time in which an answer counts, milliseconds.
    #[arg(long, default_value_t = 1000)]
    in_time_ms: u64,
    /// Draw answers in time to this SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<std::path::PathBuf>,
}

impl Move {
    /// Runs the move under load.
    pub async fn run(&self) -> Result<()> {
        let behaviour = Behaviour {
            time_to_first_token: Duration::from_millis(20),
            ..Behaviour::default()
        };
        let pools = [Pool {
            service: "drafting",
            each: 4,
            kind: Kind::Engine,
            behaviour,
        }];
        let cluster = site::open(Options::default(), &pools, |settings| {
            settings.backend = Backend {
                concurrency: 16,
                cold_concurrency: 4,
                warm: Duration::from_secs(1),
                ..settings.backend.clone()
            };
        })
        .await?;
        let in_time = Duration::from_millis(self.in_time_ms);
        let load = Load::start(cluster.caller_addresses(), self.rate, in_time);
        let span = Duration::from_secs(self.seconds);
        time::sleep(span).await;
        load.enter(Phase::During);
        cluster.append_change(Change::DataCentreOut(PLACE.to_owned()));
        let no_new_work = self.watch(&cluster, span).await;
        load.enter(Phase::After);
        cluster.append_change(Change::DataCentreIn(PLACE.to_owned()));
        let began = begun(&cluster);
        let returned = cluster.wait_until(span, |c| begun(c) > began).await;
        time::sleep(span).await;
        let figures = load.stop().await;
        if let Some(file) = &self.plot {
            crate::plot::shares(file, &figures.seconds, self.seconds)?;
        }
        let [before, during, after] = figures.shares;
        println!(
            "result scenario=move rate={} in_time_before={before:.4} in_time_during={during:.4} \
             in_time_after={after:.4} seconds_to_no_new_work={no_new_work:.3} \
             seconds_to_return={:.3} cut_off={} refused={} p99_ms={:.1}",
            self.rate,
            returned.map_or(f64::NAN, |r| r.as_secs_f64()),
            figures.cut_off,
            figures.refused,
            figures.p99_ms
        );
        cluster.close().await;
        ensure!(no_new_work < NO_NEW_WORK_MAX, "new work came too long");
        ensure!(figures.cut_off == 0, "answers were cut off");
        Ok(())
    }

    /// Seconds until the last new work at the data centre.
    async fn watch(&self, cluster: &Cluster, span: Duration) -> f64 {
        let out = Instant::now();
        let mut last = begun(cluster);
        let mut stopped = 0.0;
        while out.elapsed() < span {
            let now = begun(cluster);
            if now != last {
                stopped = out.elapsed().as_secs_f64();
            }
            last = now;
            time::sleep(Duration::from_millis(5)).await;
        }
        stopped
    }
}

fn begun(cluster: &Cluster) -> u64 {
    let hosts = cluster.backend_hosts.values();
    let there = hosts.filter(|h| *h.settings.place.data_centre == *PLACE);
    there.map(|h| h.engine.counters().requests_started).sum()
}
