//! One connection of a caller: its requests, its idle timeout and its end.

use {
    crate::front::{
        body::Body,
        problem::Problem,
        socket::{Progress, Socket},
    },
    http::{HeaderName, HeaderValue, Request, Response, Version, header},
    http_body_util::BodyExt,
    hyper::{
        Error,
        body::{Body as _, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    jayspread_core::{
        connection::{Limits, Stage},
        framing::Framing,
    },
    jayspread_net::{caller, clock, crowd::Crowd, event, inspection, panic},
    std::{
        convert::Infallible,
        error::Error as _,
        fmt, io,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, sync::watch, time},
};

/// Time for which a connection is still read when its idle timeout has passed: a host that was held up
/// finds the timeout before what arrived meanwhile.
const EXPIRY_GRACE: Duration = Duration::from_millis(50);
/// Time for which a connection that this side has closed is still read.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Longest such time for a caller that still takes its last response.
const MAX_LINGER_TIME: Duration = Duration::from_secs(30);
/// Interval between checks whether a caller has all that was sent.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the buffer in which what is still read is discarded, bytes.
const LINGER_BUFFER_BYTES: usize = 4 << 10;
/// Response to a head that takes too long.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Response to a head that is incomplete when the process is about to exit.
const STOPPING: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.05\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Response to a request that is incomplete when its connection is closed for others.
const EVICTED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.5\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Smallest header buffer that hyper accepts.
pub const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Progress of the shutdown of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shutdown {
    /// The process runs.
    #[default]
    None,
    /// Connections stay open, since a request may be on its way; each response tells the caller to
    /// close.
    Stopping,
    /// Requests in hand get their final answers at once.
    Answering,
    /// Connections are closed at once.
    CutOff,
}

/// Why a connection ended while its requests were in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The connection to the caller failed.
    Failed(Box<str>),
    /// The process shut down.
    CutOff,
}

impl Reason {
    /// Event of a request that ends for this reason, and its cause.
    pub fn describe(&self) -> (&'static str, &str) {
        match self {
            Reason::Failed(cause) => ("caller_unreachable", cause),
            Reason::CutOff => ("cut_off", "shutdown"),
        }
    }
}

/// End of a connection; an extension of its requests. It is empty if the caller closed it.
#[derive(Debug, Clone, Default)]
pub struct Ending(Arc<OnceLock<Reason>>);

impl Ending {
    /// Why the connection ended; `None` while it is open and if the caller closed it.
    pub fn reason(&self) -> Option<&Reason> {
        self.0.get()
    }

    fn set(&self, reason: Reason) {
        // Only the first reason ends a connection.
        let _ = self.0.set(reason);
    }
}

/// How connections are served.
pub struct Settings<T> {
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Returns the limits in effect.
    pub limits: T,
    /// Progress of the shutdown.
    pub shutdown: watch::Receiver<Shutdown>,
    /// Number of connections that have something in hand.
    pub in_hand: Arc<AtomicUsize>,
    /// All open connections.
    pub crowd: Arc<Crowd<Progress>>,
}

/// Counts a request as in flight until its response is complete or dropped.
struct InFlight {
    count: Arc<AtomicUsize>,
    progress: Arc<Progress>,
}

impl InFlight {
    fn new(count: &Arc<AtomicUsize>, progress: &Arc<Progress>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        progress.begin();
        Self {
            count: Arc::clone(count),
            progress: Arc::clone(progress),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.progress.end();
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a connection until it ends. A request whose handler panics is answered with 502.
pub async fn serve<T, H, F>(stream: TcpStream, settings: Settings<T>, handler: H)
where
    T: Fn() -> Limits,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let stream = Arc::new(stream);
    let progress = Progress::new(Arc::clone(&settings.in_hand));
    let Some(_place) = settings.crowd.enter(&progress) else {
        return;
    };
    let mut shutdown = settings.shutdown.clone();
    let end = serve_requests(&stream, &progress, settings, handler).await;
    let closing = async {
        match end {
            // An aborted response leaves the sending direction open.
            End::Closed => shut_down(&stream),
            End::Failed => return,
            End::Broken => {
                progress.close();
                return await_delivery(&stream).await;
            }
            End::CutOff => return report_cut_off(progress.stage()),
            End::Evicted => return evict(&stream, &progress),
            End::HeadTooSlow => refuse(&stream, HEAD_TOO_SLOW, "head_too_slow"),
            End::Stopping => refuse(&stream, STOPPING, "stopping"),
        }
        linger(&stream, &progress).await;
    };
    tokio::select! {
        () = closing => {}
        // What it still has is given up.
        () = progress.evicted.notified() => caller::reset_on_drop(&stream, true),
        _ = shutdown.wait_for(|shutdown| *shutdown == Shutdown::CutOff) => {
            report_cut_off(progress.stage());
        }
    }
}

/// Why no more requests are served on a connection.
enum End {
    /// Both directions, or the sending one, are closed.
    Closed,
    /// The socket failed, or its peer was given up: nothing more can be sent or read.
    Failed,
    /// The answer was broken off, and only a reset shows that to the caller.
    Broken,
    /// The process exits.
    CutOff,
    /// The caller took too long to send a head.
    HeadTooSlow,
    /// The connection is closed for others.
    Evicted,
    /// The process is about to exit, and a part of a head has arrived.
    Stopping,
}

/// Serves requests until the connection is closed or must be.
async fn serve_requests<T, H, F>(
    stream: &Arc<TcpStream>,
    progress: &Arc<Progress>,
    settings: Settings<T>,
    handler: H,
) -> End
where
    T: Fn() -> Limits,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let in_flight = Arc::new(AtomicUsize::new(0));
    let ending = Ending::default();
    let mut shutdown = settings.shutdown;
    let stop = shutdown.clone();
    let is_unmarked = AtomicBool::new(false);
    let service = service_fn(|mut request: Request<Incoming>| {
        let is_http_10 = request.version() == Version::HTTP_10;
        let in_flight = InFlight::new(&in_flight, progress);
        request.extensions_mut().insert(ending.clone());
        request.extensions_mut().insert(Arc::clone(progress));
        let response = async { handler(request).await };
        let (stop, limits, is_unmarked) = (&stop, &settings.limits, &is_unmarked);
        async move {
            let mut response = panic::catch_async(response).await.unwrap_or_else(|panic| {
                event!(Error, "handler_panicked", message = panic);
                Problem::bad_gateway("panicked").into_response(None)
            });
            if *stop.borrow() >= Shutdown::Stopping {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            } else if let idle = limits().idle
                && let Some(keep_alive) = keep_alive(idle)
            {
                progress.promise(idle);
                response.headers_mut().insert(KEEP_ALIVE, keep_alive);
            }
            let length = response.body().size_hint().exact();
            if Framing::of_answer(length, is_http_10) == Framing::Close {
                // Whatever ends the connection now, it looks whole to the caller if it ends in order.
                is_unmarked.store(true, Ordering::Release);
                caller::reset_on_drop(stream, true);
            }
            // The closure owns the guard, so the request is in flight until the body is dropped.
            Ok::<_, Infallible>(response.map(|body| {
                body.map_err(move |aborted| {
                    let _ = &in_flight;
                    aborted
                })
                .boxed_unsync()
            }))
        }
    });
    let mut closing = false;
    let mut expired = false;
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(settings.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Socket::new(stream, progress)), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        if *shutdown.borrow() >= Shutdown::Answering && progress.stage() == Stage::Head {
            return End::Stopping;
        }
        let limits = (settings.limits)();
        let wake_at = match progress.expiry(limits) {
            Some(_) if expired => clock::now() + EXPIRY_GRACE,
            Some(expiry) => expiry,
            None => clock::now() + limits.idle,
        };
        // What has arrived is read before the connection is closed.
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                let is_unmarked = is_unmarked.load(Ordering::Acquire);
                if let Err(cause) = result {
                    report_end(&cause, in_flight.load(Ordering::Acquire), &ending);
                    if is_socket_error(&cause) {
                        return End::Failed;
                    }
                    if is_unmarked {
                        return End::Broken;
                    }
                }
                if is_unmarked {
                    caller::reset_on_drop(stream, false);
                }
                return End::Closed;
            }
            changed = shutdown.changed() => {
                let progressed = *shutdown.borrow_and_update();
                if changed.is_err() || progressed == Shutdown::CutOff {
                    ending.set(Reason::CutOff);
                    return End::CutOff;
                }
            }
            () = progress.head_begun.notified() => {}
            () = progress.evicted.notified() => {
                ending.set(Reason::Failed("closed_for_others".into()));
                return End::Evicted;
            }
            () = time::sleep_until(wake_at.into()), if !closing => {
                // The limits may have changed during the sleep.
                let expiry = progress.expiry((settings.limits)());
                let has_passed = expiry.is_some_and(|expiry| expiry <= clock::now());
                if has_passed && expired {
                    if progress.stage() == Stage::Head {
                        return End::HeadTooSlow;
                    }
                    closing = true;
                    event!(Debug, "caller_connection_closed", reason = "idle");
                    connection.as_mut().graceful_shutdown();
                }
                expired = has_passed;
            }
        }
    }
}

