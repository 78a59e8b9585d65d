//! Loading of versions when the origin fails, when a newer version follows and after a restart.

use {
    super::{TIMEOUT, start_deployment, test_bundle},
    eyre::{Result, ensure},
    jayspread_fakes::{cluster::Cluster, store::Faults},
    jayspread_schema::config::change::Kind as Change,
    std::time::Duration,
    tokio::time,
};

#[tokio::test(flavor = "multi_thread")]
async fn complete_versions_are_loaded_from_a_corrupt_throttled_and_stalling_origin() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    cluster.store.set_faults(Faults {
        down: false,
        corruption_rate: 0.2,
        throttling_rate: 0.2,
        stall_rate: 0.05,
    });
    let bundle = test_bundle(&cluster, "v2", 2);
    cluster.roll_out(bundle);
    ensure!(
        cluster
            .wait_until(TIMEOUT * 2, |c| c.all_serve("v2"))
            .await
            .is_some(),
        "v2 is not served"
    );
    for host in cluster.backend_hosts.values() {
        let counters = host.engine.counters();
        ensure!(
            counters.partial_loads == 0 && counters.version_changes == 0,
            "{counters:?}"
        );
    }
    cluster.append_change(Change::RollBack("v1".to_owned()));
    ensure!(
        cluster
            .wait_until(TIMEOUT, |c| c.all_serve("v1"))
            .await
            .is_some(),
        "v1 is not served after the rollback"
    );
    cluster.close().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn superseded_version_is_skipped_and_restarted_engine_is_reloaded() -> Result<()> {
    let cluster = start_deployment(|_| {}).await?;
    let second = test_bundle(&cluster, "v2", 2);
    let third = test_bundle(&cluster, "v3", 3);
    cluster.roll_out(second);
    let v2_applied = |c: &Cluster| c.latest_revision() == 2;
    ensure!(cluster.wait_until(TIMEOUT, v2_applied).await.is_some());
    cluster.roll_out(third);
    ensure!(
        cluster
            .wait_until(TIMEOUT, |c| c.all_serve("v3"))
            .await
            .is_some(),
        "v3 is not served"
    );
    cluster.backend_hosts["drafting-karas-a-0"].engine.restart();
    time::sleep(Duration::from_millis(600)).await;
    ensure!(
        cluster
            .wait_until(TIMEOUT, |c| c.all_serve("v3"))
            .await
            .is_some(),
        "v3 was not reloaded after the restart"
    );
    for host in cluster.backend_hosts.values() {
        let counters = host.engine.counters();
        ensure!(counters.partial_loads == 0, "{counters:?}");
    }
    cluster.close().await;
    Ok(())
}
