//! What the path adds to a request and to a streamed token, against calling the engine directly.

use {
    crate::{
        sample,
        site::{self, Pool, histogram, micros},
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

/// Deadline of one call.
const CALL_MAX: Duration = Duration::from_secs(30);
/// Tokens of a streamed answer.
const TOKENS: usize = 50;

/// What the path adds to a request and to a token.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Overhead {
    /// Requests a second in all.
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// Seconds of each part.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Callers in the throughput part.
    #[arg(long, default_value_t = 32)]
    callers: usize,
}

#[derive(Clone, Copy)]
enum Shape {
    Plain,
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
        let plan = Options {
            data_centres: vec![("khomas-a".into(), "khomas".into())],
            ..Options::default()
        };
        let pools = [Pool {
            service: "drafting",
            servers_per_data_centre: 4,
            kind: Kind::Engine,
            behaviour,
        }];
        let cluster = site::open(plan, &pools, |settings| {
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
        let engine = engine.expect("the site has engines");
        let entry = cluster.caller_addresses()[0];
        let direct = self.paced(engine, "/generate", Shape::Plain).await;
        let through = self
            .paced(entry, "/v1/drafting/generate", Shape::Plain)
            .await;
        let direct_tokens = self.paced(engine, "/generate", Shape::Stream).await;
        let through_tokens = self
            .paced(entry, "/v1/drafting/generate", Shape::Stream)
            .await;
        for at in cluster.backend_hosts.values() {
            at.engine.update_behaviour(|b| {
                b.time_to_first_token = Duration::ZERO;
                b.token_interval = Duration::ZERO;
            });
        }
        let (rate, per_core) = self.throughput(entry).await;
        let added = |q: f64| gap(&through, &direct, q);
        println!(
            "result scenario=overhead rate={} direct_p50_us={} through_p50_us={} \
             added_p50_us={} added_p99_us={} added_per_token_p50_us={} added_per_token_p99_us={} \
             requests_per_second={rate:.0} requests_per_second_per_core={per_core:.0}",
            self.rate,
            direct.value_at_quantile(0.5),
            through.value_at_quantile(0.5),
            added(0.5),
            added(0.99),
            gap(&through_tokens, &direct_tokens, 0.5),
            gap(&through_tokens, &direct_tokens, 0.99),
        );
        cluster.close().await;
        Ok(())
    }

    /// Sends at a steady rate; gives whole latencies, or gaps between tokens of streams.
    async fn paced(&self, address: SocketAddr, path: &str, shape: Shape) -> Histogram<u64> {
        let client = Client::new(address, CALL_MAX);
        let rate = match shape {
            Shape::Plain => self.rate,
            Shape::Stream => (self.rate / 10).max(1),
        };
        let mut interval = time::interval(Duration::from_secs_f64(1.0 / rate as f64));
        let mut tasks = Vec::new();
        for number in 0..rate * self.seconds {
            interval.tick().await;
            let client = client.clone();
            let path = path.to_owned();
            tasks.push(tokio::spawn(async move {
                call(client, path, shape, number).await
            }));
        }
        let mut all = histogram();
        for task in tasks {
            for sample in task.await.unwrap_or_default() {
                all.record(sample).expect("samples are clamped");
            }
        }
        all
    }

    /// Callers without a pause; requests a second, and a second of processor time. The engines and
    /// callers run in the same process and are counted too.
    async fn throughput(&self, address: SocketAddr) -> (f64, f64) {
        let began = Instant::now();
        let cpu = sample::cpu();
        let due = began + Duration::from_secs(self.seconds);
        let tasks = (0..self.callers).map(|number| {
            let client = Client::new(address, CALL_MAX);
            tokio::spawn(async move {
                let mut count = 0;
                while Instant::now() < due {
                    let path = "/v1/drafting/generate".to_owned();
                    let done = call(client.clone(), path, Shape::Plain, number as u64).await;
                    count += done.len() as u64;
                }
                count
            })
        });
        let mut total = 0;
        for task in tasks.collect::<Vec<_>>() {
            total += task.await.unwrap_or(0);
        }
        let spent = (sample::cpu() - cpu).as_secs_f64();
        (
            total as f64 / began.elapsed().as_secs_f64(),
            total as f64 / spent,
        )
    }
}

fn gap(ours: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> i64 {
    ours.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
}

async fn call(client: Client, path: String, shape: Shape, number: u64) -> Vec<u64> {
    let tokens = match shape {
        Shape::Plain => 1,
        Shape::Stream => TOKENS,
    };
    let stream = matches!(shape, Shape::Stream);
    let prompt = site::prompt(format!("prompt {number}"), tokens, stream);
    let body = serde_json::to_vec(&prompt).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let began = Instant::now();
    let Ok(response) = client.send(Method::POST, &path, headers, body.into()).await else {
        return Vec::new();
    };
    if !response.status().is_success() {
        return Vec::new();
    }
    let mut incoming = response.into_body();
    let mut samples = Vec::new();
    let mut last = None;
    while let Some(Ok(frame)) = incoming.frame().await {
        if frame.is_data()
            && let Some(last) = last.replace(Instant::now())
        {
            samples.push(micros(last.elapsed()));
        }
    }
    match shape {
        Shape::Plain => vec![micros(began.elapsed())],
        Shape::Stream => samples,
    }
}
