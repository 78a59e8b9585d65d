//! This process's QUIC endpoint: accepting and dialling with mutual TLS and a typed hello.

use {
    crate::{
        cert::{self, Tls},
        frame,
        session::{self, Session, Writer},
    },
    jayspread_schema::{
        settings::{Place, Timing},
        wire::{Hello, Role, ask, reply},
    },
    quinn::{
        ClientConfig, Connection, Endpoint, EndpointConfig, IdleTimeout, Incoming, Runtime,
        ServerConfig, TransportConfig, VarInt,
    },
    std::{
        fmt, io,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time,
};

/// Version of the protocol between processes.
pub const PROTOCOL_VERSION: u32 = 1;
/// Streams that a peer may have open at once.
const STREAMS: u32 = 1024;
/// Receive window of one stream, bytes.
const STREAM_WINDOW: u32 = 1024 * 1024;
/// Receive window of one connection, bytes.
const CONNECTION_WINDOW: u32 = 8 * 1024 * 1024;
/// Bytes queued for sending on one connection.
const SEND_WINDOW: u64 = 4 * 1024 * 1024;
/// Bytes of heartbeats queued on one connection.
const DATAGRAM_BUFFER: usize = 16 * 1024;
/// Round-trip time assumed before the first sample.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Idle time after which a connection ends, as a multiple of the silence limit.
const IDLE_FACTOR: u32 = 3;
/// Longest name in a hello, bytes.
const NAME_MAX: usize = 128;

/// Error of opening a connection.
#[derive(Debug)]
pub enum Error {
    /// The socket could not be opened.
    Socket(io::Error),
    /// The handshake failed or took too long.
    Handshake(Box<str>),
    /// The peer speaks another protocol version.
    Protocol(u32),
    /// The peer's certificate does not belong to the host that it names.
    InvalidName(Box<str>),
    /// The hello broke off or is malformed.
    Hello(frame::Error),
    /// Another process answers at the address.
    UnexpectedHost(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Socket(cause) => write!(f, "socket: {cause}"),
            Error::Handshake(cause) => write!(f, "handshake: {cause}"),
            Error::Protocol(version) => write!(f, "peer speaks protocol {version}"),
            Error::InvalidName(name) => write!(f, "certificate does not belong to '{name}'"),
            Error::Hello(cause) => write!(f, "hello: {cause}"),
            Error::UnexpectedHost(name) => write!(f, "'{name}' answers instead"),
        }
    }
}

impl std::error::Error for Error {}

impl From<frame::Error> for Error {
    fn from(cause: frame::Error) -> Self {
        Error::Hello(cause)
    }
}

/// This process as its peers see it.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name and place of the host.
    pub place: Place,
    /// Role of the process.
    pub role: Role,
    /// Random number of this life of the process; never 0.
    pub incarnation: u64,
}

impl Identity {
    /// Creates the identity of a process that has just started.
    pub fn new(place: Place, role: Role) -> Self {
        Self {
            place,
            role,
            incarnation: rand::random::<u64>().max(1),
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            host: self.place.host.to_string(),
            data_centre: self.place.data_centre.to_string(),
            region: self.place.region.to_string(),
            role: self.role.into(),
            incarnation: self.incarnation,
        }
    }
}

/// The QUIC endpoint of a process.
#[derive(Clone)]
pub struct Node {
    endpoint: Endpoint,
    /// This process.
    pub identity: Arc<Identity>,
    client: ClientConfig,
    runtime: Arc<dyn Runtime>,
    /// Intervals.
    pub timing: Timing,
    /// Heartbeats sent so far, over all connections.
    beats: Arc<AtomicU64>,
}

impl Node {
    /// Binds the endpoint to `address`; `runtime` supplies sockets and timers.
    pub fn bind(
        address: SocketAddr,
        identity: Identity,
        tls: &Tls,
        timing: Timing,
        runtime: Arc<dyn Runtime>,
    ) -> Result<Self, Error> {
        let transport = Arc::new(transport(timing));
        let mut server = ServerConfig::with_crypto(tls.server.clone());
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(tls.client.clone());
        client.transport_config(transport);
        let endpoint = open(address, Some(server), &runtime)?;
        Ok(Self {
            endpoint,
            identity: Arc::new(identity),
            client,
            runtime,
            timing,
            beats: Arc::default(),
        })
    }

