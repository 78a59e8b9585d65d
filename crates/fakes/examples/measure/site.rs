//! A small site for measurements under load.

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

/// Longest wait for the site to serve.
const READY_MAX: Duration = Duration::from_secs(60);
/// Largest latency recorded, microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Size of the weights, bytes.
const WEIGHTS: usize = 256 * 1024;
/// Size of a chunk, bytes.
const CHUNK: usize = 64 * 1024;

/// Hosts of one service in every data centre.
pub struct Pool {
    /// Service.
    pub service: &'static str,
    /// Backend servers in each data centre.
    pub each: usize,
    /// Kind of the backend servers.
    pub kind: Kind,
    /// Behaviour of the stand-ins.
    pub behaviour: Behaviour,
}

/// Starts a site of these pools, rolls v1 and waits until it serves.
pub async fn open(
    plan: Options,
    pools: &[Pool],
    change: impl Fn(&mut settings::Agent),
) -> Result<Cluster> {
    let places = plan.data_centres.clone();
    let mut cluster = Cluster::open(plan).await?;
    for pool in pools {
        for (place, _) in &places {
            for number in 0..pool.each {
                let host = format!("{}-{place}-{number}", pool.service);
                let behaviour = pool.behaviour;
                cluster
                    .add_backend_host(&host, place, pool.service, pool.kind, behaviour, &change)
                    .await?;
            }
        }
    }
    let base = bundle::artifact(&cluster.store, "base", WEIGHTS, CHUNK, 1);
    let services = pools.iter().map(|pool| {
        let artifacts: &[&str] = if pool.kind == Kind::Engine {
            &["base"]
        } else {
            &[]
        };
        bundle::service(pool.service, artifacts, &["/generate", "/status"], 50)
    });
    let names: Vec<(&str, &str)> = places.iter().map(|(a, b)| (&**a, &**b)).collect();
    let raw = bundle::bundle("v1", vec![base], services.collect(), &names);
    cluster.roll_out(raw);
    let usable = |c: &Cluster| {
        c.all_serve("v1")
            && c.entries.values().all(|entry| {
                let backends = entry.shared().slots.backends();
                backends.len() == c.backend_hosts.len() && backends.values().all(|b| b.alive)
            })
    };
    if cluster.wait_until(READY_MAX, usable).await.is_none() {
        bail!("the site does not serve after {} s", READY_MAX.as_secs());
    }
    time::sleep(Duration::from_millis(500)).await;
    Ok(cluster)
}

/// A prompt of a measurement.
pub fn prompt(text: String, tokens: usize, stream: bool) -> Prompt {
    Prompt {
        prompt: text,
        tokens,
        stream,
    }
}

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, 3).expect("three digits fit")
}

/// Microseconds of a duration, at least one.
pub fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).clamp(1, LATENCY_MAX_US)
}
