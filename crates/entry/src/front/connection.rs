//! One connection of a caller: its requests, its idle timeout and its end.

use {
    crate::front::{body::Body, problem::Problem},
    http::{HeaderValue, Request, Response, header},
    http_body_util::BodyExt,
    hyper::{Error, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    jayspread_net::{clock, event, panic, sync::lock},
    std::{
        convert::Infallible,
        error::Error as _,
        fmt,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        sync::watch,
        time,
    },
};

/// Time for which a connection is still read when its idle timeout has passed: a host that was held up
/// finds the timeout before what arrived meanwhile.
const EXPIRY_GRACE: Duration = Duration::from_millis(50);
/// Smallest header buffer that hyper accepts.
pub const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;

/// Progress of the shutdown of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shutdown {
    /// The process runs.
    #[default]
    None,
    /// Connections stay open, since a request may be on its way; each response tells the caller to
    /// close.
    Stopping,
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
    /// Returns the idle timeout in effect.
    pub idle_timeout: T,
    /// Progress of the shutdown.
    pub shutdown: watch::Receiver<Shutdown>,
}

/// Tracks whether a connection is idle.
struct Activity {
    in_flight: AtomicUsize,
    last_active: Mutex<Instant>,
}

impl Activity {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            in_flight: AtomicUsize::new(0),
            last_active: Mutex::new(clock::now()),
        })
    }

    /// Time at which the idle timeout expires; `None` while a request is in flight.
    fn expiry(&self, idle_timeout: Duration) -> Option<Instant> {
        if self.in_flight.load(Ordering::Acquire) > 0 {
            return None;
        }
        Some(*lock(&self.last_active) + idle_timeout)
    }
}

/// Counts a request as in flight until its response has been sent or dropped.
struct InFlight(Arc<Activity>);

impl InFlight {
    fn new(activity: &Arc<Activity>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(activity))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        *lock(&self.0.last_active) = clock::now();
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a connection until it ends. A request whose handler panics is answered with 502.
pub async fn serve<S, T, H, F>(stream: S, settings: Settings<T>, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: Fn() -> Duration,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let activity = Activity::new();
    let ending = Ending::default();
    let mut shutdown = settings.shutdown;
    let progress = shutdown.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        let in_flight = InFlight::new(&activity);
        request.extensions_mut().insert(ending.clone());
        let response = async { handler(request).await };
        let progress = &progress;
        async move {
            let mut response = panic::catch_async(response).await.unwrap_or_else(|panic| {
                event!(Error, "handler_panicked", message = panic);
                Problem::bad_gateway("panicked").into_response(None)
            });
            if *progress.borrow() >= Shutdown::Stopping {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
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
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let idle_timeout = (settings.idle_timeout)();
        let expiry = activity.expiry(idle_timeout);
        let wake_at = match expiry {
            Some(_) if expired => clock::now() + EXPIRY_GRACE,
            Some(expiry) => expiry,
            None => clock::now() + idle_timeout,
        };
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(cause) = result {
                    report_end(&cause, &activity, &ending);
                }
                return;
            }
            changed = shutdown.changed() => {
                if changed.is_err() || *shutdown.borrow_and_update() == Shutdown::CutOff {
                    ending.set(Reason::CutOff);
                    return;
                }
            }
            () = time::sleep_until(wake_at.into()), if !closing => {
                // The timeout may have changed during the sleep.
                let expiry = activity.expiry((settings.idle_timeout)());
                let has_passed = expiry.is_some_and(|expiry| expiry <= clock::now());
                if has_passed && expired {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                expired = has_passed;
            }
        }
    }
}

/// Logs the end of a connection, and tells it to the requests that it ends.
fn report_end(cause: &Error, activity: &Activity, ending: &Ending) {
    let in_flight = activity.in_flight.load(Ordering::Acquire);
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
