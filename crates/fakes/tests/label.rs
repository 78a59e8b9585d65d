//! The version that an answer names is the one that it comes from, also while an engine is drained
//! for the next version.

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
    jayspread_schema::{config::Bundle as Raw, settings::Kind},
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_secs(20);
const HOST: &str = "drafting-0";

fn raw(cluster: &Cluster, version: &str, seed: u64) -> Raw {
    let base = bundle::artifact(&cluster.store, "base", 300_000, 64 * 1024, seed);
    let services = vec![bundle::service("drafting", &["base"], &["/generate"], 0)];
    bundle::bundle(version, vec![base], services, &[("khomas-a", "khomas")])
}

async fn site() -> Result<Cluster> {
    let plan = Options {
        data_centres: vec![("khomas-a".into(), "khomas".into())],
        ..Options::default()
    };
    let mut cluster = Cluster::open(plan).await?;
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
    cluster.roll_out(raw(&cluster, "v1", 1));
    let ready = |c: &Cluster| {
        let backends = c.entries["khomas-a-entry-0"].shared().slots.backends();
        c.all_serve("v1") && backends.values().any(|b| b.alive && b.load.serving == "v1")
    };
    let served = cluster.wait_until(LIMIT, ready).await;
    ensure!(served.is_some(), "v1 is not served");
    Ok(cluster)
}

fn machine(cluster: &Cluster) -> State {
    let agent = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .expect("agent runs");
    lock(&agent.shared().loader).state().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_admitted_before_a_drain_names_the_version_it_runs_on() -> Result<()> {
    let cluster = site().await?;
    let caller = Caller::new(cluster.caller_address("khomas-a-entry-0"), LIMIT);
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
    let runs = |c: &Cluster| c.backend_hosts[HOST].engine.counters().requests_started > 0;
    ensure!(
        cluster.wait_until(LIMIT, runs).await.is_some(),
        "no attempt runs"
    );
    cluster.roll_out(raw(&cluster, "v2", 2));
    let drains = |c: &Cluster| matches!(machine(c), State::Draining { .. });
    ensure!(
        cluster.wait_until(LIMIT, drains).await.is_some(),
        "no drain seen"
    );
    let agent = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .expect("agent runs");
    let named = agent.shared().serving_version();
    ensure!(named == "v1", "answers that run on v1 would name {named:?}");
    let answer = stream.await??;
    ensure!(answer.version() == "v1", "{:?}", answer.version());
    let moved = cluster.wait_until(LIMIT, |c| c.all_serve("v2")).await;
    ensure!(moved.is_some(), "v2 is not served");
    let named = cluster.backend_hosts[HOST]
        .agent
        .as_ref()
        .map(|a| a.shared().serving_version());
    ensure!(named.as_deref() == Some("v2"), "{named:?}");
    cluster.close().await;
    Ok(())
}
