//! Free ports on loopback.

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below those that the system hands out by itself, so that none is taken meanwhile.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// The next port on loopback that no one else uses, each one once in a process.
fn next_port(free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let step = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + start.wrapping_add(step) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if free(address) {
            return address;
        }
    }
}

/// A free UDP port on loopback.
pub fn free_udp() -> SocketAddr {
    next_port(|address| UdpSocket::bind(address).is_ok())
}

/// A free TCP port on loopback.
pub fn free_tcp() -> SocketAddr {
    next_port(|address| TcpListener::bind(address).is_ok())
}
