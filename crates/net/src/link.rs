//! Lasting connections: heartbeats, detection of silence, dialling anew from a new local port.
//!
//! A connection can go silent for good while new ones work, because something between the ends
//! has lost track of it. Heartbeats in both directions show this; the dialling end then abandons
//! the connection and opens another one from a new local port.

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

/// First delay before dialling again after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest delay before dialling again.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// What a process does with its peers' heartbeats and asks.
pub trait Handler: Send + Sync + 'static {
    /// Heartbeat to send to a peer; the sequence numbers are filled in by the caller.
    fn heartbeat(&self, peer: &Hello) -> Beat;
    /// Takes in a peer's heartbeat.
    fn on_heartbeat(&self, session: &Session, beat: &Beat);
    /// Answers an ask of a peer.
    fn handle_request(
        self: Arc<Self>,
        session: Session,
        ask: ask::Kind,
        writer: Writer,
        rest: RecvStream,
    ) -> impl Future<Output = ()> + Send;
    /// Notes that a connection was opened or has ended.
    fn on_connection_change(&self, session: &Session, open: bool);
    /// Counts bytes of a peer that make no sense.
    fn record_malformed(&self, peer: &str, what: &str);
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The connection was closed or reset.
    Closed,
    /// Nothing was heard for too long.
    Silent,
}

/// A lasting connection to one peer, kept open by a task.
pub struct Link {
    current: watch::Receiver<Option<Session>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts dialling `host` at `address` and keeps the connection open.
    pub fn open<H: Handler>(
        node: Node,
        address: SocketAddr,
        host: Box<str>,
        handler: Arc<H>,
    ) -> Self {
        let (sender, current) = watch::channel(None);
        let task = tokio::spawn(keep(node, address, host, handler, sender));
        Self {
            current,
            address,
            task,
        }
    }

    /// Address that the link dials.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The open connection, if there is one.
    pub fn session(&self) -> Option<Session> {
        let session = self.current.borrow().clone()?;
        (!session.is_closed()).then_some(session)
    }

    /// Waits at most `limit` for an open connection other than `last`.
    pub async fn wait_for_other(&self, last: Option<&Session>, limit: Duration) -> Option<Session> {
        let mut current = self.current.clone();
        let other = |session: &Session| {
            !session.is_closed() && last.is_none_or(|last| last.id() != session.id())
        };
        let wait = current.wait_for(|session| session.as_ref().is_some_and(other));
        match time::timeout(limit, wait).await {
            Ok(Ok(session)) => session.clone(),
            _ => None,
        }
    }

    /// Ends the connection and stops dialling.
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

async fn keep<H: Handler>(
    node: Node,
    address: SocketAddr,
    host: Box<str>,
    handler: Arc<H>,
    current: watch::Sender<Option<Session>>,
) {
    let mut backoff = BACKOFF_MIN;
    let mut fresh = false;
    loop {
        match node.dial(address, &host, fresh).await {
            Ok(session) => {
                backoff = BACKOFF_MIN;
                current.send_replace(Some(session.clone()));
                let ending = run(&node, session, Arc::clone(&handler)).await;
                current.send_replace(None);
                fresh = ending == Ending::Silent;
                if fresh {
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
                fresh = true;
                time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.0))
}

/// Accepts connections until the node closes.
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

/// Runs one connection until it ends.
async fn run<H: Handler>(node: &Node, session: Session, handler: Arc<H>) -> Ending {
    event!(
        Info,
        "connection_open",
        peer = session.peer.host,
        rtt_us = session.rtt().as_micros()
    );
    handler.on_connection_change(&session, true);
    let echo = AtomicU64::new(0);
    let ending = tokio::select! {
        () = send_beats(node, &session, &*handler, &echo) => Ending::Closed,
        ending = hear_beats(node, &session, &*handler, &echo) => ending,
        () = answer_asks(&session, &handler) => Ending::Closed,
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

async fn send_beats<H: Handler>(node: &Node, session: &Session, handler: &H, echo: &AtomicU64) {
    let mut interval = time::interval(node.timing.heartbeat_interval);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let beat = Beat {
            sequence: node.next_sequence(),
            echo: echo.load(Ordering::Relaxed),
            ..handler.heartbeat(&session.peer)
        };
        session.send_heartbeat(&beat);
    }
}

async fn hear_beats<H: Handler>(
    node: &Node,
    session: &Session,
    handler: &H,
    echo: &AtomicU64,
) -> Ending {
    let mut heard: Instant = clock::now();
    loop {
        let due = time::Instant::from_std(heard + node.timing.silence_timeout);
        let beat = match time::timeout_at(due, session.receive_heartbeat()).await {
            Err(_) => return Ending::Silent,
            Ok(Ok(beat)) => beat,
            Ok(Err(crate::frame::Error::Broken(_))) => return Ending::Closed,
            Ok(Err(_)) => {
                handler.record_malformed(&session.peer.host, "heartbeat");
                continue;
            }
        };
        heard = clock::now();
        echo.fetch_max(beat.sequence, Ordering::Relaxed);
        handler.on_heartbeat(session, &beat);
    }
}

async fn answer_asks<H: Handler>(session: &Session, handler: &Arc<H>) {
    loop {
        let Ok((send, mut recv)) = session.accept().await else {
            return;
        };
        let handler = Arc::clone(handler);
        let session = session.clone();
        tokio::spawn(async move {
            match session::read_request(&mut recv).await {
                Ok(ask) => {
                    let writer = Writer::new(send);
                    handler.handle_request(session, ask, writer, recv).await;
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
