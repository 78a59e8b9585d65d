//! Starting and stopping an agent.

use {
    crate::{
        control::Control,
        engine::{self, Engine},
        handler::Handler,
        shared::{Shared, lock},
        store::{self, Store},
        work,
    },
    jayspread_core::chunk::Policy,
    jayspread_net::{
        admin::Admin,
        cert::Tls,
        clock, event, link,
        node::{self, Identity, Node},
    },
    jayspread_schema::{settings::Agent as Settings, wire::Role},
    quinn::Runtime,
    std::{
        fmt, io,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{task::JoinHandle, time},
};

/// Interval of looking whether attempts in flight have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Heartbeats for which a stopping agent stays, so that entry hosts learn of it.
const FAREWELL_BEATS: u32 = 2;

/// Error of starting an agent.
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

/// A running agent.
pub struct Process {
    shared: Arc<Shared>,
    admin: Admin,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts an agent whose sockets come from `runtime`.
    pub async fn open(
        settings: Settings,
        tls: &Tls,
        runtime: Arc<dyn Runtime>,
        policy: Policy,
    ) -> Result<Self, Error> {
        let timing = settings.timing;
        let identity = Identity::new(settings.place.clone(), Role::Agent);
        let node = Node::bind(settings.listen.peer, identity, tls, timing, runtime)
            .map_err(Error::Node)?;
        let engine: Arc<dyn Engine> = Arc::new(engine::Http::new(
            settings.backend.address,
            timing.call_timeout,
        ));
        let store = settings.store.map(|address| {
            let client = store::Http::new(address, timing.call_timeout, &settings.place.region);
            Arc::new(client) as Arc<dyn Store>
        });
        let admin = settings.listen.admin;
        let shared = Shared::new(settings, node.clone(), engine, store, policy);
        let registry = shared.metrics.registry();
        let admin = Admin::open(admin, Arc::clone(&shared), registry)
            .await
            .map_err(Error::Admin)?;
        let handler = Arc::new(Handler::new(&shared));
        let tasks = vec![
            tokio::spawn(link::accept(node, handler)),
            tokio::spawn(Control::new(&shared).run()),
        ];
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

    /// State of the agent.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops in order: refuses new work, lets attempts in flight end, then closes. Returns the
    /// number of attempts that were cut off because they took longer than the drain limit.
    pub async fn close(self) -> usize {
        let shared = Arc::clone(&self.shared);
        shared.leaving.store(true, Ordering::Relaxed);
        event!(Info, "stopping", running = lock(&shared.admit).running());
        let turns = lock(&shared.admit).drain(clock::now());
        work::start_turns(&shared, turns);
        let due = clock::now() + shared.settings.timing.drain_timeout;
        let farewell = clock::now() + shared.settings.timing.heartbeat_interval * FAREWELL_BEATS;
        loop {
            let now = clock::now();
            let idle = lock(&shared.admit).running() == 0 && lock(&shared.answers).is_empty();
            if now >= due || (idle && now >= farewell) {
                break;
            }
            time::sleep(DRAIN_POLL).await;
        }
        let cut = lock(&shared.admit).running();
        self.end(cut).await;
        cut
    }

    /// Ends at once and returns the number of attempts that were cut off.
    pub async fn abort(self) -> usize {
        let cut = lock(&self.shared.admit).running();
        self.end(cut).await;
        cut
    }

    async fn end(self, cut: usize) {
        self.admin.close();
        for task in self.tasks {
            task.abort();
        }
        self.shared.peers.close();
        self.shared.node.clone().close().await;
        event!(Info, "stopped", cut_off = cut);
    }
}
