//! Callers' requests: checked, read, sent on, and answered.

use {
    crate::{
        front::{
            answer::Problem,
            body::{Body, whole},
            job::Job,
            offer::{Miss, Offer},
            site::Site,
            stream::Stream,
            trace::Trace,
        },
        metrics,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    jayspread_core::{
        call::Call,
        catalog::{Catalog, Route},
        outlier::Outcome,
    },
    jayspread_net::clock,
    jayspread_platform::header as wire,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Delay suggested to callers of a process that knows no configuration yet.
const STARTING: Duration = Duration::from_millis(500);
/// Delay suggested to callers of a process that is about to end; another one takes them at once.
const STOPPING: Duration = Duration::from_millis(50);
/// Largest plain answer taken, bytes.
const ANSWER_MAX: usize = 16 << 20;

/// Answers a caller's request.
pub async fn serve(site: Arc<Site>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    site.metrics.requests.inc();
    let (parts, body) = request.into_parts();
    let ask = wire::parse_request(&parts.headers);
    let id = ask.as_ref().map(|ask| ask.id.clone());
    match open(site.clone(), parts, body, ask, arrived).await {
        Ok(job) => job.run().await,
        Err(problem) => {
            metrics::count(&site.metrics.failed, problem.reason);
            let mut trace = Trace::new(id.as_deref().unwrap_or("none"), 1);
            trace.note(
                "rejected",
                format_args!(
                    "status={} reason={}",
                    problem.status.as_u16(),
                    problem.reason
                ),
            );
            trace.close(true);
            problem.respond(id.as_deref())
        }
    }
}

/// Checks a request and reads its body.
async fn open(
    site: Arc<Site>,
    parts: Parts,
    body: Incoming,
    ask: Option<wire::Request>,
    arrived: Instant,
) -> Result<Job, Problem> {
    if site.is_closed() {
        return Err(Problem::refused("stopping", STOPPING));
    }
    let Some(catalog) = site.catalog() else {
        return Err(Problem::refused("starting", STARTING));
    };
    let Some(ask) = ask else {
        return Err(Problem::rejected(StatusCode::BAD_REQUEST, "no_request_id"));
    };
    let route = find(&catalog, &parts)?;
    let tenant = match &ask.api_key {
        _ if route.public || !catalog.keys_required => None,
        Some(key) => catalog.tenant(key).cloned(),
        None => None,
    };
    if tenant.is_none() && catalog.keys_required && !route.public {
        return Err(Problem::rejected(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    let patience = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    let body = read(body, &catalog).await?;
    let call = Call::new(route.kind, route.max_attempts, ask.last_event_id);
    let service = route.pick_service(rand::random()).clone();
    site.count_request(&service);
    let returned = ask.timeout.is_some_and(|p| site.returned(&route, p));
    let mut trace = Trace::new(&ask.id, site.settings.options.log_sample);
    trace.note(
        "received",
        format_args!(
            "route={} kind={:?} organisation={} prompt={} patience_ms={} returned={} revision={}",
            route.name,
            route.kind,
            tenant.as_ref().map_or("none", |t| &t.name),
            ask.prompt_tokens,
            patience.as_millis(),
            returned,
            catalog.revision
        ),
    );
    site.calls.fetch_add(1, Ordering::AcqRel);
    Ok(Job {
        site,
        catalog,
        route,
        tenant,
        service,
        parts,
        body,
        ask,
        arrived,
        deadline,
        call,
        avoid: Vec::new(),
        returned,
        trace: Some(trace),
    })
}

fn find(catalog: &Catalog, parts: &Parts) -> Result<Arc<Route>, Problem> {
    let unknown = Problem::rejected(StatusCode::NOT_FOUND, "no_route");
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).ok_or(unknown)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = catalog.route(name, parts.uri.path());
    route.cloned().ok_or(unknown)
}

/// Reads the body of a request inside the configuration's limits.
async fn read(body: Incoming, catalog: &Catalog) -> Result<Bytes, Problem> {
    let limits = &catalog.limits;
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(Problem::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        )),
        Ok(Err(_)) => Err(Problem::rejected(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err(Problem::rejected(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
        )),
    }
}

impl Job {
    async fn run(mut self) -> Response<Body> {
        let answered = if self.route.kind.is_stream() {
            match self.begin_stream().await {
                Ok(Begun::Stream(stream)) => return self.stream(*stream),
                Ok(Begun::Failure(response)) => {
                    let status = response.status().as_u16();
                    self.succeed("answered", format_args!("status={status}"));
                    Ok(response)
                }
                Err(problem) => Err(problem),
            }
        } else {
            self.plain().await
        };
        match answered {
            Ok(response) => response,
            Err(problem) => {
                self.fail(problem.reason);
                problem.respond(Some(&self.ask.id))
            }
        }
    }

    /// Answers of one piece: taken whole before the caller gets them, so that a broken one can be
    /// repeated or fails cleanly.
    async fn plain(&mut self) -> Result<Response<Body>, Problem> {
        let mut fallback: Option<(Response<Body>, u16)> = None;
        loop {
            let mut offer = match self.send().await {
                Ok(offer) => offer,
                Err(problem) => {
                    let Some((response, status)) = fallback else {
                        return Err(problem);
                    };
                    self.succeed("answered", format_args!("status={status} after=repeat"));
                    return Ok(response);
                }
            };
            let until = self.patience().until;
            let rest = time::timeout_at(until.into(), offer.channel.receive_body(ANSWER_MAX)).await;
            let body = match rest {
                Ok(Ok(body)) => body,
                Ok(Err(cause)) => {
                    offer.place.judge(Outcome::Failure, cause.kind());
                    let miss = Miss::Lost(cause.kind());
                    let problem = self.missed(miss, &offer.place.ticket.id.clone());
                    self.again(problem)?;
                    continue;
                }
                Err(_) => {
                    offer.place.judge(Outcome::Failure, "silent");
                    let problem = self.missed(Miss::Late, &offer.place.ticket.id.clone());
                    self.again(problem)?;
                    continue;
                }
            };
            offer.place.judge(Outcome::Success, "answered");
            let status = offer.head.status;
            let response = respond(status, offer.head.headers.clone(), whole(body));
            offer.close();
            metrics::count(&self.site.metrics.sends, "answered");
            if status.is_server_error() && fallback.is_none() && self.repeats_error() {
                fallback = Some((response, status.as_u16()));
                continue;
            }
            let took = self.age();
            self.site.metrics.first_byte.observe(took.as_secs_f64());
            self.succeed(
                "answered",
                format_args!("status={} took_ms={}", status.as_u16(), took.as_millis()),
            );
            return Ok(response);
        }
    }

    /// Sends the request until an engine's stream has its first whole event, or an engine answers
    /// with a failure of its own.
    async fn begin_stream(&mut self) -> Result<Begun, Problem> {
        let mut fallback = None;
        loop {
            let offer = match self.send().await {
                Ok(offer) => offer,
                Err(problem) => return fallback.map(Begun::Failure).ok_or(problem),
            };
            let engine = offer.place.ticket.id.clone();
            if !offer.head.status.is_success() {
                let failure = self.engine_failure(offer).await?;
                if fallback.is_some() || !self.repeats_error() {
                    return Ok(Begun::Failure(failure));
                }
                fallback = Some(failure);
                continue;
            }
            match Stream::begin(offer, self).await {
                Ok(stream) => return Ok(Begun::Stream(Box::new(stream))),
                Err(miss) => {
                    let problem = self.missed(miss, &engine);
                    self.again(problem)?;
                }
            }
        }
    }

    /// An engine's own failure on a route that streams.
    async fn engine_failure(&mut self, mut offer: Offer) -> Result<Response<Body>, Problem> {
        let rest = offer.channel.receive_body(ANSWER_MAX);
        let Ok(Ok(body)) = time::timeout_at(self.deadline.into(), rest).await else {
            offer.place.judge(Outcome::Failure, "failure_cut_off");
            return Err(self.missed(Miss::Lost("failure_cut_off"), &offer.place.ticket.id));
        };
        offer.place.judge(Outcome::Success, "answered");
        let response = respond(offer.head.status, offer.head.headers.clone(), whole(body));
        offer.close();
        Ok(response)
    }

    fn stream(mut self, stream: Stream) -> Response<Body> {
        let took = self.age();
        self.site.metrics.first_byte.observe(took.as_secs_f64());
        self.note("first_event", format_args!("took_ms={}", took.as_millis()));
        let head = stream.head();
        let (status, headers) = (head.status, head.headers.clone());
        respond(status, headers, stream.into_body(self))
    }
}

/// How a streamed request begins to be answered.
enum Begun {
    Stream(Box<Stream>),
    /// An engine's own failure.
    Failure(Response<Body>),
}

/// An engine's answer as the caller gets it.
fn respond(status: StatusCode, mut headers: HeaderMap, body: Body) -> Response<Body> {
    wire::strip_connection_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
