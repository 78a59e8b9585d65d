//! A whole site in one process: bad input, platform failures, silent connections, moves, stops.

use {
    eyre::{Result, ensure},
    jayspread_fakes::{
        bundle,
        caller::{Caller, Request},
        cluster::{Cluster, Options},
        engine::{Behaviour, Effect, Prompt},
        log::Faults,
    },
    jayspread_net::admin::View,
    jayspread_schema::{
        config::{Bundle as Raw, change::Kind as Change},
        settings::Kind,
    },
    std::time::Duration,
    tokio::{io::AsyncWriteExt, net::TcpStream, net::UdpSocket, time},
};

const LIMIT: Duration = Duration::from_secs(20);
const PLACES: [(&str, &str); 3] = [
    ("khomas-a", "khomas"),
    ("erongo-a", "erongo"),
    ("karas-a", "karas"),
];

fn raw(cluster: &Cluster, version: &str, seed: u64) -> Raw {
    let base = bundle::artifact(&cluster.store, "base", 300_000, 64 * 1024, seed);
    let services = vec![
        bundle::service("drafting", &["base"], &["/generate"], 50),
        bundle::service("registry", &[], &["/status"], 0),
    ];
    bundle::bundle(version, vec![base], services, &PLACES)
}

async fn site(change: impl Fn(&mut Options)) -> Result<Cluster> {
    let mut plan = Options::default();
    change(&mut plan);
    let mut cluster = Cluster::open(plan).await?;
    for (place, _) in PLACES {
        for number in 0..2 {
            let host = format!("drafting-{place}-{number}");
            let behaviour = Behaviour::default();
            cluster
                .add_backend_host(&host, place, "drafting", Kind::Engine, behaviour, |_| {})
                .await?;
        }
    }
    let raw = raw(&cluster, "v1", 1);
    cluster.roll_out(raw);
    let ready = |c: &Cluster| {
        c.all_serve("v1")
            && c.entries.values().all(|entry| {
                let backends = entry.shared().slots.backends();
                backends.len() == c.backend_hosts.len()
                    && backends.values().all(|b| b.alive && b.load.serving == "v1")
            })
    };
    ensure!(
        cluster.wait_until(LIMIT, ready).await.is_some(),
        "the site does not serve"
    );
    Ok(cluster)
}

fn caller(cluster: &Cluster, host: &str) -> Caller {
    Caller::new(cluster.caller_address(host), LIMIT)
}

fn prompt(stream: bool, tokens: usize) -> Prompt {
    Prompt {
        prompt: "spot".to_owned(),
        tokens,
        stream,
    }
}

fn effects(cluster: &Cluster, effect: &str) -> u64 {
    let books = cluster
        .backend_hosts
        .values()
        .map(|host| host.engine.counters());
    books.filter_map(|b| b.effects.get(effect).copied()).sum()
}

