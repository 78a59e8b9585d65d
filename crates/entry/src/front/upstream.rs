//! The way of a request to one engine, up to the response head.

use {
    crate::{
        front::{
            attempt::{Attempt, Subject},
            state::State,
        },
        shared::lock,
    },
    bytes::Bytes,
    jayspread_core::{
        answer::{Arrival, Owner},
        catalog::Kind,
        engine::leaving,
        outlier::Outcome,
        placement::{Answered, Reservation},
        quarantine::Finding,
    },
    jayspread_net::{
        channel::{Channel, Error, Head},
        clock, event,
    },
    jayspread_platform::header as wire,
    std::{
        fmt, mem,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Timeout for connecting to an engine.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum idle time of a connection that is reused for a non-idempotent request. The longer it was
/// idle, the likelier the engine is closing it, and then it is unknown whether the request ran.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(100);
/// Maximum size of a response body that is read and discarded to keep the connection usable.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Time for which the body of a refusal is awaited to keep the connection usable.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of responses to other requests that are discarded while one is awaited.
const MAX_UNEXPECTED_RESPONSES: usize = 16;

/// Reason why an attempt gave no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent, for this reason.
    Unsent(&'static str),
    /// The engine reported with this status that it has not executed the request.
    NotExecuted(u16),
    /// The response was invalid or incomplete, for this reason.
    Lost(&'static str),
    /// No response arrived in time.
    Timeout,
    /// The request was withdrawn because it must not begin on the engine's version any more.
    Withdrawn,
}

impl Failure {
    /// Label for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Failure::Unsent(_) => "unsent",
            Failure::NotExecuted(_) => "not_run",
            Failure::Lost(_) => "lost",
            Failure::Timeout => "late",
            Failure::Withdrawn => "withdrawn",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unsent(reason) => write!(f, "unsent:{reason}"),
            Failure::NotExecuted(status) => write!(f, "not_run:{status}"),
            Failure::Lost(reason) => write!(f, "lost:{reason}"),
            Failure::Timeout => write!(f, "late"),
            Failure::Withdrawn => write!(f, "withdrawn"),
        }
    }
}

/// Permit for one request at an engine; dropping it releases the reservation.
pub struct Permit {
    state: Arc<State>,
    /// Reservation in the table of engines.
    pub reservation: Reservation,
    /// Time at which the request was sent.
    sent_at: Instant,
    outcome: Option<(Outcome, &'static str)>,
    silence_reported: Arc<AtomicBool>,
    /// Whether the time of the answer was recorded.
    is_timed: bool,
}

impl Permit {
    /// Wraps a reservation made in the table of engines.
    pub fn new(state: &Arc<State>, reservation: Reservation) -> Self {
        Self {
            state: Arc::clone(state),
            reservation,
            sent_at: clock::now(),
            outcome: None,
            silence_reported: Arc::default(),
            is_timed: false,
        }
    }

    /// Records the time that the engine took for what it has answered first.
    pub fn record_time(&mut self, answered: Answered) {
        if mem::replace(&mut self.is_timed, true) {
            return;
        }
        let now = clock::now();
        let took = now.saturating_duration_since(self.sent_at);
        let mut engines = lock(&self.state.engines);
        let change = engines.record_time(&self.reservation, answered, took, now);
        drop(engines);
        if let Some(change) = change {
            event!(
                Info,
                "engine_pace",
                engine = self.reservation.id,
                percent = (change.to * 1e2).round(),
                before_percent = (change.from * 1e2).round()
            );
        }
    }

    /// Whether the engine may still have been at work on the request when it was given up.
    fn was_unanswered(&self) -> bool {
        match self.outcome {
            None => true,
            Some((Outcome::Failure, reason)) => reason == "silent",
            Some((Outcome::Success | Outcome::Rejected, _)) => false,
        }
    }

    /// Flag to set when the engine's silence has been recorded as a failure; it is not recorded again
    /// then.
    pub fn silence_reported(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.silence_reported)
    }

    /// Shared state of the process.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Sets the result that is recorded for the engine when the permit is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome, reason: &'static str) {
        self.outcome = Some((outcome, reason));
    }

    /// Applies what the engine's response says about the engine itself.
    pub fn observe(&self, metadata: &wire::Response) {
        let (state, reservation) = (&self.state, &self.reservation);
        let now = clock::now();
        if let Some(load) = metadata.load {
            let mut engines = lock(&state.engines);
            engines.observe_load(reservation, load, now);
            if let Some(slowdown) = metadata.slowdown {
                engines.observe_slowdown(reservation, slowdown, now);
            }
        }
        let change =
            lock(&state.engines).apply_leaving(reservation, metadata.leaving, self.sent_at, now);
        match change {
            Some(leaving::Change::Began) => {
                state.metrics.leaving_engines.inc();
                event!(
                    Info,
                    "engine_leaving",
                    engine = reservation.id,
                    source = "response"
                );
                state.heartbeat_due.notify_one();
            }
            Some(leaving::Change::Ended) => {
                event!(Info, "engine_not_leaving", engine = reservation.id);
            }
            None => {}
        }
        let limited =
            lock(&state.engines).apply_limit(reservation, metadata.limit, self.sent_at, now);
        if limited {
            state.metrics.limit_changes.inc();
            event!(
                Info,
                "engine_limit",
                engine = reservation.id,
                per_second = metadata.limit.unwrap_or(-1.0)
            );
        }
        if let Some(rest) = metadata.rest {
            lock(&state.engines).rest_until(reservation, now + rest);
            state.metrics.resting_engines.inc();
            event!(
                Info,
                "engine_rests",
                engine = reservation.id,
                rest_ms = rest.as_millis()
            );
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let is_recorded = self.silence_reported.load(Ordering::Relaxed);
        let outcome = self.outcome.map(|(outcome, _)| outcome);
        let outcome = outcome.filter(|outcome| !is_recorded || *outcome != Outcome::Failure);
        let now = clock::now();
        let mut engines = lock(&self.state.engines);
        if !self.is_timed && self.was_unanswered() {
            let lasted = now.saturating_duration_since(self.sent_at);
            engines.record_unanswered(&self.reservation, lasted, now);
        }
        let ejected = engines.release(&self.reservation, outcome, now);
        drop(engines);
        if let (true, Some((_, reason))) = (ejected, self.outcome) {
            self.state.report_ejection(&self.reservation.id, reason);
        }
    }
}

/// A request to one engine.
pub struct Request {
    /// Request head as sent.
    pub head: Vec<u8>,
    /// Complete request body.
    pub body: Bytes,
    /// What is recorded of the attempt.
    pub subject: Subject,
    /// Whether and how the request may be repeated.
    pub kind: Kind,
    /// Time at which the wait for the response ends.
    pub deadline: Instant,
}

impl Request {
    /// Whether the request must not begin any more: the engine's version is an old one.
    fn has_to_withdraw(&self, now: Instant) -> bool {
        self.subject.begin_by.is_some_and(|at| now >= at)
    }
}

/// A response whose head has been received.
pub struct Response {
    /// The attempt, with its connection at the start of the body.
    pub attempt: Attempt,
    /// Head of the response.
    pub head: Head,
}

impl Response {
    /// Sends a request and waits for the response head.
    pub async fn request(mut permit: Permit, request: &Request) -> Result<Self, Failure> {
        let mut channel = match connect(&permit, request.kind).await {
            Ok(channel) => channel,
            Err(cause) => {
                permit.set_outcome(Outcome::Failure, cause.kind());
                if cause.is_refused() {
                    let instance = permit.reservation.instance();
                    permit
                        .state
                        .record_finding(&instance, Finding::Ended, permit.sent_at);
                }
                return Err(Failure::Unsent(cause.kind()));
            }
        };
        channel.queue_request(&request.head, &request.body);
        let mut attempt = Attempt::new(permit, channel, request.subject.clone());
        let line = &mut *attempt;
        let begin_by = request.subject.begin_by.unwrap_or(request.deadline);
        let reading = read_head(&mut line.channel, &request.subject.request_id);
        let received = time::timeout_at(request.deadline.min(begin_by).into(), reading).await;
        let (head, metadata) = match received {
            Ok(Ok(received)) => received,
            Ok(Err(cause)) => {
                line.record_failure(cause.kind(), 0);
                return Err(if cause.is_unsent() {
                    Failure::Unsent(cause.kind())
                } else {
                    Failure::Lost(cause.kind())
                });
            }
            Err(_) if request.has_to_withdraw(clock::now()) => return Err(Failure::Withdrawn),
            Err(_) => {
                line.permit.set_outcome(Outcome::Failure, "silent");
                return Err(Failure::Timeout);
            }
        };
        line.status = Some(head.status);
        line.permit.observe(&metadata);
        let response = Self { attempt, head };
        response.validate(&metadata).await
    }

    /// Returns an error for a refusal or an invalid response.
    async fn validate(mut self, metadata: &wire::Response) -> Result<Self, Failure> {
        let status = self.head.status.as_u16();
        if metadata.not_executed {
            self.attempt.settle();
            let outcome = if status == 421 {
                Outcome::Failure
            } else {
                Outcome::Rejected
            };
            self.attempt.permit.set_outcome(outcome, "not_run");
            let body = self.attempt.channel.receive_body(MAX_DISCARDED_BYTES);
            if matches!(time::timeout(REFUSAL_BODY_TIMEOUT, body).await, Ok(Ok(_))) {
                self.attempt.close();
            }
            return Err(Failure::NotExecuted(status));
        }
        // These statuses imply that the request was not executed, but the engine did not confirm
        // it.
        let implies_refusal = matches!(status, 408 | 421 | 429 | 503);
        if implies_refusal || self.head.status.is_success() && !metadata.sealed {
            self.attempt.record_failure("unsealed", 0);
            return Err(Failure::Lost("unsealed"));
        }
        Ok(self)
    }
}

async fn connect(permit: &Permit, kind: Kind) -> Result<Channel, Error> {
    let max_idle = match kind {
        Kind::Once | Kind::Stream => MAX_IDLE_NON_IDEMPOTENT,
        Kind::Idempotent | Kind::Resumable => Duration::MAX,
    };
    let pooled = lock(&permit.state.pool).take(&permit.reservation.instance(), max_idle);
    match pooled {
        Some(channel) => Ok(channel),
        None => Channel::open(permit.reservation.address, CONNECT_TIMEOUT).await,
    }
}

/// Reads response heads until the one for this request arrives. Responses to earlier requests on
/// the connection are discarded.
pub async fn read_head(
    channel: &mut Channel,
    request_id: &str,
) -> Result<(Head, wire::Response), Error> {
    let mut unexpected_count = 0;
    loop {
        let head = channel.receive_head().await?;
        let metadata = wire::parse_response(head.status.as_u16(), &head.headers);
        let arrival = Arrival {
            named: metadata.request_id.as_deref(),
            is_refusal: metadata.not_executed,
            is_first: channel.is_first_request() && unexpected_count == 0,
            request_sent: channel.is_request_sent(),
        };
        match arrival.owner(request_id) {
            Owner::Request => return Ok((head, metadata)),
            Owner::Another => {
                event!(
                    Warn,
                    "unexpected_response",
                    request = request_id,
                    response_for = arrival.named.unwrap_or_default()
                );
                unexpected_count += 1;
                if unexpected_count > MAX_UNEXPECTED_RESPONSES {
                    return Err(Error::Malformed("too many responses to other requests"));
                }
                channel.receive_body(MAX_DISCARDED_BYTES).await?;
            }
            Owner::Unknown => {
                event!(
                    Warn,
                    "unproven_response",
                    request = request_id,
                    status = head.status.as_u16(),
                    refusal = arrival.is_refusal,
                    first = arrival.is_first,
                    request_sent = arrival.request_sent
                );
                return Err(Error::Malformed("response without a request id"));
            }
        }
    }
}
