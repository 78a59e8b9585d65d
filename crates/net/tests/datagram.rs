//! Tests of the receiver of datagrams.

use {
    jayspread_net::datagram::{self, Identity, Socket},
    jayspread_schema::peer::{Role, packet::Body},
    prometheus_client::metrics::counter::Counter,
    std::{
        net::{Ipv4Addr, UdpSocket},
        time::Duration,
    },
    tokio::{sync::mpsc, time},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a datagram that ends the task which receives them all.
#[tokio::test]
async fn datagram_that_panics_does_not_end_the_receiver() {
    let identity = Identity {
        host: "entry-1".into(),
        address: Ipv4Addr::LOCALHOST,
        data_centre: "a".into(),
        role: Role::Entry,
        incarnation: datagram::incarnation(),
    };
    let free = UdpSocket::bind("127.0.0.1:0").expect("binds");
    let port = free.local_addr().expect("is bound").port();
    drop(free);
    let sender_socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
    let socket = Socket::open(identity, port).await.expect("binds");
    let packet = socket.encode(Body::Entry(Default::default()));
    for _ in 0..2 {
        sender_socket
            .send_to(&packet, (Ipv4Addr::LOCALHOST, port))
            .expect("sends");
    }
    let malformed = Counter::default();
    let (sender, mut received) = mpsc::unbounded_channel();
    let mut number = 0;
    let listening = socket.listen(&malformed, |_| {
        number += 1;
        assert!(number > 1, "packet that cannot be applied");
        sender.send(number).expect("is awaited");
    });
    tokio::select! {
        () = listening => unreachable!("it receives until it is aborted"),
        number = time::timeout(TIMEOUT, received.recv()) => assert_eq!(number, Ok(Some(2))),
    }
    assert_eq!(malformed.get(), 1);
}
