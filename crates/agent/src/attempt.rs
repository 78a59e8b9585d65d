//! Runs attempts on the backend server. An attempt is one execution of a request.

use {
    crate::{
        engine::BackendRequest,
        metrics::Metrics,
        response::{Buffer, Outcome, Part, Position},
        shared::{Shared, lock},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Response},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    jayspread_core::{
        admission::{self, Attempt, Verdict},
        id::Request,
    },
    jayspread_net::{clock, event, frame, http::Error, panic, session::Writer},
    jayspread_schema::wire::{self, Head, Header, NotStarted, Refusal, Submit, reply},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Header that carries the request ID to the backend server and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the priority to the backend server.
const PRIORITY_HEADER: &str = "x-priority";
/// Header that asks the backend server to resume a stream at an offset.
const RESUME_AT_HEADER: &str = "x-resume-at";
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
];
/// Time that a started attempt may run beyond its deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(30);

/// Admits an attempt and streams its response to the entry host, or refuses it.
pub async fn submit(shared: &Arc<Shared>, submit: Submit, writer: Writer) {
    let now = clock::now();
    let request: Request = submit.request.as_str().into();
    let position = Position::at(submit.resume_at);
    if *submit.service != **shared.service() {
        return refuse(shared, writer, Refusal::ForeignService).await;
    }
    match admit(shared, submit, now) {
        Ok(buffer) => stream_response(&buffer, position, &request, writer).await,
        Err(refusal) => refuse(shared, writer, refusal).await,
    }
}

/// Applies admission control to an attempt. Returns the response buffer if the attempt runs, waits
/// or is a duplicate of an earlier copy.
fn admit(shared: &Arc<Shared>, submit: Submit, now: Instant) -> Result<Arc<Buffer>, Refusal> {
    let request: Request = submit.request.as_str().into();
    let attempt = Attempt {
        request: request.clone(),
        incarnation: submit.incarnation,
        deadline: now + Duration::from_millis(submit.remaining_ms.into()),
        priority: submit.priority,
    };
    let mut admission = lock(&shared.admission);
    match admission.submit(&attempt, now) {
        Verdict::Refuse(refusal) => Err(refusal),
        Verdict::Known => {
            let responses = lock(&shared.responses);
            Ok(responses
                .get(&request)
                .cloned()
                .unwrap_or_else(expired_buffer))
        }
        Verdict::Wait => {
            lock(&shared.waiting_submits).insert(request.clone(), submit);
            Ok(create_buffer(shared, &request))
        }
        Verdict::Start => {
            let buffer = create_buffer(shared, &request);
            drop(admission);
            start(shared, submit);
            Ok(buffer)
        }
    }
}

/// Response to a duplicate of an attempt whose own response has been discarded.
fn expired_buffer() -> Arc<Buffer> {
    let buffer = Buffer::default();
    buffer.finish(Outcome::Failed("answer is not kept any more".into()));
    Arc::new(buffer)
}

fn create_buffer(shared: &Shared, request: &Request) -> Arc<Buffer> {
    let buffer = Arc::new(Buffer::default());
    let previous = lock(&shared.responses).insert(request.clone(), Arc::clone(&buffer));
    assert!(previous.is_none(), "an attempt has one response buffer");
    buffer
}

async fn refuse(shared: &Shared, mut writer: Writer, refusal: Refusal) {
    Metrics::count(&shared.metrics.refused, refusal.as_str_name());
    let _ = writer.write(not_started(refusal)).await;
    writer.close();
}

fn not_started(refusal: Refusal) -> reply::Kind {
    reply::Kind::NotStarted(NotStarted {
        reason: refusal.into(),
        retry_after_ms: admission::retry_after(refusal).as_millis() as u32,
    })
}

/// Spawns a task that runs an admitted attempt.
pub fn start(shared: &Arc<Shared>, submit: Submit) {
    shared.metrics.started.inc();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let request: Request = submit.request.as_str().into();
        let buffer = lock(&shared.responses).get(&request).cloned();
        let buffer = buffer.expect("a started attempt has a response buffer");
        let limit = Duration::from_millis(submit.remaining_ms.into()) + DEADLINE_GRACE;
        let outcome = outcome(limit, execute(&shared, submit, &buffer)).await;
        count_outcome(&shared, &request, &outcome);
        let dequeued = lock(&shared.admission).finish(&request, clock::now());
        buffer.finish(outcome);
        start_waiting(&shared, dequeued);
    });
}

