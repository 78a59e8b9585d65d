//! Datagrams between processes of one site.

use {
    crate::event,
    jayspread_schema::peer::{Member, Packet, Role, packet::Body},
    prometheus_client::metrics::counter::Counter,
    prost::Message,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{net::UdpSocket, time},
};

/// Largest datagram taken, bytes; a member list of a few hundred hosts fits.
const SIZE_MAX: usize = 60_000;

/// Pause after a failed receive, so that a broken socket does not spin.
const PAUSE: Duration = Duration::from_millis(50);

/// Who sends.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the host.
    pub host: Box<str>,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// What it does.
    pub role: Role,
    /// Random number of this life.
    pub incarnation: u64,
}

impl Identity {
    /// This process as a member.
    pub fn member(&self) -> Member {
        Member {
            host: self.host.to_string(),
            address: self.address.to_bits(),
            data_centre: self.data_centre.to_string(),
            role: self.role.into(),
        }
    }
}

/// Socket for datagrams; the port is the same on all hosts.
pub struct Socket {
    socket: UdpSocket,
    port: u16,
    /// Who this process is.
    pub identity: Identity,
    sequence: AtomicU64,
    leaving: AtomicBool,
}

impl Socket {
    /// Binds to the identity's address.
    pub async fn open(identity: Identity, port: u16) -> io::Result<Self> {
        let address = SocketAddrV4::new(identity.address, port);
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            port,
            identity,
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        })
    }

    /// Says in all further datagrams that this process stops.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Encodes a body behind this process's head.
    pub fn encode(&self, body: Body) -> Vec<u8> {
        let packet = Packet {
            host: self.identity.host.to_string(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            address: self.identity.address.to_bits(),
            data_centre: self.identity.data_centre.to_string(),
            role: self.identity.role.into(),
            leaving: self.leaving.load(Ordering::Relaxed),
            body: Some(body),
        };
        packet.encode_to_vec()
    }

    /// Sends an encoded packet without waiting; a full buffer drops it like a full link would.
    pub fn send(&self, packet: &[u8], to: Ipv4Addr) -> io::Result<()> {
        let to = SocketAddr::from(SocketAddrV4::new(to, self.port));
        match self.socket.try_send_to(packet, to) {
            Ok(_) => Ok(()),
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(cause) => Err(cause),
        }
    }

    /// Receives until the task is aborted and hands each packet to `hear`; `nonsense` counts those
    /// that cannot be decoded.
    pub async fn listen(&self, nonsense: &Counter, mut hear: impl FnMut(Packet)) {
        let mut buffer = Vec::new();
        loop {
            match self.receive(&mut buffer).await {
                Ok(packet) => hear(packet),
                Err(cause) if cause.kind() == io::ErrorKind::InvalidData => {
                    nonsense.inc();
                    event!(Warn, "datagram_malformed", reason = cause);
                }
                Err(cause) => {
                    event!(Warn, "receive_failed", reason = cause);
                    time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Receives the next packet; `Err(InvalidData)` for one that cannot be decoded.
    async fn receive(&self, buffer: &mut Vec<u8>) -> io::Result<Packet> {
        buffer.resize(SIZE_MAX, 0);
        let (length, _) = self.socket.recv_from(buffer).await?;
        Packet::decode(&buffer[..length])
            .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}