/// Tells the caller for how long the connection stays open without a request, in whole seconds;
/// `None` if that is less than one.
fn keep_alive(idle: Duration) -> Option<HeaderValue> {
    let seconds = idle.as_secs();
    let value = (seconds > 0).then(|| HeaderValue::try_from(format!("timeout={seconds}")))?;
    value.ok()
}

/// Sends a response to a request whose head has not arrived completely, after all earlier responses.
fn refuse(stream: &TcpStream, response: &[u8], reason: &str) {
    let sent = stream.try_write(response);
    let is_sent = matches!(sent, Ok(count) if count == response.len());
    event!(Info, "head_refused", reason = reason, sent = is_sent);
    shut_down(stream);
}

/// Ends a connection for others, at once: it gives back its memory and its descriptor. A request that
/// has not arrived completely is refused, and what its caller has not taken is discarded.
fn evict(stream: &TcpStream, progress: &Progress) {
    if progress.is_incomplete() {
        // The kernel may have no room for it, and the caller then sees only the end.
        let _ = stream.try_write(EVICTED);
        shut_down(stream);
    } else if progress.stage() != Stage::Idle {
        caller::reset_on_drop(stream, true);
    }
}

/// Ends the sending direction. It may have ended before.
fn shut_down(stream: &TcpStream) {
    if let Err(cause) = caller::shut_down(stream) {
        event!(Debug, "caller_connection_ended", reason = cause);
    }
}

