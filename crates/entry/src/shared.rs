//! Tables shared by the tasks of an entry host.
//!
//! Lock order: `journal`, `roster`, `links`, the table in `slots`, `retries`. A task takes at
//! most two at once, in this order, and holds none across an await.

use {
    crate::{
        hosts::Hosts, idempotency::Claims, log::Log, metrics::Metrics, projection::Projection,
        roster::Roster, slots::Slots,
    },
    jayspread_core::{config::State, id::Host, retry::Budget, route::Policy},
    jayspread_net::{clock, event, link::Link, node::Node},
    jayspread_schema::{settings::Entry as Settings, wire::Update},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tokio::sync::{Notify, watch},
};

/// Shared state of an entry host.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// QUIC endpoint.
    pub node: Node,
    /// Edge to the log service.
    pub log: Arc<dyn Log>,
    /// Edge to the host list.
    pub hosts: Arc<dyn Hosts>,
    /// Configuration and claims.
    pub projection: Mutex<Projection>,
    /// Hosts and their health.
    pub roster: Mutex<Roster>,
    /// Connections by host.
    pub links: Mutex<BTreeMap<Host, Arc<Link>>>,
    /// Backend servers and waiting requests.
    pub slots: Arc<Slots>,
    /// Retry budget.
    pub retry_budget: Mutex<Budget>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Metrics.
    pub metrics: Metrics,
    /// Goes up when the journal has moved.
    pub projection_updates: watch::Sender<u64>,
    /// Wakes the roster task.
    pub roster_wake: Notify,
    /// Whether the log could be read last time.
    pub log_up: AtomicBool,
    /// Whether the log's end was reached once, or a peer's configuration was taken.
    pub caught_up: AtomicBool,
    /// A pull of configuration is running.
    pub pulling: AtomicBool,
    /// The process is stopping.
    pub shutting_down: AtomicBool,
    /// Requests of callers in flight.
    pub active_calls: AtomicUsize,
    /// Time of the start.
    pub started_at: Instant,
}

impl Shared {
    /// Creates the state of an entry host that has just started.
    pub fn new(
        settings: Settings,
        node: Node,
        log: Arc<dyn Log>,
        hosts: Arc<dyn Hosts>,
        policy: Policy,
    ) -> Arc<Self> {
        let operators = settings.operators.iter().map(|o| o.key);
        let seed = node.identity.incarnation;
        let slots = Slots::new(
            &settings.place.data_centre,
            settings.limits.queue,
            policy,
            seed,
        );
        Arc::new(Self {
            projection: Mutex::new(Projection::new(operators)),
            roster: Mutex::new(Roster::new(settings.timing.heartbeat)),
            links: Mutex::default(),
            slots,
            retry_budget: Mutex::new(Budget::new(clock::now())),
            claims: Claims::default(),
            metrics: Metrics::default(),
            projection_updates: watch::Sender::new(0),
            roster_wake: Notify::new(),
            log_up: AtomicBool::new(false),
            caught_up: AtomicBool::new(false),
            pulling: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
            active_calls: AtomicUsize::new(0),
            started_at: clock::now(),
            settings,
            node,
            log,
            hosts,
        })
    }

    /// Configuration in force.
    pub fn state(&self) -> Arc<State> {
        lock(&self.projection).config.state()
    }

    /// Open connection to a host.
    pub fn link(&self, host: &str) -> Option<Arc<Link>> {
        lock(&self.links).get(host).cloned()
    }

    /// Applies configuration that a peer sent.
    pub fn apply_update(&self, update: &Update) {
        let mut journal = lock(&self.projection);
        let before = journal.config.revision();
        if let Some(checkpoint) = &update.checkpoint
            && let Err(reason) = journal.config.apply_checkpoint(checkpoint)
        {
            event!(Warn, "checkpoint_refused", reason = reason);
        }
        for accepted in &update.changes {
            if let Err(reason) = journal.config.apply_accepted(accepted) {
                event!(
                    Warn,
                    "change_refused",
                    revision = accepted.revision,
                    reason = reason
                );
                break;
            }
        }
        let state = journal.config.state();
        drop(journal);
        if state.revision > before {
            self.caught_up.store(true, Ordering::Relaxed);
            self.apply_config(&state);
        }
    }

    /// Brings a new configuration into force.
    pub fn apply_config(&self, state: &State) {
        event!(Info, "configuration", revision = state.revision);
        self.metrics.revision.set(state.revision);
        self.slots.configure(state);
        self.projection_updates.send_modify(|n| *n += 1);
        self.roster_wake.notify_one();
    }
}

/// Locks a table.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().expect("no panic holds the lock")
}
