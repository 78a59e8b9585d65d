//! Background tasks that run as long as the process, and are started again when they end.

use {
    crate::{clock, event, panic, sync},
    jayspread_core::restart::{Policy, Restarts},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
    },
    tokio::{task::JoinHandle, time},
};

/// Label set of counters that are kept by task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Label {
    task: &'static str,
}

/// Health of the background tasks of a process.
#[derive(Debug, Default)]
pub struct Health {
    failing: Mutex<BTreeSet<&'static str>>,
    ends: Family<Label, Counter>,
}

impl Health {
    /// Whether all tasks run; the error names one that ends again and again.
    pub fn check(&self) -> Result<(), Box<str>> {
        match sync::lock(&self.failing).first() {
            Some(task) => Err(format!("task {task} is failing").into()),
            None => Ok(()),
        }
    }

    /// Number of times that a task has ended.
    pub fn ends(&self, task: &'static str) -> u64 {
        self.ends.get_or_create(&Label { task }).get()
    }

    /// Adds the metrics of tasks, panics and poisoned locks to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "task_ends",
            "Background tasks that ended and were started again",
            self.ends.clone(),
        );
        registry.register("panics", "Panics", panic::count());
        registry.register(
            "locks_poisoned",
            "Locks recovered after a panic",
            sync::poisoned(),
        );
    }

    fn set_failing(&self, task: &'static str, failing: bool) {
        let mut tasks = sync::lock(&self.failing);
        let changed = if failing {
            tasks.insert(task)
        } else {
            tasks.remove(task)
        };
        drop(tasks);
        if changed {
            event!(Warn, "task_health", task = task, failing = failing);
        }
    }
}

/// Runs the background tasks of a process until it is closed or dropped.
pub struct Supervisor {
    health: Arc<Health>,
    policy: Policy,
    tasks: Vec<JoinHandle<()>>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new(health: &Arc<Health>, policy: Policy) -> Self {
        Self {
            health: Arc::clone(health),
            policy,
            tasks: Vec::new(),
        }
    }

    /// Runs the task that `start` creates, and creates it again whenever it panics or returns.
    pub fn spawn<F>(&mut self, name: &'static str, start: impl FnMut() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let supervision = supervise(name, Arc::clone(&self.health), self.policy, start);
        self.tasks.push(tokio::spawn(supervision));
    }

    /// Aborts all tasks.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn supervise<F>(
    name: &'static str,
    health: Arc<Health>,
    policy: Policy,
    mut start: impl FnMut() -> F + Send,
) where
    F: Future<Output = ()> + Send,
{
    let mut restarts = Restarts::new(policy, clock::now());
    loop {
        let task = panic::catch_async(async { start().await });
        let mut task = std::pin::pin!(task);
        let result = match time::timeout_at(restarts.sound_at().into(), task.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                restarts.record_progress(clock::now());
                health.set_failing(name, false);
                task.await
            }
        };
        let reason = match result {
            Ok(()) => "returned".to_owned(),
            Err(panic) => format!("panic: {panic}"),
        };
        health.ends.get_or_create(&Label { task: name }).inc();
        let backoff = restarts.record_end(clock::now());
        event!(
            Error,
            "task_ended",
            task = name,
            reason = reason,
            restarts = restarts.total(),
            backoff_ms = backoff.as_millis()
        );
        if restarts.is_failing() {
            health.set_failing(name, true);
        }
        time::sleep(backoff).await;
        restarts.record_restart(clock::now());
    }
}
