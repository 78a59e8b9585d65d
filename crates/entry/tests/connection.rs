//! Tests of callers' connections whose requests panic.

use {
    bytes::Bytes,
    http::StatusCode,
    http_body_util::BodyExt,
    jayspread_core::{
        call::{Call, Event},
        catalog::Kind,
    },
    jayspread_entry::front::{
        body::{self, Aborted, Source},
        connection::{self, Settings, Shutdown},
        problem::Problem,
    },
    jayspread_net::{
        client::{Client, Request},
        panic::Panic,
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1 << 10;

/// Server of one connection; its handler panics for the path `/panic`.
struct Server {
    address: SocketAddr,
    /// Kept, since connections end with it.
    _shutdown: watch::Sender<Shutdown>,
}

impl Server {
    async fn open(idle_timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("is bound");
        let shutdown = watch::Sender::default();
        let settings = Settings {
            max_header_bytes: 0,
            idle_timeout: move || idle_timeout,
            shutdown: shutdown.subscribe(),
        };
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("accepts");
            connection::serve(stream, settings, |request| async move {
                assert_ne!(request.uri().path(), "/panic", "value that panics");
                Problem::rejected(StatusCode::NOT_FOUND, "no_route").into_response(None)
            })
            .await;
        });
        Self {
            address,
            _shutdown: shutdown,
        }
    }

    async fn status(&self, client: &mut Client, path: &str) -> Option<StatusCode> {
        let answer = client.download(Request::get(path), TIMEOUT, MAX_RESPONSE_BYTES);
        answer.await.ok().map(|(head, _)| head.status)
    }
}

/// Guards against a caller whose connection is closed with neither an answer nor a refusal, because
/// the handling of its request panicked.
#[tokio::test]
async fn request_whose_handler_panics_is_answered() {
    let server = Server::open(TIMEOUT).await;
    let mut client = Client::new(server.address, TIMEOUT);
    let status = server.status(&mut client, "/panic").await;
    assert_eq!(status, Some(StatusCode::BAD_GATEWAY));
    let status = server.status(&mut client, "/other").await;
    assert_eq!(
        status,
        Some(StatusCode::NOT_FOUND),
        "on the same connection"
    );
}

/// Source of a body that panics after its first chunk.
struct Broken(mpsc::UnboundedSender<String>);

impl Source for Broken {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        panic!("event that panics")
    }

    fn record_panic(&mut self, panic: &Panic) {
        let _ = self.0.send(panic.to_string());
    }
}

/// Guards against a stream that looks complete, or is logged as one whose caller left, after a panic
/// in the middle of it.
#[tokio::test]
async fn stream_that_panics_is_cut_off_and_recorded() {
    let (sender, mut panics) = mpsc::unbounded_channel();
    let mut body = body::streaming(Bytes::from_static(b"id: 1\n\n"), Broken(sender));
    let first = body.frame().await;
    assert!(matches!(first, Some(Ok(_))));
    let end = body.frame().await;
    assert!(matches!(end, Some(Err(Aborted))));
    assert_eq!(panics.recv().await.as_deref(), Some("event that panics"));
}

/// Guards against a caller that is told to try again although an engine may run its request.
#[rstest]
#[case::not_sent(&[], StatusCode::SERVICE_UNAVAILABLE)]
#[case::refused_by_engine(&[Event::Send, Event::NotRun], StatusCode::SERVICE_UNAVAILABLE)]
#[case::unsent(&[Event::Send, Event::Unsent], StatusCode::SERVICE_UNAVAILABLE)]
#[case::in_flight(&[Event::Send], StatusCode::BAD_GATEWAY)]
#[case::lost(&[Event::Send, Event::Lost], StatusCode::BAD_GATEWAY)]
#[case::refused_again(
    &[Event::Send, Event::Lost, Event::Send, Event::NotRun],
    StatusCode::BAD_GATEWAY
)]
fn status_after_a_panic_tells_whether_the_request_may_have_run(
    #[case] events: &[Event],
    #[case] status: StatusCode,
) {
    let mut call = Call::new(Kind::Idempotent, 2, None);
    events.iter().for_each(|event| call.handle(*event));
    let problem = Problem::panicked(&call);
    assert_eq!(problem.status, status);
    let refused = status == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(problem.retry_after.is_some(), refused);
}
