//! HTTP/1.1 connections: detection of incomplete responses, and when a connection may be reused.

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

const TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, sends the raw bytes of one response per request, then resets or closes it.
async fn server(responses: Vec<&'static [u8]>, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        for response in responses {
            read_request_head(&mut stream).await;
            // Small writes exercise parsing across read boundaries.
            for part in response.chunks(7) {
                stream.write_all(part).await.expect("writes");
                tokio::task::yield_now().await;
            }
        }
        if reset {
            let socket = socket2::SockRef::from(&stream);
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("linger time is set");
        }
        drop(stream);
    });
    address
}

async fn read_request_head(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.expect("reads") == 0 {
            return;
        }
        bytes.push(byte[0]);
    }
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";

const HEAD_REQUEST: &[u8] = b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n";

async fn exchange(response: &'static [u8], reset: bool) -> (Channel, Result<Vec<u8>, Error>) {
    let address = server(vec![response], reset).await;
    let mut channel = Channel::open(address, TIMEOUT).await.expect("connects");
    channel.queue_request(REQUEST, b"");
    let receive = async {
        channel.receive_head().await?;
        channel.receive_body(1 << 16).await
    };
    let body = time::timeout(TIMEOUT, receive)
        .await
        .expect("finishes in time");
    (channel, body.map(|body| body.to_vec()))
}

#[rstest]
#[case::content_length(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true)]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    true
)]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    true
)]
#[case::informational(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    true
)]
#[case::connection_close(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
    false
)]
#[case::end_of_connection(b"HTTP/1.1 200 OK\r\n\r\nhello", false)]
#[case::same_length_twice(
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    true
)]
#[case::excess_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP", false)]
#[tokio::test]
async fn reads_complete_response(#[case] response: &'static [u8], #[case] clean: bool) {
    let (mut channel, body) = exchange(response, false).await;
    assert_eq!(body.expect("complete body"), b"hello");
    if !clean {
        // Excess bytes may arrive slightly later than the response.
        time::sleep(Duration::from_millis(30)).await;
        assert!(!channel.is_reusable(TIMEOUT));
    } else {
        assert!(channel.is_clean());
    }
    let after_end = channel.receive_data().await;
    assert!(matches!(after_end, Ok(None)));
}

#[rstest]
#[case::shorter_than_content_length(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false)]
#[case::inside_a_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    false
)]
#[case::before_the_last_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    false
)]
#[case::missing_chunk_size(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n",
    false
)]
#[case::not_http(b"garbage\r\n\r\n", false)]
#[case::invalid_content_length(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", false)]
#[case::no_response(b"", false)]
#[case::reset_without_length(b"HTTP/1.1 200 OK\r\n\r\nhello", true)]
#[case::nothing_after_a_head_without_length(b"HTTP/1.1 200 OK\r\n\r\n", false)]
#[case::two_lengths(
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
    false
)]
#[case::signed_length(b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello", false)]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    false
)]
#[case::compressed_chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    false
)]
#[tokio::test]
async fn reports_incomplete_or_malformed_response(
    #[case] response: &'static [u8],
    #[case] reset: bool,
) {
    let (channel, body) = exchange(response, reset).await;
    let error = body.expect_err("response must not count as complete");
    assert!(!error.is_unsent(), "the request was sent: {error}");
    assert!(!channel.is_reusable(TIMEOUT));
}

/// Guards against a response to HEAD whose announced body is awaited, and against one to another
/// request that is taken for it.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::neither(b"HTTP/1.1 200 OK\r\n\r\n")]
#[tokio::test]
async fn response_to_head_ends_after_its_head(#[case] head: &'static [u8]) {
    let next = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    let address = server(vec![head, next], false).await;
    let mut channel = Channel::open(address, TIMEOUT).await.expect("connects");
    for (request, expected) in [(HEAD_REQUEST, &b""[..]), (REQUEST, b"hello")] {
        channel.queue_request(request, b"");
        let receive = async {
            channel.receive_head().await?;
            channel.receive_body(1 << 16).await
        };
        let body = time::timeout(TIMEOUT, receive).await.expect("in time");
        assert_eq!(body.expect("is whole"), expected);
        assert!(channel.is_clean());
    }
}

