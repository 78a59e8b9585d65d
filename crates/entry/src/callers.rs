//! HTTP server for callers, with HTTP/1.1 and HTTP/2.

use {
    crate::{
        attempt::{Sink, Source, Truncation},
        dispatch::{self, Call},
        problem::Problem,
        shared::Shared,
    },
    axum::{
        Router,
        body::Body,
        extract::{Request, State},
        response::{IntoResponse, Response},
        routing::get,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, StatusCode, Uri, header},
    hyper::{body::Frame, service::Service as _},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
        service::TowerToHyperService,
    },
    jayspread_core::{
        bundle, id,
        memory::{self, Limits, Notice},
    },
    jayspread_net::{
        admin::View,
        body::{self, Memory},
        clock,
        crowd::{Activity, Crowd, Watched},
        event, panic,
    },
    std::{
        fs, io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot, watch},
        task::JoinHandle,
        time,
    },
};

/// Request header with the organisation's name.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Request header with the time that the caller waits for the response, milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Upper bound of the deadline that a caller may ask for; longer ones are shortened.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Request headers that are not forwarded to the backend server.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "host",
    "content-length",
    DEADLINE_HEADER,
];
/// Memory of the process that callers' limits are derived from, bytes; the settings state none. Its
/// bodies may then take 120 MB.
const MEMORY_BYTES: u64 = 512_000_000;
/// Largest number of requests at once on an HTTP/2 connection, and the data that each, and all
/// together, may send ahead, bytes.
const MAX_HTTP2_STREAMS: u32 = 100;
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 256 << 10;
/// Smallest header buffer that hyper accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8192;
/// `Retry-After` of responses while the entry host is overloaded or starting.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A running HTTP server.
pub struct Server {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts listening on `address`.
    pub async fn open(address: SocketAddr, shared: Arc<Shared>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, shared, stopped));
        Ok(Self { stop, task })
    }

    /// Stops accepting connections and waits up to `timeout` for the open ones to end; returns
    /// whether all have ended.
    pub async fn close(self, timeout: Duration) -> bool {
        let _ = self.stop.send(true);
        let abort = self.task.abort_handle();
        let all_ended = time::timeout(timeout, self.task).await.is_ok();
        abort.abort();
        all_ended
    }
}

/// State of the handler of calls.
#[derive(Clone)]
struct Front {
    shared: Arc<Shared>,
    bodies: Arc<Memory>,
}

