//! One caller's request under way: where it stands, and each try at an engine.

use {
    crate::{
        front::{
            answer::Problem,
            offer::{Miss, Offer, Patience, Place},
            site::Site,
            trace::Trace,
        },
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    http::request::Parts,
    jayspread_core::{
        call::{Action, Call, Event},
        catalog::{Backend, Catalog, Route, Tenant},
        id::Engine,
        placement::{Choice, Refusal, Requirements},
        sse,
    },
    jayspread_net::clock,
    jayspread_platform::header as wire,
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
/// Delay suggested after an engine refused.
const FULL: Duration = Duration::from_millis(150);
/// Time left below which sending is of no use.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// Part of a route's objective for which a request waits for a place when all are taken; longer
/// than that, the caller is better served by an early refusal.
const HOLD: u32 = 8;
/// Time for which a request that an engine has failed waits for another one.
const HOLD_AGAIN: Duration = Duration::from_millis(500);
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
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: Arc<Route>,
    pub tenant: Option<Arc<Tenant>>,
    pub service: Box<str>,
    pub parts: Parts,
    pub body: Bytes,
    /// What the caller says of it.
    pub ask: wire::Request,
    /// Time of its arrival.
    pub arrived: Instant,
    /// Time at which the caller gets a final answer at the latest.
    pub deadline: Instant,
    /// Where it stands.
    pub call: Call,
    pub avoid: Vec<Engine>,
    /// Its caller was sent away before.
    pub returned: bool,
    /// What was decided on it; taken when the request ends.
    pub trace: Option<Trace>,
}

impl Drop for Job {
    fn drop(&mut self) {
        self.site.calls.fetch_sub(1, Ordering::AcqRel);
        if self.trace.is_some() {
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
        self.close_trace(false);
    }

    /// Ends the request with a failure.
    pub fn fail(&mut self, reason: &'static str) {
        metrics::count(&self.site.metrics.failed, reason);
        self.note(
            "failed",
            format_args!("reason={reason} after_ms={}", self.age().as_millis()),
        );
        self.close_trace(true);
    }

    /// Waits a little for a place when all are taken.
    async fn place(&mut self) -> Result<Choice, Refusal> {
        let first = !self.returned && self.call.sends() == 0;
        if self.returned && self.route.kind.is_stream() && self.site.pressed(&self.service) {
            return Err(Refusal::Busy(YIELD));
        }
        let until = self.hold();
        loop {
            match self.choose() {
                Err(_) if clock::now() + LOOK < until => time::sleep(LOOK).await,
                chosen => {
                    if first && matches!(chosen, Err(Refusal::Busy(_))) {
                        self.site.press(&self.service);
                    }
                    return chosen;
                }
            }
        }
    }

    /// Time until which a place is waited for: a part of the objective on the first try, long enough
    /// to find another engine when one has failed, and not at all for who was sent away before.
    fn hold(&self) -> Instant {
        if self.call.sends() > 0 {
            return self.deadline.min(clock::now() + HOLD_AGAIN);
        }
        if self.returned {
            return self.arrived;
        }
        self.arrived + self.route.latency_target / HOLD
    }

    /// Chooses an engine; the request has not run if that fails before the first send.
    fn choose(&mut self) -> Result<Choice, Refusal> {
        let hosts = self.site.hosts();
        let backend = self.backend()?;
        let model = backend.speed.as_ref().map(|speed| &speed.model);
        let least_version = model.map_or(0, |model| self.site.least_version(model));
        let need = Requirements {
            route: &self.route,
            backend,
            region: &self.site.region,
            tenant_regions: self.tenant.as_ref().map_or(&[], |t| &t.regions),
            prompt_tokens: self.ask.prompt_tokens,
            answer_tokens: self.ask.answer_tokens,
            time_left: self.objective_left(),
            min_version: least_version,
            excluded: &self.avoid,
            entry_hosts: hosts,
            resuming: self.call.response_started(),
        };
        let mut table = lock(&self.site.table);
        table.choose(&need, &mut rand::rng(), clock::now())
    }

    fn backend(&self) -> Result<&Backend, Refusal> {
        let backend = self.catalog.services.get(&self.service);
        backend.ok_or(Refusal::NoEngine(FULL))
    }

    /// Time in which the answer should begin: until it is late. A request that goes on after a failure
    /// is late already and gets the whole time again; one whose caller was sent away before gets
    /// part of it.
    fn objective_left(&self) -> Duration {
        if self.call.sends() > 0 {
            return self.route.latency_target;
        }
        if self.returned {
            return self.route.latency_target.mul_f64(RETURNED_SHARE);
        }
        self.route.latency_target.saturating_sub(self.age())
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
                    choice.reservation.id,
                    choice.data_centre,
                    choice.expected_first_event.map_or(0, |e| e.as_millis()),
                    choice.occupancy,
                    choice.load_age.map_or(-1, |age| age.as_millis() as i64),
                    self.call.sends() + 1
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
        let place = Place::new(&self.site, choice.reservation.clone());
        self.avoid.push(choice.reservation.id.clone());
        let left = self.left();
        let send = wire::Forward {
            instance: &choice.reservation.id,
            tenant: self.tenant.as_ref().map(|t| &*t.name),
            remaining: left,
            last_event_id: self.call.last_event_id(),
            // Nothing may come before a stream that goes on: its caller is waiting in the middle.
            urgency: self.call.response_started().then_some(0),
        };
        let head = wire::encode_request(&self.parts, self.body.len(), &send);
        self.call.handle(Event::Send);
        let patience = self.patience();
        let offered = Offer::make(
            place,
            &head,
            &self.body,
            &self.ask.id,
            self.route.kind,
            patience,
        );
        match offered.await {
            Ok(offer) => Ok(offer),
            Err(miss) => Err(self.missed(miss, &choice.reservation.id)),
        }
    }

    /// How long the head of an answer, or the rest of a plain one, is waited for.
    pub fn patience(&self) -> Patience {
        let moves = self.may_move();
        let objective = self.route.latency_target;
        if !self.route.kind.is_stream() {
            let patience = (objective * PATIENCE).max(PATIENCE_MIN);
            let until = clock::now() + patience;
            return Patience {
                until: if moves {
                    self.deadline.min(until)
                } else {
                    self.deadline
                },
                silent: None,
            };
        }
        Patience {
            until: self.deadline,
            silent: moves.then_some(objective),
        }
    }

    /// Takes in that an engine gave no usable answer.
    pub fn missed(&mut self, miss: Miss, engine: &str) -> Problem {
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
    pub fn again(&mut self, problem: Problem) -> Result<(), Problem> {
        match self.call.next_action() {
            Action::Refuse => return Err(Problem::refused(problem.reason, FULL)),
            Action::Fail => return Err(self.hopeless(problem)),
            Action::Retry | Action::Resume(_) => {}
        }
        if self.call.sends() > 0 && !self.site.take_repeat(&self.service) {
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
            return Problem::refused(refusal.reason(), refusal.retry_after());
        }
        Problem::failed(refusal.reason())
    }

    /// Goes on with a stream at another engine, if that is allowed.
    pub async fn resume(&mut self, reason: &'static str) -> Option<Offer> {
        self.call.handle(Event::Lost);
        self.note(
            "stream_broke",
            format_args!("reason={reason} last={:?}", self.call.last_event_id()),
        );
        let problem = Problem::failed(reason);
        self.again(problem).ok()?;
        let offer = self.send().await.ok()?;
        self.site.metrics.resumed.inc();
        Some(offer)
    }

    /// Whether an engine's own error is worth another engine.
    pub fn repeats_error(&mut self) -> bool {
        if !self.route.kind.retryable() || self.call.sends() >= self.route.max_attempts {
            return false;
        }
        if !self.site.take_repeat(&self.service) {
            return false;
        }
        self.call.handle(Event::Lost);
        true
    }

    /// Whether the caller has an event already; an engine that goes on may repeat one.
    pub fn has(&self, event: &sse::Event) -> bool {
        let (Some(id), Some(last)) = (event.id, self.call.last_event_id()) else {
            return false;
        };
        id <= last
    }

    /// Whether another engine could take over if this one is given up.
    pub fn may_move(&self) -> bool {
        let kind = self.route.kind;
        let resumes = !self.call.response_started() || self.call.last_event_id().is_some();
        kind.retryable() && resumes && self.call.sends() < self.route.max_attempts
    }
}
