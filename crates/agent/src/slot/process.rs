//! Starting and stopping an agent on the platform.

use {
    crate::slot::{control::Control, gossip, serve, tables::Slot},
    jayspread_net::{
        admin::{self, Admin},
        datagram::{Identity, Socket},
        event,
    },
    jayspread_platform::settings::Settings,
    jayspread_schema::peer::Role,
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tokio::task::JoinHandle,
};

/// Error of starting.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind(&'static str, io::Error),
    /// The settings name no engine.
    NoEngine,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(what, cause) => write!(f, "could not bind the {what} address: {cause}"),
            Error::NoEngine => write!(f, "the settings name no engine"),
        }
    }
}

impl std::error::Error for Error {}

/// A running agent.
pub struct Process {
    slot: Arc<Slot>,
    admin: Admin,
    peers: admin::Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts an agent.
    pub async fn open(settings: Settings) -> Result<Self, Error> {
        let engine = settings.engine_address.ok_or(Error::NoEngine)?;
        let ip = IpAddr::V4(settings.address);
        let inner = SocketAddr::new(ip, settings.internal_port);
        let metrics = SocketAddr::new(ip, settings.options.admin_port);
        let identity = Identity {
            host: settings.host.clone(),
            address: settings.address,
            data_centre: settings.data_centre.clone(),
            role: Role::Agent,
            incarnation: rand::random(),
        };
        let bind = |what| move |cause| Error::Bind(what, cause);
        let socket = Socket::open(identity, settings.internal_port)
            .await
            .map_err(bind("datagram"))?;
        let slot = Slot::new(settings, engine, socket);
        let peers = admin::Server::open(inner, serve::router(Arc::clone(&slot)))
            .await
            .map_err(bind("peer"))?;
        let registry = slot.metrics.registry();
        let admin = Admin::open(metrics, Arc::clone(&slot), registry)
            .await
            .map_err(bind("metrics"))?;
        let tasks = vec![
            tokio::spawn(gossip::receive(Arc::clone(&slot))),
            tokio::spawn(gossip::reports(Arc::clone(&slot))),
            tokio::spawn(Control::new(&slot).run()),
        ];
        let identity = &slot.socket.identity;
        event!(
            Info,
            "started",
            host = identity.host,
            role = "agent",
            engine = slot.engine,
            data_centre = identity.data_centre,
            incarnation = identity.incarnation
        );
        Ok(Self {
            slot,
            admin,
            peers,
            tasks,
        })
    }

    /// State of the process.
    pub fn slot(&self) -> &Arc<Slot> {
        &self.slot
    }

    /// Ends. The engine goes on serving; the next agent finds its state by reading it.
    pub fn close(self) {
        self.slot.socket.set_leaving();
        for task in self.tasks {
            task.abort();
        }
        self.peers.close();
        self.admin.close();
        event!(Info, "stopped", host = self.slot.settings.host);
    }
}
