//! One attempt at a request: submits it to an agent and relays the response to the caller.
//!
//! A lost connection does not end an attempt: its response is recalled over the next connection.

use {
    crate::{idempotency::Summary, shared::Shared, slots::Slot},
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header},
    jayspread_core::{
        claim::MAX_BODY_BYTES,
        id::{Host, Incarnation, Request, Version},
    },
    jayspread_net::{
        clock, event, frame,
        link::Link,
        session::{Reader, Session},
    },
    jayspread_schema::wire::{Ack, Cancel, Head, Recall, Refusal, Submit, ask, reply},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

/// Body chunks buffered for a slow caller.
const BODY_CHANNEL_CAPACITY: usize = 32;
/// Time after the deadline in which a reply of the agent is still accepted, and timeout of the
/// cancellation that follows.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Longest wait for a new connection, as a multiple of the connection's silence timeout.
const RECONNECT_TIMEOUT_FACTOR: u32 = 2;

/// Error that ends a response body early, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Truncation(pub Box<str>);

impl std::fmt::Display for Truncation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "response truncated: {}", self.0)
    }
}

impl std::error::Error for Truncation {}

/// Status and headers of the response to the caller.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, including the version of the model where there is one.
    pub headers: HeaderMap,
}

/// Sending half of a response to the caller.
pub struct Sink {
    /// Sender of the head; `None` once the head was sent.
    head_sender: Option<oneshot::Sender<ResponseHead>>,
    body_sender: mpsc::Sender<Result<Bytes, Truncation>>,
    is_complete: Arc<AtomicBool>,
    /// Head that is sent with the first chunk of the body, or at the end of an empty one.
    pending_head: Option<ResponseHead>,
    /// Bytes of the body passed to the caller.
    pub delivered: u64,
    /// Version that produced the response; empty while unknown.
    pub version: Version,
    summary: Summary,
    /// Start of the body, kept for the idempotency record.
    body_copy: BytesMut,
    arrived_at: Instant,
    /// Time from the request's arrival to the first byte of the response; absent before it.
    pub time_to_first_byte: Option<Duration>,
}

/// Receiving half of a response, see [`Sink`].
pub struct Source {
    /// Receives the head.
    pub head: oneshot::Receiver<ResponseHead>,
    /// Receives the body; an error ends it early.
    pub body: mpsc::Receiver<Result<Bytes, Truncation>>,
    /// Whether the body is complete once the receiver has ended.
    pub is_complete: Arc<AtomicBool>,
}

impl Sink {
    /// Creates both halves for a request that arrived at `arrived_at`.
    pub fn new(arrived_at: Instant) -> (Self, Source) {
        let (head_sender, head_receiver) = oneshot::channel();
        let (body_sender, body_receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let sink = Self {
            head_sender: Some(head_sender),
            body_sender,
            is_complete: Arc::default(),
            pending_head: None,
            delivered: 0,
            version: "".into(),
            summary: Summary::default(),
            body_copy: BytesMut::new(),
            arrived_at,
            time_to_first_byte: None,
        };
        let source = Source {
            head: head_receiver,
            body: body_receiver,
            is_complete: Arc::clone(&sink.is_complete),
        };
        (sink, source)
    }

    /// Whether the head has been sent to the caller.
    pub fn response_started(&self) -> bool {
        self.head_sender.is_none()
    }

    /// Stores the head, which is sent with the first chunk of the body. A resumed response keeps
    /// its first head.
    pub fn set_head(&mut self, head: Head) {
        if self.response_started() {
            return;
        }
        self.version = head.version.as_str().into();
        let decoded = decode_head(&head);
        let content_type = decoded.headers.get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        self.summary.content_type = content_type.to_owned();
        self.summary.status = decoded.status.as_u16();
        self.pending_head = Some(decoded);
    }

    /// Stores the head of a recorded response.
    pub fn set_recorded_head(&mut self, head: ResponseHead) {
        self.pending_head = Some(head);
    }

    fn send_head(&mut self) {
        if let (Some(head), Some(sender)) = (self.pending_head.take(), self.head_sender.take()) {
            self.time_to_first_byte = Some(clock::now() - self.arrived_at);
            let _ = sender.send(head);
        }
    }

    /// Sends a chunk of the body; returns false when the caller has disconnected.
    pub async fn write(&mut self, bytes: Bytes) -> bool {
        self.send_head();
        self.delivered += bytes.len() as u64;
        if self.body_copy.len() <= MAX_BODY_BYTES {
            self.body_copy.extend_from_slice(&bytes);
        }
        self.body_sender.send(Ok(bytes)).await.is_ok()
    }

    /// Ends a complete response and returns its summary.
    pub fn finish(&mut self) -> Summary {
        self.send_head();
        self.is_complete.store(true, Ordering::Release);
        let complete = self.body_copy.len() as u64 == self.delivered;
        self.summary.body = complete.then(|| self.body_copy.split().freeze());
        std::mem::take(&mut self.summary)
    }

    /// Ends a response early; the caller sees the connection close without the end of the body.
    pub async fn truncate(&mut self, reason: &str) {
        let _ = self.body_sender.send(Err(Truncation(reason.into()))).await;
    }
}

fn decode_head(head: &Head) -> ResponseHead {
    let mut headers = HeaderMap::new();
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(version) = HeaderValue::from_str(&head.version)
        && !head.version.is_empty()
    {
        headers.insert("x-version", version);
    }
    let status = StatusCode::from_u16(head.status as u16);
    ResponseHead {
        status: status.unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The complete response was delivered.
    Complete(Summary),
    /// The attempt did not start and never will; carries the delay suggested before a retry.
    NotStarted(Refusal, Duration),
    /// The attempt may have started, and no complete response was received.
    Unknown(Box<str>),
}

/// Agent process that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Host of the agent.
    pub host: Host,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
}

impl Target {
    /// Returns the agent of the backend server that a slot was granted at.
    pub fn from_slot(slot: &Slot) -> Self {
        Self {
            host: slot.host.clone(),
            incarnation: slot.incarnation,
        }
    }
}

/// How reading a response from one connection ended.
enum StreamEnd {
    Done(Ending),
    /// The connection was lost.
    Disconnected,
    /// The agent has no record of the request.
    UnknownRequest,
}

/// An attempt in progress.
pub struct Attempt<'a> {
    shared: &'a Shared,
    target: Target,
    request: Request,
    deadline: Instant,
    link: Arc<Link>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt; `None` when this entry host has no link to the target.
    pub fn new(
        shared: &'a Shared,
        target: Target,
        request: Request,
        deadline: Instant,
    ) -> Option<Self> {
        let link = shared.link(&target.host)?;
        Some(Self {
            shared,
            target,
            request,
            deadline,
            link,
        })
    }

