//! A response names the version that produced it, even if the engine is draining for the next
//! version.

use {
    eyre::{Result, ensure},
    jayspread_agent::shared::lock,
    jayspread_core::load::State,
    jayspread_fakes::{
        bundle,
        caller::{Caller, Request},
        cluster::{Cluster, Options},
        engine::{Behaviour, Prompt},
    },
    jayspread_schema::{config::Bundle as RawBundle, settings::Kind},
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const HOST: &str = "drafting-0";

fn test_bundle(cluster: &Cluster, version: &str, seed: u64) -> RawBundle {
    let base = bundle::artifact(&cluster.store, "base", 300_000, 64 * 1024, seed);
    let services = vec![bundle::service("drafting", &["base"], &["/generate"], 0)];
    bundle::bundle(version, vec![base], services, &[("khomas-a", "khomas")])
}

/// Starts a deployment with one engine that serves v1.
async fn start_deployment() -> Result<Cluster> {
    let options = Options {
        data_centres: vec![("khomas-a".into(), "khomas".into())],
        ..Options::default()
    };
    let mut cluster = Cluster::open(options).await?;
    let behaviour = Behaviour {
        token_interval: Duration::from_millis(20),
        ..Behaviour::default()
    };
    cluster
        .add_backend_host(
            HOST,
            "khomas-a",
            "drafting",
            Kind::Engine,
            behaviour,
            |_| {},
        )
        .await?;
    cluster.roll_out(test_bundle(&cluster, "v1", 1));
    let serving = |c: &Cluster| {
        let backends = c.entries["khomas-a-entry-0"].shared().slots.backends();
        c.all_serve("v1")
            && backends
                .values()
                .any(|backend| backend.alive && backend.load.serving == "v1")
    };
    let elapsed = cluster.wait_until(TIMEOUT, serving).await;
    ensure!(elapsed.is_some(), "v1 is not served");
    Ok(cluster)
}

fn loader_state(cluster: &Cluster) -> State {
    let agent = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .expect("agent runs");
    lock(&agent.shared().loader).state().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn attempt_admitted_before_a_drain_names_the_version_that_it_runs_on() -> Result<()> {
    let cluster = start_deployment().await?;
    let caller = Caller::new(cluster.caller_address("khomas-a-entry-0"), TIMEOUT);
    let prompt = Prompt {
        prompt: "spot".to_owned(),
        tokens: 100,
        stream: true,
    };
    let stream = tokio::spawn(async move {
        caller
            .generate("drafting", &prompt, &Request::default())
            .await
    });
    let running = |c: &Cluster| c.backend_hosts[HOST].engine.counters().requests_started > 0;
    ensure!(
        cluster.wait_until(TIMEOUT, running).await.is_some(),
        "the attempt did not start"
    );
    cluster.roll_out(test_bundle(&cluster, "v2", 2));
    let draining = |c: &Cluster| matches!(loader_state(c), State::Draining { .. });
    ensure!(
        cluster.wait_until(TIMEOUT, draining).await.is_some(),
        "the engine did not start to drain"
    );
    let agent = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .expect("agent runs");
    let version = agent.shared().serving_version();
    ensure!(
        version == "v1",
        "attempts that run on v1 would name {version:?}"
    );
    let response = stream.await??;
    ensure!(response.version() == "v1", "{:?}", response.version());
    let elapsed = cluster.wait_until(TIMEOUT, |c| c.all_serve("v2")).await;
    ensure!(elapsed.is_some(), "v2 is not served");
    let version = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .map(|a| a.shared().serving_version());
    ensure!(version.as_deref() == Some("v2"), "{version:?}");
    cluster.close().await;
    Ok(())
}
