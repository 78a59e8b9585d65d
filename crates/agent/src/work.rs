//! Running attempts on the backend server.

use {
    crate::{
        answer::{Answer, End, Part, Position},
        engine::Work,
        metrics::Metrics,
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
    jayspread_net::{clock, event, frame, http::Error, session::Writer},
    jayspread_schema::wire::{self, Head, Header, NotStarted, Refusal, Submit, reply},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Header that carries the request id to and from the backend server.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that carries the priority to the backend server.
const PRIORITY: &str = "x-priority";
/// Header that asks the backend server to resume a stream.
const RESUME_AT: &str = "x-resume-at";
/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
];
/// Time after the deadline for which a started attempt may still run.
const GRACE: Duration = Duration::from_secs(30);

/// Admits an attempt and answers on the stream.
pub async fn submit(shared: &Arc<Shared>, submit: Submit, writer: Writer) {
    let now = clock::now();
    let request: Request = submit.request.as_str().into();
    let position = Position::at(submit.resume_at);
    if *submit.service != **shared.service() {
        return refuse(shared, writer, Refusal::ForeignService).await;
    }
    match admit(shared, submit, now) {
        Ok(answer) => follow(&answer, position, &request, writer).await,
        Err(refusal) => refuse(shared, writer, refusal).await,
    }
}

/// Decides on an attempt and starts it when admitted; gives its answer, present or to come.
fn admit(shared: &Arc<Shared>, submit: Submit, now: Instant) -> Result<Arc<Answer>, Refusal> {
    let request: Request = submit.request.as_str().into();
    let attempt = Attempt {
        request: request.clone(),
        incarnation: submit.incarnation,
        deadline: now + Duration::from_millis(submit.remaining_ms.into()),
        priority: submit.priority,
    };
    let mut table = lock(&shared.admit);
    match table.submit(&attempt, now) {
        Verdict::Refuse(refusal) => Err(refusal),
        Verdict::Known => {
            let answers = lock(&shared.answers);
            Ok(answers.get(&request).cloned().unwrap_or_else(released))
        }
        Verdict::Wait => {
            lock(&shared.jobs).insert(request.clone(), submit);
            Ok(answer(shared, &request))
        }
        Verdict::Start => {
            let answer = answer(shared, &request);
            drop(table);
            start(shared, submit);
            Ok(answer)
        }
    }
}

/// Answer to a copy of an attempt that has run and whose answer is not kept any more.
fn released() -> Arc<Answer> {
    let answer = Answer::default();
    answer.finish(End::Failed("answer is not kept any more".into()));
    Arc::new(answer)
}

fn answer(shared: &Shared, request: &Request) -> Arc<Answer> {
    let answer = Arc::new(Answer::default());
    let before = lock(&shared.answers).insert(request.clone(), Arc::clone(&answer));
    assert!(before.is_none(), "an attempt has one answer");
    answer
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

/// Starts an admitted attempt in a task of its own.
pub fn start(shared: &Arc<Shared>, submit: Submit) {
    shared.metrics.started.inc();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let request: Request = submit.request.as_str().into();
        let answer = lock(&shared.answers).get(&request).cloned();
        let answer = answer.expect("a started attempt has an answer");
        let limit = Duration::from_millis(submit.remaining_ms.into()) + GRACE;
        let run = run(&shared, submit, &answer);
        let end = match time::timeout(limit, run).await {
            Ok(end) => end,
            Err(_) => End::Failed("took too long".into()),
        };
        count(&shared, &request, &end);
        let turns = lock(&shared.admit).finish(&request, clock::now());
        answer.finish(end);
        start_turns(&shared, turns);
    });
}

/// Starts or refuses waiting attempts.
pub fn start_turns(shared: &Arc<Shared>, turns: Vec<admission::Dequeued>) {
    for submit in shared.deliver(turns) {
        start(shared, submit);
    }
}

fn count(shared: &Shared, request: &Request, end: &End) {
    match end {
        End::Whole => {
            shared.metrics.whole.inc();
        }
        End::Failed(reason) => {
            shared.metrics.failed.inc();
            event!(Warn, "attempt_failed", request = request, reason = reason);
        }
        End::NotStarted(refusal) => {
            Metrics::count(&shared.metrics.refused, refusal.as_str_name());
        }
    }
}

/// Sends the request to the backend server and takes in its answer.
async fn run(shared: &Arc<Shared>, submit: Submit, answer: &Answer) -> End {
    let version = shared.serving_version();
    let began = clock::now();
    let work = match work(&submit) {
        Ok(work) => work,
        Err(reason) => return End::Failed(reason),
    };
    event!(
        Debug,
        "attempt_started",
        request = submit.request,
        path = submit.path
    );
    let response = match shared.engine.work(work).await {
        Ok(response) => response,
        Err(Error::Connect(_)) => return End::NotStarted(Refusal::Unreachable),
        Err(cause) => return End::Failed(cause.to_string().into()),
    };
    let echoed = response.headers().get(REQUEST_ID);
    if echoed.is_some_and(|id| id.as_bytes() != submit.request.as_bytes()) {
        shared.metrics.foreign.inc();
        event!(Error, "foreign_answer", request = submit.request);
        return End::Failed("backend server answered another request".into());
    }
    answer.begin(head(&submit, &response, version), submit.resume_at);
    relay(shared, response, answer, began).await
}

