//! State shared by the tasks of an agent.
//!
//! Lock order: `config`, `loader`, `last_served`, `grants`, `admission`, `waiting_submits`,
//! `responses`, `chunks`. A task holds at most two locks at a time, acquires them in this order,
//! and holds none across an await.

use {
    crate::{
        chunks::Cache,
        engine::Engine,
        metrics::Metrics,
        peers::Peers,
        response::{Buffer, Outcome},
        store::Store,
    },
    jayspread_core::{
        admission::{Dequeued, Table},
        chunk,
        config::{Replica, State},
        id::{Host, Request, Service, Version},
        load::{self, Loader, Machine},
        ramp::Ramp,
        rollout::Grants,
    },
    jayspread_net::{clock, event, node::Node, task::Health},
    jayspread_schema::{
        settings::{Agent as Settings, Kind},
        wire::{Load, Member, Phase, Submit, Update},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    tokio::sync::{Notify, Semaphore},
};

pub use jayspread_net::sync::lock;

/// Multiple of the call timeout after which a load order can no longer take effect.
const ORDER_TIMEOUT_CALLS: u32 = 3;

/// Concurrent uploads to other regions.
const MAX_CROSS_REGION_UPLOADS: usize = 2;

/// Configuration and the roster of hosts.
pub struct Config {
    /// Replica of the configuration, built from the accepted changes.
    pub replica: Replica,
    /// Hosts of the roster by name.
    pub members: BTreeMap<Host, Member>,
    /// Identifier of the roster that `members` was taken from; 0 before the first.
    pub roster: u64,
}

/// State shared by the agent's tasks.
pub struct Shared {
    /// Settings of this host.
    pub settings: Settings,
    /// QUIC endpoint for entry hosts and other agents.
    pub node: Node,
    /// Client of the backend server.
    pub engine: Arc<dyn Engine>,
    /// Client of the weight store, if the host has one.
    pub store: Option<Arc<dyn Store>>,
    /// Configuration and roster.
    pub config: Mutex<Config>,
    /// State machine that loads versions into the engine.
    pub loader: Mutex<Loader>,
    /// Version that the backend server served last; empty before the first load.
    pub last_served: Mutex<Version>,
    /// Versions that each entry host of this data centre allows this host to load.
    pub grants: Mutex<Grants>,
    /// Admission control of attempts.
    pub admission: Mutex<Table>,
    /// Submit messages of waiting attempts, by request.
    pub waiting_submits: Mutex<BTreeMap<Request, Submit>>,
    /// Response buffers of attempts, retained until acknowledged.
    pub responses: Mutex<BTreeMap<Request, Arc<Buffer>>>,
    /// Cache of chunks.
    pub chunks: Mutex<Cache>,
    /// Connections to other agents.
    pub peers: Peers,
    /// Permits for concurrent uploads within the region.
    pub upload_permits: Semaphore,
    /// Permits for concurrent uploads to other regions.
    pub cross_region_upload_permits: Semaphore,
    /// Policy by which versions are distributed.
    pub policy: chunk::Policy,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Health of the background tasks.
    pub tasks: Arc<Health>,
    /// Wakes the control loop.
    pub control_wakeup: Notify,
    /// Wakes uploads that wait for a chunk to arrive.
    pub chunk_arrived: Notify,
    /// Number of chunks of the target version that are staged.
    pub chunks_staged: AtomicU32,
    /// Number of chunks of the target version.
    pub chunks_wanted: AtomicU32,
    /// Whether a configuration pull is running.
    pub pull_running: AtomicBool,
    /// Whether the process is shutting down.
    pub leaving: AtomicBool,
    /// Reason why the rollout is paused, reported in heartbeats; empty if it is not.
    pub rollout_pause: Mutex<Box<str>>,
}

impl Shared {
    /// Creates the initial state.
    pub fn new(
        settings: Settings,
        node: Node,
        engine: Arc<dyn Engine>,
        store: Option<Arc<dyn Store>>,
        policy: chunk::Policy,
    ) -> Arc<Self> {
        let backend = &settings.backend;
        let ramp = Ramp::new(
            backend.cold_concurrency,
            backend.concurrency,
            backend.warm_up,
            clock::now(),
        );
        let order_timeout = settings.timing.call_timeout * ORDER_TIMEOUT_CALLS;
        let machine = Machine::new(backend.checks_fencing, order_timeout);
        let config = Config {
            replica: Replica::new(settings.operators.iter().map(|operator| operator.key)),
            members: BTreeMap::new(),
            roster: 0,
        };
        Arc::new(Self {
            config: Mutex::new(config),
            loader: Mutex::new(Loader::new(machine)),
            last_served: Mutex::default(),
            grants: Mutex::default(),
            admission: Mutex::new(Table::new(node.identity.incarnation, ramp)),
            waiting_submits: Mutex::default(),
            responses: Mutex::default(),
            chunks: Mutex::new(Cache::new(settings.spread.memory_bytes, policy)),
            peers: Peers::default(),
            upload_permits: Semaphore::new(settings.spread.max_uploads),
            cross_region_upload_permits: Semaphore::new(MAX_CROSS_REGION_UPLOADS),
            policy,
            metrics: Metrics::default(),
            tasks: Arc::default(),
            control_wakeup: Notify::new(),
            chunk_arrived: Notify::new(),
            chunks_staged: AtomicU32::new(0),
            chunks_wanted: AtomicU32::new(0),
            pull_running: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            rollout_pause: Mutex::default(),
            settings,
            node,
            engine,
            store,
        })
    }

    /// Service that the backend server provides.
    pub fn service(&self) -> &Service {
        &self.settings.backend.service
    }

    /// Current configuration.
    pub fn state(&self) -> Arc<State> {
        lock(&self.config).replica.state()
    }

    /// Whether the configuration lets this data centre take requests.
    pub fn data_centre_open(&self) -> bool {
        self.state().accepts_work(&self.settings.place.data_centre)
    }

    /// Applies configuration changes and a roster received from a peer.
    pub fn apply_update(&self, update: &Update) {
        let mut config = lock(&self.config);
        let previous_revision = config.replica.revision();
        if let Some(checkpoint) = &update.checkpoint
            && let Err(reason) = config.replica.apply_checkpoint(checkpoint)
        {
            event!(Warn, "checkpoint_refused", reason = reason);
        }
        for accepted in &update.changes {
            if let Err(reason) = config.replica.apply_accepted(accepted) {
                event!(
                    Warn,
                    "change_refused",
                    revision = accepted.revision,
                    reason = reason
                );
                break;
            }
        }
        let new_revision = config.replica.revision();
        assert!(
            new_revision >= previous_revision,
            "configuration revision must not decrease"
        );
        if new_revision > previous_revision {
            event!(Info, "configuration", revision = new_revision);
            self.metrics.revision.set(new_revision);
        }
        if !update.members.is_empty() && update.roster != config.roster {
            config.roster = update.roster;
            let members = update.members.iter();
            config.members = members
                .map(|member| (member.host.as_str().into(), member.clone()))
                .collect();
        }
        drop(config);
        self.control_wakeup.notify_one();
    }

    /// Refuses waiting attempts as decided by admission control, and returns those to start.
    pub fn resolve_waiting(&self, dequeued: Vec<Dequeued>) -> Vec<Submit> {
        let mut ready = Vec::new();
        for entry in dequeued {
            match entry {
                Dequeued::Start(request) => {
                    let submit = lock(&self.waiting_submits).remove(&request);
                    ready.push(submit.expect("a waiting attempt has its submit message"));
                }
                Dequeued::Refuse(request, refusal) => {
                    lock(&self.waiting_submits).remove(&request);
                    Metrics::count(&self.metrics.refused, refusal.as_str_name());
                    if let Some(response) = lock(&self.responses).remove(&request) {
                        response.finish(Outcome::NotStarted(refusal));
                    }
                }
            }
        }
        ready
    }

    /// Load and state that heartbeats report to entry hosts.
    pub fn load(&self) -> Load {
        let (phase, serving, wanted) = self.phase();
        let pause = lock(&self.rollout_pause).to_string();
        let admission = lock(&self.admission);
        let latency = admission.ramp.latency().unwrap_or_default();
        Load {
            service: self.service().to_string(),
            phase: phase.into(),
            serving,
            wanted,
            running: admission.running() as u32,
            waiting: admission.waiting() as u32,
            limit: admission.ramp.limit() as u32,
            first_byte_us: latency.as_micros() as u32,
            chunks: self.chunks_staged.load(Ordering::Relaxed),
            chunks_wanted: self.chunks_wanted.load(Ordering::Relaxed),
            pause,
        }
    }

    fn phase(&self) -> (Phase, String, String) {
        if self.leaving.load(Ordering::Relaxed) {
            return (Phase::Leaving, String::new(), String::new());
        }
        if self.settings.backend.kind == Kind::Plain {
            return (Phase::Serving, String::new(), String::new());
        }
        let loader = lock(&self.loader);
        let target = loader.target();
        let wanted = target
            .map(|target| target.version.to_string())
            .unwrap_or_default();
        let fetch_phase = || match loader.is_complete() {
            true => Phase::Ready,
            false => Phase::Fetching,
        };
        match loader.state() {
            load::State::Serving { version } => match target {
                Some(target) if target.equivalent_versions.contains(version) => {
                    (Phase::Serving, wanted.clone(), wanted)
                }
                Some(_) => (fetch_phase(), version.to_string(), wanted),
                None => (Phase::Serving, version.to_string(), wanted),
            },
            load::State::Empty { .. } if target.is_some() => (fetch_phase(), String::new(), wanted),
            load::State::Empty { .. } | load::State::Adopting { .. } => {
                (Phase::Empty, String::new(), wanted)
            }
            _ => (Phase::Loading, String::new(), wanted),
        }
    }

    /// Version that produces the responses of admitted attempts, by the name of the current target
    /// if both have the same content.
    ///
    /// It does not change while the backend server is drained, as earlier attempts still run on it.
    pub fn serving_version(&self) -> String {
        let loader = lock(&self.loader);
        let last_served = lock(&self.last_served);
        match loader.target() {
            Some(target) if target.equivalent_versions.contains(&*last_served) => {
                target.version.to_string()
            }
            _ => last_served.to_string(),
        }
    }
}
