//! UDP datagrams between the processes of a deployment.

use {
    crate::{event, panic},
    jayspread_schema::peer::{Member, Packet, Role, packet::Body},
    prometheus_client::metrics::counter::Counter,
    prost::Message,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::UdpSocket, time},
};

/// Largest datagram received, bytes; enough for a list of a few hundred members.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Number of low bits of an incarnation that are random.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Delay after a failed receive; keeps a broken socket from causing a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identity of the sending process, part of each datagram.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the host.
    pub host: Box<str>,
    /// IP address of the host.
    pub address: Ipv4Addr,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Role of the process.
    pub role: Role,
    /// Incarnation at the start of the process; see [`incarnation`].
    pub incarnation: u64,
}

/// Incarnation of a process that starts now: the time, so that it usually exceeds that of the
/// host's previous process, and random low bits, so that it differs from it in any case.
pub fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = now.map_or(0, |since| since.as_millis() as u64);
    ms << INCARNATION_RANDOM_BITS | rand::random::<u64>() >> (u64::BITS - INCARNATION_RANDOM_BITS)
}

/// UDP socket; all hosts use the same port.
pub struct Socket {
    socket: UdpSocket,
    port: u16,
    /// Identity of this process.
    pub identity: Identity,
    /// Current incarnation; it exceeds that of `identity` after false claims about this process.
    incarnation: AtomicU64,
    leaving: AtomicBool,
}

impl Socket {
    /// Binds to the address of `identity`.
    pub async fn open(identity: Identity, port: u16) -> io::Result<Self> {
        let address = SocketAddrV4::new(identity.address, port);
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            port,
            incarnation: AtomicU64::new(identity.incarnation),
            identity,
            leaving: AtomicBool::new(false),
        })
    }

    /// Marks this process as leaving in all further datagrams.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets the incarnation that further datagrams state.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Encodes a packet with this process's identity and `body`.
    pub fn encode(&self, body: Body) -> Vec<u8> {
        self.encode_with(body, Vec::new(), 0)
    }

    /// Encodes a packet that also passes on changes of membership; `digest` is that of the group as
    /// this process sees it.
    pub fn encode_with(&self, body: Body, updates: Vec<Member>, digest: u64) -> Vec<u8> {
        let packet = Packet {
            host: self.identity.host.to_string(),
            incarnation: self.incarnation.load(Ordering::Relaxed),
            address: self.identity.address.to_bits(),
            data_centre: self.identity.data_centre.to_string(),
            role: self.identity.role.into(),
            leaving: self.leaving.load(Ordering::Relaxed),
            updates,
            digest,
            body: Some(body),
        };
        packet.encode_to_vec()
    }

    /// Sends an encoded packet without waiting; drops it if the send buffer is full.
    pub fn send(&self, packet: &[u8], to: Ipv4Addr) -> io::Result<()> {
        let to = SocketAddr::from(SocketAddrV4::new(to, self.port));
        match self.socket.try_send_to(packet, to) {
            Ok(_) => Ok(()),
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(cause) => Err(cause),
        }
    }

    /// Receives until the task is aborted and passes each packet to `on_packet`; `malformed` counts
    /// datagrams that cannot be decoded.
    pub async fn listen(&self, malformed: &Counter, mut on_packet: impl FnMut(Packet)) {
        let mut buffer = Vec::new();
        loop {
            match self.receive(&mut buffer).await {
                Ok(packet) => {
                    let host = packet.host.clone();
                    if let Err(panic) = panic::catch(|| on_packet(packet)) {
                        malformed.inc();
                        event!(Error, "datagram_panicked", host = host, reason = panic);
                    }
                }
                Err(cause) if cause.kind() == io::ErrorKind::InvalidData => {
                    malformed.inc();
                    event!(Warn, "datagram_malformed", reason = cause);
                }
                Err(cause) => {
                    event!(Warn, "receive_failed", reason = cause);
                    time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Receives the next packet; `Err(InvalidData)` for one that cannot be decoded.
    async fn receive(&self, buffer: &mut Vec<u8>) -> io::Result<Packet> {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        let (length, _) = self.socket.recv_from(buffer).await?;
        Packet::decode(&buffer[..length])
            .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}