/// Outcome of an execution; it has failed if it takes longer than `limit` or panics.
pub async fn outcome(limit: Duration, execution: impl Future<Output = Outcome>) -> Outcome {
    match time::timeout(limit, panic::catch_async(execution)).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(panic)) => Outcome::Failed(format!("panicked: {panic}").into()),
        Err(_) => Outcome::Failed("took too long".into()),
    }
}

/// Starts or refuses attempts that have left the waiting queue.
pub fn start_waiting(shared: &Arc<Shared>, dequeued: Vec<admission::Dequeued>) {
    for submit in shared.resolve_waiting(dequeued) {
        start(shared, submit);
    }
}

fn count_outcome(shared: &Shared, request: &Request, outcome: &Outcome) {
    match outcome {
        Outcome::Complete => {
            shared.metrics.completed.inc();
        }
        Outcome::Failed(reason) => {
            shared.metrics.failed.inc();
            event!(Warn, "attempt_failed", request = request, reason = reason);
        }
        Outcome::NotStarted(refusal) => {
            Metrics::count(&shared.metrics.refused, refusal.as_str_name());
        }
    }
}

/// Sends the request to the backend server and copies its response to the buffer.
async fn execute(shared: &Arc<Shared>, submit: Submit, buffer: &Buffer) -> Outcome {
    let version = shared.serving_version();
    let started_at = clock::now();
    let backend_request = match backend_request(&submit) {
        Ok(backend_request) => backend_request,
        Err(reason) => return Outcome::Failed(reason),
    };
    event!(
        Debug,
        "attempt_started",
        request = submit.request,
        path = submit.path
    );
    let response = match shared.engine.send(backend_request).await {
        Ok(response) => response,
        Err(Error::Connect(_)) => return Outcome::NotStarted(Refusal::Unreachable),
        Err(cause) => return Outcome::Failed(cause.to_string().into()),
    };
    let returned_id = response.headers().get(REQUEST_ID_HEADER);
    if returned_id.is_some_and(|id| id.as_bytes() != submit.request.as_bytes()) {
        shared.metrics.mismatched.inc();
        event!(Error, "response_mismatched", request = submit.request);
        return Outcome::Failed("backend server answered another request".into());
    }
    buffer.set_head(response_head(&submit, &response, version), submit.resume_at);
    relay_body(shared, response, buffer, started_at).await
}

fn backend_request(submit: &Submit) -> Result<BackendRequest, Box<str>> {
    let method: Method = submit.method.parse().map_err(|_| "bad method")?;
    let mut headers = HeaderMap::new();
    for header in &submit.headers {
        let name: HeaderName = header.name.parse().map_err(|_| "bad header name")?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| "bad header value")?;
        headers.append(name, value);
    }
    let request_id = HeaderValue::from_str(&submit.request).map_err(|_| "bad request id")?;
    headers.insert(REQUEST_ID_HEADER, request_id);
    headers.insert(PRIORITY_HEADER, HeaderValue::from(submit.priority));
    if submit.resume_at > 0 {
        headers.insert(RESUME_AT_HEADER, HeaderValue::from(submit.resume_at));
    }
    Ok(BackendRequest {
        method,
        path: submit.path.as_str().into(),
        headers,
        body: submit.body.clone(),
    })
}

