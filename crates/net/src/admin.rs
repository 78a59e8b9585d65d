//! Administration server: liveness, readiness, metrics and the state dump.

use {
    crate::{
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
    jayspread_core::restart::Policy,
    prometheus_client::{encoding::text, registry::Registry},
    std::{io, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
};

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
                let served = match listener {
                    Ok(listener) => axum::serve(listener, router).await,
                    Err(cause) => Err(cause),
                };
                if let Err(cause) = served {
                    event!(Error, "port_failed", address = address, reason = cause);
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
