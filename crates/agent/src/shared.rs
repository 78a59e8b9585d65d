//! Tables shared by the tasks of an agent.
//!
//! Lock order: `config`, `loader`, `served`, `grants`, `admit`, `jobs`, `answers`, `chunks`. A
//! task takes at most two at once, in this order, and holds none across an await.

use {
    crate::{
        answer::{Answer, End},
        chunks::Chunks,
        engine::Engine,
        metrics::Metrics,
        peers::Peers,
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
    jayspread_net::{clock, event, node::Node},
    jayspread_schema::{
        settings::{Agent as Settings, Kind},
        wire::{Load, Member, Phase, Submit, Update},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    tokio::sync::{Notify, Semaphore},
};

/// Order deadlines after which an order that was sent can have no effect any more.
const SETTLE_CALLS: u32 = 3;

/// Uploads to other regions that one host runs at once.
const FAR_UPLOADS: usize = 2;

/// Configuration and the hosts that take part.
pub struct Config {
    /// Fold of the accepted changes.
    pub fold: Replica,
    /// Hosts by name.
    pub members: BTreeMap<Host, Member>,
    /// Number of the roster that the members come from.
    pub roster: u64,
}

/// Shared state of an agent.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// QUIC endpoint.
    pub node: Node,
    /// Edge to the backend server.
    pub engine: Arc<dyn Engine>,
    /// Edge to the weight store.
    pub store: Option<Arc<dyn Store>>,
    /// Configuration.
    pub config: Mutex<Config>,
    /// Load orders.
    pub loader: Mutex<Loader>,
    /// Version that the backend server was last known to serve; empty before the first.
    pub served: Mutex<Version>,
    /// Grants of entry hosts.
    pub grants: Mutex<Grants>,
    /// Attempts.
    pub admit: Mutex<Table>,
    /// Requests of waiting attempts.
    pub jobs: Mutex<BTreeMap<Request, Submit>>,
    /// Answers kept.
    pub answers: Mutex<BTreeMap<Request, Arc<Answer>>>,
    /// Chunks held.
    pub chunks: Mutex<Chunks>,
    /// Connections to other agents.
    pub peers: Peers,
    /// Uploads that may run at once.
    pub uploads: Semaphore,
    /// Uploads to other regions that may run at once.
    pub far_uploads: Semaphore,
    /// How versions are distributed.
    pub policy: chunk::Policy,
    /// Metrics.
    pub metrics: Metrics,
    /// Wakes the control task.
    pub wake: Notify,
    /// Wakes tasks that wait for a chunk.
    pub arrived: Notify,
    /// Chunks staged of those wanted.
    pub staged: AtomicU32,
    /// Chunks wanted.
    pub wanted: AtomicU32,
    /// A pull of configuration is running.
    pub pulling: AtomicBool,
    /// The process is stopping.
    pub leaving: AtomicBool,
    /// Why the roll-out waits here.
    pub pause: Mutex<Box<str>>,
}

impl Shared {
    /// Creates the state of an agent that has just started.
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
        let settle = settings.timing.call_timeout * SETTLE_CALLS;
        let machine = Machine::new(backend.checks_fencing, settle);
        let config = Config {
            fold: Replica::new(settings.operators.iter().map(|o| o.key)),
            members: BTreeMap::new(),
            roster: 0,
        };
        Arc::new(Self {
            config: Mutex::new(config),
            loader: Mutex::new(Loader::new(machine)),
            served: Mutex::default(),
            grants: Mutex::default(),
            admit: Mutex::new(Table::new(node.identity.incarnation, ramp)),
            jobs: Mutex::default(),
            answers: Mutex::default(),
            chunks: Mutex::new(Chunks::new(settings.spread.memory_bytes, policy)),
            peers: Peers::default(),
            uploads: Semaphore::new(settings.spread.max_uploads),
            far_uploads: Semaphore::new(FAR_UPLOADS),
            policy,
            metrics: Metrics::default(),
            wake: Notify::new(),
            arrived: Notify::new(),
            staged: AtomicU32::new(0),
            wanted: AtomicU32::new(0),
            pulling: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            pause: Mutex::default(),
            settings,
            node,
            engine,
            store,
        })
    }

    /// Service of the backend server.
    pub fn service(&self) -> &Service {
        &self.settings.backend.service
    }

    /// Configuration in force.
    pub fn state(&self) -> Arc<State> {
        lock(&self.config).fold.state()
    }

    /// Whether work may run in this data centre.
    pub fn data_centre_open(&self) -> bool {
        self.state().accepts_work(&self.settings.place.data_centre)
    }

    /// Applies configuration and roster that a peer sent.
    pub fn update(&self, update: &Update) {
        let mut config = lock(&self.config);
        let before = config.fold.revision();
        if let Some(checkpoint) = &update.checkpoint
            && let Err(reason) = config.fold.apply_checkpoint(checkpoint)
        {
            event!(Warn, "checkpoint_refused", reason = reason);
        }
        for accepted in &update.changes {
            if let Err(reason) = config.fold.apply_accepted(accepted) {
                event!(
                    Warn,
                    "change_refused",
                    revision = accepted.revision,
                    reason = reason
                );
                break;
            }
        }
        let after = config.fold.revision();
        assert!(after >= before, "configuration reverts");
        if after > before {
            event!(Info, "configuration", revision = after);
            self.metrics.revision.set(after);
        }
        if !update.members.is_empty() && update.roster != config.roster {
            config.roster = update.roster;
            let members = update.members.iter();
            config.members = members
                .map(|m| (m.host.as_str().into(), m.clone()))
                .collect();
        }
        drop(config);
        self.wake.notify_one();
    }

    /// Delivers decisions about waiting attempts; those to start are returned.
    pub fn deliver(&self, turns: Vec<Dequeued>) -> Vec<Submit> {
        let mut starts = Vec::new();
        for turn in turns {
            match turn {
                Dequeued::Start(request) => {
                    let job = lock(&self.jobs).remove(&request);
                    starts.push(job.expect("a waiting attempt has its request"));
                }
                Dequeued::Refuse(request, refusal) => {
                    lock(&self.jobs).remove(&request);
                    Metrics::count(&self.metrics.refused, refusal.as_str_name());
                    if let Some(answer) = lock(&self.answers).remove(&request) {
                        answer.finish(End::NotStarted(refusal));
                    }
                }
            }
        }
        starts
    }

    /// Load and state for heartbeats.
    pub fn load(&self) -> Load {
        let (phase, serving, wanted) = self.phase();
        let pause = lock(&self.pause).to_string();
        let admit = lock(&self.admit);
        let latency = admit.ramp.latency().unwrap_or_default();
        Load {
            service: self.service().to_string(),
            phase: phase.into(),
            serving,
            wanted,
            running: admit.running() as u32,
            waiting: admit.waiting() as u32,
            limit: admit.ramp.limit() as u32,
            first_byte_us: latency.as_micros() as u32,
            chunks: self.staged.load(Ordering::Relaxed),
            chunks_wanted: self.wanted.load(Ordering::Relaxed),
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
        let want = loader.target();
        let wanted = want.map(|w| w.version.to_string()).unwrap_or_default();
        let fetching = || match loader.is_complete() {
            true => Phase::Ready,
            false => Phase::Fetching,
        };
        match loader.state() {
            load::State::Serving { version } => match want {
                Some(want) if want.equivalent_versions.contains(version) => {
                    (Phase::Serving, wanted.clone(), wanted)
                }
                Some(_) => (fetching(), version.to_string(), wanted),
                None => (Phase::Serving, version.to_string(), wanted),
            },
            load::State::Empty { .. } if want.is_some() => (fetching(), String::new(), wanted),
            load::State::Empty { .. } | load::State::Adopting { .. } => {
                (Phase::Empty, String::new(), wanted)
            }
            _ => (Phase::Loading, String::new(), wanted),
        }
    }

    /// Version that the answers of admitted attempts come from, as operators name it.
    ///
    /// It stays while the backend server is drained: attempts admitted before still run on it.
    pub fn serving_version(&self) -> String {
        let loader = lock(&self.loader);
        let served = lock(&self.served);
        match loader.target() {
            Some(want) if want.equivalent_versions.contains(&*served) => want.version.to_string(),
            _ => served.to_string(),
        }
    }
}

/// Locks a table.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().expect("no panic holds the lock")
}
