//! Demonstrates jayspread with a small deployment in one process on loopback.
//!
//! Exits with status 1 if a guarantee is violated.

mod load;

use {
    crate::load::Load,
    clap::Parser,
    eyre::{Report, Result, bail, ensure, eyre},
    http::Method,
    jayspread_fakes::{
        bundle,
        caller::{Caller, Request, Response},
        cluster::{Cluster, Options},
        engine::{Behaviour, Effect, Prompt},
    },
    jayspread_net::telemetry,
    jayspread_schema::{
        config::{Bundle as RawBundle, change::Kind as Change},
        settings::Kind,
    },
    std::{
        process::ExitCode,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Timeout of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the weights, bytes.
const WEIGHT_BYTES: usize = 8 * 1024 * 1024;
/// Size of a chunk, bytes.
const CHUNK_BYTES: usize = 128 * 1024;
/// Time after which a drained data centre must not get new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Demonstrates jayspread with a small deployment on loopback.
#[derive(Debug)]
#[derive(Parser)]
struct Args {
    /// Keep the deployment running after the last check and print its addresses.
    #[arg(long)]
    keep: bool,
    /// Seed of the fakes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed; the first failure ends the demo.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Log level of the processes.
    #[arg(long, default_value = "error")]
    log_level: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    telemetry::start(&args.log_level);
    for seed in (args.seed..).take(args.runs as usize) {
        if let Err(error) = run(&args, seed).await {
            println!("demo failed: seed={seed} {error:#}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

async fn run(args: &Args, seed: u64) -> Result<()> {
    let started = Instant::now();
    let mut cluster = build(seed).await?;
    print_progress(
        started,
        "platform, 3 entry hosts and 16 backend servers started",
    );
    roll_out_v1(&cluster, started).await?;
    send_requests(&cluster, started).await?;
    let load = Load::start(&cluster);
    drain_data_centre(&cluster, started).await?;
    roll_out_v2(&cluster, started).await?;
    let counts = load.stop().await;
    print_progress(started, &format!("under load: {counts}"));
    ensure!(
        counts.wrong == 0,
        "{} answers were wrong or cut off",
        counts.wrong
    );
    ensure!(counts.whole > 0, "no request was answered under load");
    check_engines(&cluster)?;
    if args.keep {
        wait_for_ctrl_c(&cluster).await;
    }
    stop_entry_host(&mut cluster, started).await?;
    let fees = effect_count(&cluster, "fee-1");
    cluster.close().await;
    println!(
        "demo ok seed={seed} seconds={:.1} whole={} refused={} wrong={} effects_applied_to_fee={fees}",
        started.elapsed().as_secs_f64(),
        counts.whole,
        counts.refused,
        counts.wrong
    );
    Ok(())
}

fn print_progress(started: Instant, message: &str) {
    println!("{:6.2}s  {message}", started.elapsed().as_secs_f64());
}

async fn build(seed: u64) -> Result<Cluster> {
    let options = Options {
        seed,
        ..Options::default()
    };
    let mut cluster = Cluster::open(options).await?;
    let data_centres = ["khomas-a", "erongo-a", "karas-a"];
    for number in 0..12 {
        let data_centre = data_centres[number % 3];
        let host = format!("drafting-{number}");
        add_host(&mut cluster, &host, data_centre, "drafting", Kind::Engine).await?;
    }
    for (number, data_centre) in data_centres.iter().enumerate() {
        let host = format!("lodgement-{number}");
        add_host(&mut cluster, &host, data_centre, "lodgement", Kind::Engine).await?;
    }
    add_host(
        &mut cluster,
        "registry-0",
        data_centres[0],
        "registry",
        Kind::Plain,
    )
    .await?;
    Ok(cluster)
}

async fn add_host(
    cluster: &mut Cluster,
    host: &str,
    data_centre: &str,
    service: &str,
    kind: Kind,
) -> Result<()> {
    let behaviour = Behaviour::default();
    cluster
        .add_backend_host(host, data_centre, service, kind, behaviour, |_| {})
        .await
}

/// Bundle of the demo; with `changed`, every tenth chunk of the base weights is new.
fn demo_bundle(cluster: &Cluster, version: &str, changed: bool) -> RawBundle {
    let differs = |index: usize| changed && index.is_multiple_of(10);
    let base = bundle::artifact_variant(
        &cluster.store,
        "base",
        WEIGHT_BYTES,
        CHUNK_BYTES,
        1,
        differs,
        2,
    );
    let small = bundle::artifact(&cluster.store, "small", WEIGHT_BYTES / 8, CHUNK_BYTES, 3);
    let services = vec![
        bundle::service("drafting", &["base"], &["/generate"], 50),
        bundle::service("lodgement", &["small"], &["/generate", "/status"], 50),
        bundle::service("registry", &[], &["/status"], 0),
    ];
    let data_centres = [
        ("khomas-a", "khomas"),
        ("erongo-a", "erongo"),
        ("karas-a", "karas"),
    ];
    bundle::bundle(version, vec![base, small], services, &data_centres)
}

async fn roll_out_v1(cluster: &Cluster, started: Instant) -> Result<()> {
    let bundle = demo_bundle(cluster, "v1", false);
    let size = WEIGHT_BYTES as f64;
    cluster.roll_out(bundle);
    let Some(elapsed) = cluster
        .wait_until(STEP_TIMEOUT, |c| c.all_serve("v1"))
        .await
    else {
        return Err(lagging_report(cluster, "v1"));
    };
    let copies = cluster.store.bytes_sent().0 as f64 / size;
    print_progress(
        started,
        &format!(
            "v1 rolled out to 15 engines in {:.2}s; the origin sent {copies:.2} copies",
            elapsed.as_secs_f64()
        ),
    );
    wait_until_connected(cluster).await
}

/// Prints the state of each agent whose engine does not serve the version; returns the error.
fn lagging_report(cluster: &Cluster, version: &str) -> Report {
    for line in cluster.describe_lagging(version) {
        println!("        {line}");
    }
    eyre!("{version} did not reach every engine in time")
}

/// Waits until every entry host can use every backend server.
async fn wait_until_connected(cluster: &Cluster) -> Result<()> {
    let connected = |c: &Cluster| {
        c.entries.values().all(|entry| {
            let backends = entry.shared().slots.backends();
            backends.len() == c.backend_hosts.len() && backends.values().all(|b| b.alive)
        })
    };
    ensure!(
        cluster.wait_until(STEP_TIMEOUT, connected).await.is_some(),
        "not all backend servers are connected"
    );
    time::sleep(Duration::from_millis(300)).await;
    Ok(())
}

fn prompt(text: &str, stream: bool) -> Prompt {
    Prompt {
        prompt: text.to_owned(),
        tokens: 20,
        stream,
    }
}

async fn send_requests(cluster: &Cluster, started: Instant) -> Result<()> {
    let callers: Vec<Caller> = cluster
        .caller_addresses()
        .into_iter()
        .map(|address| Caller::new(address, STEP_TIMEOUT))
        .collect();
    let default_request = Request::default();
    let response = callers[0]
        .generate("drafting", &prompt("permit", false), &default_request)
        .await?;
    check_success(&response)?;
    print_progress(
        started,
        &format!("complete answer from version {}", response.version()),
    );
    let response = callers[1]
        .generate("drafting", &prompt("letter", true), &default_request)
        .await?;
    check_success(&response)?;
    print_progress(
        started,
        &format!("complete streamed answer of {} bytes", response.body.len()),
    );
    let status_request = callers[2].send(
        Method::GET,
        "/v1/registry/status/spot",
        &default_request,
        Vec::new(),
    );
    check_success(&status_request.await?)?;
    let keyed_request = Request {
        idempotency_key: Some("fee-1".to_owned()),
        ..Request::default()
    };
    let effect = Effect {
        effect: "fee-1".to_owned(),
        takes_ms: 5,
    };
    for caller in &callers {
        let response = caller
            .apply_effect("lodgement", &effect, &keyed_request)
            .await?;
        check_success(&response)?;
    }
    let applied = effect_count(cluster, "fee-1");
    ensure!(applied == 1, "the fee was applied {applied} times");
    print_progress(
        started,
        "one fee sent through three entry hosts with the same idempotency key: applied once",
    );
    Ok(())
}

fn check_success(response: &Response) -> Result<()> {
    let body = String::from_utf8_lossy(&response.body);
    ensure!(
        response.status.is_success(),
        "request failed with status {}: {body}",
        response.status
    );
    Ok(())
}

/// How often an effect was applied by all engines.
fn effect_count(cluster: &Cluster, effect: &str) -> u64 {
    let counters = cluster
        .backend_hosts
        .values()
        .map(|host| host.engine.counters());
    counters
        .filter_map(|counters| counters.effects.get(effect).copied())
        .sum()
}

/// Requests started by the engines of a data centre.
fn requests_started(cluster: &Cluster, data_centre: &str) -> u64 {
    let hosts = cluster.backend_hosts.values();
    let local = hosts.filter(|h| *h.settings.place.data_centre == *data_centre);
    local.map(|h| h.engine.counters().requests_started).sum()
}

/// Drains a data centre, checks that it gets no new requests, and puts it back into service.
async fn drain_data_centre(cluster: &Cluster, started: Instant) -> Result<()> {
    let data_centre = "erongo-a";
    cluster.append_change(Change::DataCentreOut(data_centre.to_owned()));
    let drain_started = Instant::now();
    let mut last_count = requests_started(cluster, data_centre);
    let mut quiet_since = Instant::now();
    let mut last_request_after = Duration::ZERO;
    while drain_started.elapsed() < DRAIN_LIMIT + Duration::from_secs(1) {
        let count = requests_started(cluster, data_centre);
        if count != last_count {
            last_request_after = drain_started.elapsed();
            quiet_since = Instant::now();
        }
        last_count = count;
        time::sleep(Duration::from_millis(10)).await;
    }
    ensure!(
        last_request_after < DRAIN_LIMIT,
        "{data_centre} got a new request {last_request_after:?} after it was drained"
    );
    ensure!(
        quiet_since.elapsed() > Duration::from_secs(1),
        "{data_centre} still gets requests"
    );
    print_progress(
        started,
        &format!(
            "{data_centre} drained: last new request after {} ms",
            last_request_after.as_millis()
        ),
    );
    cluster.append_change(Change::DataCentreIn(data_centre.to_owned()));
    let serving_again = |c: &Cluster| requests_started(c, data_centre) > last_count;
    let Some(elapsed) = cluster.wait_until(STEP_TIMEOUT, serving_again).await else {
        bail!("{data_centre} got no requests after it was put back into service");
    };
    print_progress(
        started,
        &format!(
            "{data_centre} back in service: first request after {} ms",
            elapsed.as_millis()
        ),
    );
    Ok(())
}

async fn roll_out_v2(cluster: &Cluster, started: Instant) -> Result<()> {
    let bytes_before = cluster.store.bytes_sent().0;
    cluster.roll_out(demo_bundle(cluster, "v2", true));
    let Some(elapsed) = cluster
        .wait_until(STEP_TIMEOUT, |c| c.all_serve("v2"))
        .await
    else {
        return Err(lagging_report(cluster, "v2"));
    };
    let copies = (cluster.store.bytes_sent().0 - bytes_before) as f64 / WEIGHT_BYTES as f64;
    print_progress(
        started,
        &format!(
            "v2, with a tenth of its chunks changed, rolled out under load in {:.2}s; the origin sent {copies:.2} copies",
            elapsed.as_secs_f64()
        ),
    );
    Ok(())
}

/// Checks the counters of all engines.
fn check_engines(cluster: &Cluster) -> Result<()> {
    for (host, backend_host) in &cluster.backend_hosts {
        let counters = backend_host.engine.counters();
        ensure!(
            counters.partial_loads == 0,
            "{host} loaded an incomplete version"
        );
        ensure!(
            counters.version_changes == 0,
            "{host} changed its version during a request"
        );
        ensure!(
            counters.requests_unloaded == 0,
            "{host} got requests while no version was loaded"
        );
        ensure!(
            counters.effects.values().all(|n| *n == 1),
            "{host} applied an effect more than once"
        );
    }
    Ok(())
}

/// Prints all addresses and waits for Ctrl-C.
async fn wait_for_ctrl_c(cluster: &Cluster) {
    println!(
        "log={} hosts={} store={}",
        cluster.log_address(),
        cluster.hosts_address(),
        cluster.store_address()
    );
    for (host, entry) in &cluster.entries {
        let listen = &entry.shared().settings.listen;
        println!(
            "entry {host} callers=http://{} admin=http://{}",
            cluster.caller_address(host),
            listen.admin
        );
    }
    println!("stop with Ctrl-C");
    let _ = tokio::signal::ctrl_c().await;
}

/// Stops an entry host while it forwards a stream, which must complete.
async fn stop_entry_host(cluster: &mut Cluster, started: Instant) -> Result<()> {
    let host: Box<str> = "karas-a-entry-0".into();
    for backend_host in cluster.backend_hosts.values() {
        backend_host
            .engine
            .update_behaviour(|behaviour| behaviour.token_interval = Duration::from_millis(20));
    }
    let caller = Caller::new(cluster.caller_address(&host), STEP_TIMEOUT);
    let stream = tokio::spawn(async move {
        let request = Request::default();
        let long_prompt = Prompt {
            tokens: 60,
            ..prompt("long", true)
        };
        caller.generate("drafting", &long_prompt, &request).await
    });
    time::sleep(Duration::from_millis(200)).await;
    let Some(entry) = cluster.entries.remove(&host) else {
        bail!("{host} does not run");
    };
    let cut_off = entry.close().await;
    ensure!(cut_off == 0, "the planned stop cut off {cut_off} requests");
    check_success(&stream.await??)?;
    print_progress(
        started,
        "an entry host stopped while it forwarded a stream: no request cut off",
    );
    Ok(())
}
