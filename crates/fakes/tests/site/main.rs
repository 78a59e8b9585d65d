//! A whole deployment in one process under invalid input, platform failures, lost connections,
//! drains and planned stops.

mod loading;

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
        config::{Bundle as RawBundle, change::Kind as Change},
        settings::Kind,
    },
    std::time::Duration,
    tokio::{io::AsyncWriteExt, net::TcpStream, net::UdpSocket, time},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const DATA_CENTRES: [(&str, &str); 3] = [
    ("khomas-a", "khomas"),
    ("erongo-a", "erongo"),
    ("karas-a", "karas"),
];

fn test_bundle(cluster: &Cluster, version: &str, seed: u64) -> RawBundle {
    let base = bundle::artifact(&cluster.store, "base", 300_000, 64 * 1024, seed);
    let services = vec![
        bundle::service("drafting", &["base"], &["/generate"], 50),
        bundle::service("registry", &[], &["/status"], 0),
    ];
    bundle::bundle(version, vec![base], services, &DATA_CENTRES)
}

/// Starts a deployment with two engines in each data centre, all serving v1.
async fn start_deployment(change: impl Fn(&mut Options)) -> Result<Cluster> {
    let mut options = Options::default();
    change(&mut options);
    let mut cluster = Cluster::open(options).await?;
    for (data_centre, _) in DATA_CENTRES {
        for number in 0..2 {
            let host = format!("drafting-{data_centre}-{number}");
            let behaviour = Behaviour::default();
            cluster
                .add_backend_host(
                    &host,
                    data_centre,
                    "drafting",
                    Kind::Engine,
                    behaviour,
                    |_| {},
                )
                .await?;
        }
    }
    let bundle = test_bundle(&cluster, "v1", 1);
    cluster.roll_out(bundle);
    let ready = |c: &Cluster| {
        c.all_serve("v1")
            && c.entries.values().all(|entry| {
                let backends = entry.shared().slots.backends();
                backends.len() == c.backend_hosts.len()
                    && backends
                        .values()
                        .all(|backend| backend.alive && backend.load.serving == "v1")
            })
    };
    ensure!(
        cluster.wait_until(TIMEOUT, ready).await.is_some(),
        "not all engines serve v1"
    );
    Ok(cluster)
}

fn caller(cluster: &Cluster, host: &str) -> Caller {
    Caller::new(cluster.caller_address(host), TIMEOUT)
}

