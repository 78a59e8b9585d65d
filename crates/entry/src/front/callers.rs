//! Callers' connections and the balancer's question.

use {
    crate::front::{relay, site::Site},
    http::{Request, Response, StatusCode},
    http_body_util::Empty,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    jayspread_net::{admin::View, channel, clock, event},
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time,
    },
};

/// Smallest header buffer that the HTTP library accepts, bytes.
const HEAD_MIN: usize = 8 << 10;
/// Idle time of a caller's connection while no configuration is known.
const IDLE: Duration = Duration::from_secs(15);
/// Pause after a failed accept, for descriptors to come free.
const PAUSE: Duration = Duration::from_millis(20);
/// Time without a request after which a balancer's connection is closed.
const BALANCER_IDLE: Duration = Duration::from_secs(5);

/// A listening port.
pub struct Port {
    task: JoinHandle<()>,
}

impl Port {
    /// Listens for callers.
    pub async fn callers(address: SocketAddr, site: Arc<Site>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(accept(listener, move |stream| {
            tokio::spawn(serve(stream, Arc::clone(&site)));
        }));
        Ok(Self { task })
    }

    /// Listens for the balancer.
    pub async fn balancer(address: SocketAddr, site: Arc<Site>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(accept(listener, move |stream| {
            tokio::spawn(balancer(stream, Arc::clone(&site)));
        }));
        Ok(Self { task })
    }

    /// Stops listening; open connections go on.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, take: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(cause) = channel::set_socket_options(&stream) {
                    event!(Debug, "socket_not_tuned", reason = cause);
                }
                take(stream);
            }
            Err(cause) => {
                event!(Warn, "accept_failed", reason = cause);
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Requests of one connection and the time since which it is idle.
struct Activity {
    running: AtomicUsize,
    since: Mutex<Instant>,
}

impl Activity {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            running: AtomicUsize::new(0),
            since: Mutex::new(clock::now()),
        })
    }

    fn touch(&self) {
        *crate::shared::lock(&self.since) = clock::now();
    }

    /// Time at which the connection has been idle for `limit`, if no request runs.
    fn due(&self, limit: Duration) -> Option<Instant> {
        if self.running.load(Ordering::Acquire) > 0 {
            return None;
        }
        Some(*crate::shared::lock(&self.since) + limit)
    }
}

async fn serve(stream: TcpStream, site: Arc<Site>) {
    let activity = Activity::new();
    let mut leaving = site.leaving.subscribe();
    let catalog = site.catalog();
    let head = catalog
        .as_ref()
        .map_or(HEAD_MIN, |c| c.limits.max_head_bytes);
    let service = service_fn({
        let (site, activity) = (Arc::clone(&site), Arc::clone(&activity));
        move |request| {
            let (site, activity) = (Arc::clone(&site), Arc::clone(&activity));
            async move {
                activity.running.fetch_add(1, Ordering::AcqRel);
                let response = relay::serve(site, request).await;
                activity.running.fetch_sub(1, Ordering::AcqRel);
                activity.touch();
                Ok::<_, Infallible>(response)
            }
        }
    });
    let stopping = *leaving.borrow_and_update();
    let connection = http1::Builder::new()
        .keep_alive(!stopping)
        .auto_date_header(false)
        .max_buf_size(head.max(HEAD_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = stopping;
    loop {
        let limit = site.catalog().map_or(IDLE, |c| c.limits.idle_timeout);
        let due = activity.due(limit);
        let wake = due.unwrap_or_else(|| clock::now() + limit);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    event!(Debug, "caller_connection_ended", reason = cause);
                }
                return;
            }
            _ = leaving.changed(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep_until(wake.into()), if !closing => {
                if activity.due(limit).is_some_and(|due| due <= clock::now()) {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Answers the balancer, who asks whether new connections may come.
async fn balancer(stream: TcpStream, site: Arc<Site>) {
    let service = service_fn(move |_: Request<Incoming>| {
        let status = match site.ready() {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Empty::<bytes::Bytes>::new());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    if time::timeout(BALANCER_IDLE, connection).await.is_err() {
        event!(Debug, "balancer_connection_closed", reason = "idle");
    }
}
