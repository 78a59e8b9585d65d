//! One connection of a caller: its requests and its idle timeout.

use {
    crate::front::{body::Body, problem::Problem},
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    jayspread_net::{clock, event, panic, sync::lock},
    std::{
        convert::Infallible,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, sync::watch, time},
};

/// Smallest header buffer that hyper accepts.
pub const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;

/// Progress of the shutdown of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shutdown {
    /// The process runs.
    #[default]
    None,
    /// Connections are closed after their current request.
    Stopping,
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
pub async fn serve<T, H, F>(stream: TcpStream, settings: Settings<T>, handler: H)
where
    T: Fn() -> Duration,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let activity = Activity::new();
    let mut shutdown = settings.shutdown;
    let service = service_fn(|request: Request<Incoming>| {
        let in_flight = InFlight::new(&activity);
        let response = async { handler(request).await };
        async move {
            let response = panic::catch_async(response).await.unwrap_or_else(|panic| {
                event!(Error, "handler_panicked", message = panic);
                Problem::bad_gateway("panicked").into_response(None)
            });
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
    let mut closing = *shutdown.borrow_and_update() >= Shutdown::Stopping;
    let connection = http1::Builder::new()
        .keep_alive(!closing)
        .auto_date_header(false)
        .max_buf_size(settings.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let idle_timeout = (settings.idle_timeout)();
        let expiry = activity.expiry(idle_timeout);
        let wake_at = expiry.unwrap_or_else(|| clock::now() + idle_timeout);
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(cause) = result {
                    event!(Debug, "caller_connection_ended", reason = cause);
                }
                return;
            }
            changed = shutdown.changed() => {
                if changed.is_err() {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep_until(wake_at.into()), if !closing => {
                // The timeout may have changed during the sleep.
                let expiry = activity.expiry((settings.idle_timeout)());
                if expiry.is_some_and(|expiry| expiry <= clock::now()) {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
