//! One connection: how answers end, and what makes a connection unfit for another request.

use {
    jayspread_net::{
        channel::{Channel, Error},
        client::{Client, Request},
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
};

const LIMIT: Duration = Duration::from_secs(5);

/// Serves one connection with raw bytes behind each request, then resets or closes it.
async fn server(answers: Vec<&'static [u8]>, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        for answer in answers {
            request(&mut stream).await;
            // Pieces of a few bytes show that any cut is borne.
            for piece in answer.chunks(7) {
                stream.write_all(piece).await.expect("writes");
                tokio::task::yield_now().await;
            }
        }
        if reset {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("set");
        }
        drop(stream);
    });
    address
}

async fn request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.expect("reads") == 0 {
            return;
        }
        bytes.push(byte[0]);
    }
}

const ASK: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";

async fn exchange(answer: &'static [u8], reset: bool) -> (Channel, Result<Vec<u8>, Error>) {
    let address = server(vec![answer], reset).await;
    let mut channel = Channel::open(address, LIMIT).await.expect("connects");
    channel.queue_request(ASK, b"");
    let read = async {
        channel.receive_head().await?;
        channel.receive_body(1 << 16).await
    };
    let body = time::timeout(LIMIT, read).await.expect("ends");
    (channel, body.map(|body| body.to_vec()))
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true)]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    true
)]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    true
)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    true
)]
#[case::close(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
    false
)]
#[case::end_of_connection(b"HTTP/1.1 200 OK\r\n\r\nhello", false)]
#[case::bytes_left_over(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP", false)]
#[tokio::test]
async fn a_whole_answer(#[case] answer: &'static [u8], #[case] clean: bool) {
    let (mut channel, body) = exchange(answer, false).await;
    assert_eq!(body.expect("whole"), b"hello");
    if !clean {
        // Bytes that belong to no request may come a moment later.
        time::sleep(Duration::from_millis(30)).await;
        assert!(!channel.is_reusable(LIMIT));
    } else {
        assert!(channel.is_clean());
    }
    let again = channel.receive_data().await;
    assert!(matches!(again, Ok(None)));
}

#[rstest]
#[case::short(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false)]
#[case::inside_a_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    false
)]
#[case::before_the_last_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    false
)]
#[case::no_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n",
    false
)]
#[case::no_answer(b"garbage\r\n\r\n", false)]
#[case::bad_length(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", false)]
#[case::nothing(b"", false)]
#[case::reset_without_length(b"HTTP/1.1 200 OK\r\n\r\nhello", true)]
#[tokio::test]
async fn a_broken_answer(#[case] answer: &'static [u8], #[case] reset: bool) {
    let (channel, body) = exchange(answer, reset).await;
    let error = body.expect_err("must not look whole");
    assert!(!error.is_unsent(), "the request went out: {error}");
    assert!(!channel.is_reusable(LIMIT));
}

#[tokio::test]
async fn a_refused_connection_has_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let error = Channel::open(address, LIMIT).await.err().expect("refused");
    assert!(error.is_unsent());
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_not_used_again() {
    let answer: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (channel, body) = exchange(answer, false).await;
    body.expect("whole");
    time::sleep(Duration::from_millis(30)).await;
    assert!(!channel.is_reusable(LIMIT));
}

#[tokio::test]
async fn idle_time_bounds_another_use() {
    let answers: Vec<&[u8]> =
        vec![b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"; 2];
    let address = server(answers, false).await;
    let mut channel = Channel::open(address, LIMIT).await.expect("connects");
    channel.queue_request(ASK, b"");
    channel.receive_head().await.expect("answers");
    channel.receive_body(0).await.expect("empty");
    time::sleep(Duration::from_millis(30)).await;
    assert!(channel.is_reusable(Duration::from_secs(1)));
    assert!(!channel.is_reusable(Duration::from_millis(10)));
}

/// A server that answers before it has read a long body, and reads on later.
#[tokio::test]
async fn an_early_answer_leaves_the_rest_of_the_body_unfit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut first = [0; 64];
        stream.read_exact(&mut first).await.expect("reads");
        let early = b"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(early).await.expect("writes");
        time::sleep(LIMIT).await;
    });
    let mut channel = Channel::open(address, LIMIT).await.expect("connects");
    let body = vec![b'x'; 32 << 20];
    channel.queue_request(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 33554432\r\n\r\n",
        &body,
    );
    let head = time::timeout(LIMIT, channel.receive_head())
        .await
        .expect("early");
    assert_eq!(head.expect("an answer").status, 413);
    assert!(!channel.is_clean(), "the body has not gone out");
}

#[tokio::test]
async fn a_call_that_times_out_drops_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let silent = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        request(&mut stream).await;
        let mut byte = [0];
        stream.read(&mut byte).await.expect("reads")
    });
    let mut client = Client::new(address, LIMIT);
    let limit = Duration::from_millis(50);
    assert!(client.call(Request::get("/"), limit, 10).await.is_err());
    let closed = time::timeout(LIMIT, silent).await.expect("noticed");
    assert_eq!(closed.expect("ends"), 0);
}
