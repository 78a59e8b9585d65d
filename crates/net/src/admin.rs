//! Administration port: liveness, readiness, metrics and the state dump.

use {
    crate::event,
    axum::{
        Router,
        extract::State,
        http::{StatusCode, header},
        response::IntoResponse,
        routing::get,
    },
    prometheus_client::{encoding::text, registry::Registry},
    std::{io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Media type of the metrics text.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the administration port shows of a process.
pub trait View: Send + Sync + 'static {
    /// Whether the process takes work.
    fn ready(&self) -> Result<(), Box<str>>;
    /// State of the process as JSON.
    fn dump(&self) -> serde_json::Value;
    /// Refreshes the gauges before they are read.
    fn refresh(&self);
}

struct Shared<V> {
    view: Arc<V>,
    registry: Registry,
}

/// A running HTTP port of the process's own.
pub struct Server {
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on `address`.
    pub async fn open(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(async move {
            if let Err(cause) = axum::serve(listener, router).await {
                event!(Error, "port_failed", address = address, reason = cause);
            }
        });
        Ok(Self { task })
    }

    /// Stops listening.
    pub fn close(self) {
        self.task.abort();
    }
}

/// A running administration port.
pub struct Admin {
    port: Server,
}

impl Admin {
    /// Listens on `address`.
    pub async fn open<V: View>(
        address: SocketAddr,
        view: Arc<V>,
        registry: Registry,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared { view, registry });
        let router = Router::new()
            .route("/health", get(|| async { "ok\n" }))
            .route("/ready", get(ready::<V>))
            .route("/metrics", get(metrics::<V>))
            .route("/dump", get(dump::<V>))
            .with_state(shared);
        let port = Server::open(address, router).await?;
        Ok(Self { port })
    }

    /// Stops listening.
    pub fn close(self) {
        self.port.close();
    }
}

async fn ready<V: View>(State(shared): State<Arc<Shared<V>>>) -> impl IntoResponse {
    match shared.view.ready() {
        Ok(()) => (StatusCode::OK, "ready\n".to_owned()),
        Err(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics<V: View>(State(shared): State<Arc<Shared<V>>>) -> impl IntoResponse {
    shared.view.refresh();
    let mut out = String::new();
    match text::encode(&mut out, &shared.registry) {
        Ok(()) => (StatusCode::OK, [(header::CONTENT_TYPE, METRICS_TYPE)], out),
        Err(_) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            [(header::CONTENT_TYPE, METRICS_TYPE)],
            String::new(),
        ),
    }
}

async fn dump<V: View>(State(shared): State<Arc<Shared<V>>>) -> impl IntoResponse {
    let text = format!("{:#}\n", shared.view.dump());
    ([(header::CONTENT_TYPE, "application/json")], text)
}
