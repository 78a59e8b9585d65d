//! Listening ports for callers and for the health checks of the platform's load balancer.

use {
    crate::{
        front::{
            connection::{self, MIN_HEADER_BUFFER_BYTES, Settings},
            relay,
            state::State,
        },
        shared::lock,
    },
    http::{Request, Response, StatusCode},
    http_body_util::Empty,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    jayspread_core::{connection::Limits, memory::Notice, restart::Policy},
    jayspread_net::{admin::View, caller, channel, clock, event, task::Supervisor},
    std::{
        collections::VecDeque,
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::AbortHandle,
        time,
    },
};

/// Limits of a caller's connection while no configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
};
/// Pause after a failed `accept`, to let file descriptors become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections of load balancers; the oldest one is closed for a new one.
const MAX_BALANCER_CONNECTIONS: usize = 64;
/// Maximum lifetime of a load balancer's connection.
const BALANCER_TIMEOUT: Duration = Duration::from_secs(5);

/// A listening port and the task that accepts its connections.
pub struct Listener {
    tasks: Supervisor,
}

impl Listener {
    /// Listens for callers' requests.
    pub async fn callers(address: SocketAddr, state: Arc<State>) -> io::Result<Self> {
        Self::open("callers", address, state, |stream, state| {
            tokio::spawn(serve_caller(stream, state));
        })
        .await
    }

    /// Listens for health checks of the load balancer.
    pub async fn balancer(address: SocketAddr, state: Arc<State>) -> io::Result<Self> {
        let open = Mutex::new(VecDeque::new());
        Self::open("balancer", address, state, move |stream, state| {
            let mut open = lock(&open);
            open.retain(|task: &AbortHandle| !task.is_finished());
            if open.len() >= MAX_BALANCER_CONNECTIONS
                && let Some(oldest) = open.pop_front()
            {
                oldest.abort();
            }
            open.push_back(tokio::spawn(serve_balancer(stream, state)).abort_handle());
        })
        .await
    }

    async fn open(
        name: &'static str,
        address: SocketAddr,
        state: Arc<State>,
        on_connection: impl Fn(TcpStream, Arc<State>) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = Arc::new(TcpListener::bind(address).await?);
        caller::bound_receive_buffer(&listener);
        let on_connection = Arc::new(on_connection);
        let mut tasks = Supervisor::new(&state.tasks, Policy::default());
        tasks.spawn(name, move || {
            let (listener, state) = (Arc::clone(&listener), Arc::clone(&state));
            let on_connection = Arc::clone(&on_connection);
            async move {
                let on_failure = || state.callers.make_room();
                accept(&listener, on_failure, |stream| {
                    on_connection(stream, Arc::clone(&state));
                })
                .await;
            }
        });
        Ok(Self { tasks })
    }

    /// Stops accepting connections; open connections stay.
    pub fn close(self) {
        self.tasks.close();
    }
}

async fn accept(
    listener: &TcpListener,
    on_failure: impl Fn() -> usize,
    on_connection: impl Fn(TcpStream),
) {
    let mut notice = Notice::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                on_connection(stream);
            }
            Err(cause) => {
                if let Some(count) = notice.record(1, clock::now()) {
                    event!(Warn, "accept_failed", reason = cause, count = count);
                }
                // The process may be out of descriptors.
                on_failure();
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(stream: TcpStream, state: Arc<State>) {
    let catalog = state.catalog();
    let settings = Settings {
        max_header_bytes: catalog.map_or(MIN_HEADER_BUFFER_BYTES, |catalog| {
            catalog.limits.max_head_bytes
        }),
        limits: || {
            state.catalog().map_or(DEFAULT_LIMITS, |catalog| Limits {
                idle: catalog.limits.idle_timeout,
                head: catalog.limits.body_timeout,
            })
        },
        shutdown: state.shutdown.subscribe(),
        in_hand: Arc::clone(&state.in_hand),
        crowd: Arc::clone(&state.callers),
    };
    connection::serve(stream, settings, |request| {
        relay::serve(Arc::clone(&state), request)
    })
    .await;
}

/// Answers health checks: 200 if this host accepts new connections, otherwise 503.
async fn serve_balancer(stream: TcpStream, state: Arc<State>) {
    if let Err(cause) = channel::set_socket_options(&stream) {
        event!(Debug, "socket_options_failed", reason = cause);
    }
    let service = service_fn(move |_: Request<Incoming>| {
        let status = match state.ready() {
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
    if time::timeout(BALANCER_TIMEOUT, connection).await.is_err() {
        event!(Debug, "balancer_connection_closed", reason = "timeout");
    }
}
