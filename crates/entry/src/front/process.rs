//! Starting and stopping an entry host on the platform.

use {
    crate::front::{callers::Port, gossip, peers, site::Site, watch},
    jayspread_net::{
        admin::{self, Admin},
        clock,
        datagram::{Identity, Socket},
        event,
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
    tokio::{task::JoinHandle, time},
};

/// Time after the stop signal in which the balancer still sends new connections: it asks once a
/// second and believes the second answer.
const BALANCER_NOTICE: Duration = Duration::from_millis(3_200);
/// Time after the stop signal from which requests are refused: what begins later might not end inside
/// the grace time. The balancer sends to a stopping host for as long as too few others are ready.
const LAST_TAKEN: Duration = Duration::from_millis(2_800);
/// Part of the grace time that is kept free for ending.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// Interval of looking whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Error of starting.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind(&'static str, io::Error),
    /// The settings name no address for callers or the balancer.
    NoCallers,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(what, cause) => write!(f, "could not bind the {what} address: {cause}"),
            Error::NoCallers => write!(f, "the settings name no address for callers"),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry host.
pub struct Process {
    site: Arc<Site>,
    admin: Admin,
    peers: admin::Server,
    callers: Port,
    balancer: Port,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts an entry host.
    pub async fn open(settings: Settings, output: &Output) -> Result<Self, Error> {
        let (Some(callers), Some(ready)) = (settings.caller_address, settings.readiness_address)
        else {
            return Err(Error::NoCallers);
        };
        let ip = IpAddr::V4(settings.address);
        let inner = SocketAddr::new(ip, settings.internal_port);
        let metrics = SocketAddr::new(ip, settings.options.admin_port);
        let identity = Identity {
            host: settings.host.clone(),
            address: settings.address,
            data_centre: settings.data_centre.clone(),
            role: Role::Entry,
            incarnation: rand::random(),
        };
        let bind = |what| move |cause| Error::Bind(what, cause);
        let socket = Socket::open(identity, settings.internal_port)
            .await
            .map_err(bind("datagram"))?;
        let site = Site::new(settings, socket, output.dropped());
        let peers = admin::Server::open(inner, peers::router(Arc::clone(&site)))
            .await
            .map_err(bind("peer"))?;
        let registry = site.metrics.registry();
        let admin = Admin::open(metrics, Arc::clone(&site), registry)
            .await
            .map_err(bind("metrics"))?;
        let balancer = Port::balancer(ready, Arc::clone(&site))
            .await
            .map_err(bind("ready"))?;
        let callers = Port::callers(callers, Arc::clone(&site))
            .await
            .map_err(bind("callers"))?;
        let tasks = vec![
            tokio::spawn(watch::run(Arc::clone(&site), Topic::Operator)),
            tokio::spawn(watch::run(Arc::clone(&site), Topic::Engines)),
            tokio::spawn(gossip::receive(Arc::clone(&site))),
            tokio::spawn(gossip::beats(Arc::clone(&site))),
        ];
        let identity = &site.socket.identity;
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
            site,
            admin,
            peers,
            callers,
            balancer,
            tasks,
        })
    }

    /// State of the process.
    pub fn state(&self) -> &Arc<Site> {
        &self.site
    }

    /// Stops in order: says that it is not ready, takes what the balancer still sends, lets the
    /// requests in flight end inside the grace time, then ends. Returns how many were cut off.
    pub async fn close(self) -> usize {
        let began = clock::now();
        let grace = self.site.settings.bounds.shutdown_grace;
        let due = began + grace.saturating_sub(GRACE_RESERVE);
        let notice = began + BALANCER_NOTICE.min(grace / 2);
        let running = || self.site.calls.load(Ordering::Acquire);
        event!(Info, "stopping", in_flight = running());
        self.site.socket.set_leaving();
        let last = began + LAST_TAKEN.min(grace / 2);
        // A second stop cannot come: the process is consumed by the first.
        let _ = self.site.closed_from.set(last);
        self.site.leaving.send_replace(true);
        self.site.news.notify_one();
        while clock::now() < due && (clock::now() < notice || running() > 0) {
            time::sleep(DRAIN_POLL).await;
        }
        let cut = running();
        event!(
            Info,
            "stopped",
            cut_off = cut,
            after_ms = clock::now().saturating_duration_since(began).as_millis()
        );
        self.callers.close();
        self.balancer.close();
        self.peers.close();
        self.admin.close();
        for task in self.tasks {
            task.abort();
        }
        cut
    }
}
