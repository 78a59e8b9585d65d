//! Latency that jayspread adds to a request and to a streamed token, compared with direct calls to
//! the engine.

use {
    crate::{
        deployment::{self, Pool, histogram, micros},
        sample,
    },
    clap::Args,
    eyre::Result,
    hdrhistogram::Histogram,
    http::{HeaderMap, HeaderValue, Method, header},
    http_body_util::BodyExt,
    jayspread_fakes::{cluster::Options, engine::Behaviour},
    jayspread_net::http::Client,
    jayspread_schema::settings::{Backend, Kind},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens in a streamed answer.
const TOKENS: usize = 50;

/// Latency that jayspread adds to a request and to a streamed token.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Overhead {
    /// Requests per second; a tenth of it for streams.
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// Duration of each part, seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of concurrent callers in the throughput part.
    #[arg(long, default_value_t = 32)]
    callers: usize,
}

#[derive(Clone, Copy)]
enum ResponseKind {
    Complete,
    Stream,
}

impl Overhead {
    /// Runs all parts.
    pub async fn run(&self) -> Result<()> {
        let behaviour = Behaviour {
            time_to_first_token: Duration::from_millis(5),
            token_interval: Duration::from_millis(2),
            ..Behaviour::default()
        };
        let options = Options {
            data_centres: vec![("khomas-a".into(), "khomas".into())],
            ..Options::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 4,
            kind: Kind::Engine,
            behaviour,
        }];
        let cluster = deployment::open(options, &pools, |settings| {
            settings.backend = Backend {
                concurrency: 256,
                cold_concurrency: 256,
                ..settings.backend.clone()
            };
        })
        .await?;
        let engine = cluster
            .backend_hosts
            .values()
            .next()
            .map(|h| h.settings.backend.address);
        let engine = engine.expect("the deployment has engines");
        let entry = cluster.caller_addresses()[0];
        let direct = self
            .call_at_rate(engine, "/generate", ResponseKind::Complete)
            .await;
        let proxied = self
            .call_at_rate(entry, "/v1/drafting/generate", ResponseKind::Complete)
            .await;
        let direct_tokens = self
            .call_at_rate(engine, "/generate", ResponseKind::Stream)
            .await;
        let proxied_tokens = self
            .call_at_rate(entry, "/v1/drafting/generate", ResponseKind::Stream)
            .await;
        for host in cluster.backend_hosts.values() {
            host.engine.update_behaviour(|behaviour| {
                behaviour.time_to_first_token = Duration::ZERO;
                behaviour.token_interval = Duration::ZERO;
            });
        }
        let (requests_per_second, requests_per_cpu_second) = self.throughput(entry).await;
        let added = |quantile: f64| difference(&proxied, &direct, quantile);
        println!(
            "result scenario=overhead rate={} direct_p50_us={} through_p50_us={} \
             added_p50_us={} added_p99_us={} added_per_token_p50_us={} added_per_token_p99_us={} \
             requests_per_second={requests_per_second:.0} requests_per_second_per_core={requests_per_cpu_second:.0}",
            self.rate,
            direct.value_at_quantile(0.5),
            proxied.value_at_quantile(0.5),
            added(0.5),
            added(0.99),
            difference(&proxied_tokens, &direct_tokens, 0.5),
            difference(&proxied_tokens, &direct_tokens, 0.99),
        );
        cluster.close().await;
        Ok(())
    }

    /// Sends requests at a steady rate. Returns the latencies, or for streams the times between tokens.
    async fn call_at_rate(
        &self,
        address: SocketAddr,
        path: &str,
        kind: ResponseKind,
    ) -> Histogram<u64> {
        let client = Client::new(address, CALL_TIMEOUT);
        let rate = match kind {
            ResponseKind::Complete => self.rate,
            ResponseKind::Stream => (self.rate / 10).max(1),
        };
        let mut interval = time::interval(Duration::from_secs_f64(1.0 / rate as f64));
        let mut tasks = Vec::new();
        for number in 0..rate * self.seconds {
            interval.tick().await;
            let client = client.clone();
            let path = path.to_owned();
            tasks.push(tokio::spawn(async move {
                call(client, path, kind, number).await
            }));
        }
        let mut latencies = histogram();
        for task in tasks {
            for sample in task.await.unwrap_or_default() {
                latencies.record(sample).expect("samples are clamped");
            }
        }
        latencies
    }

    /// Sends requests from all callers without pauses. Returns requests per second, and per second of
    /// CPU time, which includes the engines and callers, as they run in the same process.
    async fn throughput(&self, address: SocketAddr) -> (f64, f64) {
        let started = Instant::now();
        let cpu_before = sample::cpu();
        let end = started + Duration::from_secs(self.seconds);
        let tasks = (0..self.callers).map(|number| {
            let client = Client::new(address, CALL_TIMEOUT);
            tokio::spawn(async move {
                let mut count = 0;
                while Instant::now() < end {
                    let path = "/v1/drafting/generate".to_owned();
                    let samples =
                        call(client.clone(), path, ResponseKind::Complete, number as u64).await;
                    count += samples.len() as u64;
                }
                count
            })
        });
        let mut total = 0;
        for task in tasks.collect::<Vec<_>>() {
            total += task.await.unwrap_or(0);
        }
        let cpu_seconds = (sample::cpu() - cpu_before).as_secs_f64();
        (
            total as f64 / started.elapsed().as_secs_f64(),
            total as f64 / cpu_seconds,
        )
    }
}

/// Difference of the quantiles of two histograms, microseconds.
fn difference(proxied: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> i64 {
    proxied.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
}

/// Sends one request. Returns its latency, or for a stream the times between its tokens, in
/// microseconds; nothing if the request fails.
async fn call(client: Client, path: String, kind: ResponseKind, number: u64) -> Vec<u64> {
    let tokens = match kind {
        ResponseKind::Complete => 1,
        ResponseKind::Stream => TOKENS,
    };
    let stream = matches!(kind, ResponseKind::Stream);
    let prompt = deployment::prompt(format!("prompt {number}"), tokens, stream);
    let body = serde_json::to_vec(&prompt).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let started = Instant::now();
    let Ok(response) = client.send(Method::POST, &path, headers, body.into()).await else {
        return Vec::new();
    };
    if !response.status().is_success() {
        return Vec::new();
    }
    let mut incoming = response.into_body();
    let mut samples = Vec::new();
    let mut last_token_at = None;
    while let Some(Ok(frame)) = incoming.frame().await {
        if frame.is_data()
            && let Some(previous) = last_token_at.replace(Instant::now())
        {
            samples.push(micros(previous.elapsed()));
        }
    }
    match kind {
        ResponseKind::Complete => vec![micros(started.elapsed())],
        ResponseKind::Stream => samples,
    }
}