/// Guards against a success with an empty or short body when a server stops in the middle of its head.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")]
#[case::no_length(b"HTTP/1.1 200 OK\r\nSeal: x\r\nConnection: close\r\n\r\n")]
#[case::after_informational(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nSeal: x\r\n\r\n")]
#[tokio::test]
async fn head_that_ends_early_is_no_response(
    #[case] head: &'static [u8],
    #[values(false, true)] reset: bool,
) {
    for length in 0..head.len() {
        let (channel, body) = exchange(&head[..length], reset).await;
        let error = body.expect_err("response has no whole head");
        assert!(!error.is_unsent(), "the request was sent: {error}");
        assert!(!channel.is_reusable(TIMEOUT));
    }
}

/// Bytes without end must not be buffered or skipped for ever.
#[rstest]
#[case::chunk_extension(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x")]
#[case::informational_responses(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")]
#[tokio::test]
async fn bytes_without_end_are_malformed(
    #[case] start: &'static [u8],
    #[case] repeated: &'static [u8],
) {
    let response = [start, &repeated.repeat(10_000)].concat();
    let (_, body) = exchange(response.leak(), false).await;
    let error = body.expect_err("response has no end");
    assert!(matches!(error, Error::Malformed(_)), "{error}");
}

#[tokio::test]
async fn refused_connection_is_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let error = Channel::open(address, TIMEOUT)
        .await
        .err()
        .expect("refused");
    assert!(error.is_unsent());
}

#[tokio::test]
async fn connection_closed_by_server_is_not_reusable() {
    let response: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (channel, body) = exchange(response, false).await;
    body.expect("complete body");
    time::sleep(Duration::from_millis(30)).await;
    assert!(!channel.is_reusable(TIMEOUT));
}

#[tokio::test]
async fn connection_is_not_reusable_after_idle_timeout() {
    let responses: Vec<&[u8]> =
        vec![b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"; 2];
    let address = server(responses, false).await;
    let mut channel = Channel::open(address, TIMEOUT).await.expect("connects");
    channel.queue_request(REQUEST, b"");
    channel.receive_head().await.expect("response head");
    channel.receive_body(0).await.expect("empty body");
    time::sleep(Duration::from_millis(30)).await;
    assert!(channel.is_reusable(Duration::from_secs(1)));
    assert!(!channel.is_reusable(Duration::from_millis(10)));
}

/// Guards against a panic in the task of the caller's request when a server announces an idle timeout
/// that no `Duration` arithmetic can hold.
#[rstest]
#[case::longest_duration("18446744073709551615", true)]
#[case::longer_than_any_duration("99999999999999999999", false)]
#[case::negative("-1", false)]
#[tokio::test]
async fn endless_keep_alive_timeout_is_an_ordinary_response(
    #[case] seconds: &str,
    #[case] is_longer_than_default: bool,
) {
    let response = format!(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout={seconds}\r\nContent-Length: 5\r\n\r\nhello"
    );
    let responses = vec![&*response.into_bytes().leak(); 2];
    let address = server(responses, false).await;
    let mut channel = Channel::open(address, TIMEOUT).await.expect("connects");
    channel.queue_request(REQUEST, b"");
    channel.receive_head().await.expect("response head");
    let body = channel.receive_body(1 << 16).await.expect("complete body");
    assert_eq!(&*body, b"hello");
    assert!(channel.is_reusable(TIMEOUT));
    // Longer than the idle timeout of a connection whose server announces none.
    time::sleep(Duration::from_millis(900)).await;
    assert_eq!(channel.is_reusable(TIMEOUT), is_longer_than_default);
}

/// The server responds before it has read the whole request body.
#[tokio::test]
async fn connection_with_unsent_body_is_not_clean() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut start = [0; 64];
        stream.read_exact(&mut start).await.expect("reads");
        let response = b"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response).await.expect("writes");
        time::sleep(TIMEOUT).await;
    });
    let mut channel = Channel::open(address, TIMEOUT).await.expect("connects");
    let body = vec![b'x'; 32 << 20];
    channel.queue_request(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 33554432\r\n\r\n",
        &body,
    );
    let head = time::timeout(TIMEOUT, channel.receive_head())
        .await
        .expect("responds before the body is sent");
    assert_eq!(head.expect("response head").status, 413);
    assert!(!channel.is_clean(), "the request body is not fully sent");
}

#[tokio::test]
async fn call_that_times_out_closes_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        read_request_head(&mut stream).await;
        let mut byte = [0];
        stream.read(&mut byte).await.expect("reads")
    });
    let mut client = Client::new(address, TIMEOUT);
    let timeout = Duration::from_millis(50);
    assert!(client.call(Request::get("/"), timeout, 10).await.is_err());
    let received = time::timeout(TIMEOUT, server)
        .await
        .expect("closed in time");
    assert_eq!(received.expect("server task"), 0);
}