fn work(submit: &Submit) -> Result<Work, Box<str>> {
    let method: Method = submit.method.parse().map_err(|_| "bad method")?;
    let mut headers = HeaderMap::new();
    for header in &submit.headers {
        let name: HeaderName = header.name.parse().map_err(|_| "bad header name")?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| "bad header value")?;
        headers.append(name, value);
    }
    let id = HeaderValue::from_str(&submit.request).map_err(|_| "bad request id")?;
    headers.insert(REQUEST_ID, id);
    headers.insert(PRIORITY, HeaderValue::from(submit.priority));
    if submit.resume_at > 0 {
        headers.insert(RESUME_AT, HeaderValue::from(submit.resume_at));
    }
    Ok(Work {
        method,
        path: submit.path.as_str().into(),
        headers,
        body: submit.body.clone(),
    })
}

fn head(submit: &Submit, response: &Response<Incoming>, version: String) -> Head {
    let passed = |name: &&HeaderName| !HOP_BY_HOP.contains(&name.as_str());
    let names = response.headers().keys().filter(passed);
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

/// Appends the body to the answer; the first byte tells the backend server's latency.
async fn relay(
    shared: &Shared,
    response: Response<Incoming>,
    answer: &Answer,
    began: Instant,
) -> End {
    let mut body = response.into_body();
    let mut first = true;
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data(),
            Err(cause) => return End::Failed(cause.to_string().into()),
        };
        let Ok(bytes) = data else {
            continue;
        };
        if first {
            first = false;
            observe(shared, clock::now() - began);
        }
        if time::timeout(admission::ANSWER_RETENTION, answer.append(bytes))
            .await
            .is_err()
        {
            return End::Failed("nobody reads the answer".into());
        }
    }
    End::Whole
}

fn observe(shared: &Shared, latency: Duration) {
    let now = clock::now();
    let cold = lock(&shared.admit).ramp.observe(latency, now);
    if cold {
        shared.metrics.chilled.inc();
        event!(Warn, "turned_cold", first_byte_us = latency.as_micros());
    }
}

/// Sends an answer again from an offset on.
pub async fn recall(shared: &Arc<Shared>, recall: wire::Recall, writer: Writer) {
    let request: Request = recall.request.as_str().into();
    shared.metrics.recalled.inc();
    if recall.incarnation != shared.node.identity.incarnation {
        return refuse(shared, writer, Refusal::Incarnation).await;
    }
    let answer = lock(&shared.answers).get(&request).cloned();
    let Some(answer) = answer else {
        return refuse(shared, writer, Refusal::UnknownRequest).await;
    };
    follow(&answer, Position::at(recall.offset), &request, writer).await;
}

/// Forbids an attempt from starting, or says that it is known.
pub async fn cancel(shared: &Arc<Shared>, cancel: wire::Cancel, mut writer: Writer) {
    if cancel.incarnation != shared.node.identity.incarnation {
        return refuse(shared, writer, Refusal::Incarnation).await;
    }
    let request: Request = cancel.request.into();
    let forbidden = lock(&shared.admit).cancel(&request, clock::now());
    let kind = if forbidden {
        lock(&shared.jobs).remove(&request);
        if let Some(answer) = lock(&shared.answers).remove(&request) {
            answer.finish(End::NotStarted(Refusal::Tombstone));
        }
        not_started(Refusal::Tombstone)
    } else {
        reply::Kind::Known(true)
    };
    let _ = writer.write(kind).await;
    writer.close();
}

/// Releases a kept answer.
pub fn acknowledge(shared: &Shared, request: &Request) {
    if lock(&shared.admit).release(request, clock::now()) {
        lock(&shared.answers).remove(request);
    }
}

/// Writes an answer to a stream as it comes.
async fn follow(answer: &Answer, mut position: Position, request: &Request, mut writer: Writer) {
    loop {
        let part = answer.next(&mut position).await;
        let last = matches!(part, Part::End(..) | Part::Gone);
        let kind = reply_kind(part, request);
        if writer.write(kind).await.is_err() {
            return;
        }
        if last {
            break;
        }
    }
    writer.close();
}

fn reply_kind(part: Part, request: &Request) -> reply::Kind {
    let failed = |reason: &str| {
        reply::Kind::Failed(wire::Failed {
            reason: reason.to_owned(),
        })
    };
    match part {
        Part::Head(head) => reply::Kind::Head(head),
        Part::Data(offset, bytes) => reply::Kind::Data(wire::Data { offset, bytes }),
        Part::End(End::Whole, length) => reply::Kind::End(wire::End {
            request: request.to_string(),
            length,
        }),
        Part::End(End::NotStarted(refusal), _) => not_started(refusal),
        Part::End(End::Failed(reason), _) => failed(&reason),
        Part::Gone => failed("offset is not kept any more"),
    }
}

/// Error of a stream, for logs.
pub fn log_error(peer: &str, cause: &frame::Error) {
    event!(Debug, "stream_ended", peer = peer, reason = cause);
}