/// Number of descriptors that this process may open, as far as the kernel tells.
fn max_files() -> Option<u64> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    let limits = Limits::new(MEMORY_BYTES, max_files());
    let crowd = Crowd::new(limits.connections);
    let mut notice = Notice::default();
    let front = Front {
        shared: Arc::clone(&shared),
        bodies: Memory::new(limits),
    };
    let router = Router::new()
        .route("/health", get(|| async { "ok\n" }))
        .route("/ready", get(ready).with_state(Arc::clone(&shared)))
        .fallback(call)
        .with_state(front);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(cause) => {
                    if let Some(count) = notice.record(1, clock::now()) {
                        event!(Warn, "accept_failed", reason = cause, count = count);
                    }
                    crowd.make_room();
                    time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            _ = stopped.changed() => break,
        };
        serve(stream, router.clone(), &shared, &graceful, &crowd);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: TcpStream,
    router: Router,
    shared: &Shared,
    graceful: &GracefulShutdown,
    crowd: &Arc<Crowd<Activity>>,
) {
    let activity = Activity::new();
    let Some(place) = crowd.enter(&activity) else {
        return;
    };
    let limits = shared.settings.limits;
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
        .max_header_list_size(limits.max_header_bytes as u32);
    let service = TowerToHyperService::new(router);
    let requests = Arc::clone(&activity);
    let service = hyper::service::service_fn(move |request| {
        let (answer, requests) = (service.call(request), Arc::clone(&requests));
        async move { requests.pending(answer).await }
    });
    let socket = Watched::new(stream, &activity);
    let connection = builder
        .serve_connection(TokioIo::new(socket), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        let _place = place;
        tokio::select! {
            ended = connection => {
                if let Err(cause) = ended {
                    event!(Debug, "caller_connection_failed", reason = cause);
                }
            }
            () = activity.closed() => {}
        }
    });
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    match shared.ready() {
        Ok(()) => (StatusCode::OK, "ready\n").into_response(),
        Err(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

/// Counts a call as active until dropped.
struct CallGuard(Arc<Shared>);

impl CallGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.active_calls.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn call(State(front): State<Front>, request: Request) -> Response {
    let Front { shared, bodies } = front;
    let arrived_at = clock::now();
    shared.metrics.requests.inc();
    let call_guard = CallGuard::new(&shared);
    let id = format!("{:032x}", rand::random::<u128>());
    let parsing = panic::catch_async(parse_call(&shared, &bodies, request, &id, arrived_at));
    let parsed = parsing.await.unwrap_or_else(|panic| {
        event!(Error, "request_panicked", request = id, message = panic);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let problem = Problem::not_executed(status, "panicked", "the request was not read");
        Err(problem.with_retry_after(RETRY_AFTER))
    });
    let call = match parsed {
        Ok(call) => call,
        Err(problem) => {
            dispatch::count_problem(&shared, &problem);
            return with_request_id(problem.to_response(Some(&id)), &id);
        }
    };
    let (mut sink, source) = Sink::new(arrived_at);
    let (problem_sender, problem_receiver) = oneshot::channel();
    tokio::spawn(async move {
        let served = panic::catch_async(dispatch::serve(&shared, &call, &mut sink)).await;
        let result = served.unwrap_or_else(|panic| {
            event!(
                Error,
                "request_panicked",
                request = call.id,
                message = panic
            );
            if sink.response_started() {
                shared.metrics.truncated.inc();
            }
            Err(Problem::maybe_executed(
                "panicked",
                "the request's task panicked",
            ))
        });
        if let Some(time_to_first_byte) = sink.time_to_first_byte {
            shared
                .metrics
                .time_to_first_byte
                .observe(time_to_first_byte.as_secs_f64());
        }
        match result {
            Ok(()) => {
                shared.metrics.completed.inc();
            }
            Err(problem) => {
                dispatch::count_problem(&shared, &problem);
                event!(
                    Info,
                    "refused",
                    request = call.id,
                    kind = problem.kind,
                    detail = problem.detail
                );
                let _ = problem_sender.send(problem);
            }
        }
        drop(call_guard);
    });
    with_request_id(respond(source, problem_receiver, &id).await, &id)
}

fn with_request_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Waits for the head of the response or for a problem.
async fn respond(source: Source, problem: oneshot::Receiver<Problem>, id: &str) -> Response {
    match source.head.await {
        Ok(head) => {
            let body = ResponseBody {
                chunks: source.body,
                is_complete: source.is_complete,
            };
            let mut response = Response::new(Body::new(body));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
        Err(_) => match problem.await {
            Ok(problem) => problem.to_response(Some(id)),
            Err(_) => {
                Problem::maybe_executed("lost", "the request's task ended").to_response(Some(id))
            }
        },
    }
}

/// Body of a response; after an error the connection closes without the end of the body.
pub struct ResponseBody {
    /// Chunks of the body.
    pub chunks: mpsc::Receiver<Result<Bytes, Truncation>>,
    /// Whether the body is complete once there are no more chunks.
    pub is_complete: Arc<AtomicBool>,
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncation;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncation>>> {
        match ready!(self.chunks.poll_recv(cx)) {
            Some(result) => Poll::Ready(Some(result.map(Frame::data))),
            None if self.is_complete.load(Ordering::Acquire) => Poll::Ready(None),
            None => Poll::Ready(Some(Err(Truncation("the request's task ended".into())))),
        }
    }
}

/// Parses and checks a caller's request.
async fn parse_call(
    shared: &Shared,
    bodies: &Arc<Memory>,
    request: Request,
    id: &str,
    arrived_at: Instant,
) -> Result<Call, Problem> {
    let limits = shared.settings.limits;
    if shared.active_calls.load(Ordering::Relaxed) > limits.max_in_flight {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let problem = Problem::not_executed(status, "busy", "too many requests are in flight");
        return Err(problem.with_retry_after(RETRY_AFTER));
    }
    let (head, body) = request.into_parts();
    let (service, path) = split_path(&head.uri)?;
    let organisation = header_text(&head.headers, ORGANISATION_HEADER, bundle::MAX_NAME_BYTES)?;
    let organisation: Box<str> = organisation.unwrap_or("unnamed").into();
    let deadline = arrived_at + parse_timeout(&head.headers, limits.default_deadline)?;
    let idempotency_key = header_text(
        &head.headers,
        IDEMPOTENCY_KEY_HEADER,
        MAX_IDEMPOTENCY_KEY_BYTES,
    )?;
    let state = shared.state();
    let Some(bundle) = &state.bundle else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let problem = Problem::not_executed(status, "starting", "no configuration is known yet");
        return Err(problem.with_retry_after(RETRY_AFTER));
    };
    let Some(service_config) = bundle.services.get(service) else {
        let detail = format!("no service '{service}'");
        return Err(Problem::not_executed(
            StatusCode::NOT_FOUND,
            "no-service",
            detail,
        ));
    };
    let repeatable = service_config.is_repeatable(&path);
    let idempotency_key = idempotency_key.filter(|_| !repeatable);
    let idempotency_key = idempotency_key.map(|key| id::key(&organisation, service, key));
    let service = service.into();
    let body = read_body(body, bodies, limits.max_body_bytes, limits.read_timeout).await?;
    Ok(Call {
        id: id.into(),
        organisation,
        service,
        method: head.method,
        path,
        headers: forwarded_headers(&head.headers),
        body,
        deadline,
        repeatable,
        idempotency_key,
    })
}

/// Splits `/v1/{service}/{path}` into the service and the path with its query.
fn split_path(uri: &Uri) -> Result<(&str, Box<str>), Problem> {
    let no_route = || {
        let detail = "paths have the form /v1/{service}/{path}";
        Problem::not_executed(StatusCode::NOT_FOUND, "no-route", detail)
    };
    let rest = uri.path().strip_prefix("/v1/").ok_or_else(no_route)?;
    let (service, _) = rest.split_once('/').ok_or_else(no_route)?;
    let path_and_query = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
    let start = "/v1/".len() + service.len();
    Ok((service, path_and_query[start..].into()))
}

/// Returns a header's value, which must have 1 to `max_length` characters; `None` when it is
/// absent.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
    max_length: usize,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let bad_header = |reason: &str| {
        let detail = format!("header {name}: {reason}");
        Problem::not_executed(StatusCode::BAD_REQUEST, "bad-header", detail)
    };
    let value = value
        .to_str()
        .map_err(|_| bad_header("is not printable ASCII"))?;
    if value.is_empty() || value.len() > max_length {
        return Err(bad_header(&format!(
            "must have 1 to {max_length} characters"
        )));
    }
    Ok(Some(value))
}

/// Returns the time that the caller waits for the response, from the request's arrival.
fn parse_timeout(headers: &HeaderMap, default: Duration) -> Result<Duration, Problem> {
    let Some(value) = header_text(headers, DEADLINE_HEADER, 16)? else {
        return Ok(default);
    };
    let bad_header = || {
        let detail =
            format!("header {DEADLINE_HEADER}: must be a number of milliseconds, at least 1");
        Problem::not_executed(StatusCode::BAD_REQUEST, "bad-header", detail)
    };
    let ms: u64 = value.parse().map_err(|_| bad_header())?;
    if ms == 0 {
        return Err(bad_header());
    }
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in UNFORWARDED_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(header::EXPECT);
    forwarded
}

async fn read_body(
    mut body: Body,
    memory: &Arc<Memory>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    let error = match body::read(&mut body, memory, max_bytes, timeout).await {
        Ok(bytes) => return Ok(bytes),
        Err(error) => error,
    };
    if error == body::Error::TooLarge {
        body::discard(body).await;
    }
    let (status, reason, detail) = match error {
        body::Error::TooLarge => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            format!("the body is larger than {max_bytes} bytes"),
        ),
        body::Error::Broken => (
            StatusCode::BAD_REQUEST,
            "bad-body",
            "the body broke off".to_owned(),
        ),
        body::Error::TooSlow => (
            StatusCode::REQUEST_TIMEOUT,
            "slow-caller",
            "the body came too slowly".to_owned(),
        ),
        body::Error::NoRoom | body::Error::Closed => {
            let detail = match error {
                body::Error::NoRoom => "there is no memory for the body",
                _ => "the body came too slowly while others needed its memory",
            };
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let problem = Problem::not_executed(status, "body-memory", detail);
            return Err(problem.with_retry_after(memory::RETRY_AFTER));
        }
    };
    Err(Problem::not_executed(status, reason, detail))
}
