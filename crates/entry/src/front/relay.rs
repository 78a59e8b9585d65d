//! One caller's request: route, place, send, repeat, and the answer.

use {
    crate::{
        front::{
            answer::Problem,
            body::{Body, whole},
            offer::{Miss, Offer, Place},
            site::Site,
            stream::Stream,
            trace::Trace,
        },
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    jayspread_core::{
        call::{Call, Event, Next},
        catalog::{Backend, Catalog, Route, Tenant},
        events,
        id::Engine,
        place::{Choice, Need, Refusal},
        trust::Verdict,
    },
    jayspread_net::clock,
    jayspread_platform::header::{self as wire, Ask},
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Wait for an answer to an idempotent request, as a multiple of its objective, before another
/// engine is tried.
const PATIENCE: u32 = 2;
/// Shortest such wait; below it, the delay of one lost packet would count as silence.
const PATIENCE_MIN: Duration = Duration::from_millis(150);
/// Delay suggested to callers of a process that knows no configuration yet.
const STARTING: Duration = Duration::from_millis(500);
/// Delay suggested after an engine refused.
const FULL: Duration = Duration::from_millis(150);
/// Largest plain answer taken, bytes.
const ANSWER_MAX: usize = 16 << 20;
/// Time left below which sending is of no use.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// Part of a route's objective for which a request waits for a place when all are taken; longer
/// than that, the caller is better served by an early refusal.
const HOLD: u32 = 8;
/// Delay suggested to a caller who yields to first tries.
const YIELD: Duration = Duration::from_millis(1_500);
/// Pause between two looks for a place.
const LOOK: Duration = Duration::from_millis(10);
/// Share of the objective within which the answer to a caller who was sent away before must be
/// expected: such an answer is late already, and must not make others late.
const RETURNED_SHARE: f64 = 0.55;

/// A request under way.
pub struct Job {
    /// Tables of the process.
    pub site: Arc<Site>,
    catalog: Arc<Catalog>,
    /// Its route.
    pub route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    service: Box<str>,
    parts: Parts,
    body: Bytes,
    /// What the caller says of it.
    pub ask: Ask,
    /// Time of its arrival.
    pub arrived: Instant,
    /// Time at which the caller gets a final answer at the latest.
    pub deadline: Instant,
    /// Where it stands.
    pub call: Call,
    avoid: Vec<Engine>,
    /// Its caller was sent away before.
    returned: bool,
    /// What was decided on it.
    pub trace: Option<Trace>,
    closed: bool,
}

/// Answers a caller's request.
pub async fn serve(site: Arc<Site>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    site.metrics.requests.inc();
    let (parts, body) = request.into_parts();
    let ask = wire::ask(&parts.headers);
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
    ask: Option<Ask>,
    arrived: Instant,
) -> Result<Job, Problem> {
    let Some(catalog) = site.catalog() else {
        return Err(Problem::refused("starting", STARTING));
    };
    let Some(ask) = ask else {
        return Err(Problem::rejected(StatusCode::BAD_REQUEST, "no_request_id"));
    };
    let route = find(&catalog, &parts)?;
    let tenant = match &ask.key {
        _ if route.public || !catalog.keyed => None,
        Some(key) => catalog.tenant(key).cloned(),
        None => None,
    };
    if tenant.is_none() && catalog.keyed && !route.public {
        return Err(Problem::rejected(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    let body = read(body, &catalog).await?;
    let call = Call::new(route.kind, route.attempts, ask.after);
    let service = route.target(rand::random()).clone();
    site.count_request(&service);
    let returned = ask.patience.is_some_and(|p| site.returned(&route, p));
    let mut trace = Trace::new(&ask.id, site.settings.own.log_sample);
    trace.note(
        "received",
        format_args!(
            "route={} kind={:?} organisation={} prompt={} patience_ms={} returned={} revision={}",
            route.name,
            route.kind,
            tenant.as_ref().map_or("none", |t| &t.name),
            ask.prompt,
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
        closed: false,
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
    let collected = Limited::new(body, limits.body_bytes).collect();
    match time::timeout(limits.send_time, collected).await {
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

impl Drop for Job {
    fn drop(&mut self) {
        self.site.calls.fetch_sub(1, Ordering::AcqRel);
        if !self.closed {
            self.site.metrics.left.inc();
            self.note(
                "caller_left",
                format_args!("after_ms={}", self.age().as_millis()),
            );
            self.close_trace(false);
        }
    }
}

impl Job {
    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        clock::now().saturating_duration_since(self.arrived)
    }

    /// Time left until the final answer is due.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Notes a decision.
    pub fn note(&mut self, event: &str, values: std::fmt::Arguments<'_>) {
        if let Some(trace) = &mut self.trace {
            trace.note(event, values);
        }
    }

    fn close_trace(&mut self, failed: bool) {
        if let Some(trace) = self.trace.take() {
            trace.close(failed);
        }
    }

    /// Ends the request with an answer of an engine.
    pub fn succeed(&mut self, event: &str, values: std::fmt::Arguments<'_>) {
        self.call.handle(Event::Done);
        self.site.metrics.whole.inc();
        self.note(event, values);
        self.closed = true;
        self.close_trace(false);
    }

    /// Ends the request with a failure.
    pub fn fail(&mut self, reason: &'static str) {
        metrics::count(&self.site.metrics.failed, reason);
        self.note(
            "failed",
            format_args!("reason={reason} after_ms={}", self.age().as_millis()),
        );
        self.closed = true;
        self.close_trace(true);
    }

    async fn run(mut self) -> Response<Body> {
        let answered = if self.route.kind.streams() {
            match self.begin_stream().await {
                Ok(Begun::Stream(stream)) => return self.stream(stream),
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

    /// Waits a little for a place when all are taken.
    async fn place(&mut self) -> Result<Choice, Refusal> {
        let first = !self.returned && self.call.sent() == 0;
        if self.returned && self.route.kind.streams() && self.site.pressed(&self.service) {
            return Err(Refusal::Busy(YIELD));
        }
        let hold = self.route.objective / HOLD;
        loop {
            match self.choose() {
                Err(Refusal::Busy(_)) if first && self.age() + LOOK < hold => {
                    time::sleep(LOOK).await;
                }
                chosen => {
                    if first && matches!(chosen, Err(Refusal::Busy(_))) {
                        self.site.press(&self.service);
                    }
                    return chosen;
                }
            }
        }
    }

    /// Chooses an engine; the request has not run if that fails before the first send.
    fn choose(&mut self) -> Result<Choice, Refusal> {
        let hosts = self.site.hosts();
        let backend = self.backend()?;
        let model = backend.speed.as_ref().map(|speed| &speed.model);
        let least_version = model.map_or(0, |model| self.site.least_version(model));
        let need = Need {
            route: &self.route,
            backend,
            region: &self.site.region,
            regions: self.tenant.as_ref().map_or(&[], |t| &t.regions),
            prompt: self.ask.prompt,
            left: self.objective_left(),
            least_version,
            avoid: &self.avoid,
            hosts,
        };
        let mut table = lock(&self.site.table);
        table.choose(&need, &mut rand::rng(), clock::now())
    }

    fn backend(&self) -> Result<&Backend, Refusal> {
        let backend = self.catalog.services.get(&self.service);
        backend.ok_or(Refusal::NoEngine(STARTING))
    }

    /// Time in which the answer should begin: until it is late. A request that goes on after a failure
    /// is late already and gets the whole time again; one whose caller was sent away before gets
    /// part of it.
    fn objective_left(&self) -> Duration {
        if self.call.sent() > 0 {
            return self.route.objective;
        }
        if self.returned {
            return self.route.objective.mul_f64(RETURNED_SHARE);
        }
        self.route.objective.saturating_sub(self.age())
    }

    /// Sends the request to some engine and returns its answer's head; `until` tells from the time
    /// of the send how long the head is waited for.
    pub async fn send(&mut self) -> Result<Offer, Problem> {
        loop {
            if self.left() < LEAST_LEFT {
                return Err(self.out_of_time());
            }
            let choice = match self.place().await {
                Ok(choice) => choice,
                Err(refusal) => return Err(self.refused(refusal)),
            };
            self.note(
                "sent",
                format_args!(
                    "engine={} data_centre={} expected_ms={} occupancy={} load_age_ms={} send={}",
                    choice.ticket.id,
                    choice.data_centre,
                    choice.expected.map_or(0, |e| e.as_millis()),
                    choice.occupancy,
                    choice.load_age.map_or(-1, |age| age.as_millis() as i64),
                    self.call.sent() + 1
                ),
            );
            match self.offer(&choice).await {
                Ok(offer) => return Ok(offer),
                Err(problem) => match self.again(problem) {
                    Ok(()) => {}
                    Err(problem) => return Err(problem),
                },
            }
        }
    }

    async fn offer(&mut self, choice: &Choice) -> Result<Offer, Problem> {
        let place = Place::new(&self.site, choice.ticket.clone());
        self.avoid.push(choice.ticket.id.clone());
        let left = self.left();
        let send = wire::Send {
            instance: &choice.ticket.id,
            tenant: self.tenant.as_ref().map(|t| &*t.name),
            left,
            after: self.call.last(),
            urgency: None,
        };
        let head = wire::request(&self.parts, self.body.len(), &send);
        self.call.handle(Event::Send);
        let until = self.head_due(&choice.ticket);
        let offered = Offer::make(
            place,
            &head,
            &self.body,
            &self.ask.id,
            self.route.kind,
            until,
        );
        match offered.await {
            Ok(offer) => Ok(offer),
            Err(miss) => Err(self.missed(miss, &choice.ticket.id)),
        }
    }

    /// Time until which the head of an answer is waited for, if silence may end the wait.
    fn head_due(&self, _ticket: &jayspread_core::place::Ticket) -> Instant {
        let more = self.route.kind.repeatable() && self.call.sent() < self.route.attempts;
        if !more || self.route.kind.streams() {
            return self.deadline;
        }
        let patience = (self.route.objective * PATIENCE).max(PATIENCE_MIN);
        self.deadline.min(clock::now() + patience)
    }

    /// Takes in that an engine gave no usable answer.
    fn missed(&mut self, miss: Miss, engine: &str) -> Problem {
        metrics::count(&self.site.metrics.sends, miss.name());
        self.note("missed", format_args!("engine={engine} reason={miss}"));
        let (event, problem) = match miss {
            Miss::Unsent(_) => (Event::Unsent, Problem::refused("unreachable", FULL)),
            Miss::NotRun(_) => (Event::NotRun, Problem::refused("engine_full", FULL)),
            Miss::Lost(_) => (Event::Lost, Problem::failed("answer_lost")),
            Miss::Late => (Event::Lost, Problem::failed("silent")),
        };
        self.call.handle(event);
        problem
    }

    /// Whether another engine may get the request after a failure; the problem to answer with if
    /// not.
    fn again(&mut self, problem: Problem) -> Result<(), Problem> {
        match self.call.next() {
            Next::Refuse => return Err(Problem::refused(problem.reason, FULL)),
            Next::Fail => return Err(self.hopeless(problem)),
            Next::Again | Next::Resume(_) => {}
        }
        if self.call.sent() > 0 && !self.site.take_repeat(&self.service) {
            self.note("no_repeat", format_args!("reason=budget"));
            return Err(self.hopeless(problem));
        }
        Ok(())
    }

    fn hopeless(&self, problem: Problem) -> Problem {
        if self.call.not_run() {
            return Problem::refused(problem.reason, FULL);
        }
        if self.left().is_zero() {
            return Problem::late();
        }
        Problem::failed(problem.reason)
    }

    fn out_of_time(&self) -> Problem {
        if self.call.not_run() {
            return Problem::refused("deadline", FULL);
        }
        Problem::late()
    }

    fn refused(&self, refusal: Refusal) -> Problem {
        if self.call.not_run() {
            return Problem::refused(refusal.name(), refusal.retry_after());
        }
        Problem::failed(refusal.name())
    }

    /// Goes on with a stream at another engine, if that is allowed.
    pub async fn resume(&mut self, reason: &'static str) -> Option<Offer> {
        self.call.handle(Event::Lost);
        self.note(
            "stream_broke",
            format_args!("reason={reason} last={:?}", self.call.last()),
        );
        let problem = Problem::failed(reason);
        self.again(problem).ok()?;
        let offer = self.send().await.ok()?;
        self.site.metrics.resumed.inc();
        Some(offer)
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
            let until = self.head_due(&offer.place.ticket);
            let rest = time::timeout_at(until.into(), offer.channel.rest(ANSWER_MAX)).await;
            let body = match rest {
                Ok(Ok(body)) => body,
                Ok(Err(cause)) => {
                    offer.place.judge(Verdict::Bad, cause.name());
                    let miss = Miss::Lost(cause.name());
                    let problem = self.missed(miss, &offer.place.ticket.id.clone());
                    self.again(problem)?;
                    continue;
                }
                Err(_) => {
                    offer.place.judge(Verdict::Bad, "silent");
                    let problem = self.missed(Miss::Late, &offer.place.ticket.id.clone());
                    self.again(problem)?;
                    continue;
                }
            };
            offer.place.judge(Verdict::Good, "answered");
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

    /// Whether an engine's own error is worth another engine.
    fn repeats_error(&mut self) -> bool {
        if !self.route.kind.repeatable() || self.call.sent() >= self.route.attempts {
            return false;
        }
        if !self.site.take_repeat(&self.service) {
            return false;
        }
        self.call.handle(Event::Lost);
        true
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
                Ok(stream) => return Ok(Begun::Stream(stream)),
                Err(miss) => {
                    let problem = self.missed(miss, &engine);
                    self.again(problem)?;
                }
            }
        }
    }

    /// An engine's own failure on a route that streams.
    async fn engine_failure(&mut self, mut offer: Offer) -> Result<Response<Body>, Problem> {
        let rest = offer.channel.rest(ANSWER_MAX);
        let Ok(Ok(body)) = time::timeout_at(self.deadline.into(), rest).await else {
            offer.place.judge(Verdict::Bad, "failure_cut_off");
            return Err(self.missed(Miss::Lost("failure_cut_off"), &offer.place.ticket.id));
        };
        offer.place.judge(Verdict::Good, "answered");
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

    /// Whether the caller has an event already; an engine that goes on may repeat one.
    pub fn has(&self, event: &events::Event) -> bool {
        let (Some(id), Some(last)) = (event.id, self.call.last()) else {
            return false;
        };
        id <= last
    }

    /// Whether another engine could take over if this one is given up.
    pub fn may_move(&self) -> bool {
        let kind = self.route.kind;
        let resumes = !self.call.begun() || self.call.last().is_some();
        kind.repeatable() && resumes && self.call.sent() < self.route.attempts
    }
}

/// How a streamed request begins to be answered.
enum Begun {
    Stream(Stream),
    /// An engine's own failure.
    Failure(Response<Body>),
}

/// An engine's answer as the caller gets it.
fn respond(status: StatusCode, mut headers: HeaderMap, body: Body) -> Response<Body> {
    wire::strip(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
