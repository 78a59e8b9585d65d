//! Reverse proxy: validates callers' requests, sends them to engines and relays the responses.

use {
    crate::{
        front::{
            body::{Body, full},
            exchange::Exchange,
            problem::{PANIC_RETRY_AFTER, Problem},
            state::State,
            stream::Stream,
            trace::Trace,
            upstream::{self, Failure},
        },
        metrics,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header, request::Parts},
    hyper::body::Incoming,
    jayspread_core::{
        call::Call,
        catalog::{Catalog, Organisation, Route},
        outlier::Outcome,
        quarantine::{self, Part},
    },
    jayspread_net::{body, clock, event, panic},
    jayspread_platform::header as wire,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Retry delay suggested to callers while no configuration is known.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay suggested to callers during shutdown; another host can serve them at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum body size of a plain response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Handles a caller's request.
pub async fn serve(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    state.metrics.requests.inc();
    let (parts, incoming) = request.into_parts();
    let request = wire::parse_request(&parts.headers);
    let request_id = request.as_ref().map(|request| request.id.clone());
    let accepting = accept(state.clone(), parts, incoming, request, arrived);
    let accepted = panic::catch_async(accepting).await.unwrap_or_else(|panic| {
        event!(
            Error,
            "request_panicked",
            request = request_id.as_deref().unwrap_or("none"),
            message = panic
        );
        // Nothing was sent yet.
        Err(Problem::unavailable("panicked", PANIC_RETRY_AFTER))
    });
    match accepted {
        Ok(exchange) => exchange.run().await,
        Err(problem) => {
            metrics::count(&state.metrics.failed, problem.reason);
            metrics::count(&state.metrics.ends, "refused");
            let mut trace = Trace::new(request_id.as_deref().unwrap_or("none"), 1);
            trace.add(
                "rejected",
                format_args!(
                    "status={} reason={}",
                    problem.status.as_u16(),
                    problem.reason
                ),
            );
            trace.finish(true);
            problem.into_response(request_id.as_deref())
        }
    }
}

/// Hash of the content of a request, by which it is recognised under another id.
fn content(organisation: Option<&Organisation>, parts: &Parts, body: &[u8]) -> Part {
    let caller = organisation.map_or("", |organisation| &organisation.name);
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    quarantine::request(caller, host, target, wire::prompt(&parts.headers), body)
}

/// Validates a request and reads its body.
async fn accept(
    state: Arc<State>,
    parts: Parts,
    incoming: Incoming,
    request: Option<wire::Request>,
    arrived: Instant,
) -> Result<Exchange, Problem> {
    let admitted = match admit(&state, &parts, request) {
        Ok(admitted) => admitted,
        Err(problem) => {
            body::discard(incoming).await;
            return Err(problem);
        }
    };
    let Admitted {
        catalog,
        request,
        route,
        organisation,
    } = admitted;
    let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let body = read_body(incoming, &catalog).await?;
    let call = Call::new(route.kind, route.max_attempts, request.last_event_id);
    let service = route.pick_service(rand::random()).clone();
    state.count_request(&service);
    let is_caller_retry = request
        .timeout
        .is_some_and(|timeout| state.is_caller_retry(&route, timeout));
    let shared_parts = request.shared_parts.iter();
    let mut prompt_parts: Vec<Part> = shared_parts.map(|id| quarantine::part(id)).collect();
    let content = content(organisation.as_deref(), &parts, &body);
    prompt_parts.push(content);
    let mut trace = Trace::new(&request.id, state.settings.options.log_sample);
    trace.add(
        "received",
        format_args!(
            "route={} kind={:?} organisation={} prompt={} parts={} timeout_ms={} \
             caller_retry={} revision={} content={content:016x}",
            route.name,
            route.kind,
            organisation
                .as_ref()
                .map_or("none", |organisation| &organisation.name),
            request.prompt_tokens,
            request.shared_parts.join(","),
            timeout.as_millis(),
            is_caller_retry,
            catalog.revision
        ),
    );
    state.in_flight.fetch_add(1, Ordering::AcqRel);
    Ok(Exchange {
        state,
        catalog,
        route,
        organisation,
        service,
        parts,
        body,
        request,
        arrived,
        deadline,
        call,
        begin_by: None,
        tried: Vec::new(),
        prompt_parts: prompt_parts.into(),
        is_probe: false,
        is_caller_retry,
        trace: Some(trace),
    })
}

/// A request whose head is valid.
struct Admitted {
    catalog: Arc<Catalog>,
    request: wire::Request,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Validates the head of a request.
fn admit(
    state: &State,
    parts: &Parts,
    request: Option<wire::Request>,
) -> Result<Admitted, Problem> {
    if state.refuses_requests() {
        return Err(Problem::unavailable("stopping", SHUTDOWN_RETRY_AFTER));
    }
    let Some(catalog) = state.catalog() else {
        return Err(Problem::unavailable("starting", STARTUP_RETRY_AFTER));
    };
    let Some(request) = request else {
        return Err(Problem::rejected(StatusCode::BAD_REQUEST, "no_request_id"));
    };
    let route = find_route(&catalog, parts)?;
    let organisation = match &request.api_key {
        _ if route.public || !catalog.keys_required => None,
        Some(key) => catalog.organisation(key).cloned(),
        None => None,
    };
    if organisation.is_none() && catalog.keys_required && !route.public {
        return Err(Problem::rejected(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    Ok(Admitted {
        catalog,
        request,
        route,
        organisation,
    })
}

fn find_route(catalog: &Catalog, parts: &Parts) -> Result<Arc<Route>, Problem> {
    let no_route = Problem::rejected(StatusCode::NOT_FOUND, "no_route");
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).ok_or(no_route)?;
    let hostname = host.rsplit_once(':').map_or(host, |(hostname, _)| hostname);
    let route = catalog.route(hostname, parts.uri.path());
    route.cloned().ok_or(no_route)
}

/// Reads the body of a request within the configured limits.
async fn read_body(incoming: Incoming, catalog: &Catalog) -> Result<Bytes, Problem> {
    let limits = &catalog.limits;
    let read = body::read(incoming, limits.max_body_bytes, limits.body_timeout).await;
    read.map_err(|error| match error {
        body::Error::TooLarge => Problem::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        body::Error::Broken => Problem::rejected(StatusCode::BAD_REQUEST, "body_broken"),
        body::Error::TooSlow => Problem::rejected(StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
    })
}

impl Exchange {
    async fn run(mut self) -> Response<Body> {
        let problem = match panic::catch_async(self.respond()).await {
            Ok(Ok(Started::Stream(stream))) => {
                let request_id = self.request.id.clone();
                let response = panic::catch(|| self.stream(*stream));
                return response.unwrap_or_else(|_| {
                    Problem::bad_gateway("panicked").into_response(Some(&request_id))
                });
            }
            Ok(Ok(Started::Complete(response))) => return response,
            Ok(Err(problem)) => {
                self.fail(problem.reason);
                problem
            }
            Err(panic) => self.record_panic(&panic),
        };
        problem.into_response(Some(&self.request.id))
    }

    /// Sends the request until there is a complete response or a stream to relay.
    async fn respond(&mut self) -> Result<Started, Problem> {
        if !self.route.kind.is_stream() {
            return self.plain().await.map(Started::Complete);
        }
        let started = self.start_stream().await?;
        if let Started::Complete(response) = &started {
            let status = response.status().as_u16();
            self.complete("answered", format_args!("status={status}"));
        }
        Ok(started)
    }

    /// Handles a request with a plain response. The response is buffered completely before it is
    /// relayed, so that a broken one can be retried or reported as an error.
    async fn plain(&mut self) -> Result<Response<Body>, Problem> {
        let mut fallback: Option<(Response<Body>, u16)> = None;
        loop {
            let mut upstream = match self.send().await {
                Ok(upstream) => upstream,
                Err(problem) => {
                    let Some((response, status)) = fallback else {
                        return Err(problem);
                    };
                    self.complete("answered", format_args!("status={status} after=retry"));
                    return Ok(response);
                }
            };
            let deadline = self.timeout().deadline;
            let received = time::timeout_at(
                deadline.into(),
                upstream.attempt.channel.receive_body(MAX_RESPONSE_BYTES),
            )
            .await;
            let body = match received {
                Ok(Ok(body)) => body,
                Ok(Err(cause)) => {
                    let attempt = &mut upstream.attempt;
                    attempt.record_failure(cause.kind(), 0);
                    let failure = Failure::Lost(cause.kind());
                    let problem = self.record_failure(failure, &attempt.permit.reservation.id);
                    self.authorize_retry(problem)?;
                    continue;
                }
                Err(_) => {
                    let permit = &mut upstream.attempt.permit;
                    permit.set_outcome(Outcome::Failure, "silent");
                    let problem = self.record_failure(Failure::Timeout, &permit.reservation.id);
                    self.authorize_retry(problem)?;
                    continue;
                }
            };
            let status = upstream.head.status;
            upstream
                .attempt
                .permit
                .set_outcome(Outcome::Success, "answered");
            if status.is_success() {
                upstream.attempt.record_answer();
            }
            let response = build_response(status, upstream.head.headers.clone(), full(body));
            upstream.attempt.close();
            metrics::count(&self.state.metrics.attempts, "answered");
            if status.is_server_error() && fallback.is_none() && self.take_error_retry() {
                fallback = Some((response, status.as_u16()));
                continue;
            }
            let elapsed = self.elapsed();
            self.state.metrics.first_byte.observe(elapsed.as_secs_f64());
            self.complete(
                "answered",
                format_args!("status={} took_ms={}", status.as_u16(), elapsed.as_millis()),
            );
            return Ok(response);
        }
    }

    /// Sends the request until an engine has streamed its first complete event or has responded
    /// with an error of its own.
    async fn start_stream(&mut self) -> Result<Started, Problem> {
        let mut fallback = None;
        loop {
            let upstream = match self.send().await {
                Ok(upstream) => upstream,
                Err(problem) => return fallback.map(Started::Complete).ok_or(problem),
            };
            let engine = upstream.attempt.permit.reservation.id.clone();
            if !upstream.head.status.is_success() {
                let error = self.error_response(upstream).await?;
                if fallback.is_some() || !self.take_error_retry() {
                    return Ok(Started::Complete(error));
                }
                fallback = Some(error);
                continue;
            }
            match Stream::begin(upstream, self).await {
                Ok(stream) => return Ok(Started::Stream(Box::new(stream))),
                Err(failure) => {
                    let problem = self.record_failure(failure, &engine);
                    self.authorize_retry(problem)?;
                }
            }
        }
    }

    /// Reads an engine's own error response on a streaming route.
    async fn error_response(
        &mut self,
        mut upstream: upstream::Response,
    ) -> Result<Response<Body>, Problem> {
        let attempt = &mut upstream.attempt;
        let reading = attempt.channel.receive_body(MAX_RESPONSE_BYTES);
        let Ok(Ok(body)) = time::timeout_at(self.deadline.into(), reading).await else {
            attempt.record_failure("failure_cut_off", 0);
            let engine = &attempt.permit.reservation.id;
            return Err(self.record_failure(Failure::Lost("failure_cut_off"), engine));
        };
        attempt.permit.set_outcome(Outcome::Success, "answered");
        let response = build_response(
            upstream.head.status,
            upstream.head.headers.clone(),
            full(body),
        );
        upstream.attempt.close();
        Ok(response)
    }

    /// Starts relaying a stream to the caller.
    fn stream(mut self, stream: Stream) -> Response<Body> {
        let elapsed = self.elapsed();
        self.state.metrics.first_byte.observe(elapsed.as_secs_f64());
        self.trace_event(
            "first_event",
            format_args!("took_ms={}", elapsed.as_millis()),
        );
        let head = stream.head();
        let (status, headers) = (head.status, head.headers.clone());
        build_response(status, headers, stream.into_body(self))
    }
}

/// What there is to send to the caller.
enum Started {
    Stream(Box<Stream>),
    /// A complete response; on a streaming route, an engine's own error response.
    Complete(Response<Body>),
}

/// Builds the response to the caller from an engine's status, headers and body.
fn build_response(status: StatusCode, mut headers: HeaderMap, body: Body) -> Response<Body> {
    wire::strip_connection_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