/// Waits for a limited time until the caller has closed the connection as well, or has acknowledged
/// everything: a connection that is closed with unread data is reset, and the caller may lose the last
/// response.
async fn linger(stream: &TcpStream, progress: &Progress) {
    progress.close();
    let mut unread_bytes = 0;
    let started = clock::now();
    let ended = loop {
        let ended = time::timeout(LINGER_TIME, discard(stream, &mut unread_bytes)).await;
        let has_time = clock::now().saturating_duration_since(started) < MAX_LINGER_TIME;
        if ended.is_ok() || !has_time || !has_unacknowledged(stream) {
            break ended;
        }
    };
    if unread_bytes > 0 {
        event!(
            Info,
            "request_crossed_close",
            unread_bytes = unread_bytes,
            closed_by_caller = matches!(ended, Ok(Ok(())))
        );
    }
}

/// Waits for a limited time until the caller has all that was sent: a reset discards the rest.
async fn await_delivery(stream: &TcpStream) {
    let ends_at = clock::now() + LINGER_TIME;
    while has_unacknowledged(stream) && clock::now() < ends_at {
        time::sleep(DELIVERY_CHECK_INTERVAL).await;
    }
}

/// Reads and counts what the caller sends until it closes the connection.
async fn discard(stream: &TcpStream, unread_bytes: &mut usize) -> io::Result<()> {
    let mut buffer = [0; LINGER_BUFFER_BYTES];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => *unread_bytes += count,
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
            Err(cause) => return Err(cause),
        }
    }
}

/// Whether the caller's host has not acknowledged all bytes, as far as the kernel tells.
fn has_unacknowledged(stream: &TcpStream) -> bool {
    let (Ok(local), Ok(peer)) = (stream.local_addr(), stream.peer_addr()) else {
        return false;
    };
    inspection::queue(local, peer).is_some_and(|queue| queue.unacknowledged > 0)
}

/// Logs what a connection had in hand when the process ended it.
fn report_cut_off(stage: Stage) {
    if stage != Stage::Idle {
        event!(Warn, "connection_cut_off", stage = stage.name());
    }
}

/// Logs the end of a connection, and tells it to the requests that it ends.
fn report_end(cause: &Error, in_flight: usize, ending: &Ending) {
    let reason = Chain(cause).to_string();
    if in_flight == 0 {
        event!(Debug, "caller_connection_ended", reason = reason);
        return;
    }
    event!(
        Info,
        "caller_connection_ended",
        in_flight = in_flight,
        reason = reason
    );
    // Incomplete: the caller closed the connection. User: the response was aborted.
    if !cause.is_incomplete_message() && !cause.is_user() {
        ending.set(Reason::Failed(reason.into()));
    }
}

fn is_socket_error(cause: &Error) -> bool {
    cause
        .source()
        .is_some_and(|source| source.is::<io::Error>())
}

/// An error with its causes.
struct Chain<'a>(&'a Error);

impl fmt::Display for Chain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(cause) = source {
            write!(f, ": {cause}")?;
            source = cause.source();
        }
        Ok(())
    }
}
