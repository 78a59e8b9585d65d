//! Persistent connections with heartbeats and automatic reconnection.
//!
//! A connection can stop passing data while new connections work, because a middlebox on the path has
//! lost its state. Missing heartbeats reveal this; the dialling end then drops the connection and
//! opens another one from a new local port.

use {
    crate::{
        clock, event,
        node::Node,
        session::{self, Session, Writer},
    },
    jayspread_schema::wire::{Beat, Hello, ask},
    quinn::RecvStream,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinHandle, time},
};

/// Delay before the first retry of a failed dial.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Maximum delay before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Callbacks of a process for the heartbeats and requests of its peers.
pub trait Handler: Send + Sync + 'static {
    /// Returns the heartbeat to send to `peer`; the caller fills in `sequence` and `echo`.
    fn heartbeat(&self, peer: &Hello) -> Beat;
    /// Handles a heartbeat of a peer.
    fn on_heartbeat(&self, session: &Session, heartbeat: &Beat);
    /// Handles a request of a peer and writes the replies; `rest` is the remaining request stream.
    fn handle_request(
        self: Arc<Self>,
        session: Session,
        request: ask::Kind,
        writer: Writer,
        rest: RecvStream,
    ) -> impl Future<Output = ()> + Send;
    /// Called when a connection was opened (`open` is true) or closed.
    fn on_connection_change(&self, session: &Session, open: bool);
    /// Counts a malformed message or failed handshake; `kind` names the expected message.
    fn record_malformed(&self, peer: &str, kind: &str);
}

/// Reason for the end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The connection was closed or reset.
    Closed,
    /// No heartbeat arrived within the silence timeout.
    Silent,
}

/// Persistent connection to one peer; a task reopens it after a failure.
pub struct Link {
    current: watch::Receiver<Option<Session>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a task that connects to `host` at `address` and keeps the connection open.
    pub fn open<H: Handler>(
        node: Node,
        address: SocketAddr,
        host: Box<str>,
        handler: Arc<H>,
    ) -> Self {
        let (sender, current) = watch::channel(None);
        let task = tokio::spawn(keep_open(node, address, host, handler, sender));
        Self {
            current,
            address,
            task,
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open connection, if there is one.
    pub fn session(&self) -> Option<Session> {
        let session = self.current.borrow().clone()?;
        (!session.is_closed()).then_some(session)
    }

    /// Waits at most `timeout` for an open connection other than `previous`.
    pub async fn wait_for_other(
        &self,
        previous: Option<&Session>,
        timeout: Duration,
    ) -> Option<Session> {
        let mut current = self.current.clone();
        let is_other = |session: &Session| {
            !session.is_closed() && previous.is_none_or(|previous| previous.id() != session.id())
        };
        let wait = current.wait_for(|session| session.as_ref().is_some_and(is_other));
        match time::timeout(timeout, wait).await {
            Ok(Ok(session)) => session.clone(),
            _ => None,
        }
    }

    /// Closes the connection and stops reconnecting.
    pub fn close(self) {
        if let Some(session) = self.current.borrow().as_ref() {
            session.close("link closed");
        }
        self.task.abort();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep_open<H: Handler>(
    node: Node,
    address: SocketAddr,
    host: Box<str>,
    handler: Arc<H>,
    current: watch::Sender<Option<Session>>,
) {
    let mut backoff = BACKOFF_MIN;
    let mut new_port = false;
    loop {
        match node.dial(address, &host, new_port).await {
            Ok(session) => {
                backoff = BACKOFF_MIN;
                current.send_replace(Some(session.clone()));
                let ending = run(&node, session, Arc::clone(&handler)).await;
                current.send_replace(None);
                new_port = ending == Ending::Silent;
                if new_port {
                    event!(Warn, "connection_silent", peer = host);
                }
            }
            Err(cause) => {
                event!(
                    Debug,
                    "dial_failed",
                    peer = host,
                    address = address,
                    reason = cause
                );
                new_port = true;
                time::sleep(with_jitter(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

fn with_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.0))
}

/// Accepts and serves connections until the node is closed.
pub async fn accept<H: Handler>(node: Node, handler: Arc<H>) {
    while let Some(incoming) = node.incoming().await {
        let node = node.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let remote = incoming.remote_address();
            match node.accept(incoming).await {
                Ok(session) => {
                    run(&node, session, handler).await;
                }
                Err(cause) => {
                    event!(Warn, "connection_refused", remote = remote, reason = cause);
                    handler.record_malformed(&remote.to_string(), "hello");
                }
            }
        });
    }
}

/// Serves one connection until it ends.
async fn run<H: Handler>(node: &Node, session: Session, handler: Arc<H>) -> Ending {
    event!(
        Info,
        "connection_open",
        peer = session.peer.host,
        rtt_us = session.rtt().as_micros()
    );
    handler.on_connection_change(&session, true);
    let last_sequence = AtomicU64::new(0);
    let ending = tokio::select! {
        () = send_heartbeats(node, &session, &*handler, &last_sequence) => Ending::Closed,
        ending = receive_heartbeats(node, &session, &*handler, &last_sequence) => ending,
        () = accept_requests(&session, &handler) => Ending::Closed,
        () = session.closed() => Ending::Closed,
    };
    session.close("ended");
    handler.on_connection_change(&session, false);
    event!(
        Info,
        "connection_ended",
        peer = session.peer.host,
        ending = format!("{ending:?}")
    );
    ending
}

async fn send_heartbeats<H: Handler>(
    node: &Node,
    session: &Session,
    handler: &H,
    last_sequence: &AtomicU64,
) {
    let mut interval = time::interval(node.timing.heartbeat_interval);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let heartbeat = Beat {
            sequence: node.next_sequence(),
            echo: last_sequence.load(Ordering::Relaxed),
            ..handler.heartbeat(&session.peer)
        };
        session.send_heartbeat(&heartbeat);
    }
}

async fn receive_heartbeats<H: Handler>(
    node: &Node,
    session: &Session,
    handler: &H,
    last_sequence: &AtomicU64,
) -> Ending {
    let mut last_received: Instant = clock::now();
    loop {
        let deadline = time::Instant::from_std(last_received + node.timing.silence_timeout);
        let heartbeat = match time::timeout_at(deadline, session.receive_heartbeat()).await {
            Err(_) => return Ending::Silent,
            Ok(Ok(heartbeat)) => heartbeat,
            Ok(Err(crate::frame::Error::Broken(_))) => return Ending::Closed,
            Ok(Err(_)) => {
                handler.record_malformed(&session.peer.host, "heartbeat");
                continue;
            }
        };
        last_received = clock::now();
        last_sequence.fetch_max(heartbeat.sequence, Ordering::Relaxed);
        handler.on_heartbeat(session, &heartbeat);
    }
}

async fn accept_requests<H: Handler>(session: &Session, handler: &Arc<H>) {
    loop {
        let Ok((send, mut recv)) = session.accept().await else {
            return;
        };
        let handler = Arc::clone(handler);
        let session = session.clone();
        tokio::spawn(async move {
            match session::read_request(&mut recv).await {
                Ok(request) => {
                    let writer = Writer::new(send);
                    handler.handle_request(session, request, writer, recv).await;
                }
                Err(cause) => {
                    event!(
                        Warn,
                        "ask_malformed",
                        peer = session.peer.host,
                        reason = cause
                    );
                    handler.record_malformed(&session.peer.host, "ask");
                }
            }
        });
    }
}