fn response_head(submit: &Submit, response: &Response<Incoming>, version: String) -> Head {
    let end_to_end = |name: &&HeaderName| !HOP_BY_HOP_HEADERS.contains(&name.as_str());
    let names = response.headers().keys().filter(end_to_end);
    let headers = names.flat_map(|name| {
        let values = response.headers().get_all(name).into_iter();
        values.map(|value| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
    });
    Head {
        request: submit.request.clone(),
        status: response.status().as_u16().into(),
        headers: headers.collect(),
        version,
    }
}

/// Copies the body to the buffer and records the latency of its first byte.
async fn relay_body(
    shared: &Shared,
    response: Response<Incoming>,
    buffer: &Buffer,
    started_at: Instant,
) -> Outcome {
    let mut body = response.into_body();
    let mut first_byte = true;
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data(),
            Err(cause) => return Outcome::Failed(cause.to_string().into()),
        };
        let Ok(bytes) = data else {
            continue;
        };
        if first_byte {
            first_byte = false;
            record_latency(shared, clock::now() - started_at);
        }
        if time::timeout(admission::ANSWER_RETENTION, buffer.append(bytes))
            .await
            .is_err()
        {
            return Outcome::Failed("nobody reads the answer".into());
        }
    }
    Outcome::Complete
}

fn record_latency(shared: &Shared, latency: Duration) {
    let now = clock::now();
    let cold = lock(&shared.admission).ramp.observe(latency, now);
    if cold {
        shared.metrics.cold_starts.inc();
        event!(Warn, "backend_cold", first_byte_us = latency.as_micros());
    }
}

/// Resends a stored response from an offset.
pub async fn recall(shared: &Arc<Shared>, recall: wire::Recall, writer: Writer) {
    let request: Request = recall.request.as_str().into();
    shared.metrics.recalled.inc();
    if recall.incarnation != shared.node.identity.incarnation {
        return refuse(shared, writer, Refusal::Incarnation).await;
    }
    let buffer = lock(&shared.responses).get(&request).cloned();
    let Some(buffer) = buffer else {
        return refuse(shared, writer, Refusal::UnknownRequest).await;
    };
    stream_response(&buffer, Position::at(recall.offset), &request, writer).await;
}

/// Prevents an attempt from starting, or reports that it has already started.
pub async fn cancel(shared: &Arc<Shared>, cancel: wire::Cancel, mut writer: Writer) {
    if cancel.incarnation != shared.node.identity.incarnation {
        return refuse(shared, writer, Refusal::Incarnation).await;
    }
    let request: Request = cancel.request.into();
    let cancelled = lock(&shared.admission).cancel(&request, clock::now());
    let kind = if cancelled {
        lock(&shared.waiting_submits).remove(&request);
        if let Some(buffer) = lock(&shared.responses).remove(&request) {
            buffer.finish(Outcome::NotStarted(Refusal::Tombstone));
        }
        not_started(Refusal::Tombstone)
    } else {
        reply::Kind::Known(true)
    };
    let _ = writer.write(kind).await;
    writer.close();
}

/// Discards a stored response that the entry host has acknowledged.
pub fn acknowledge(shared: &Shared, request: &Request) {
    if lock(&shared.admission).release(request, clock::now()) {
        lock(&shared.responses).remove(request);
    }
}

/// Writes a response to a stream as its parts arrive.
async fn stream_response(
    buffer: &Buffer,
    mut position: Position,
    request: &Request,
    mut writer: Writer,
) {
    loop {
        let part = buffer.next_part(&mut position).await;
        let is_last = matches!(part, Part::End(..) | Part::Discarded);
        let kind = to_reply(part, request);
        if writer.write(kind).await.is_err() {
            return;
        }
        if is_last {
            break;
        }
    }
    writer.close();
}

fn to_reply(part: Part, request: &Request) -> reply::Kind {
    let failed = |reason: &str| {
        reply::Kind::Failed(wire::Failed {
            reason: reason.to_owned(),
        })
    };
    match part {
        Part::Head(head) => reply::Kind::Head(head),
        Part::Data(offset, bytes) => reply::Kind::Data(wire::Data { offset, bytes }),
        Part::End(Outcome::Complete, length) => reply::Kind::End(wire::End {
            request: request.to_string(),
            length,
        }),
        Part::End(Outcome::NotStarted(refusal), _) => not_started(refusal),
        Part::End(Outcome::Failed(reason), _) => failed(&reason),
        Part::Discarded => failed("offset is not kept any more"),
    }
}

/// Logs the error that ended a stream.
pub fn log_stream_error(peer: &str, cause: &frame::Error) {
    event!(Debug, "stream_ended", peer = peer, reason = cause);
}
