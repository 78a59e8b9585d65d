//! Builds a small Kalahari on loopback in one process and shows what jayspread does.
//!
//! Any broken promise makes it exit with status 1.

use {
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
        config::{Bundle as Raw, change::Kind as Change},
        settings::Kind,
    },
    std::{
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// Longest wait for any one step.
const STEP_MAX: Duration = Duration::from_secs(20);
/// Size of the demo's weights, bytes.
const WEIGHTS: usize = 8 * 1024 * 1024;
/// Size of a chunk, bytes.
const CHUNK: usize = 128 * 1024;
/// Callers that keep sending in the background.
const CALLERS: usize = 6;
/// Time within which a data centre taken out gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// Builds a small deployment on loopback and shows what jayspread does.
#[derive(Debug)]
#[derive(Parser)]
struct Args {
    /// Leave it running at the end and print addresses.
    #[arg(long)]
    keep: bool,
    /// Seed of the stand-ins.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Times to run, each with the next seed; the first failure ends it.
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
        if let Err(cause) = run(&args, seed).await {
            println!("demo failed: seed={seed} {cause:#}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

async fn run(args: &Args, seed: u64) -> Result<()> {
    let began = Instant::now();
    let mut cluster = build(seed).await?;
    say(
        began,
        "platform, 3 entry hosts and 16 backend servers started",
    );
    first_roll(&cluster, began).await?;
    requests(&cluster, began).await?;
    let load = Load::start(&cluster);
    move_data_centre(&cluster, began).await?;
    second_roll(&cluster, began).await?;
    let figures = load.stop().await;
    say(began, &format!("under load: {figures}"));
    ensure!(
        figures.wrong == 0,
        "{} answers were wrong or cut off",
        figures.wrong
    );
    ensure!(figures.whole > 0, "no request was answered under load");
    promises(&cluster)?;
    if args.keep {
        keep(&cluster).await;
    }
    stop(&mut cluster, began).await?;
    let fees = effects(&cluster, "fee-1");
    cluster.close().await;
    println!(
        "demo ok seed={seed} seconds={:.1} whole={} refused={} wrong={} effects_applied_to_fee={fees}",
        began.elapsed().as_secs_f64(),
        figures.whole,
        figures.refused,
        figures.wrong
    );
    Ok(())
}

fn say(began: Instant, what: &str) {
    println!("{:6.2}s  {what}", began.elapsed().as_secs_f64());
}

async fn build(seed: u64) -> Result<Cluster> {
    let plan = Options {
        seed,
        ..Options::default()
    };
    let mut cluster = Cluster::open(plan).await?;
    let places = ["khomas-a", "erongo-a", "karas-a"];
    for number in 0..12 {
        let place = places[number % 3];
        let host = format!("drafting-{number}");
        add(&mut cluster, &host, place, "drafting", Kind::Engine).await?;
    }
    for (number, place) in places.iter().enumerate() {
        let host = format!("lodgement-{number}");
        add(&mut cluster, &host, place, "lodgement", Kind::Engine).await?;
    }
    add(
        &mut cluster,
        "registry-0",
        places[0],
        "registry",
        Kind::Plain,
    )
    .await?;
    Ok(cluster)
}

async fn add(
    cluster: &mut Cluster,
    host: &str,
    place: &str,
    service: &str,
    kind: Kind,
) -> Result<()> {
    let behaviour = Behaviour::default();
    cluster
        .add_backend_host(host, place, service, kind, behaviour, |_| {})
        .await
}

fn raw(cluster: &Cluster, version: &str, differs: bool) -> Raw {
    let changed = |index: usize| differs && index.is_multiple_of(10);
    let base = bundle::artifact_variant(&cluster.store, "base", WEIGHTS, CHUNK, 1, changed, 2);
    let small = bundle::artifact(&cluster.store, "small", WEIGHTS / 8, CHUNK, 3);
    let services = vec![
        bundle::service("drafting", &["base"], &["/generate"], 50),
        bundle::service("lodgement", &["small"], &["/generate", "/status"], 50),
        bundle::service("registry", &[], &["/status"], 0),
    ];
    let places = [
        ("khomas-a", "khomas"),
        ("erongo-a", "erongo"),
        ("karas-a", "karas"),
    ];
    bundle::bundle(version, vec![base, small], services, &places)
}

async fn first_roll(cluster: &Cluster, began: Instant) -> Result<()> {
    let raw = raw(cluster, "v1", false);
    let size = WEIGHTS as f64;
    cluster.roll_out(raw);
    let Some(took) = cluster.wait_until(STEP_MAX, |c| c.all_serve("v1")).await else {
        return Err(late(cluster, "v1"));
    };
    let copies = cluster.store.bytes_sent().0 as f64 / size;
    say(
        began,
        &format!(
            "v1 rolled to 15 engines in {:.2}s, the origin sent {copies:.2} copies",
            took.as_secs_f64()
        ),
    );
    ready(cluster).await
}

/// Prints what each engine without the version waits for.
fn late(cluster: &Cluster, version: &str) -> Report {
    for line in cluster.describe_lagging(version) {
        println!("        {line}");
    }
    eyre!("{version} did not reach every engine in time")
}

async fn ready(cluster: &Cluster) -> Result<()> {
    let usable = |c: &Cluster| {
        c.entries.values().all(|entry| {
            let backends = entry.shared().slots.backends();
            backends.len() == c.backend_hosts.len() && backends.values().all(|b| b.alive)
        })
    };
    ensure!(
        cluster.wait_until(STEP_MAX, usable).await.is_some(),
        "backend servers not connected"
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

async fn requests(cluster: &Cluster, began: Instant) -> Result<()> {
    let callers: Vec<Caller> = cluster
        .caller_addresses()
        .into_iter()
        .map(|address| Caller::new(address, STEP_MAX))
        .collect();
    let plain = Request::default();
    let answer = callers[0]
        .generate("drafting", &prompt("permit", false), &plain)
        .await?;
    ok(&answer)?;
    say(
        began,
        &format!("plain answer from version {}", answer.version()),
    );
    let answer = callers[1]
        .generate("drafting", &prompt("letter", true), &plain)
        .await?;
    ok(&answer)?;
    say(
        began,
        &format!("streamed answer of {} bytes, whole", answer.body.len()),
    );
    let status = callers[2].send(Method::GET, "/v1/registry/status/spot", &plain, Vec::new());
    ok(&status.await?)?;
    let keyed = Request {
        idempotency_key: Some("fee-1".to_owned()),
        ..Request::default()
    };
    let effect = Effect {
        effect: "fee-1".to_owned(),
        takes_ms: 5,
    };
    for caller in &callers {
        let answer = caller.apply_effect("lodgement", &effect, &keyed).await?;
        ok(&answer)?;
    }
    let applied = effects(cluster, "fee-1");
    ensure!(applied == 1, "the fee was applied {applied} times");
    say(
        began,
        "one fee lodged through three entry hosts with one key: applied once",
    );
    Ok(())
}

fn ok(answer: &Response) -> Result<()> {
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(
        answer.status.is_success(),
        "answered {}: {body}",
        answer.status
    );
    Ok(())
}

fn effects(cluster: &Cluster, effect: &str) -> u64 {
    let counts = cluster
        .backend_hosts
        .values()
        .map(|host| host.engine.counters());
    counts
        .filter_map(|books| books.effects.get(effect).copied())
        .sum()
}

/// Work begun at the engines of a data centre.
fn begun(cluster: &Cluster, place: &str) -> u64 {
    let hosts = cluster.backend_hosts.values();
    let there = hosts.filter(|h| *h.settings.place.data_centre == *place);
    there.map(|h| h.engine.counters().requests_started).sum()
}

async fn move_data_centre(cluster: &Cluster, began: Instant) -> Result<()> {
    let place = "erongo-a";
    cluster.append_change(Change::DataCentreOut(place.to_owned()));
    let out = Instant::now();
    let mut last = begun(cluster, place);
    let mut quiet_since = Instant::now();
    let mut stopped = Duration::ZERO;
    while out.elapsed() < NO_NEW_WORK + Duration::from_secs(1) {
        let now = begun(cluster, place);
        if now != last {
            stopped = out.elapsed();
            quiet_since = Instant::now();
        }
        last = now;
        time::sleep(Duration::from_millis(10)).await;
    }
    ensure!(
        stopped < NO_NEW_WORK,
        "{place} got new work {stopped:?} after it was taken out"
    );
    ensure!(
        quiet_since.elapsed() > Duration::from_secs(1),
        "{place} still gets work"
    );
    say(
        began,
        &format!(
            "{place} taken out: last new work after {} ms",
            stopped.as_millis()
        ),
    );
    cluster.append_change(Change::DataCentreIn(place.to_owned()));
    let back = |c: &Cluster| begun(c, place) > last;
    let Some(took) = cluster.wait_until(STEP_MAX, back).await else {
        bail!("{place} got no work after it was brought back");
    };
    say(
        began,
        &format!(
            "{place} brought back: first work after {} ms",
            took.as_millis()
        ),
    );
    Ok(())
}

async fn second_roll(cluster: &Cluster, began: Instant) -> Result<()> {
    let before = cluster.store.bytes_sent().0;
    cluster.roll_out(raw(cluster, "v2", true));
    let Some(took) = cluster.wait_until(STEP_MAX, |c| c.all_serve("v2")).await else {
        return Err(late(cluster, "v2"));
    };
    let copies = (cluster.store.bytes_sent().0 - before) as f64 / WEIGHTS as f64;
    say(
        began,
        &format!(
            "v2, a tenth of it new, rolled under load in {:.2}s, the origin sent {copies:.2} copies",
            took.as_secs_f64()
        ),
    );
    Ok(())
}

fn promises(cluster: &Cluster) -> Result<()> {
    for (host, at) in &cluster.backend_hosts {
        let books = at.engine.counters();
        ensure!(books.partial_loads == 0, "{host} served partial weights");
        ensure!(
            books.version_changes == 0,
            "{host} changed its version during an answer"
        );
        ensure!(
            books.requests_unloaded == 0,
            "{host} got work with nothing loaded"
        );
        ensure!(
            books.effects.values().all(|n| *n == 1),
            "{host} applied an effect twice"
        );
    }
    Ok(())
}

/// Callers that keep sending.
struct Load {
    stop: Arc<AtomicBool>,
    tallies: Arc<Tallies>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Tallies {
    whole: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

struct Figures {
    whole: u64,
    refused: u64,
    wrong: u64,
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "whole={} refused={} wrong={}",
            self.whole, self.refused, self.wrong
        )
    }
}

impl Load {
    fn start(cluster: &Cluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let tallies = Arc::new(Tallies::default());
        let addresses = cluster.caller_addresses();
        let tasks = (0..CALLERS)
            .map(|number| {
                let caller = Caller::new(addresses[number % addresses.len()], STEP_MAX);
                let stop = Arc::clone(&stop);
                let tallies = Arc::clone(&tallies);
                tokio::spawn(send(caller, number, stop, tallies))
            })
            .collect();
        Self {
            stop,
            tallies,
            tasks,
        }
    }

    async fn stop(self) -> Figures {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        Figures {
            whole: self.tallies.whole.load(Ordering::Relaxed),
            refused: self.tallies.refused.load(Ordering::Relaxed),
            wrong: self.tallies.wrong.load(Ordering::Relaxed),
        }
    }
}

async fn send(caller: Caller, number: usize, stop: Arc<AtomicBool>, tallies: Arc<Tallies>) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let prompt = prompt(&format!("draft {number} {count}"), count % 2 == 0);
        let request = Request::default();
        match caller.generate("drafting", &prompt, &request).await {
            Ok(answer) if answer.status.is_success() => &tallies.whole,
            Ok(_) => &tallies.refused,
            Err(cause) => {
                println!("        wrong answer: {cause}");
                &tallies.wrong
            }
        }
        .fetch_add(1, Ordering::Relaxed);
        time::sleep(Duration::from_millis(2)).await;
    }
}

async fn keep(cluster: &Cluster) {
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

/// Stops an entry host while a stream runs through it: the stream must end whole.
async fn stop(cluster: &mut Cluster, began: Instant) -> Result<()> {
    let host: Box<str> = "karas-a-entry-0".into();
    for at in cluster.backend_hosts.values() {
        at.engine
            .update_behaviour(|b| b.token_interval = Duration::from_millis(20));
    }
    let caller = Caller::new(cluster.caller_address(&host), STEP_MAX);
    let stream = tokio::spawn(async move {
        let request = Request::default();
        let long = Prompt {
            tokens: 60,
            ..prompt("long", true)
        };
        caller.generate("drafting", &long, &request).await
    });
    time::sleep(Duration::from_millis(200)).await;
    let Some(entry) = cluster.entries.remove(&host) else {
        bail!("{host} is gone");
    };
    let cut = entry.close().await;
    ensure!(cut == 0, "the planned stop cut off {cut} requests");
    ok(&stream.await??)?;
    say(
        began,
        "an entry host stopped while a stream ran through it: nothing cut off",
    );
    Ok(())
}
