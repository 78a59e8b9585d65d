//! Asks the kernel how far the peer of a TCP connection has taken what was sent to it.
//!
//! Linux tells this through `sock_diag` (netlink), for one connection at a time and without
//! privileges. Messages are in the byte order of the host, ports and addresses in that of the network.

use {
    crate::{event, sync::lock},
    jayspread_core::delivery::Queue,
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io::{self, Read},
        net::{IpAddr, SocketAddr},
        sync::{Mutex, OnceLock},
        time::Duration,
    },
};

/// `AF_NETLINK`.
const NETLINK: i32 = 16;
/// `NETLINK_SOCK_DIAG`.
const SOCK_DIAG: i32 = 4;
/// `SOCK_DIAG_BY_FAMILY`, the type of requests and responses.
const BY_FAMILY: u16 = 20;
/// `NLM_F_REQUEST`.
const REQUEST: u16 = 1;
/// `AF_INET`, `AF_INET6` and `IPPROTO_TCP`.
const INET: u8 = 2;
const INET6: u8 = 10;
const TCP: u8 = 6;
/// `INET_DIAG_INFO`, the attribute with the TCP state.
const INFO: u16 = 2;
/// Size of the header of each message, bytes.
const HEADER_BYTES: usize = 16;
/// Size of a request with its header, bytes.
const REQUEST_BYTES: usize = HEADER_BYTES + 56;
/// Offset of the attributes in a response.
const ATTRIBUTES: usize = HEADER_BYTES + 72;
/// Offset of the number of unacknowledged bytes in a response.
const WRITE_QUEUE: usize = HEADER_BYTES + 60;
/// Offsets in the TCP state: number of unanswered probes, number of unacknowledged segments, and time
/// since the last acknowledgement, milliseconds.
const PROBES: usize = 3;
const UNACKNOWLEDGED_SEGMENTS: usize = 24;
const LAST_ACKNOWLEDGEMENT: usize = 56;
/// Largest response, bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 10;
/// Maximum number of responses that are read for one request; the others belong to earlier ones.
const MAX_RESPONSES: usize = 4;

/// Returns the state of the kernel's queue to the peer of a connection; `None` if the kernel does not
/// tell.
pub fn queue(local: SocketAddr, peer: SocketAddr) -> Option<Queue> {
    let mut link = lock(link()?);
    let answer = link.ask(local, peer);
    if let Err(cause) = &answer {
        event!(Debug, "socket_inspection_failed", reason = cause);
    }
    answer.ok()
}

/// Whether this process can ask the kernel.
pub fn is_available() -> bool {
    link().is_some()
}

fn link() -> Option<&'static Mutex<Link>> {
    static LINK: OnceLock<Option<Mutex<Link>>> = OnceLock::new();
    let link = LINK.get_or_init(|| match Link::open() {
        Ok(link) => Some(Mutex::new(link)),
        Err(cause) => {
            event!(Debug, "socket_inspection_unavailable", reason = cause);
            None
        }
    });
    link.as_ref()
}

/// Socket to the kernel. It answers before a request returns, so that nothing waits.
struct Link {
    socket: Socket,
    /// Number of requests so far.
    sequence: u32,
}

impl Link {
    fn open() -> io::Result<Self> {
        let protocol = Some(Protocol::from(SOCK_DIAG));
        let socket = Socket::new(Domain::from(NETLINK), Type::DGRAM, protocol)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket,
            sequence: 0,
        })
    }

    fn ask(&mut self, local: SocketAddr, peer: SocketAddr) -> io::Result<Queue> {
        self.sequence = self.sequence.wrapping_add(1);
        self.socket.send(&request(self.sequence, local, peer))?;
        let mut buffer = [0; MAX_RESPONSE_BYTES];
        for _ in 0..MAX_RESPONSES {
            let length = self.socket.read(&mut buffer)?;
            let response = &buffer[..length];
            if u32_at(response, 8) == Some(self.sequence) {
                return parse(response).ok_or_else(|| io::ErrorKind::InvalidData.into());
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

fn request(sequence: u32, local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let family = if local.is_ipv4() { INET } else { INET6 };
    let mut request = Vec::with_capacity(REQUEST_BYTES);
    request.extend((REQUEST_BYTES as u32).to_ne_bytes());
    request.extend(BY_FAMILY.to_ne_bytes());
    request.extend(REQUEST.to_ne_bytes());
    request.extend(sequence.to_ne_bytes());
    request.extend([0; 4]);
    let attributes = 1 << (INFO - 1);
    request.extend([family, TCP, attributes, 0]);
    // Connections in any state, on any interface, without the kernel's cookie.
    request.extend([0xff; 4]);
    request.extend(local.port().to_be_bytes());
    request.extend(peer.port().to_be_bytes());
    for address in [local.ip(), peer.ip()] {
        match address {
            IpAddr::V4(ip) => {
                request.extend(ip.octets());
                request.extend([0; 12]);
            }
            IpAddr::V6(ip) => request.extend(ip.octets()),
        }
    }
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    request
}

/// Parses a response; `None` if it is an error or has another form.
fn parse(response: &[u8]) -> Option<Queue> {
    if u16_at(response, 4)? != BY_FAMILY {
        return None;
    }
    let unacknowledged = u32_at(response, WRITE_QUEUE)?.into();
    let info = attribute(response.get(ATTRIBUTES..)?, INFO)?;
    let probes = *info.get(PROBES)?;
    let segments = u32_at(info, UNACKNOWLEDGED_SEGMENTS)?;
    Some(Queue {
        unacknowledged,
        awaits_reply: probes > 0 || segments > 0,
        silent_for: Duration::from_millis(u32_at(info, LAST_ACKNOWLEDGEMENT)?.into()),
    })
}

/// Content of the first attribute of this type.
fn attribute(mut attributes: &[u8], wanted: u16) -> Option<&[u8]> {
    loop {
        let length = usize::from(u16_at(attributes, 0)?);
        let content = attributes.get(4..length)?;
        if u16_at(attributes, 2)? == wanted {
            return Some(content);
        }
        // Attributes begin at multiples of four bytes.
        attributes = attributes.get(length.next_multiple_of(4)..)?;
    }
}

fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    let bytes = bytes.get(offset..offset + 2)?;
    Some(u16::from_ne_bytes(bytes.try_into().ok()?))
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let bytes = bytes.get(offset..offset + 4)?;
    Some(u32::from_ne_bytes(bytes.try_into().ok()?))
}
