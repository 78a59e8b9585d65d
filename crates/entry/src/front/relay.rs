//! Reverse proxy: validates callers' requests, sends them to engines and relays the responses.

use {
    crate::{
        front::{
            body::Body,
            exchange::Exchange,
            flight::{Answer, Flights, build_response},
            held::Allocation,
            problem::{PANIC_RETRY_AFTER, Problem},
            socket::Reading,
            state::State,
            stream::Stream,
            trace::Trace,
        },
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header, request::Parts},
    hyper::body::{Body as _, Incoming},
    jayspread_core::{
        call::Call,
        catalog::{Catalog, Organisation, Route},
        id::Engine,
        memory,
        quarantine::{self, Part},
        shutdown::Step,
    },
    jayspread_net::{body, clock, event, panic},
    jayspread_platform::header as wire,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Retry delay suggested to callers while no configuration is known.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reasons of refusals for lack of memory: they are counted, and logged together.
const MEMORY_REASONS: [&str; 4] = [
    "answer_memory",
    "body_memory",
    "body_stalled",
    "body_too_large",
];

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
            let is_for_memory = MEMORY_REASONS.contains(&problem.reason);
            if is_for_memory {
                state.report_refusal(problem.reason);
            }
            let mut trace = Trace::new(request_id.as_deref().unwrap_or("none"), 1);
            trace.add(
                "rejected",
                format_args!(
                    "status={} reason={}",
                    problem.status.as_u16(),
                    problem.reason
                ),
            );
            trace.finish(!is_for_memory);
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
            tokio::select! {
                () = body::discard(incoming) => {}
                () = state.answers_at_once() => {}
            }
            return Err(problem);
        }
    };
    let Admitted {
        catalog,
        request,
        route,
        organisation,
        allocation,
    } = admitted;
    let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let body = tokio::select! {
        biased;
        body = read_body(&state, incoming, &catalog, &parts) => body?,
        // The request would be refused when its body is complete.
        () = state.refuses_requests() => return Err(Problem::stopping()),
    };
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
        tried: Vec::new(),
        prompt_parts: prompt_parts.into(),
        is_probe: false,
        is_caller_retry,
        trace: Some(trace),
        allocation,
    })
}

/// A request whose head is valid.
struct Admitted {
    catalog: Arc<Catalog>,
    request: wire::Request,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    allocation: Allocation,
}

/// Validates the head of a request.
fn admit(
    state: &Arc<State>,
    parts: &Parts,
    request: Option<wire::Request>,
) -> Result<Admitted, Problem> {
    if !state.allows(Step::Begin, Duration::ZERO) {
        return Err(Problem::stopping());
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
    let need = route
        .latency_target
        .min(request.timeout.unwrap_or(route.timeout));
    if !state.allows(Step::Begin, need) {
        return Err(Problem::stopping());
    }
    let allocation = Allocation::reserve(state, &route.name)
        .map_err(|wait| Problem::unavailable("answer_memory", wait))?;
    Ok(Admitted {
        catalog,
        request,
        route,
        organisation,
        allocation,
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
async fn read_body(
    state: &State,
    mut incoming: Incoming,
    catalog: &Catalog,
    parts: &Parts,
) -> Result<Bytes, Problem> {
    let limits = &catalog.limits;
    let _reading = Reading::begin(parts.extensions.get());
    // What is left of a body is discarded when its connection is closed.
    let read = body::read(
        &mut incoming,
        &state.bodies,
        limits.max_body_bytes,
        limits.body_timeout,
    );
    let read = read.await;
    read.map_err(|error| match error {
        body::Error::TooLarge => Problem::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        body::Error::Broken => Problem::rejected(StatusCode::BAD_REQUEST, "body_broken"),
        body::Error::TooSlow => Problem::rejected(StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
        body::Error::NoRoom => Problem::unavailable("body_memory", memory::RETRY_AFTER),
        body::Error::Closed => Problem::unavailable("body_stalled", memory::RETRY_AFTER),
    })
}

impl Exchange {
    async fn run(mut self) -> Response<Body> {
        let state = Arc::clone(&self.state);
        let mut fallback = None;
        let obtained = tokio::select! {
            biased;
            obtained = panic::catch_async(self.obtain(&mut fallback)) => obtained,
            () = state.answers_at_once() => Ok(Err(self.stopping_problem())),
        };
        // An engine's own error response goes before a problem of this host.
        let obtained = obtained.map(|result| result.or_else(|problem| fallback.ok_or(problem)));
        let problem = match obtained {
            Ok(Ok((_, Answer::Stream(stream)))) => {
                let request_id = self.request.id.clone();
                let response = panic::catch(|| self.stream(*stream));
                return response.unwrap_or_else(|_| {
                    Problem::bad_gateway("panicked").into_response(Some(&request_id))
                });
            }
            Ok(Ok((engine, Answer::Whole(response)))) => {
                let elapsed = self.elapsed();
                self.state.metrics.first_byte.observe(elapsed.as_secs_f64());
                if let Some(bytes) = response.body().size_hint().exact() {
                    lock(&self.state.backlog).record(&self.route.name, bytes, clock::now());
                }
                let (status, took) = (response.status().as_u16(), elapsed.as_millis());
                self.complete(
                    "answered",
                    format_args!("engine={engine} status={status} took_ms={took}"),
                );
                return response;
            }
            Ok(Err(problem)) => {
                self.fail(problem.reason);
                problem
            }
            Err(panic) => self.record_panic(&panic),
        };
        problem.into_response(Some(&self.request.id))
    }

    /// Sends the request until an engine has answered: with a whole response, or with the first event
    /// of a stream. While an engine is silent, another one may get the request beside it.
    /// `fallback` holds an engine's own error response meanwhile.
    async fn obtain(
        &mut self,
        fallback: &mut Option<(Engine, Answer)>,
    ) -> Result<(Engine, Answer), Problem> {
        let mut flights = Flights::default();
        loop {
            if flights.is_empty() {
                match self.start_attempt().await {
                    Ok(flight) => flights.push(flight),
                    Err(problem) => return Err(problem),
                }
            }
            let (engine, result) = self.next_result(&mut flights).await;
            match result {
                Ok(answer) => {
                    metrics::count(&self.state.metrics.attempts, "answered");
                    let Some(status) = answer.server_error().filter(|_| fallback.is_none()) else {
                        return Ok((engine, answer));
                    };
                    if !self.take_error_retry(!flights.is_empty()) {
                        return Ok((engine, answer));
                    }
                    self.trace_event(
                        "engine_error",
                        format_args!("engine={engine} status={}", status.as_u16()),
                    );
                    *fallback = Some((engine, answer));
                }
                Err(failure) => {
                    let problem = self.record_failure(failure, &engine);
                    if flights.is_empty()
                        && let Err(problem) = self.authorize_retry(problem)
                    {
                        return Err(problem);
                    }
                }
            }
        }
    }

    /// Starts relaying a stream to the caller.
    fn stream(mut self, stream: Stream) -> Response<Body> {
        let elapsed = self.elapsed();
        self.state.metrics.first_byte.observe(elapsed.as_secs_f64());
        self.trace_event(
            "first_event",
            format_args!("engine={} took_ms={}", stream.engine(), elapsed.as_millis()),
        );
        let head = stream.head();
        let (status, headers) = (head.status, head.headers.clone());
        build_response(status, headers, stream.into_body(self))
    }
}
