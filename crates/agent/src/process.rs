//! Startup and shutdown of an agent.

use {
    crate::{
        attempt,
        control::Controller,
        engine::{self, Engine},
        handler::Handler,
        shared::{Shared, lock},
        store::{self, Store},
    },
    jayspread_core::{chunk, restart},
    jayspread_net::{
        admin::Admin,
        cert::Tls,
        clock, event, link,
        node::{self, Identity, Node},
        task::Supervisor,
    },
    jayspread_schema::{settings::Agent as Settings, wire::Role},
    quinn::Runtime,
    std::{
        fmt, io,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// Interval between checks whether all attempts in flight have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of heartbeat intervals for which a stopping agent stays connected, so that entry hosts
/// learn of its shutdown.
const LEAVE_NOTICE_HEARTBEATS: u32 = 2;

/// Startup error.
#[derive(Debug)]
pub enum Error {
    /// The peer address could not be bound.
    Node(node::Error),
    /// The administration address could not be bound.
    Admin(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Node(cause) => write!(f, "could not bind listen.peer: {cause}"),
            Error::Admin(cause) => write!(f, "could not bind listen.admin: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// An agent, running until it is closed or aborted.
pub struct Process {
    shared: Arc<Shared>,
    admin: Admin,
    tasks: Supervisor,
}

impl Process {
    /// Starts an agent. Its QUIC sockets are created by `runtime`.
    pub async fn open(
        settings: Settings,
        tls: &Tls,
        runtime: Arc<dyn Runtime>,
        policy: chunk::Policy,
    ) -> Result<Self, Error> {
        let timing = settings.timing;
        let identity = Identity::new(settings.place.clone(), Role::Agent);
        let node = Node::bind(settings.listen.peer, identity, tls, timing, runtime)
            .map_err(Error::Node)?;
        let engine: Arc<dyn Engine> = Arc::new(engine::HttpEngine::new(
            settings.backend.address,
            timing.call_timeout,
        ));
        let store = settings.store.map(|address| {
            let client =
                store::HttpStore::new(address, timing.call_timeout, &settings.place.region);
            Arc::new(client) as Arc<dyn Store>
        });
        let admin = settings.listen.admin;
        let shared = Shared::new(settings, node.clone(), engine, store, policy);
        let registry = shared.metrics.registry();
        let admin = Admin::open(admin, Arc::clone(&shared), registry, &shared.tasks)
            .await
            .map_err(Error::Admin)?;
        let handler = Arc::new(Handler::new(&shared));
        let mut tasks = Supervisor::new(&shared.tasks, restart::Policy::default());
        tasks.spawn("accept", move || {
            link::accept(node.clone(), Arc::clone(&handler))
        });
        let state = Arc::clone(&shared);
        tasks.spawn("control", move || Controller::new(&state).run());
        event!(
            Info,
            "started",
            host = shared.settings.place.host,
            role = "agent"
        );
        Ok(Self {
            shared,
            admin,
            tasks,
        })
    }

    /// State shared by the agent's tasks.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: refuses new attempts, waits for attempts in flight, then closes.
    /// Returns the number of attempts cut off because they did not finish within the drain timeout.
    pub async fn close(self) -> usize {
        let shared = Arc::clone(&self.shared);
        shared.leaving.store(true, Ordering::Relaxed);
        event!(
            Info,
            "stopping",
            running = lock(&shared.admission).running()
        );
        let dequeued = lock(&shared.admission).drain(clock::now());
        attempt::start_waiting(&shared, dequeued);
        let deadline = clock::now() + shared.settings.timing.drain_timeout;
        let notice_end =
            clock::now() + shared.settings.timing.heartbeat_interval * LEAVE_NOTICE_HEARTBEATS;
        loop {
            let now = clock::now();
            let idle = lock(&shared.admission).running() == 0 && lock(&shared.responses).is_empty();
            if now >= deadline || (idle && now >= notice_end) {
                break;
            }
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let cut_off = lock(&shared.admission).running();
        self.terminate(cut_off).await;
        cut_off
    }

    /// Shuts down immediately and returns the number of attempts cut off.
    pub async fn abort(self) -> usize {
        let cut_off = lock(&self.shared.admission).running();
        self.terminate(cut_off).await;
        cut_off
    }

    async fn terminate(self, cut_off: usize) {
        self.admin.close();
        self.tasks.close();
        self.shared.peers.close();
        self.shared.node.clone().close().await;
        event!(Info, "stopped", cut_off = cut_off);
    }
}
