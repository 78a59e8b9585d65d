//! Administration server: liveness, readiness, metrics and the state dump.

use {
    crate::{
        clock,
        crowd::{Activity, Crowd, Watched},
        event,
        task::{Health, Supervisor},
    },
    axum::{
        Router,
        extract::State,
        http::{StatusCode, header},
        response::IntoResponse,
        routing::get,
    },
    hyper::{server::conn::http1, service::Service as _},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        service::TowerToHyperService,
    },
    jayspread_core::{memory::Notice, restart::Policy},
    prometheus_client::{encoding::text, registry::Registry},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time,
    },
};

/// Largest number of connections of a server for other processes and operators; those without progress
/// are closed for new ones. Fleets have at most a few hundred processes, which share connections.
pub const MAX_CONNECTIONS: usize = 192;
/// Largest head of a request to these servers, bytes; the smallest buffer that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Time within which a head must arrive, and for which a connection stays open without a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed `accept`, to let descriptors become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Media type of metrics in the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State of a process that the administration server exposes.
pub trait View: Send + Sync + 'static {
    /// Whether the process accepts requests; the error is the reason why not.
    fn ready(&self) -> Result<(), Box<str>>;
    /// Returns the state of the process as JSON.
    fn dump(&self) -> serde_json::Value;
    /// Updates the gauges; called before each read of the metrics.
    fn refresh(&self);
}

struct AppState<V> {
    view: Arc<V>,
    registry: Registry,
}

/// Running HTTP server.
pub struct Server {
    tasks: Supervisor,
}

impl Server {
    /// Starts serving `router` on `address`, as a task with this name.
    pub async fn open(
        name: &'static str,
        address: SocketAddr,
        router: Router,
        health: &Arc<Health>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?.into_std()?;
        let mut tasks = Supervisor::new(health, Policy::default());
        tasks.spawn(name, move || {
            let listener = listener.try_clone().and_then(TcpListener::from_std);
            let router = router.clone();
            async move {
                match listener {
                    Ok(listener) => serve(&listener, &router).await,
                    Err(cause) => {
                        event!(Error, "port_failed", address = address, reason = cause);
                    }
                }
            }
        });
        Ok(Self { tasks })
    }

    /// Stops listening.
    pub fn close(self) {
        self.tasks.close();
    }
}

/// Accepts connections until it is cancelled.
async fn serve(listener: &TcpListener, router: &Router) {
    let crowd = Crowd::new(MAX_CONNECTIONS);
    let mut notice = Notice::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, router.clone(), Arc::clone(&crowd)));
            }
            Err(cause) => {
                if let Some(count) = notice.record(1, clock::now()) {
                    event!(Warn, "accept_failed", reason = cause, count = count);
                }
                crowd.make_room();
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router, crowd: Arc<Crowd<Activity>>) {
    let activity = Activity::new();
    let Some(_place) = crowd.enter(&activity) else {
        return;
    };
    // The kernel's default stays in force if it refuses.
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let requests = Arc::clone(&activity);
    let service = hyper::service::service_fn(move |request| {
        let (answer, requests) = (service.call(request), Arc::clone(&requests));
        async move { requests.pending(answer).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Watched::new(stream, &activity)), service);
    tokio::select! {
        ended = connection => {
            if let Err(cause) = ended {
                event!(Debug, "connection_failed", reason = cause);
            }
        }
        () = activity.closed() => {}
    }
}

/// Running administration server.
pub struct Admin {
    server: Server,
}

impl Admin {
    /// Starts the server on `address`.
    pub async fn open<V: View>(
        address: SocketAddr,
        view: Arc<V>,
        mut registry: Registry,
        health: &Arc<Health>,
    ) -> io::Result<Self> {
        health.register(&mut registry);
        let state = Arc::new(AppState { view, registry });
        let router = Router::new()
            .route("/health", get(|| async { "ok\n" }))
            .route("/ready", get(ready::<V>))
            .route("/metrics", get(metrics::<V>))
            .route("/dump", get(dump::<V>))
            .with_state(state);
        let server = Server::open("admin", address, router, health).await?;
        Ok(Self { server })
    }

    /// Stops listening.
    pub fn close(self) {
        self.server.close();
    }
}

async fn ready<V: View>(State(state): State<Arc<AppState<V>>>) -> impl IntoResponse {
    match state.view.ready() {
        Ok(()) => (StatusCode::OK, "ready\n".to_owned()),
        Err(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics<V: View>(State(state): State<Arc<AppState<V>>>) -> impl IntoResponse {
    state.view.refresh();
    let mut metrics = String::new();
    match text::encode(&mut metrics, &state.registry) {
        Ok(()) => (
            StatusCode::OK,
            [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)],
            metrics,
        ),
        Err(_) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)],
            String::new(),
        ),
    }
}

async fn dump<V: View>(State(state): State<Arc<AppState<V>>>) -> impl IntoResponse {
    let text = format!("{:#}\n", state.view.dump());
    ([(header::CONTENT_TYPE, "application/json")], text)
}