    /// Submits the request and relays its response to the end.
    pub async fn submit(&self, submit: Submit, sink: &mut Sink) -> Ending {
        let Some(session) = self.session(None).await else {
            return Ending::NotStarted(Refusal::Unreachable, Duration::ZERO);
        };
        if session.peer.incarnation != self.target.incarnation {
            return Ending::NotStarted(Refusal::Incarnation, Duration::ZERO);
        }
        let stream_end = match session.send_request(ask::Kind::Submit(submit)).await {
            Ok(reader) => self.read_response(reader, sink).await,
            Err(_) => StreamEnd::Disconnected,
        };
        self.follow_to_end(stream_end, session, sink).await
    }

    /// Fetches the response of an attempt that this or another entry host submitted before.
    pub async fn recall(&self, sink: &mut Sink) -> Ending {
        let Some(session) = self.session(None).await else {
            return Ending::Unknown("its backend server is out of reach".into());
        };
        if session.peer.incarnation != self.target.incarnation {
            return Ending::Unknown("its backend server was restarted".into());
        }
        let stream_end = self.send_recall(&session, sink).await;
        self.follow_to_end(stream_end, session, sink).await
    }

    /// Recalls the response over new connections until the attempt has ended.
    async fn follow_to_end(
        &self,
        mut stream_end: StreamEnd,
        mut session: Session,
        sink: &mut Sink,
    ) -> Ending {
        loop {
            match stream_end {
                StreamEnd::Done(ending) => return ending,
                StreamEnd::UnknownRequest => match self.cancel(&session).await {
                    Some(ending) => return ending,
                    None => stream_end = StreamEnd::Disconnected,
                },
                StreamEnd::Disconnected => {
                    let Some(next) = self.session(Some(&session)).await else {
                        return Ending::Unknown("its backend server is out of reach".into());
                    };
                    if next.peer.incarnation != self.target.incarnation {
                        return Ending::Unknown("its backend server was restarted".into());
                    }
                    session = next;
                    event!(
                        Info,
                        "recall",
                        request = self.request,
                        peer = session.peer.host
                    );
                    stream_end = self.send_recall(&session, sink).await;
                }
            }
        }
    }

    /// Returns an open session other than `last`, waiting for a new connection if needed.
    async fn session(&self, last: Option<&Session>) -> Option<Session> {
        if let Some(session) = self.link.session()
            && last.is_none_or(|last| last.id() != session.id())
        {
            return Some(session);
        }
        let remaining = self.deadline.saturating_duration_since(clock::now());
        let timeout = self.shared.settings.timing.silence_timeout * RECONNECT_TIMEOUT_FACTOR;
        self.link.wait_for_other(last, timeout.min(remaining)).await
    }

