//! QUIC endpoint of a process: accepts and opens connections with mutual TLS and a hello exchange.

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

/// Version of the protocol between processes; both ends must have the same.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum number of concurrent streams opened by a peer.
const MAX_STREAMS: u32 = 1024;
/// Flow-control receive window of a stream, bytes.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
/// Flow-control receive window of a connection, bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// Maximum data sent but not acknowledged on a connection, bytes.
const SEND_WINDOW_BYTES: u64 = 4 * 1024 * 1024;
/// Size of the datagram send and receive buffers of a connection, bytes; they hold heartbeats.
const DATAGRAM_BUFFER_BYTES: usize = 16 * 1024;
/// Round-trip time assumed before the first sample.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// QUIC idle timeout as a multiple of the silence timeout.
const IDLE_TIMEOUT_FACTOR: u32 = 3;
/// Maximum length of a name in a hello, bytes.
const MAX_NAME_BYTES: usize = 128;

/// Error of opening a connection.
#[derive(Debug)]
pub enum Error {
    /// The UDP socket or endpoint could not be created.
    Socket(io::Error),
    /// The QUIC or TLS handshake failed, or the handshake with the hello exchange timed out.
    Handshake(Box<str>),
    /// The peer uses another protocol version.
    Protocol(u32),
    /// The peer's certificate is not valid for its host name, or a name in its hello is empty or too
    /// long.
    InvalidName(Box<str>),
    /// The hello is incomplete or malformed.
    Hello(frame::Error),
    /// Another host answers at the address.
    UnexpectedHost(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Socket(cause) => write!(f, "socket: {cause}"),
            Error::Handshake(cause) => write!(f, "handshake: {cause}"),
            Error::Protocol(version) => write!(f, "peer uses protocol version {version}"),
            Error::InvalidName(name) => write!(f, "certificate is not valid for '{name}'"),
            Error::Hello(cause) => write!(f, "hello: {cause}"),
            Error::UnexpectedHost(name) => write!(f, "peer is '{name}', another host was expected"),
        }
    }
}

impl std::error::Error for Error {}

impl From<frame::Error> for Error {
    fn from(cause: frame::Error) -> Self {
        Error::Hello(cause)
    }
}

/// Identity of a process, sent to its peers in the hello.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Host name, data centre and region.
    pub place: Place,
    /// Role of the process.
    pub role: Role,
    /// Random number chosen each time the process starts; never 0.
    pub incarnation: u64,
}

impl Identity {
    /// Creates an identity with a new incarnation.
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
    /// Identity of this process.
    pub identity: Arc<Identity>,
    client: ClientConfig,
    runtime: Arc<dyn Runtime>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Number of heartbeats sent over all connections.
    heartbeats: Arc<AtomicU64>,
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
        let transport = Arc::new(transport_config(timing));
        let mut server = ServerConfig::with_crypto(tls.server.clone());
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(tls.client.clone());
        client.transport_config(transport);
        let endpoint = open_endpoint(address, Some(server), &runtime)?;
        Ok(Self {
            endpoint,
            identity: Arc::new(identity),
            client,
            runtime,
            timing,
            heartbeats: Arc::default(),
        })
    }

    /// Returns the sequence number of the next heartbeat; increases over all connections of this process.
    pub fn next_sequence(&self) -> u64 {
        self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Local address of the endpoint.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.endpoint.local_addr().map_err(Error::Socket)
    }

    /// Waits for the next incoming connection; returns `None` once the endpoint is closed.
    pub async fn incoming(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Completes the handshake of an incoming connection and exchanges hellos.
    pub async fn accept(&self, incoming: Incoming) -> Result<Session, Error> {
        let exchange = async {
            let connection = incoming.await.map_err(handshake_error)?;
            self.receive_hello(connection).await
        };
        self.with_timeout(exchange).await
    }

    /// Connects to `host` at `address`, from a new local port if `new_port` is set.
    pub async fn dial(
        &self,
        address: SocketAddr,
        host: &str,
        new_port: bool,
    ) -> Result<Session, Error> {
        let new_endpoint = if new_port {
            let local = SocketAddr::new(self.address()?.ip(), 0);
            Some(open_endpoint(local, None, &self.runtime)?)
        } else {
            None
        };
        let endpoint = new_endpoint.as_ref().unwrap_or(&self.endpoint);
        let name = cert::server_name(host);
        let connecting = endpoint
            .connect_with(self.client.clone(), address, &name)
            .map_err(handshake_error)?;
        let exchange = async {
            let connection = connecting.await.map_err(handshake_error)?;
            self.send_hello(connection).await
        };
        let (connection, peer) = self.with_timeout(exchange).await?;
        if peer.host != host {
            return Err(Error::UnexpectedHost(peer.host.into()));
        }
        Ok(Session::new(connection, peer, new_endpoint))
    }

    /// Closes all connections; the address is released once the last clone of this node is dropped.
    pub async fn close(self) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
        let _ = time::timeout(self.timing.call_timeout, self.endpoint.wait_idle()).await;
    }

    async fn with_timeout<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        match time::timeout(self.timing.silence_timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Handshake("timed out".into())),
        }
    }

    async fn receive_hello(&self, connection: Connection) -> Result<Session, Error> {
        let (send, mut recv) = connection.accept_bi().await.map_err(handshake_error)?;
        let ask::Kind::Hello(peer) = session::read_request(&mut recv).await? else {
            return Err(Error::Hello(frame::Error::UnknownKind));
        };
        check_hello(&peer)?;
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
        let reply = session.call(kind, self.timing.silence_timeout).await?;
        let reply::Kind::Hello(peer) = reply else {
            return Err(Error::Hello(frame::Error::UnknownKind));
        };
        check_hello(&peer)?;
        Ok((connection, peer))
    }
}

fn check_hello(peer: &Hello) -> Result<(), Error> {
    if peer.protocol != PROTOCOL_VERSION {
        return Err(Error::Protocol(peer.protocol));
    }
    let names = [&peer.host, &peer.data_centre, &peer.region];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
    {
        return Err(Error::InvalidName("".into()));
    }
    Ok(())
}

fn handshake_error(cause: impl fmt::Display) -> Error {
    Error::Handshake(cause.to_string().into())
}

fn open_endpoint(
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

fn transport_config(timing: Timing) -> TransportConfig {
    let idle_timeout = timing.silence_timeout * IDLE_TIMEOUT_FACTOR;
    let idle_timeout =
        IdleTimeout::try_from(idle_timeout).expect("settings limit the silence timeout");
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle_timeout))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .initial_rtt(INITIAL_RTT);
    transport
}
