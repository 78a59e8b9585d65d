//! Starts and stops the process of an entry host.

use {
    crate::{
        callers::Server,
        handler::Handler,
        hosts::{self, Hosts},
        idempotency,
        log::{self, Log},
        log_reader, roster,
        shared::{Shared, lock},
    },
    jayspread_core::{restart, route::Policy},
    jayspread_net::{
        admin::Admin,
        cert::Tls,
        clock, event, link,
        node::{self, Identity, Node},
        task::Supervisor,
    },
    jayspread_schema::{settings::Entry as Settings, wire::Role},
    quinn::Runtime,
    std::{
        fmt, io,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// Time between reporting not ready and closing the port for callers, in which the load balancer
/// stops sending requests.
const LOAD_BALANCER_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error while starting an entry host.
#[derive(Debug)]
pub enum Error {
    /// The peer address could not be bound.
    Node(node::Error),
    /// The administration address could not be bound.
    Admin(io::Error),
    /// The address for callers could not be bound.
    Callers(io::Error),
    /// The settings contain no address for callers.
    NoCallers,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Node(cause) => write!(f, "could not bind listen.peer: {cause}"),
            Error::Admin(cause) => write!(f, "could not bind listen.admin: {cause}"),
            Error::Callers(cause) => write!(f, "could not bind listen.http: {cause}"),
            Error::NoCallers => write!(f, "listen.http is required"),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry host.
pub struct Process {
    shared: Arc<Shared>,
    admin: Admin,
    server: Server,
    tasks: Supervisor,
}

impl Process {
    /// Starts an entry host; `runtime` provides its QUIC sockets.
    pub async fn open(
        settings: Settings,
        tls: &Tls,
        runtime: Arc<dyn Runtime>,
        policy: Policy,
    ) -> Result<Self, Error> {
        let timing = settings.timing;
        let listen = settings.listen.clone();
        let http = listen.http.ok_or(Error::NoCallers)?;
        let identity = Identity::new(settings.place.clone(), Role::Entry);
        let node = Node::bind(listen.peer, identity, tls, timing, runtime).map_err(Error::Node)?;
        let log: Arc<dyn Log> = Arc::new(log::Http::new(settings.log, timing.call_timeout));
        let hosts: Arc<dyn Hosts> = Arc::new(hosts::Http::new(settings.hosts, timing.call_timeout));
        let shared = Shared::new(settings, node.clone(), log, hosts, policy);
        let registry = shared.metrics.registry();
        let admin = Admin::open(listen.admin, Arc::clone(&shared), registry, &shared.tasks)
            .await
            .map_err(Error::Admin)?;
        let server = Server::open(http, Arc::clone(&shared))
            .await
            .map_err(Error::Callers)?;
        let handler = Arc::new(Handler::new(&shared));
        let mut tasks = start_tasks(&shared);
        tasks.spawn("accept", move || {
            link::accept(node.clone(), Arc::clone(&handler))
        });
        event!(
            Info,
            "started",
            host = shared.settings.place.host,
            role = "entry"
        );
        Ok(Self {
            shared,
            admin,
            server,
            tasks,
        })
    }

    /// Returns the state shared by the entry host's tasks.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: reports not ready, accepts requests until the load balancer has
    /// noticed, waits for those in flight, then closes. Returns the number of requests that the
    /// drain timeout aborted.
    pub async fn close(self) -> usize {
        let shared = Arc::clone(&self.shared);
        let drain_deadline = clock::now() + shared.settings.timing.drain_timeout;
        shared.shutting_down.store(true, Ordering::Relaxed);
        event!(
            Info,
            "stopping",
            calls = shared.active_calls.load(Ordering::Relaxed)
        );
        time::sleep(LOAD_BALANCER_DELAY.min(shared.settings.timing.drain_timeout)).await;
        self.server
            .close(drain_deadline.saturating_duration_since(clock::now()))
            .await;
        while clock::now() < drain_deadline && !is_idle(&shared) {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let aborted = shared.active_calls.load(Ordering::Relaxed);
        stop(&shared, self.admin, self.tasks, aborted).await;
        aborted
    }

    /// Stops immediately and returns the number of requests that were aborted.
    pub async fn abort(self) -> usize {
        let aborted = self.shared.active_calls.load(Ordering::Relaxed);
        self.server.close(Duration::ZERO).await;
        stop(&self.shared, self.admin, self.tasks, aborted).await;
        aborted
    }
}

/// Starts the background tasks.
fn start_tasks(shared: &Arc<Shared>) -> Supervisor {
    let mut tasks = Supervisor::new(&shared.tasks, restart::Policy::default());
    let state = Arc::clone(shared);
    tasks.spawn("log_reader", move || log_reader::run(Arc::clone(&state)));
    let state = Arc::clone(shared);
    tasks.spawn("checkpoints", move || {
        log_reader::write_checkpoints(Arc::clone(&state))
    });
    let state = Arc::clone(shared);
    tasks.spawn("claims", move || idempotency::run(Arc::clone(&state)));
    let state = Arc::clone(shared);
    tasks.spawn("roster", move || roster::run(Arc::clone(&state)));
    tasks
}

fn is_idle(shared: &Shared) -> bool {
    shared.active_calls.load(Ordering::Relaxed) == 0 && shared.claims.is_idle()
}

async fn stop(shared: &Shared, admin: Admin, tasks: Supervisor, aborted: usize) {
    admin.close();
    tasks.close();
    lock(&shared.links).clear();
    shared.node.clone().close().await;
    event!(Info, "stopped", cut_off = aborted);
}
