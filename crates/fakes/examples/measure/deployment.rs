//! A small deployment for measurements under load.

use {
    eyre::{Result, bail},
    hdrhistogram::Histogram,
    jayspread_fakes::{
        bundle,
        cluster::{Cluster, Options},
        engine::{Behaviour, Prompt},
    },
    jayspread_schema::settings::{self, Kind},
    std::time::Duration,
    tokio::time,
};

/// Timeout for the deployment to serve the first version.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest latency that can be recorded, microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Size of the weights, bytes.
const WEIGHT_BYTES: usize = 256 * 1024;
/// Size of a chunk, bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Backend servers of one service, the same number in every data centre.
pub struct Pool {
    /// Name of the service.
    pub service: &'static str,
    /// Number of backend servers in each data centre.
    pub servers_per_data_centre: usize,
    /// Kind of the backend servers.
    pub kind: Kind,
    /// Behaviour of the fake backend servers.
    pub behaviour: Behaviour,
}

/// Starts a deployment, rolls out version v1 and waits until every entry host can use every
/// backend server. `change` adjusts the settings of each agent.
pub async fn open(
    options: Options,
    pools: &[Pool],
    change: impl Fn(&mut settings::Agent),
) -> Result<Cluster> {
    let data_centres = options.data_centres.clone();
    let mut cluster = Cluster::open(options).await?;
    for pool in pools {
        for (data_centre, _) in &data_centres {
            for number in 0..pool.servers_per_data_centre {
                let host = format!("{}-{data_centre}-{number}", pool.service);
                let behaviour = pool.behaviour;
                cluster
                    .add_backend_host(
                        &host,
                        data_centre,
                        pool.service,
                        pool.kind,
                        behaviour,
                        &change,
                    )
                    .await?;
            }
        }
    }
    let base = bundle::artifact(&cluster.store, "base", WEIGHT_BYTES, CHUNK_BYTES, 1);
    let services = pools.iter().map(|pool| {
        let artifacts: &[&str] = if pool.kind == Kind::Engine {
            &["base"]
        } else {
            &[]
        };
        bundle::service(pool.service, artifacts, &["/generate", "/status"], 50)
    });
    let data_centres: Vec<(&str, &str)> = data_centres
        .iter()
        .map(|(name, region)| (&**name, &**region))
        .collect();
    let bundle = bundle::bundle("v1", vec![base], services.collect(), &data_centres);
    cluster.roll_out(bundle);
    let ready = |c: &Cluster| {
        c.all_serve("v1")
            && c.entries.values().all(|entry| {
                let backends = entry.shared().slots.backends();
                backends.len() == c.backend_hosts.len() && backends.values().all(|b| b.alive)
            })
    };
    if cluster.wait_until(READY_TIMEOUT, ready).await.is_none() {
        bail!(
            "the deployment does not serve v1 after {} s",
            READY_TIMEOUT.as_secs()
        );
    }
    time::sleep(Duration::from_millis(500)).await;
    Ok(cluster)
}

/// A request for `tokens` tokens, streamed or as a whole.
pub fn prompt(text: String, tokens: usize, stream: bool) -> Prompt {
    Prompt {
        prompt: text,
        tokens,
        stream,
    }
}

/// An empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("three significant digits are valid")
}

/// Converts a duration to microseconds within the range of the histogram.
pub fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).clamp(1, MAX_LATENCY_US)
}
