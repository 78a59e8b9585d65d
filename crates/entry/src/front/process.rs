//! Startup and graceful shutdown of an entry host on the platform.

use {
    crate::{
        front::{
            connection::Shutdown, disruption, gossip, listener::Listener, peers, quarantine,
            state::State, watch,
        },
        shared::lock,
    },
    jayspread_core::{restart::Policy, shutdown::Schedule},
    jayspread_net::{
        admin::{self, Admin},
        clock,
        datagram::{self, Identity, Socket},
        event,
        task::Supervisor,
        telemetry::Output,
    },
    jayspread_platform::{settings::Settings, store::Topic},
    jayspread_schema::peer::Role,
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// Interval between checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for which connections are awaited that are closed at once.
const CUT_OFF_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether they are closed.
const CUT_OFF_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Startup error.
#[derive(Debug)]
pub enum Error {
    /// The named address could not be bound.
    Bind(&'static str, io::Error),
    /// The settings have no address for callers or for the load balancer's health checks.
    MissingAddress,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(name, cause) => write!(f, "could not bind the {name} address: {cause}"),
            Error::MissingAddress => write!(
                f,
                "the settings have no address for callers or no address for readiness checks"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry host.
pub struct Process {
    state: Arc<State>,
    admin: Admin,
    peers: admin::Server,
    callers: Listener,
    balancer: Listener,
    tasks: Supervisor,
}

impl Process {
    /// Binds all ports and starts the background tasks.
    pub async fn open(settings: Settings, output: &Output) -> Result<Self, Error> {
        let (Some(caller_address), Some(readiness_address)) =
            (settings.caller_address, settings.readiness_address)
        else {
            return Err(Error::MissingAddress);
        };
        let ip = IpAddr::V4(settings.address);
        let internal_address = SocketAddr::new(ip, settings.internal_port);
        let admin_address = SocketAddr::new(ip, settings.options.admin_port);
        let identity = Identity {
            host: settings.host.clone(),
            address: settings.address,
            data_centre: settings.data_centre.clone(),
            role: Role::Entry,
            incarnation: datagram::incarnation(),
        };
        let bind_error = |name| move |cause| Error::Bind(name, cause);
        let socket = Socket::open(identity, settings.internal_port)
            .await
            .map_err(bind_error("datagram"))?;
        let state = State::new(settings, socket, output.dropped());
        let peers = admin::Server::open(
            "peers",
            internal_address,
            peers::router(Arc::clone(&state)),
            &state.tasks,
        )
        .await
        .map_err(bind_error("peer"))?;
        let registry = state.metrics.registry();
        let admin = Admin::open(admin_address, Arc::clone(&state), registry, &state.tasks)
            .await
            .map_err(bind_error("metrics"))?;
        let balancer = Listener::balancer(readiness_address, Arc::clone(&state))
            .await
            .map_err(bind_error("ready"))?;
        let callers = Listener::callers(caller_address, Arc::clone(&state))
            .await
            .map_err(bind_error("callers"))?;
        let tasks = start_tasks(&state);
        let identity = &state.socket.identity;
        event!(
            Info,
            "started",
            host = identity.host,
            role = "entry",
            address = identity.address,
            data_centre = identity.data_centre,
            incarnation = identity.incarnation
        );
        Ok(Self {
            state,
            admin,
            peers,
            callers,
            balancer,
            tasks,
        })
    }

    /// Shared state of the process.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Shuts down gracefully: reports that it is not ready, serves what the load balancer still
    /// sends, and waits until the callers have their answers or the grace period ends. Returns the
    /// number of connections that were cut off with something in hand.
    pub async fn close(self) -> usize {
        let started = clock::now();
        let schedule = Schedule::new(started, self.state.settings.bounds.shutdown_grace);
        let in_hand = || self.state.in_hand.load(Ordering::Acquire);
        event!(
            Info,
            "stopping",
            in_flight = self.state.in_flight.load(Ordering::Acquire),
            in_hand = in_hand()
        );
        self.state.socket.set_leaving();
        // `close` consumes the process, so the value is set only once.
        let _ = self.state.schedule.set(schedule);
        self.state.shutdown.send_replace(Shutdown::Stopping);
        gossip::tell_region(&self.state);
        self.state.heartbeat_due.notify_one();
        let is_busy = || in_hand() > 0 || lock(&self.state.quarantine).has_unchecked();
        while clock::now() < schedule.answer_by()
            && (clock::now() < schedule.listen_until() || is_busy())
        {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        if in_hand() > 0 {
            event!(Info, "answering", in_hand = in_hand());
            self.state.shutdown.send_replace(Shutdown::Answering);
        }
        while clock::now() < schedule.exit_by() && in_hand() > 0 {
            time::sleep(CUT_OFF_POLL_INTERVAL).await;
        }
        let cut_off = in_hand();
        event!(
            Info,
            "stopped",
            cut_off = cut_off,
            after_ms = clock::now().saturating_duration_since(started).as_millis()
        );
        quarantine::flush(&self.state);
        self.callers.close();
        self.state.shutdown.send_replace(Shutdown::CutOff);
        let cut_off_deadline = clock::now() + CUT_OFF_TIME;
        while in_hand() > 0 && clock::now() < cut_off_deadline {
            time::sleep(CUT_OFF_POLL_INTERVAL).await;
        }
        self.balancer.close();
        self.peers.close();
        self.admin.close();
        self.tasks.close();
        cut_off
    }
}

/// Starts the background tasks.
fn start_tasks(state: &Arc<State>) -> Supervisor {
    let mut tasks = Supervisor::new(&state.tasks, Policy::default());
    for (name, topic) in [
        ("watch_operator", Topic::Operator),
        ("watch_engines", Topic::Engines),
    ] {
        let state = Arc::clone(state);
        tasks.spawn(name, move || watch::run(Arc::clone(&state), topic));
    }
    let shared = Arc::clone(state);
    tasks.spawn("receive", move || gossip::receive(Arc::clone(&shared)));
    let shared = Arc::clone(state);
    tasks.spawn("gossip", move || gossip::run(Arc::clone(&shared)));
    let shared = Arc::clone(state);
    tasks.spawn("quarantine", move || quarantine::run(Arc::clone(&shared)));
    let shared = Arc::clone(state);
    tasks.spawn("disruption", move || disruption::run(Arc::clone(&shared)));
    tasks
}
