//! Allocation of free ports on the loopback interface.

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// Range below the system's ephemeral ports, so that the system does not assign a port between its
/// check and its use.
const PORT_RANGE: std::ops::Range<u32> = 10_000..32_000;

/// Returns the next unused loopback port. A process gets each port at most once.
fn next_port(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static ALLOCATED: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(97);
    loop {
        let index = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let port =
            PORT_RANGE.start + offset.wrapping_add(index) % (PORT_RANGE.end - PORT_RANGE.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if is_free(address) {
            return address;
        }
    }
}

/// Returns a loopback address with a free UDP port.
pub fn free_udp() -> SocketAddr {
    next_port(|address| UdpSocket::bind(address).is_ok())
}

/// Returns a loopback address with a free TCP port.
pub fn free_tcp() -> SocketAddr {
    next_port(|address| TcpListener::bind(address).is_ok())
}