    /// Sequence number of the next heartbeat; goes up over all connections of this life.
    pub fn next_sequence(&self) -> u64 {
        self.beats.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Address that the endpoint is bound to.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.endpoint.local_addr().map_err(Error::Socket)
    }

    /// Waits for the next incoming connection; nothing comes after the close.
    pub async fn incoming(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Completes an incoming connection and exchanges hellos.
    pub async fn accept(&self, incoming: Incoming) -> Result<Session, Error> {
        let exchange = async {
            let connection = incoming.await.map_err(handshake)?;
            self.receive_hello(connection).await
        };
        self.in_time(exchange).await
    }

    /// Dials `host` at `address`, from a new local port when `fresh`.
    pub async fn dial(
        &self,
        address: SocketAddr,
        host: &str,
        fresh: bool,
    ) -> Result<Session, Error> {
        let own = if fresh {
            let local = SocketAddr::new(self.address()?.ip(), 0);
            Some(open(local, None, &self.runtime)?)
        } else {
            None
        };
        let endpoint = own.as_ref().unwrap_or(&self.endpoint);
        let name = cert::server_name(host);
        let connecting = endpoint
            .connect_with(self.client.clone(), address, &name)
            .map_err(handshake)?;
        let exchange = async {
            let connection = connecting.await.map_err(handshake)?;
            self.send_hello(connection).await
        };
        let (connection, peer) = self.in_time(exchange).await?;
        if peer.host != host {
            return Err(Error::UnexpectedHost(peer.host.into()));
        }
        Ok(Session::new(connection, peer, own))
    }

    /// Ends all connections; the address is free once no task holds the endpoint any more.
    pub async fn close(self) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
        let _ = time::timeout(self.timing.call_timeout, self.endpoint.wait_idle()).await;
    }

    async fn in_time<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        match time::timeout(self.timing.silence_timeout, exchange).await {
            Ok(done) => done,
            Err(_) => Err(Error::Handshake("timed out".into())),
        }
    }

    async fn receive_hello(&self, connection: Connection) -> Result<Session, Error> {
        let (send, mut recv) = connection.accept_bi().await.map_err(handshake)?;
        let ask::Kind::Hello(peer) = session::read_request(&mut recv).await? else {
            return Err(Error::Hello(frame::Error::UnknownKind));
        };
        check(&peer)?;
        if !cert::matches_host(connection.peer_identity(), &peer.host) {
            return Err(Error::InvalidName(peer.host.into()));
        }
        let mut writer = Writer::new(send);
        writer
            .write(reply::Kind::Hello(self.identity.hello()))
            .await?;
        writer.close();
        Ok(Session::new(connection, peer, None))
    }

    async fn send_hello(&self, connection: Connection) -> Result<(Connection, Hello), Error> {
        let placeholder = Hello::default();
        let session = Session::new(connection.clone(), placeholder, None);
        let kind = ask::Kind::Hello(self.identity.hello());
        let answer = session.call(kind, self.timing.silence_timeout).await?;
        let reply::Kind::Hello(peer) = answer else {
            return Err(Error::Hello(frame::Error::UnknownKind));
        };
        check(&peer)?;
        Ok((connection, peer))
    }
}

fn check(peer: &Hello) -> Result<(), Error> {
    if peer.protocol != PROTOCOL_VERSION {
        return Err(Error::Protocol(peer.protocol));
    }
    let names = [&peer.host, &peer.data_centre, &peer.region];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > NAME_MAX)
    {
        return Err(Error::InvalidName("".into()));
    }
    Ok(())
}

fn handshake(cause: impl fmt::Display) -> Error {
    Error::Handshake(cause.to_string().into())
}

fn open(
    address: SocketAddr,
    server: Option<ServerConfig>,
    runtime: &Arc<dyn Runtime>,
) -> Result<Endpoint, Error> {
    let socket = UdpSocket::bind(address).map_err(Error::Socket)?;
    let socket = runtime.wrap_udp_socket(socket).map_err(Error::Socket)?;
    let config = EndpointConfig::default();
    Endpoint::new_with_abstract_socket(config, server, socket, Arc::clone(runtime))
        .map_err(Error::Socket)
}

fn transport(timing: Timing) -> TransportConfig {
    let idle = timing.silence_timeout * IDLE_FACTOR;
    let idle = IdleTimeout::try_from(idle).expect("settings bound the silence limit");
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(SEND_WINDOW)
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .initial_rtt(INITIAL_RTT);
    transport
}
