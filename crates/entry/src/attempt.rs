//! One attempt at a request: sent to an agent, followed over broken connections to its end.

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
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

/// Body pieces on the way to the caller.
const BODY_CHANNEL_CAPACITY: usize = 32;
/// Time past the deadline for which the agent's word is awaited.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Longest wait for another connection, as a multiple of the silence limit.
const RECONNECT_TIMEOUT_FACTOR: u32 = 2;

/// Why a body was cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Truncation(pub Box<str>);

impl std::fmt::Display for Truncation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "answer cut off: {}", self.0)
    }
}

impl std::error::Error for Truncation {}

/// Head of an answer for the caller.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// The caller's side of an answer.
pub struct Sink {
    head: Option<oneshot::Sender<ResponseHead>>,
    body: mpsc::Sender<Result<Bytes, Truncation>>,
    /// Head that waits for the first piece of the body or the end.
    pending_head: Option<ResponseHead>,
    /// Bytes of the body delivered.
    pub delivered: u64,
    /// Version that the delivered bytes come from.
    pub version: Version,
    summary: Summary,
    body_copy: BytesMut,
    arrived_at: Instant,
    /// Time from the request's arrival to the first byte, once known.
    pub time_to_first_byte: Option<Duration>,
}

/// The other side of a [`Sink`].
pub struct Source {
    /// Receives the head.
    pub head: oneshot::Receiver<ResponseHead>,
    /// Receives the body; a cut ends it.
    pub body: mpsc::Receiver<Result<Bytes, Truncation>>,
}

