//! One caller's request in progress and its attempts at engines.

use {
    crate::{
        front::{
            attempt::Subject,
            problem::Problem,
            state::State,
            trace::Trace,
            upstream::{Failure, Permit, Response, Timeout},
        },
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    http::request::Parts,
    jayspread_core::{
        call::{Action, Call, Event},
        catalog::{Backend, Catalog, Organisation, Route},
        id::Engine,
        placement::{Choice, Refusal, Requirements},
        quarantine::Part,
    },
    jayspread_net::clock,
    jayspread_platform::header as wire,
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Timeout of one attempt at a plain idempotent request, as a multiple of the route's latency
/// target.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Minimum timeout of such an attempt; with less, the delay of one lost packet would exceed it.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Retry delay suggested to a caller whose request no engine has executed.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// Minimum remaining time for which another attempt is started.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// A first attempt waits for a free engine for the route's latency target divided by this; after
/// that, an early refusal serves the caller better.
const WAIT_DIVISOR: u32 = 8;
/// Time for which a further attempt waits for a free engine.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Retry delay suggested to a caller that retries while the service is saturated; its request gives
/// way to the first tries of other callers.
const SATURATED_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Time before the end of the time in which work on an old version may begin at which a request that
/// has not begun is withdrawn; the engine must notice that in time.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);
/// Interval between checks for a free engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Share of the latency target within which the response to a caller's retry must be expected. It
/// is late already and must not delay responses that can still be on time.
const CALLER_RETRY_SHARE: f64 = 0.55;

/// A caller's request in progress.
pub struct Exchange {
    /// Shared state of the process.
    pub state: Arc<State>,
    /// Configuration in effect when the request arrived.
    pub catalog: Arc<Catalog>,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Organisation of the caller; `None` without API keys or on public routes.
    pub organisation: Option<Arc<Organisation>>,
    /// Name of the service that executes the request.
    pub service: Box<str>,
    /// Request head as received.
    pub parts: Parts,
    /// Complete request body.
    pub body: Bytes,
    /// Values parsed from the request headers.
    pub request: wire::Request,
    /// Arrival time of the request.
    pub arrived: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Execution state, from which the next action after a failure follows.
    pub call: Call,
    /// Time by which the engine of the current attempt must begin, if its version is an old one.
    pub begin_by: Option<Instant>,
    /// Engines already tried.
    pub tried: Vec<Engine>,
    /// Hashes of the shared parts of the prompt, as in `request.shared_parts`, and at the end that
    /// of the content of the request.
    pub prompt_parts: Arc<[Part]>,
    /// Whether this request tests a quarantined part.
    pub is_probe: bool,
    /// Whether this is a caller's retry of an earlier, refused request.
    pub is_caller_retry: bool,
    /// Log lines of the request; taken when it ends.
    pub trace: Option<Trace>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.trace.is_some() {
            let panicked = thread::panicking();
            let event = if panicked {
                metrics::count(&self.state.metrics.failed, "panicked");
                "panicked"
            } else {
                self.state.metrics.disconnected.inc();
                "caller_left"
            };
            let (after, sends) = (self.elapsed().as_millis(), self.call.sends());
            let engine = self.tried.last().cloned().unwrap_or_else(|| "none".into());
            self.trace_event(
                event,
                format_args!("after_ms={after} sends={sends} engine={engine}"),
            );
            self.finish_trace(panicked);
        }
    }
}

impl Exchange {
    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        clock::now().saturating_duration_since(self.arrived)
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Adds an event to the request's trace.
    pub fn trace_event(&mut self, event: &str, fields: std::fmt::Arguments<'_>) {
        if let Some(trace) = &mut self.trace {
            trace.add(event, fields);
        }
    }

    fn finish_trace(&mut self, failed: bool) {
        if let Some(trace) = self.trace.take() {
            trace.finish(failed);
        }
    }

    /// Marks the request as completed with an engine's response.
    pub fn complete(&mut self, event: &str, fields: std::fmt::Arguments<'_>) {
        self.call.handle(Event::Done);
        self.state.metrics.completed.inc();
        self.trace_event(event, fields);
        self.finish_trace(false);
    }

    /// Marks the request as failed.
    pub fn fail(&mut self, reason: &'static str) {
        metrics::count(&self.state.metrics.failed, reason);
        self.trace_event(
            "failed",
            format_args!("reason={reason} after_ms={}", self.elapsed().as_millis()),
        );
        self.finish_trace(true);
    }

    /// Chooses an engine; waits for a limited time while all are busy.
    async fn acquire_engine(&mut self) -> Result<Choice, Refusal> {
        let is_first_try = !self.is_caller_retry && self.call.sends() == 0;
        if self.is_caller_retry
            && self.route.kind.is_stream()
            && self.state.is_saturated(&self.service)
        {
            return Err(Refusal::Busy(SATURATED_RETRY_AFTER));
        }
        let deadline = self.wait_deadline();
        loop {
            self.check_quarantine()?;
            match self.choose_engine() {
                Err(_) if clock::now() + CHECK_INTERVAL < deadline => {
                    time::sleep(CHECK_INTERVAL).await
                }
                choice => {
                    if is_first_try && matches!(choice, Err(Refusal::Busy(_))) {
                        self.state.mark_saturated(&self.service);
                    }
                    return choice;
                }
            }
        }
    }

    /// Time until which the request waits for a free engine. A caller's retry does not wait at all;
    /// after a failed attempt the wait is longer.
    fn wait_deadline(&self) -> Instant {
        if self.call.sends() > 0 {
            return self.deadline.min(clock::now() + RETRY_WAIT);
        }
        if self.is_caller_retry {
            return self.arrived;
        }
        self.arrived + self.route.latency_target / WAIT_DIVISOR
    }

    /// Chooses an engine and reserves capacity there.
    fn choose_engine(&mut self) -> Result<Choice, Refusal> {
        let place = self.state.place();
        let backend = self.backend()?;
        let model = backend.speed.as_ref().map(|speed| &speed.model);
        let version_bounds = model.map_or_else(Vec::new, |model| self.state.version_bounds(model));
        let requirements = Requirements {
            route: &self.route,
            backend,
            region: &self.state.region,
            organisation_regions: self
                .organisation
                .as_ref()
                .map_or(&[], |organisation| &organisation.regions),
            prompt_tokens: self.request.prompt_tokens,
            answer_tokens: self.request.answer_tokens,
            time_left: self.remaining_latency_target(),
            version_bounds: &version_bounds,
            excluded: &self.tried,
            place,
            resuming: self.call.response_started(),
        };
        let mut table = lock(&self.state.engines);
        table.choose(&requirements, &mut rand::rng(), clock::now())
    }

    fn backend(&self) -> Result<&Backend, Refusal> {
        let backend = self.catalog.services.get(&self.service);
        backend.ok_or(Refusal::NoEngine(RETRY_AFTER))
    }

    /// Time within which the response should begin. A further attempt gets the route's whole
    /// latency target, since its response is late in any case; a caller's retry gets a part of it.
    fn remaining_latency_target(&self) -> Duration {
        if self.call.sends() > 0 {
            return self.route.latency_target;
        }
        if self.is_caller_retry {
            return self.route.latency_target.mul_f64(CALLER_RETRY_SHARE);
        }
        self.route.latency_target.saturating_sub(self.elapsed())
    }

    /// Sends the request to engines until one responds; returns the response with its body unread.
    pub async fn send(&mut self) -> Result<Response, Problem> {
        loop {
            if self.remaining() < MIN_REMAINING {
                return Err(self.deadline_problem());
            }
            let choice = match self.acquire_engine().await {
                Ok(choice) => choice,
                Err(refusal) => return Err(self.refusal_problem(refusal)),
            };
            self.trace_event(
                "sent",
                format_args!(
                    "engine={} data_centre={} expected_ms={} occupancy={} load_age_ms={} \
                     version={} version_left_ms={} send={}",
                    choice.reservation.id,
                    choice.data_centre,
                    choice
                        .expected_first_event
                        .map_or(0, |expected| expected.as_millis()),
                    choice.occupancy,
                    choice.load_age.map_or(-1, |age| age.as_millis() as i64),
                    choice.version.unwrap_or(0),
                    choice
                        .version_left
                        .map_or(-1, |left| left.as_millis() as i64),
                    self.call.sends() + 1
                ),
            );
            match self.attempt(&choice).await {
                Ok(response) => return Ok(response),
                Err(problem) => match self.authorize_retry(problem) {
                    Ok(()) => {}
                    Err(problem) => return Err(problem),
                },
            }
        }
    }

    /// Sends the request to the chosen engine and waits for the response head.
    async fn attempt(&mut self, choice: &Choice) -> Result<Response, Problem> {
        let permit = Permit::new(&self.state, choice.reservation.clone());
        self.tried.push(choice.reservation.id.clone());
        let remaining = self.remaining();
        let forward = wire::Forward {
            instance: &choice.reservation.id,
            tenant: self
                .organisation
                .as_ref()
                .map(|organisation| &*organisation.name),
            remaining,
            last_event_id: self.call.last_event_id(),
            // A resumed stream goes first: its caller already has part of the response.
            urgency: self.call.response_started().then_some(0),
        };
        let head = wire::encode_request(&self.parts, self.body.len(), &forward);
        self.call.handle(Event::Send);
        self.begin_by = choice
            .version_left
            .map(|left| clock::now() + left.saturating_sub(WITHDRAWAL_MARGIN));
        let timeout = self.timeout();
        let response = Response::request(
            permit,
            &head,
            &self.body,
            Subject {
                request_id: self.request.id.clone(),
                parts: Arc::clone(&self.prompt_parts),
                is_stream: self.route.kind.is_stream(),
                begin_by: self.begin_by,
            },
            self.route.kind,
            timeout,
        );
        match response.await {
            Ok(response) => Ok(response),
            Err(failure) => Err(self.record_failure(failure, &choice.reservation.id)),
        }
    }

    /// Timeout for the response head, or for the body of a plain response.
    pub fn timeout(&self) -> Timeout {
        let can_fail_over = self.can_fail_over();
        let latency_target = self.route.latency_target;
        if !self.route.kind.is_stream() {
            let attempt_timeout =
                (latency_target * ATTEMPT_TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT);
            let attempt_deadline = clock::now() + attempt_timeout;
            return Timeout {
                deadline: if can_fail_over {
                    self.deadline.min(attempt_deadline)
                } else {
                    self.deadline
                },
                stall_target: None,
                begin_by: self.begin_by,
            };
        }
        Timeout {
            deadline: self.deadline,
            stall_target: can_fail_over.then_some(latency_target),
            begin_by: self.begin_by,
        }
    }

    /// Records a failed attempt; returns the problem to respond with if it is not retried.
    pub fn record_failure(&mut self, failure: Failure, engine: &str) -> Problem {
        metrics::count(&self.state.metrics.attempts, failure.name());
        self.trace_event("missed", format_args!("engine={engine} reason={failure}"));
        let (event, problem) = match failure {
            Failure::Unsent(_) => (
                Event::Unsent,
                Problem::unavailable("unreachable", RETRY_AFTER),
            ),
            Failure::NotExecuted(_) => (
                Event::NotRun,
                Problem::unavailable("engine_full", RETRY_AFTER),
            ),
            Failure::Lost(_) => (Event::Lost, Problem::bad_gateway("answer_lost")),
            Failure::Timeout => (Event::Lost, Problem::bad_gateway("silent")),
            Failure::Withdrawn => (Event::Lost, Problem::bad_gateway("old_version")),
        };
        self.call.handle(event);
        problem
    }

    /// Checks whether another attempt may follow a failed one, and takes it from the retry budget.
    /// Otherwise returns the problem to respond with.
    pub fn authorize_retry(&mut self, problem: Problem) -> Result<(), Problem> {
        if self.is_probe {
            return Err(self.final_problem(problem));
        }
        match self.call.next_action() {
            Action::Refuse => return Err(Problem::unavailable(problem.reason, RETRY_AFTER)),
            Action::Fail => return Err(self.final_problem(problem)),
            Action::Retry | Action::Resume(_) => {}
        }
        if self.call.sends() > 0 && !self.state.take_retry(&self.service) {
            self.trace_event("no_repeat", format_args!("reason=budget"));
            return Err(self.final_problem(problem));
        }
        Ok(())
    }

    fn final_problem(&self, problem: Problem) -> Problem {
        if self.call.not_run() {
            return Problem::unavailable(problem.reason, RETRY_AFTER);
        }
        if self.remaining().is_zero() {
            return Problem::gateway_timeout();
        }
        Problem::bad_gateway(problem.reason)
    }

    fn deadline_problem(&self) -> Problem {
        if self.call.not_run() {
            return Problem::unavailable("deadline", RETRY_AFTER);
        }
        Problem::gateway_timeout()
    }

    fn refusal_problem(&self, refusal: Refusal) -> Problem {
        if self.call.not_run() {
            return Problem::unavailable(refusal.reason(), refusal.retry_after());
        }
        Problem::bad_gateway(refusal.reason())
    }

    /// Resumes a broken stream at another engine, if that is possible.
    pub async fn resume(&mut self, reason: &'static str) -> Option<Response> {
        self.call.handle(Event::Lost);
        self.trace_event(
            "stream_broke",
            format_args!("reason={reason} last={:?}", self.call.last_event_id()),
        );
        let resumed = match self.authorize_retry(Problem::bad_gateway(reason)) {
            Ok(()) => self.send().await,
            Err(problem) => Err(problem),
        };
        match resumed {
            Ok(response) => {
                self.state.metrics.resumed.inc();
                Some(response)
            }
            Err(problem) => {
                let (sends, reason) = (self.call.sends(), problem.reason);
                self.trace_event("not_resumed", format_args!("sends={sends} reason={reason}"));
                None
            }
        }
    }

    /// Takes a retry after an engine's own error response; false if none is allowed.
    pub fn take_error_retry(&mut self) -> bool {
        let is_last = self.is_probe || self.call.sends() >= self.route.max_attempts;
        if is_last || !self.route.kind.retryable() {
            return false;
        }
        if !self.state.take_retry(&self.service) {
            return false;
        }
        self.call.handle(Event::Lost);
        true
    }

    /// Whether another engine could take over if the current attempt were abandoned.
    pub fn can_fail_over(&self) -> bool {
        let kind = self.route.kind;
        let resumable = !self.call.response_started() || self.call.last_event_id().is_some();
        kind.retryable() && resumable && self.call.sends() < self.route.max_attempts
    }
}
