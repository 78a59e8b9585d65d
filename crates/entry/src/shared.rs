//! State shared by the tasks of an entry host.
//!
//! Lock order: `projection`, `roster`, `links`, the lock inside `slots`, `retry_budget`. A task
//! holds at most two locks at once, acquires them in this order, and holds none across an await.

use {
    crate::{
        hosts::Hosts, idempotency::Claims, log::Log, metrics::Metrics, projection::Projection,
        roster::Roster, slots::Slots,
    },
    jayspread_core::{config::State, id::Host, retry::Budget, route::Policy},
    jayspread_net::{clock, event, link::Link, node::Node, task::Health},
    jayspread_schema::{settings::Entry as Settings, wire::Update},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tokio::sync::{Notify, watch},
};

pub use jayspread_net::sync::lock;

/// Shared state of an entry host.
pub struct Shared {
    /// Settings of this entry host.
    pub settings: Settings,
    /// QUIC endpoint.
    pub node: Node,
    /// Client of the log service.
    pub log: Arc<dyn Log>,
    /// Client of the host list.
    pub hosts: Arc<dyn Hosts>,
    /// Configuration and idempotency claims read from the log.
    pub projection: Mutex<Projection>,
    /// Hosts and their health.
    pub roster: Mutex<Roster>,
    /// Connections that this entry host opens, by host.
    pub links: Mutex<BTreeMap<Host, Arc<Link>>>,
    /// Backend servers and waiting requests.
    pub slots: Arc<Slots>,
    /// Budget that limits retries relative to completed requests.
    pub retry_budget: Mutex<Budget>,
    /// Claims and outcomes that wait to be appended to the log.
    pub claims: Claims,
    /// Metrics of this entry host.
    pub metrics: Metrics,
    /// Health of the background tasks.
    pub tasks: Arc<Health>,
    /// Counter that is incremented whenever the projection has changed.
    pub projection_updates: watch::Sender<u64>,
    /// Wakes the roster task.
    pub roster_wake: Notify,
    /// Whether the last read of the log succeeded.
    pub log_up: AtomicBool,
    /// Whether the end of the log was reached once, or a peer's configuration was applied.
    pub caught_up: AtomicBool,
    /// Whether a pull of configuration is in progress.
    pub pulling: AtomicBool,
    /// Whether the process is shutting down.
    pub shutting_down: AtomicBool,
    /// Number of callers' requests in flight.
    pub active_calls: AtomicUsize,
    /// Start time of the process.
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
            settings.limits.max_queued,
            policy,
            seed,
        );
        Arc::new(Self {
            projection: Mutex::new(Projection::new(operators)),
            roster: Mutex::new(Roster::new(settings.timing.heartbeat_interval)),
            links: Mutex::default(),
            slots,
            retry_budget: Mutex::new(Budget::new(clock::now())),
            claims: Claims::default(),
            metrics: Metrics::default(),
            tasks: Arc::default(),
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

    /// Returns the active configuration.
    pub fn state(&self) -> Arc<State> {
        lock(&self.projection).config.state()
    }

    /// Returns the link to a host, if this entry host keeps one.
    pub fn link(&self, host: &str) -> Option<Arc<Link>> {
        lock(&self.links).get(host).cloned()
    }

    /// Applies configuration that a peer sent.
    pub fn apply_update(&self, update: &Update) {
        let mut projection = lock(&self.projection);
        let revision = projection.config.revision();
        if let Some(checkpoint) = &update.checkpoint
            && let Err(reason) = projection.config.apply_checkpoint(checkpoint)
        {
            event!(Warn, "checkpoint_refused", reason = reason);
        }
        for accepted in &update.changes {
            if let Err(reason) = projection.config.apply_accepted(accepted) {
                event!(
                    Warn,
                    "change_refused",
                    revision = accepted.revision,
                    reason = reason
                );
                break;
            }
        }
        let state = projection.config.state();
        drop(projection);
        if state.revision > revision {
            self.caught_up.store(true, Ordering::Relaxed);
            self.apply_config(&state);
        }
    }

    /// Activates a new configuration.
    pub fn apply_config(&self, state: &State) {
        event!(Info, "configuration", revision = state.revision);
        self.metrics.revision.set(state.revision);
        self.slots.configure(state);
        self.projection_updates.send_modify(|n| *n += 1);
        self.roster_wake.notify_one();
    }
}
