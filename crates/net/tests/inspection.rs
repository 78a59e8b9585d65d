//! Tests of what the kernel tells about a connection, on loopback.

use {
    jayspread_core::delivery::Queue,
    jayspread_net::inspection,
    rstest::rstest,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);
const WRITTEN: usize = 100_000;

fn queue(stream: &TcpStream) -> Queue {
    let local = stream.local_addr().expect("is bound");
    let peer = stream.peer_addr().expect("is connected");
    inspection::queue(local, peer).expect("the kernel tells the state")
}

/// Guards against a wrong reading of the kernel's messages, for which every caller would be idle or
/// dead.
#[rstest]
#[case::ipv4("127.0.0.1:0")]
#[case::ipv6("[::1]:0")]
fn peer_takes_bytes_when_it_reads(#[case] address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("binds");
    let address = listener.local_addr().expect("is bound");
    let mut reader = TcpStream::connect(address).expect("connects");
    let (mut stream, _) = listener.accept().expect("accepts");
    assert_eq!(queue(&stream).unacknowledged, 0);
    // More than the reader's buffer takes.
    stream.set_nonblocking(true).expect("socket");
    let mut written = 0;
    while let Ok(count) = stream.write(&[0; WRITTEN]) {
        written += count;
    }
    thread::sleep(Duration::from_millis(700));
    let full = queue(&stream);
    assert!(full.unacknowledged > 0, "{full:?}");
    assert!(full.unacknowledged < written as u64, "{full:?}");
    assert!(full.silent_for < TIMEOUT, "{full:?}");
    reader.read_exact(&mut vec![0; written]).expect("reads");
    let deadline = Instant::now() + TIMEOUT;
    while queue(&stream).unacknowledged > 0 {
        assert!(Instant::now() < deadline, "{:?}", queue(&stream));
        thread::sleep(Duration::from_millis(10));
    }
    assert!(!queue(&stream).awaits_reply);
}