impl Sink {
    /// Creates both sides; the request has arrived at `began`.
    pub fn new(began: Instant) -> (Self, Source) {
        let (head, head_receiver) = oneshot::channel();
        let (body, body_receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let sink = Self {
            head: Some(head),
            body,
            pending_head: None,
            delivered: 0,
            version: "".into(),
            summary: Summary::default(),
            body_copy: BytesMut::new(),
            arrived_at: began,
            time_to_first_byte: None,
        };
        let source = Source {
            head: head_receiver,
            body: body_receiver,
        };
        (sink, source)
    }

    /// Whether the caller has seen anything of the answer.
    pub fn response_started(&self) -> bool {
        self.head.is_none()
    }

    /// Takes in the head; it goes to the caller with the first piece of the body.
    pub fn set_head(&mut self, head: Head) {
        if self.response_started() {
            return;
        }
        self.version = head.version.as_str().into();
        let begun = decode_head(&head);
        let kind = begun.headers.get(header::CONTENT_TYPE);
        let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or_default();
        self.summary.content_type = kind.to_owned();
        self.summary.status = begun.status.as_u16();
        self.pending_head = Some(begun);
    }

    /// Takes in the head of a recorded answer.
    pub fn set_recorded_head(&mut self, begun: ResponseHead) {
        self.pending_head = Some(begun);
    }

    fn flush(&mut self) {
        if let (Some(begun), Some(head)) = (self.pending_head.take(), self.head.take()) {
            self.time_to_first_byte = Some(clock::now() - self.arrived_at);
            let _ = head.send(begun);
        }
    }

    /// Passes a piece on; false when the caller has gone.
    pub async fn write(&mut self, bytes: Bytes) -> bool {
        self.flush();
        self.delivered += bytes.len() as u64;
        if self.body_copy.len() <= MAX_BODY_BYTES {
            self.body_copy.extend_from_slice(&bytes);
        }
        self.body.send(Ok(bytes)).await.is_ok()
    }

    /// Ends the answer as whole.
    pub fn finish(&mut self) -> Summary {
        self.flush();
        let whole = self.body_copy.len() as u64 == self.delivered;
        self.summary.body = whole.then(|| self.body_copy.split().freeze());
        std::mem::take(&mut self.summary)
    }

    /// Cuts an answer off that has begun.
    pub async fn truncate(&mut self, reason: &str) {
        let _ = self.body.send(Err(Truncation(reason.into()))).await;
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
    /// The answer is whole and delivered.
    Complete(Summary),
    /// The attempt did not start and never will.
    NotStarted(Refusal, Duration),
    /// The attempt may have started and brought no whole answer.
    Unknown(Box<str>),
}

/// Where an attempt runs.
#[derive(Debug, Clone)]
pub struct Target {
    /// Host of the agent.
    pub host: Host,
    /// Life of the agent.
    pub incarnation: Incarnation,
}

impl Target {
    /// Target of a slot.
    pub fn from_slot(slot: &Slot) -> Self {
        Self {
            host: slot.host.clone(),
            incarnation: slot.incarnation,
        }
    }
}

/// How following an answer on one connection ended.
enum StreamEnd {
    Done(Ending),
    /// The connection broke off.
    Disconnected,
    /// The agent does not know the request.
    UnknownRequest,
}

/// An attempt being followed.
pub struct Attempt<'a> {
    shared: &'a Shared,
    target: Target,
    request: Request,
    deadline: Instant,
    link: Arc<Link>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt; nothing when no connection to its host is kept.
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

    /// Submits the request and follows its answer to the end.
    pub async fn submit(&self, submit: Submit, sink: &mut Sink) -> Ending {
        let Some(session) = self.session(None).await else {
            return Ending::NotStarted(Refusal::Unreachable, Duration::ZERO);
        };
        if session.peer.incarnation != self.target.incarnation {
            return Ending::NotStarted(Refusal::Incarnation, Duration::ZERO);
        }
        let step = match session.ask(ask::Kind::Submit(submit)).await {
            Ok(reader) => self.read_response(reader, sink).await,
            Err(_) => StreamEnd::Disconnected,
        };
        self.follow_to_end(step, session, sink).await
    }

    /// Asks for the answer of an attempt that another entry host, or this one, has submitted.
    pub async fn recall(&self, sink: &mut Sink) -> Ending {
        let Some(session) = self.session(None).await else {
            return Ending::Unknown("its backend server is out of reach".into());
        };
        if session.peer.incarnation != self.target.incarnation {
            return Ending::Unknown("its backend server was restarted".into());
        }
        let step = self.send_recall(&session, sink).await;
        self.follow_to_end(step, session, sink).await
    }

    /// Follows the answer over new connections until it has an end.
    async fn follow_to_end(
        &self,
        mut step: StreamEnd,
        mut session: Session,
        sink: &mut Sink,
    ) -> Ending {
        loop {
            match step {
                StreamEnd::Done(ending) => return ending,
                StreamEnd::UnknownRequest => match self.cancel(&session).await {
                    Some(ending) => return ending,
                    None => step = StreamEnd::Disconnected,
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
                    step = self.send_recall(&session, sink).await;
                }
            }
        }
    }

    async fn session(&self, last: Option<&Session>) -> Option<Session> {
        if let Some(session) = self.link.session()
            && last.is_none_or(|last| last.id() != session.id())
        {
            return Some(session);
        }
        let remaining = self.deadline.saturating_duration_since(clock::now());
        let limit = self.shared.settings.timing.silent * RECONNECT_TIMEOUT_FACTOR;
        self.link.another(last, limit.min(remaining)).await
    }

    async fn send_recall(&self, session: &Session, sink: &mut Sink) -> StreamEnd {
        self.shared.metrics.recalls.inc();
        let recall = Recall {
            request: self.request.to_string(),
            offset: sink.delivered,
            incarnation: self.target.incarnation,
        };
        match session.ask(ask::Kind::Recall(recall)).await {
            Ok(reader) => self.read_response(reader, sink).await,
            Err(_) => StreamEnd::Disconnected,
        }
    }

    /// Forbids the request from starting; nothing when the connection broke off.
    async fn cancel(&self, session: &Session) -> Option<Ending> {
        let cancel = Cancel {
            request: self.request.to_string(),
            incarnation: self.target.incarnation,
        };
        let limit = self.shared.settings.timing.call;
        match session.call(ask::Kind::Cancel(cancel), limit).await {
            Ok(reply::Kind::NotStarted(no)) if no.reason() == Refusal::Incarnation => {
                Some(Ending::Unknown("its backend server was restarted".into()))
            }
            Ok(reply::Kind::NotStarted(_)) => {
                Some(Ending::NotStarted(Refusal::Tombstone, Duration::ZERO))
            }
            Ok(_) => Some(Ending::Unknown("its answer is not kept any more".into())),
            Err(_) => None,
        }
    }

    /// Reads the answer's frames and passes them on.
    async fn read_response(&self, mut reader: Reader, sink: &mut Sink) -> StreamEnd {
        loop {
            let kind = match self.next_frame(&mut reader, sink).await {
                Ok(Some(kind)) => kind,
                Ok(None) => return StreamEnd::Done(self.cancel_at_deadline().await),
                Err(_) => return StreamEnd::Disconnected,
            };
            match kind {
                reply::Kind::Head(head) if head.request == *self.request => sink.set_head(head),
                reply::Kind::Data(data) if data.offset == sink.delivered => {
                    let _ = sink.write(data.bytes).await;
                }
                reply::Kind::End(end) => return StreamEnd::Done(self.finish(&end, sink)),
                reply::Kind::NotStarted(no) if no.reason() == Refusal::UnknownRequest => {
                    return StreamEnd::UnknownRequest;
                }
                reply::Kind::NotStarted(no) if no.reason() == Refusal::Incarnation => {
                    let reason = "its backend server was restarted";
                    return StreamEnd::Done(Ending::Unknown(reason.into()));
                }
                reply::Kind::NotStarted(no) => {
                    let delay = Duration::from_millis(no.retry_after_ms.into());
                    return StreamEnd::Done(Ending::NotStarted(no.reason(), delay));
                }
                reply::Kind::Failed(failed) => {
                    return StreamEnd::Done(Ending::Unknown(failed.reason.into()));
                }
                _ => {
                    event!(Error, "foreign_frame", request = self.request);
                    return StreamEnd::Done(Ending::Unknown("agent sent a foreign frame".into()));
                }
            }
        }
    }

    /// Reads the next frame; nothing when the deadline passed before the answer began.
    async fn next_frame(
        &self,
        reader: &mut Reader,
        sink: &Sink,
    ) -> Result<Option<reply::Kind>, frame::Error> {
        if sink.response_started() {
            return reader.next().await.map(Some);
        }
        let due = time::Instant::from_std(self.deadline + DEADLINE_GRACE);
        match time::timeout_at(due, reader.next()).await {
            Ok(frame) => frame.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Tries to prove at the deadline that the request has not started.
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

    fn finish(&self, end: &jayspread_schema::wire::End, sink: &mut Sink) -> Ending {
        if end.request != *self.request || end.length != sink.delivered {
            event!(Error, "foreign_end", request = self.request);
            return Ending::Unknown("answer has a foreign end".into());
        }
        Ending::Complete(sink.finish())
    }

    /// Releases the answer that the agent keeps.
    pub fn acknowledge(&self) {
        let Some(session) = self.link.session() else {
            return;
        };
        let ack = Ack {
            request: self.request.to_string(),
        };
        tokio::spawn(async move {
            let _ = session.ask(ask::Kind::Ack(ack)).await;
        });
    }
}