fn prompt(stream: bool, tokens: usize) -> Prompt {
    Prompt {
        prompt: "spot".to_owned(),
        tokens,
        stream,
    }
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

/// Lowest revision that any entry host has applied.
fn lowest_revision(cluster: &Cluster) -> u64 {
    let revisions = cluster
        .entries
        .values()
        .map(|e| e.shared().state().revision);
    revisions.min().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_on_every_port_does_not_disturb_requests() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let entry_listen = cluster.entries["khomas-a-entry-0"]
        .shared()
        .settings
        .listen
        .clone();
    let agent_listen = cluster.backend_hosts["drafting-khomas-a-0"]
        .settings
        .listen
        .clone();
    for length in [0, 1, 100, 1200] {
        socket
            .send_to(&vec![0xc3; length], entry_listen.peer)
            .await?;
        socket
            .send_to(&vec![0x5a; length], agent_listen.peer)
            .await?;
    }
    for address in [
        entry_listen.admin,
        agent_listen.admin,
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
        let response = caller
            .send(http::Method::POST, path, &request, body)
            .await?;
        ensure!(
            response.status.as_u16() == status,
            "{path}: {}",
            response.status
        );
        ensure!(
            response.reported_ran().as_deref() == Some("no"),
            "{path}: {:?}",
            response.body
        );
    }
    let response = caller
        .generate("drafting", &prompt(true, 10), &Request::default())
        .await?;
    ensure!(response.status.is_success(), "{}", response.status);
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn records_with_bad_signature_or_content_are_ignored() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    let unknown_key = ed25519_dalek::SigningKey::from_bytes(&[9; 32]);
    let kind = Change::DataCentreOut("khomas-a".to_owned());
    cluster
        .log
        .append(bundle::encode_record(bundle::sign_change(
            &unknown_key,
            1,
            kind,
        )));
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
    let applied = |c: &Cluster| c.entries.values().all(|e| e.shared().state().revision == 2);
    ensure!(
        cluster.wait_until(TIMEOUT, applied).await.is_some(),
        "the valid change was not applied"
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
async fn response_with_another_request_id_is_not_forwarded() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    for host in cluster.backend_hosts.values() {
        host.engine
            .update_behaviour(|behaviour| behaviour.wrong_request_id = true);
    }
    let caller = caller(&cluster, "khomas-a-entry-0");
    let effect = Effect {
        effect: "closure".to_owned(),
        takes_ms: 0,
    };
    let response = caller
        .apply_effect("drafting", &effect, &Request::default())
        .await?;
    ensure!(response.status.as_u16() == 502, "{}", response.status);
    ensure!(
        response.reported_ran().as_deref() == Some("unknown"),
        "{:?}",
        response.body
    );
    ensure!(
        effect_count(&cluster, "closure") == 1,
        "a non-repeatable request did not run exactly once"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn new_entry_host_starts_from_checkpoint_after_truncation() -> Result<()> {
    let mut cluster = start_deployment(|_| {}).await?;
    for number in 0..80 {
        let data_centre = "karas-a".to_owned();
        cluster.append_change(match number % 2 {
            0 => Change::DataCentreOut(data_centre),
            _ => Change::DataCentreIn(data_centre),
        });
        let revision = number + 2;
        cluster
            .wait_until(TIMEOUT, |c| lowest_revision(c) == revision)
            .await;
    }
    let checkpoint_written = |c: &Cluster| {
        let entry = c.entries["khomas-a-entry-0"].shared();
        entry
            .projection
            .lock()
            .is_ok_and(|projection| projection.last_checkpoint >= 64)
    };
    ensure!(
        cluster
            .wait_until(TIMEOUT, checkpoint_written)
            .await
            .is_some(),
        "no checkpoint was written"
    );
    cluster.log.truncate(cluster.log.next_offset() - 20);
    let revision = cluster.latest_revision();
    // Without other entry hosts, the new one can read the configuration only from the log.
    for host in ["khomas-a-entry-0", "erongo-a-entry-0", "karas-a-entry-0"] {
        cluster.kill_entry(host).await;
        cluster.hosts.remove(host);
    }
    cluster.add_entry("khomas-a-entry-9", "khomas-a").await?;
    let applied = |c: &Cluster| c.entries["khomas-a-entry-9"].shared().state().revision == revision;
    ensure!(
        cluster.wait_until(TIMEOUT, applied).await.is_some(),
        "the checkpoint was not applied"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_refused_as_not_run_while_the_log_is_down() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    let caller = caller(&cluster, "khomas-a-entry-0");
    cluster.log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let outage_noticed = |c: &Cluster| {
        let shared = c.entries["khomas-a-entry-0"].shared();
        !shared.log_up.load(std::sync::atomic::Ordering::Relaxed)
    };
    ensure!(
        cluster.wait_until(TIMEOUT, outage_noticed).await.is_some(),
        "the entry host did not notice the outage"
    );
    let keyed_request = Request {
        idempotency_key: Some("fee".to_owned()),
        ..Request::default()
    };
    let effect = |name: &str| Effect {
        effect: name.to_owned(),
        takes_ms: 0,
    };
    let refusal = caller
        .apply_effect("drafting", &effect("fee"), &keyed_request)
        .await?;
    ensure!(refusal.status.as_u16() == 503 && refusal.reported_ran().as_deref() == Some("no"));
    ensure!(refusal.headers.contains_key("retry-after"));
    let without_key = caller
        .apply_effect("drafting", &effect("once"), &Request::default())
        .await?;
    ensure!(
        without_key.status.is_success(),
        "a request without a key must not need the log"
    );
    let response = caller
        .generate("drafting", &prompt(false, 5), &Request::default())
        .await?;
    ensure!(
        response.status.is_success(),
        "a repeatable request must not need the log"
    );
    ensure!(effect_count(&cluster, "fee") == 0 && effect_count(&cluster, "once") == 1);
    cluster.log.set_faults(Faults::default());
    let mut response = refusal;
    for _ in 0..100 {
        response = caller
            .apply_effect("drafting", &effect("fee"), &keyed_request)
            .await?;
        if response.status.is_success() {
            break;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    ensure!(
        response.status.is_success(),
        "{} {:?}",
        response.status,
        response.body
    );
    ensure!(
        effect_count(&cluster, "fee") == 1,
        "applied {} times",
        effect_count(&cluster, "fee")
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn response_lost_with_its_connection_is_recalled_without_a_second_run() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    let caller = caller(&cluster, "khomas-a-entry-0");
    let effect = Effect {
        effect: "fee".to_owned(),
        takes_ms: 1500,
    };
    let pending = tokio::spawn(async move {
        caller
            .apply_effect("drafting", &effect, &Request::default())
            .await
    });
    let started = |c: &Cluster| effect_count(c, "fee") == 1;
    ensure!(
        cluster.wait_until(TIMEOUT, started).await.is_some(),
        "the request did not start"
    );
    let host = cluster
        .backend_hosts
        .values()
        .find(|host| host.engine.counters().effects.contains_key("fee"))
        .expect("one engine has started the request");
    let address = host.settings.listen.peer;
    cluster.network.set_blackholed(address, true);
    time::sleep(Duration::from_millis(1300)).await;
    cluster.network.set_blackholed(address, false);
    let response = pending.await??;
    ensure!(
        response.status.is_success(),
        "{} {:?}",
        response.status,
        response.body
    );
    ensure!(
        effect_count(&cluster, "fee") == 1,
        "the effect was not applied exactly once"
    );
    let recalls = cluster.entries["khomas-a-entry-0"]
        .shared()
        .metrics
        .recalls
        .get();
    ensure!(recalls >= 1, "the response was not recalled");
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_region_keeps_serving_and_applies_changes_after_reconnection() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    cluster.network.set_partitioned("erongo", true);
    let caller = caller(&cluster, "erongo-a-entry-0");
    for _ in 0..20 {
        let response = caller
            .generate("drafting", &prompt(true, 5), &Request::default())
            .await?;
        ensure!(response.status.is_success(), "{}", response.status);
    }
    cluster.append_change(Change::DataCentreOut("erongo-a".to_owned()));
    cluster.network.set_partitioned("erongo", false);
    let drained = |c: &Cluster| {
        let agents = c
            .backend_hosts
            .values()
            .filter(|h| &*h.settings.place.data_centre == "erongo-a");
        let mut running = agents.filter_map(|h| h.agent.as_ref());
        running.all(|a| !a.shared().data_centre_open())
    };
    ensure!(
        cluster.wait_until(TIMEOUT, drained).await.is_some(),
        "not all agents noticed that their data centre is drained"
    );
    let entry = cluster.entries["erongo-a-entry-0"].shared();
    ensure!(
        entry.ready() == Err("data centre is out".into()),
        "{:?}",
        entry.ready()
    );
    let response = caller
        .generate("drafting", &prompt(true, 5), &Request::default())
        .await?;
    ensure!(
        response.status.is_success(),
        "other data centres do not serve the request: {}",
        response.status
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_an_agent_cuts_off_no_attempt() -> Result<()> {
    let mut cluster = start_deployment(|_| {}).await?;
    for host in cluster.backend_hosts.values() {
        host.engine
            .update_behaviour(|behaviour| behaviour.token_interval = Duration::from_millis(10));
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
        let response = stream.await??;
        ensure!(response.status.is_success(), "{}", response.status);
    }
    cluster.close().await;
    Ok(())
}
