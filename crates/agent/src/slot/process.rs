//! Startup and shutdown of an agent on the platform.

use {
    crate::slot::{control::Controller, gossip, serve, shared::Shared},
    jayspread_core::restart::Policy,
    jayspread_net::{
        admin::{self, Admin},
        datagram::{self, Identity, Socket},
        event,
        task::Supervisor,
    },
    jayspread_platform::settings::Settings,
    jayspread_schema::peer::Role,
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// Startup error.
#[derive(Debug)]
pub enum Error {
    /// The address for this purpose could not be bound.
    Bind(&'static str, io::Error),
    /// The settings contain no engine address.
    NoEngine,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(purpose, cause) => {
                write!(f, "could not bind the {purpose} address: {cause}")
            }
            Error::NoEngine => write!(f, "the settings contain no engine address"),
        }
    }
}

impl std::error::Error for Error {}

/// An agent on the platform, running until it is closed.
pub struct Process {
    shared: Arc<Shared>,
    admin: Admin,
    peer_port: admin::Server,
    tasks: Supervisor,
}

impl Process {
    /// Binds the sockets and starts the agent's tasks.
    pub async fn open(settings: Settings) -> Result<Self, Error> {
        let engine = settings.engine_address.ok_or(Error::NoEngine)?;
        let ip = IpAddr::V4(settings.address);
        let peer_address = SocketAddr::new(ip, settings.internal_port);
        let admin_address = SocketAddr::new(ip, settings.options.admin_port);
        let identity = Identity {
            host: settings.host.clone(),
            address: settings.address,
            data_centre: settings.data_centre.clone(),
            role: Role::Agent,
            incarnation: datagram::incarnation(),
        };
        let bind = |purpose| move |cause| Error::Bind(purpose, cause);
        let socket = Socket::open(identity, settings.internal_port)
            .await
            .map_err(bind("datagram"))?;
        let shared = Shared::new(settings, engine, socket);
        let peer_port = admin::Server::open(
            "peers",
            peer_address,
            serve::router(Arc::clone(&shared)),
            &shared.tasks,
        )
        .await
        .map_err(bind("peer"))?;
        let registry = shared.metrics.registry();
        let admin = Admin::open(admin_address, Arc::clone(&shared), registry, &shared.tasks)
            .await
            .map_err(bind("metrics"))?;
        let tasks = start_tasks(&shared);
        let identity = &shared.socket.identity;
        event!(
            Info,
            "started",
            host = identity.host,
            role = "agent",
            engine = shared.engine_address,
            data_centre = identity.data_centre,
            incarnation = identity.incarnation
        );
        Ok(Self {
            shared,
            admin,
            peer_port,
            tasks,
        })
    }

    /// State shared by the agent's tasks.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the agent. The engine keeps serving, and the next agent reads its state from it.
    pub fn close(self) {
        self.shared.socket.set_leaving();
        self.tasks.close();
        self.peer_port.close();
        self.admin.close();
        event!(Info, "stopped", host = self.shared.settings.host);
    }
}

/// Starts the background tasks.
fn start_tasks(shared: &Arc<Shared>) -> Supervisor {
    let mut tasks = Supervisor::new(&shared.tasks, Policy::default());
    let state = Arc::clone(shared);
    tasks.spawn("receive", move || gossip::receive(Arc::clone(&state)));
    let state = Arc::clone(shared);
    tasks.spawn("gossip", move || gossip::run(Arc::clone(&state)));
    let state = Arc::clone(shared);
    tasks.spawn("control", move || Controller::new(&state).run());
    tasks
}
