//! Tests of background tasks that end.

use {
    jayspread_core::restart::Policy,
    jayspread_net::task::{Health, Supervisor},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time,
};

const POLICY: Policy = Policy {
    min_backoff: Duration::from_millis(1),
    max_backoff: Duration::from_millis(20),
    sound_after: Duration::from_millis(300),
    max_ends: 4,
};

/// Time for which a condition is awaited.
const MAX_WAIT: Duration = Duration::from_secs(10);

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(time::timeout(MAX_WAIT, wait).await.is_ok(), "in time");
}

/// Guards against a task that follows the store, and ends by a panic that nothing notices.
#[tokio::test]
async fn task_that_panics_is_started_again() {
    let health = Arc::new(Health::default());
    let starts = Arc::new(AtomicU32::new(0));
    let mut supervisor = Supervisor::new(&health, POLICY);
    let count = Arc::clone(&starts);
    supervisor.spawn("watch", move || {
        let start = count.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(start >= 2, "record that cannot be applied");
            std::future::pending().await
        }
    });
    wait_until(|| starts.load(Ordering::Relaxed) == 3).await;
    assert_eq!(health.ends("watch"), 2);
    assert_eq!(health.check(), Ok(()));
}

/// Guards against a process that counts as ready although the list of engines is not followed.
#[tokio::test]
async fn process_is_not_ready_while_a_task_ends_again_and_again() {
    let health = Arc::new(Health::default());
    let fails = Arc::new(AtomicU32::new(1));
    let mut supervisor = Supervisor::new(&health, POLICY);
    let failing = Arc::clone(&fails);
    supervisor.spawn("watch", move || {
        let fails = failing.load(Ordering::Relaxed) == 1;
        async move {
            if !fails {
                std::future::pending::<()>().await;
            }
        }
    });
    wait_until(|| health.check() == Err("task watch is failing".into())).await;
    fails.store(0, Ordering::Relaxed);
    wait_until(|| health.check().is_ok()).await;
}

/// Guards against tasks that outlive their process, and against a shutdown that is counted as a
/// failure of its tasks.
#[tokio::test]
async fn closed_supervisor_ends_its_tasks_without_counting_them() {
    struct Guard(Arc<AtomicU32>);
    impl Drop for Guard {
        fn drop(&mut self) {
            self.0.fetch_sub(1, Ordering::Relaxed);
        }
    }
    let health = Arc::new(Health::default());
    let running = Arc::new(AtomicU32::new(0));
    let mut supervisor = Supervisor::new(&health, POLICY);
    let count = Arc::clone(&running);
    supervisor.spawn("watch", move || {
        count.fetch_add(1, Ordering::Relaxed);
        let guard = Guard(Arc::clone(&count));
        async move {
            let _guard = guard;
            std::future::pending().await
        }
    });
    wait_until(|| running.load(Ordering::Relaxed) == 1).await;
    supervisor.close();
    wait_until(|| running.load(Ordering::Relaxed) == 0).await;
    assert_eq!(health.ends("watch"), 0);
}