    async fn send_recall(&self, session: &Session, sink: &mut Sink) -> StreamEnd {
        self.shared.metrics.recalls.inc();
        let recall = Recall {
            request: self.request.to_string(),
            offset: sink.delivered,
            incarnation: self.target.incarnation,
        };
        match session.send_request(ask::Kind::Recall(recall)).await {
            Ok(reader) => self.read_response(reader, sink).await,
            Err(_) => StreamEnd::Disconnected,
        }
    }

    /// Prevents the request from starting; `None` when the connection was lost.
    async fn cancel(&self, session: &Session) -> Option<Ending> {
        let cancel = Cancel {
            request: self.request.to_string(),
            incarnation: self.target.incarnation,
        };
        let timeout = self.shared.settings.timing.call_timeout;
        match session.call(ask::Kind::Cancel(cancel), timeout).await {
            Ok(reply::Kind::NotStarted(refused)) if refused.reason() == Refusal::Incarnation => {
                Some(Ending::Unknown("its backend server was restarted".into()))
            }
            Ok(reply::Kind::NotStarted(_)) => {
                Some(Ending::NotStarted(Refusal::Tombstone, Duration::ZERO))
            }
            Ok(_) => Some(Ending::Unknown("its answer is not kept any more".into())),
            Err(_) => None,
        }
    }

    /// Relays the frames of one connection to the caller.
    async fn read_response(&self, mut reader: Reader, sink: &mut Sink) -> StreamEnd {
        loop {
            let frame = match self.next_frame(&mut reader, sink).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return StreamEnd::Done(self.cancel_at_deadline().await),
                Err(_) => return StreamEnd::Disconnected,
            };
            match frame {
                reply::Kind::Head(head) if head.request == *self.request => sink.set_head(head),
                reply::Kind::Data(data) if data.offset == sink.delivered => {
                    let _ = sink.write(data.bytes).await;
                }
                reply::Kind::End(end) => return StreamEnd::Done(self.finish(&end, sink)),
                reply::Kind::NotStarted(refused) if refused.reason() == Refusal::UnknownRequest => {
                    return StreamEnd::UnknownRequest;
                }
                reply::Kind::NotStarted(refused) if refused.reason() == Refusal::Incarnation => {
                    let reason = "its backend server was restarted";
                    return StreamEnd::Done(Ending::Unknown(reason.into()));
                }
                reply::Kind::NotStarted(refused) => {
                    let delay = Duration::from_millis(refused.retry_after_ms.into());
                    return StreamEnd::Done(Ending::NotStarted(refused.reason(), delay));
                }
                reply::Kind::Failed(failed) => {
                    return StreamEnd::Done(Ending::Unknown(failed.reason.into()));
                }
                _ => {
                    event!(Error, "unexpected_frame", request = self.request);
                    return StreamEnd::Done(Ending::Unknown("agent sent a foreign frame".into()));
                }
            }
        }
    }

    /// Reads the next frame; `None` when the deadline passed before the response started.
    async fn next_frame(
        &self,
        reader: &mut Reader,
        sink: &Sink,
    ) -> Result<Option<reply::Kind>, frame::Error> {
        if sink.response_started() {
            return reader.next().await.map(Some);
        }
        let timeout_at = time::Instant::from_std(self.deadline + DEADLINE_GRACE);
        match time::timeout_at(timeout_at, reader.next()).await {
            Ok(frame) => frame.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Cancels the request at its deadline. The ending is `NotStarted` only if the agent confirms
    /// in time that the request has not started.
    async fn cancel_at_deadline(&self) -> Ending {
        let unknown = Ending::Unknown("deadline passed".into());
        let Some(session) = self.link.session() else {
            return unknown;
        };
        match time::timeout(DEADLINE_GRACE, self.cancel(&session)).await {
            Ok(Some(Ending::NotStarted(..))) => {
                Ending::NotStarted(Refusal::Deadline, Duration::ZERO)
            }
            _ => unknown,
        }
    }

    /// Checks the end frame and ends the response to the caller.
    fn finish(&self, end: &jayspread_schema::wire::End, sink: &mut Sink) -> Ending {
        if end.request != *self.request || end.length != sink.delivered {
            event!(Error, "end_mismatch", request = self.request);
            return Ending::Unknown("answer has a foreign end".into());
        }
        Ending::Complete(sink.finish())
    }

    /// Tells the agent that it may discard the response it retains.
    pub fn acknowledge(&self) {
        let Some(session) = self.link.session() else {
            return;
        };
        let ack = Ack {
            request: self.request.to_string(),
        };
        tokio::spawn(async move {
            let _ = session.send_request(ask::Kind::Ack(ack)).await;
        });
    }
}