fn lowest_revision(cluster: &Cluster) -> u64 {
    let revisions = cluster
        .entries
        .values()
        .map(|e| e.shared().state().revision);
    revisions.min().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_bytes_on_every_port_disturb_nothing() -> Result<()> {
    let cluster = site(|_| {}).await?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let entry = cluster.entries["khomas-a-entry-0"]
        .shared()
        .settings
        .listen
        .clone();
    let agent = cluster.backend_hosts["drafting-khomas-a-0"]
        .settings
        .listen
        .clone();
    for length in [0, 1, 100, 1200] {
        socket.send_to(&vec![0xc3; length], entry.peer).await?;
        socket.send_to(&vec![0x5a; length], agent.peer).await?;
    }
    for address in [
        entry.admin,
        agent.admin,
        cluster.caller_address("khomas-a-entry-0"),
    ] {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&[0xff; 4096]).await?;
    }
    let caller = caller(&cluster, "khomas-a-entry-0");
    let cases: [(&str, Request, Vec<u8>, u16); 5] = [
        ("/elsewhere", Request::default(), Vec::new(), 404),
        ("/v1/unknown/x", Request::default(), Vec::new(), 404),
        (
            "/v1/drafting/generate",
            Request::default(),
            vec![0; 5 * 1024 * 1024],
            413,
        ),
        (
            "/v1/drafting/generate",
            Request {
                idempotency_key: Some("k".repeat(300)),
                ..Request::default()
            },
            Vec::new(),
            400,
        ),
        (
            "/v1/drafting/generate",
            Request {
                deadline: Some(Duration::ZERO),
                ..Request::default()
            },
            Vec::new(),
            400,
        ),
    ];
    for (path, request, body, status) in cases {
        let answer = caller
            .send(http::Method::POST, path, &request, body)
            .await?;
        ensure!(
            answer.status.as_u16() == status,
            "{path}: {}",
            answer.status
        );
        ensure!(
            answer.reported_ran().as_deref() == Some("no"),
            "{path}: {:?}",
            answer.body
        );
    }
    let answer = caller
        .generate("drafting", &prompt(true, 10), &Request::default())
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.status);
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn unsigned_and_malformed_records_change_nothing() -> Result<()> {
    let cluster = site(|_| {}).await?;
    let forger = ed25519_dalek::SigningKey::from_bytes(&[9; 32]);
    let kind = Change::DataCentreOut("khomas-a".to_owned());
    cluster
        .log
        .append(bundle::encode_record(bundle::sign_change(&forger, 1, kind)));
    cluster.log.append(vec![0xff; 40].into());
    let kind = Change::DataCentreOut("nowhere".to_owned());
    cluster
        .log
        .append(bundle::encode_record(bundle::sign_change(
            &cluster.operator_key,
            1,
            kind,
        )));
    cluster.append_change(Change::DataCentreOut("karas-a".to_owned()));
    let moved = |c: &Cluster| c.entries.values().all(|e| e.shared().state().revision == 2);
    ensure!(
        cluster.wait_until(LIMIT, moved).await.is_some(),
        "the sound change is not in force"
    );
    let state = cluster.entries["khomas-a-entry-0"].shared().state();
    ensure!(
        state.drained.len() == 1 && state.drained.contains("karas-a"),
        "{:?}",
        state.drained
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_to_another_request_is_never_passed_on() -> Result<()> {
    let cluster = site(|_| {}).await?;
    for host in cluster.backend_hosts.values() {
        host.engine.update_behaviour(|b| b.wrong_request_id = true);
    }
    let caller = caller(&cluster, "khomas-a-entry-0");
    let effect = Effect {
        effect: "closure".to_owned(),
        takes_ms: 0,
    };
    let answer = caller
        .apply_effect("drafting", &effect, &Request::default())
        .await?;
    ensure!(answer.status.as_u16() == 502, "{}", answer.status);
    ensure!(
        answer.reported_ran().as_deref() == Some("unknown"),
        "{:?}",
        answer.body
    );
    ensure!(
        effects(&cluster, "closure") == 1,
        "a non-repeatable request ran again"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn new_entry_host_starts_from_checkpoint_after_truncation() -> Result<()> {
    let mut cluster = site(|_| {}).await?;
    for number in 0..80 {
        let name = "karas-a".to_owned();
        cluster.append_change(match number % 2 {
            0 => Change::DataCentreOut(name),
            _ => Change::DataCentreIn(name),
        });
        let revision = number + 2;
        cluster
            .wait_until(LIMIT, |c| lowest_revision(c) == revision)
            .await;
    }
    let written = |c: &Cluster| {
        let entry = c.entries["khomas-a-entry-0"].shared();
        entry.journal.lock().is_ok_and(|j| j.checkpoint >= 64)
    };
    ensure!(
        cluster.wait_until(LIMIT, written).await.is_some(),
        "no checkpoint was written"
    );
    cluster.log.truncate(cluster.log.next_offset() - 20);
    let revision = cluster.latest_revision();
    // Entry hosts that it could learn from are gone: only the log is left.
    for host in ["khomas-a-entry-0", "erongo-a-entry-0", "karas-a-entry-0"] {
        cluster.kill_entry(host).await;
        cluster.hosts.remove(host);
    }
    cluster.add_entry("khomas-a-entry-9", "khomas-a").await?;
    let taken = |c: &Cluster| c.entries["khomas-a-entry-9"].shared().state().revision == revision;
    ensure!(
        cluster.wait_until(LIMIT, taken).await.is_some(),
        "the checkpoint was not taken"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_refused_truthfully_while_the_log_is_out() -> Result<()> {
    let cluster = site(|_| {}).await?;
    let caller = caller(&cluster, "khomas-a-entry-0");
    cluster.log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let noticed = |c: &Cluster| {
        let shared = c.entries["khomas-a-entry-0"].shared();
        !shared.log_up.load(std::sync::atomic::Ordering::Relaxed)
    };
    ensure!(
        cluster.wait_until(LIMIT, noticed).await.is_some(),
        "the outage is not noticed"
    );
    let keyed = Request {
        idempotency_key: Some("fee".to_owned()),
        ..Request::default()
    };
    let effect = |name: &str| Effect {
        effect: name.to_owned(),
        takes_ms: 0,
    };
    let refused = caller
        .apply_effect("drafting", &effect("fee"), &keyed)
        .await?;
    ensure!(refused.status.as_u16() == 503 && refused.reported_ran().as_deref() == Some("no"));
    ensure!(refused.headers.contains_key("retry-after"));
    let plain = caller
        .apply_effect("drafting", &effect("once"), &Request::default())
        .await?;
    ensure!(
        plain.status.is_success(),
        "one attempt without a key needs no log"
    );
    let answer = caller
        .generate("drafting", &prompt(false, 5), &Request::default())
        .await?;
    ensure!(answer.status.is_success(), "repeatable work needs no log");
    ensure!(effects(&cluster, "fee") == 0 && effects(&cluster, "once") == 1);
    cluster.log.set_faults(Faults::default());
    let mut answer = refused;
    for _ in 0..100 {
        answer = caller
            .apply_effect("drafting", &effect("fee"), &keyed)
            .await?;
        if answer.status.is_success() {
            break;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    ensure!(
        answer.status.is_success(),
        "{} {:?}",
        answer.status,
        answer.body
    );
    ensure!(
        effects(&cluster, "fee") == 1,
        "applied {} times",
        effects(&cluster, "fee")
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_costs_a_recall_and_no_second_run() -> Result<()> {
    let cluster = site(|_| {}).await?;
    let caller = caller(&cluster, "khomas-a-entry-0");
    let effect = Effect {
        effect: "fee".to_owned(),
        takes_ms: 1500,
    };
    let lodging = tokio::spawn(async move {
        caller
            .apply_effect("drafting", &effect, &Request::default())
            .await
    });
    let begun = |c: &Cluster| effects(c, "fee") == 1;
    ensure!(
        cluster.wait_until(LIMIT, begun).await.is_some(),
        "the request did not begin"
    );
    let struck = cluster
        .backend_hosts
        .values()
        .find(|h| h.engine.counters().effects.contains_key("fee"))
        .expect("one engine has begun");
    let address = struck.settings.listen.peer;
    cluster.network.set_blackholed(address, true);
    time::sleep(Duration::from_millis(1300)).await;
    cluster.network.set_blackholed(address, false);
    let answer = lodging.await??;
    ensure!(
        answer.status.is_success(),
        "{} {:?}",
        answer.status,
        answer.body
    );
    ensure!(effects(&cluster, "fee") == 1, "ran twice");
    let recalls = cluster.entries["khomas-a-entry-0"]
        .shared()
        .metrics
        .recalls
        .get();
    ensure!(recalls >= 1, "the answer was not asked for again");
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn region_cut_off_serves_on_and_learns_changes_afterwards() -> Result<()> {
    let cluster = site(|_| {}).await?;
    cluster.network.set_partitioned("erongo", true);
    let caller = caller(&cluster, "erongo-a-entry-0");
    for _ in 0..20 {
        let answer = caller
            .generate("drafting", &prompt(true, 5), &Request::default())
            .await?;
        ensure!(answer.status.is_success(), "{}", answer.status);
    }
    cluster.append_change(Change::DataCentreOut("erongo-a".to_owned()));
    cluster.network.set_partitioned("erongo", false);
    let out = |c: &Cluster| {
        let agents = c
            .backend_hosts
            .values()
            .filter(|h| &*h.settings.place.data_centre == "erongo-a");
        let mut shared = agents.filter_map(|h| h.agent.as_ref());
        shared.all(|a| !a.shared().data_centre_open())
    };
    ensure!(
        cluster.wait_until(LIMIT, out).await.is_some(),
        "agents do not learn that they are out"
    );
    let entry = cluster.entries["erongo-a-entry-0"].shared();
    ensure!(
        entry.ready() == Err("data centre is out".into()),
        "{:?}",
        entry.ready()
    );
    let answer = caller
        .generate("drafting", &prompt(true, 5), &Request::default())
        .await?;
    ensure!(
        answer.status.is_success(),
        "other data centres serve: {}",
        answer.status
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_limited_and_stalled_origin_still_gives_whole_versions() -> Result<()> {
    let cluster = site(|_| {}).await?;
    cluster.store.set_faults(jayspread_fakes::store::Faults {
        down: false,
        corruption_rate: 0.2,
        throttling_rate: 0.2,
        stall_rate: 0.05,
    });
    let raw = raw(&cluster, "v2", 2);
    cluster.roll_out(raw);
    ensure!(
        cluster
            .wait_until(LIMIT * 2, |c| c.all_serve("v2"))
            .await
            .is_some(),
        "v2 is not served"
    );
    for host in cluster.backend_hosts.values() {
        let books = host.engine.counters();
        ensure!(
            books.partial_loads == 0 && books.version_changes == 0,
            "{books:?}"
        );
    }
    cluster.append_change(Change::RollBack("v1".to_owned()));
    ensure!(
        cluster
            .wait_until(LIMIT, |c| c.all_serve("v1"))
            .await
            .is_some(),
        "v1 is not served again"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn superseded_version_is_left_and_restarted_engine_is_loaded_again() -> Result<()> {
    let cluster = site(|_| {}).await?;
    let second = raw(&cluster, "v2", 2);
    let third = raw(&cluster, "v3", 3);
    cluster.roll_out(second);
    let known = |c: &Cluster| c.latest_revision() == 2;
    ensure!(cluster.wait_until(LIMIT, known).await.is_some());
    cluster.roll_out(third);
    ensure!(
        cluster
            .wait_until(LIMIT, |c| c.all_serve("v3"))
            .await
            .is_some(),
        "v3 is not served"
    );
    cluster.backend_hosts["drafting-karas-a-0"].engine.restart();
    time::sleep(Duration::from_millis(600)).await;
    ensure!(
        cluster
            .wait_until(LIMIT, |c| c.all_serve("v3"))
            .await
            .is_some(),
        "not loaded again"
    );
    for host in cluster.backend_hosts.values() {
        let books = host.engine.counters();
        ensure!(books.partial_loads == 0, "{books:?}");
    }
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_an_agent_cuts_nothing() -> Result<()> {
    let mut cluster = site(|_| {}).await?;
    for host in cluster.backend_hosts.values() {
        host.engine
            .update_behaviour(|b| b.token_interval = Duration::from_millis(10));
    }
    let caller = caller(&cluster, "karas-a-entry-0");
    let streams: Vec<_> = (0..6)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move {
                caller
                    .generate("drafting", &prompt(true, 60), &Request::default())
                    .await
            })
        })
        .collect();
    time::sleep(Duration::from_millis(150)).await;
    let host = cluster
        .backend_hosts
        .get_mut("drafting-karas-a-0")
        .expect("host is known");
    let agent = host.agent.take().expect("agent runs");
    ensure!(agent.close().await == 0, "the stop cut off an attempt");
    for stream in streams {
        let answer = stream.await??;
        ensure!(answer.status.is_success(), "{}", answer.status);
    }
    cluster.close().await;
    Ok(())
}
