//! One caller's request in progress and its attempts at engines.

use {
    crate::{
        front::{
            attempt::Subject,
            connection::Ending,
            flight::{self, Answer, Flight, Flights},
            held::Allocation,
            problem::Problem,
            state::State,
            stream::Expected,
            trace::Trace,
            upstream::{Failure, Permit, Request},
        },
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    http::request::Parts,
    jayspread_core::{
        call::{Action, Call, Event as CallEvent},
        catalog::{Catalog, Organisation, Route},
        framing,
        id::Engine,
        placement::{Choice, Refusal, Reservation},
        quarantine::Part,
        resume::Run,
        shutdown::Step,
        silence::{Awaited, Silence},
    },
    jayspread_net::{clock, panic::Panic, telemetry::Value},
    jayspread_platform::header as wire,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Shortest interval between checks whether an engine is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a check from which this host counts as held up.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Maximum age of an agent's report that its engine is responsive.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);
/// Retry delay suggested to a caller whose request no engine has executed.
pub const RETRY_AFTER: Duration = Duration::from_millis(150);
/// Minimum remaining time for which another attempt is started.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// Time before the end of the time in which work on an old version may begin at which a request that
/// has not begun is withdrawn; the engine must notice that in time.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);

/// An engine that has the request and may be silent.
pub struct Silent {
    /// Reservation at the engine.
    pub reservation: Reservation,
    /// Time at which the request was sent, or of the last event.
    pub since: Instant,
    /// What is awaited.
    pub awaited: Awaited,
    /// Whether the silence has been recorded as a failure of the engine.
    pub reported: Arc<AtomicBool>,
}

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
    /// Memory reserved for the answer, until the body of the answer is held.
    #[expect(dead_code, reason = "gives the memory back when dropped")]
    pub allocation: Allocation,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.trace.is_some() {
            let ending = self.parts.extensions.get::<Ending>().cloned();
            let (event, cause) = match ending.as_ref().and_then(Ending::reason) {
                _ if thread::panicking() => ("panicked", "none"),
                Some(reason) => reason.describe(),
                None => ("caller_left", "none"),
            };
            self.end(event, cause);
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
        self.call.handle(CallEvent::Done);
        self.state.metrics.completed.inc();
        metrics::count(&self.state.metrics.ends, "answered");
        self.trace_event(event, fields);
        self.finish_trace(false);
    }

    /// Marks the request as failed.
    pub fn fail(&mut self, reason: &'static str) {
        metrics::count(&self.state.metrics.failed, reason);
        let (end, ran) = if self.call.not_run() {
            ("refused", "no")
        } else {
            ("failed", "unknown")
        };
        metrics::count(&self.state.metrics.ends, end);
        let after = self.elapsed().as_millis();
        let (class, level) = (self.priority(), self.shedding_level());
        self.trace_event(
            "failed",
            format_args!(
                "reason={reason} after_ms={after} ran={ran} class={class} shedding={level:.2}"
            ),
        );
        self.finish_trace(true);
    }

    /// Records that handling the request panicked; returns the problem to respond with if the
    /// response has not begun.
    pub fn record_panic(&mut self, panic: &Panic) -> Problem {
        self.end("panicked", &panic.to_string());
        Problem::panicked(&self.call)
    }

    /// Ends the trace of a request that got no complete response.
    fn end(&mut self, event: &str, reason: &str) {
        let (after, sends) = (self.elapsed().as_millis(), self.call.sends());
        let engine = self.tried.last().cloned().unwrap_or_else(|| "none".into());
        let reason = Value(&reason);
        self.trace_event(
            event,
            format_args!("after_ms={after} sends={sends} engine={engine} reason={reason}"),
        );
        metrics::count(&self.state.metrics.ends, event);
        if event == "caller_left" {
            self.state.metrics.disconnected.inc();
        } else {
            metrics::count(&self.state.metrics.failed, event);
        }
        self.finish_trace(event != "caller_left");
    }

    /// Chooses an engine, waiting for one for a limited time, and sends the request there.
    pub async fn start_attempt(&mut self) -> Result<Flight, Problem> {
        if self.remaining() < MIN_REMAINING {
            return Err(self.deadline_problem());
        }
        let step = self.next_step();
        if !self.is_allowed(step) {
            return Err(self.stopping_problem());
        }
        let choice = match self.acquire_engine().await {
            Ok(choice) => choice,
            Err(refusal) => return Err(self.refusal_problem(refusal)),
        };
        // The request may have waited for the engine.
        if !self.is_allowed(step) {
            drop(Permit::new(&self.state, choice.reservation));
            return Err(self.stopping_problem());
        }
        Ok(self.send(&choice, CallEvent::Send))
    }

    /// Logs what the choice of an engine was based on.
    fn trace_send(&mut self, choice: &Choice) {
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
    }

    /// Sends the request to the chosen engine; `event` tells whether others have it already.
    fn send(&mut self, choice: &Choice, event: CallEvent) -> Flight {
        self.trace_send(choice);
        let permit = Permit::new(&self.state, choice.reservation.clone());
        let silence_reported = permit.silence_reported();
        self.tried.push(choice.reservation.id.clone());
        let forward = wire::Forward {
            instance: &choice.reservation.id,
            tenant: self
                .organisation
                .as_ref()
                .map(|organisation| &*organisation.name),
            remaining: self.remaining(),
            last_event_id: self.call.last_event_id(),
            urgency: self.urgency(),
        };
        let head = wire::encode_request(&self.parts, self.body.len(), &forward);
        let is_head_only = framing::is_head_only(self.parts.method.as_str().as_bytes());
        let is_stream = self.route.kind.is_stream() && !is_head_only;
        let begin_by = choice
            .version_left
            .map(|left| clock::now() + left.saturating_sub(WITHDRAWAL_MARGIN));
        let request = Request {
            head,
            body: self.body.clone(),
            subject: Subject {
                request_id: self.request.id.clone(),
                parts: Arc::clone(&self.prompt_parts),
                is_stream,
                is_head_only,
                begin_by,
            },
            kind: self.route.kind,
            deadline: self.deadline,
        };
        let reservation = choice.reservation.clone();
        let last = self.call.last_event_id();
        let run = if self.call.response_started() {
            Run::resumed(last)
        } else {
            Run::first(last)
        };
        self.call.handle(event);
        if is_stream {
            let expected = Expected {
                run,
                is_resumed: self.call.response_started(),
                deadline: self.deadline,
                begin_by,
                silence_reported: Arc::clone(&silence_reported),
            };
            let pending = flight::stream(permit, request, expected);
            Flight::new(reservation, silence_reported, pending)
        } else {
            Flight::new(
                reservation,
                silence_reported,
                flight::plain(permit, request),
            )
        }
    }

    /// What is awaited of an engine that has not answered.
    pub fn awaited(&self) -> Awaited {
        let latency_target = self.route.latency_target;
        if self.route.kind.is_stream() {
            Awaited::Event(latency_target)
        } else {
            Awaited::Answer(latency_target)
        }
    }

    /// Completes when an engine that has been silent since `since` may count as stalled; checked again
    /// at intervals after that.
    pub async fn silence_check(&self, since: Instant, awaited: Awaited) {
        let stalls_at = since.checked_add(awaited.stall_limit(false));
        let check_at = stalls_at.unwrap_or(self.deadline).min(self.deadline);
        let check_at = check_at.max(clock::now() + SILENCE_CHECK_INTERVAL);
        time::sleep_until(check_at.into()).await;
        if clock::now().saturating_duration_since(check_at) > MAX_LATENESS {
            // This host was held up, and may have sent the request only now.
            time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Waits until an attempt ends; starts another one beside those in progress if the engine that got
    /// the request last is silent.
    pub async fn next_result(
        &mut self,
        flights: &mut Flights,
    ) -> (Engine, Result<Answer, Failure>) {
        loop {
            let since = flights.newest().map(|flight| flight.started);
            // An answer that has arrived counts, however late this host looks for it.
            tokio::select! {
                biased;
                result = flights.next() => return result,
                () = self.silence_check(since.unwrap_or(self.arrived), self.awaited()) => {}
            }
            self.relieve_silent(flights);
        }
    }

    /// Sends the request to another engine beside those that have it, if the one that got it last is
    /// silent.
    pub fn relieve_silent(&mut self, flights: &mut Flights) {
        let awaited = self.awaited();
        let Some(flight) = flights.newest() else {
            return;
        };
        let silent = Silent {
            reservation: flight.reservation.clone(),
            since: flight.started,
            awaited,
            reported: Arc::clone(&flight.silence_reported),
        };
        if let Some(flight) = self.send_beside(&silent) {
            flights.push(flight);
        }
    }

    /// Sends the request to another engine if the one that has it counts as stalled. It keeps the
    /// request in any case: it may go on, and the other one may fail. `None` if no other engine can
    /// have the request now.
    pub fn send_beside(&mut self, silent: &Silent) -> Option<Flight> {
        let now = clock::now();
        let lasted = now.saturating_duration_since(silent.since);
        let engine = &silent.reservation;
        let is_responsive =
            lock(&self.state.engines).reported_responsive(engine, MAX_REPORT_AGE, now);
        let silence = Silence {
            awaited: silent.awaited,
            lasted,
            is_responsive,
        };
        if !silence.is_stall() || !self.call.can_send_beside() {
            return None;
        }
        if !silent.reported.swap(true, Ordering::Relaxed) {
            metrics::count(&self.state.metrics.attempts, "silent");
            self.trace_event(
                "silent",
                format_args!("engine={} silent_ms={}", engine.id, lasted.as_millis()),
            );
            if lock(&self.state.engines).record_silence(engine, now) {
                self.state.report_ejection(&engine.id, "silent");
            }
        }
        if self.is_probe || self.remaining() < MIN_REMAINING {
            return None;
        }
        if !self.is_allowed(Step::Repeat) {
            return None;
        }
        let is_spare = silence.is_long() || self.state.has_spare_retry(&self.service);
        if !is_spare || self.has_quarantined_part() {
            return None;
        }
        let choice = self.choose_engine().ok()?;
        if !self.state.take_retry(&self.service) {
            drop(Permit::new(&self.state, choice.reservation));
            return None;
        }
        Some(self.send(&choice, CallEvent::SendBeside))
    }

    /// Records a failed attempt; returns the problem to respond with if it is not retried.
    pub fn record_failure(&mut self, failure: Failure, engine: &str) -> Problem {
        metrics::count(&self.state.metrics.attempts, failure.name());
        self.trace_event("missed", format_args!("engine={engine} reason={failure}"));
        let (event, problem) = match failure {
            Failure::Unsent(_) => (
                CallEvent::Unsent,
                Problem::unavailable("unreachable", RETRY_AFTER),
            ),
            Failure::NotExecuted(_) => (
                CallEvent::NotRun,
                Problem::unavailable("engine_full", RETRY_AFTER),
            ),
            Failure::Lost(_) => (CallEvent::Lost, Problem::bad_gateway("answer_lost")),
            Failure::Timeout => (CallEvent::Lost, Problem::bad_gateway("silent")),
            Failure::Withdrawn => (CallEvent::Lost, Problem::bad_gateway("old_version")),
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
        if self.remaining() < MIN_REMAINING {
            return Err(self.deadline_problem());
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

    /// Sends a broken stream to another engine, to go on after the last event that the caller has.
    pub async fn resume(&mut self, problem: Problem) -> Result<Flight, Problem> {
        self.authorize_retry(problem)?;
        self.start_attempt().await
    }

    /// Takes a retry after an engine's own error response; false if none is allowed. If another attempt
    /// is in progress, it is the retry.
    pub fn take_error_retry(&mut self, is_in_progress: bool) -> bool {
        if is_in_progress {
            self.call.handle(CallEvent::Lost);
            return true;
        }
        let is_last = self.is_probe || self.call.sends() >= self.route.max_attempts;
        if is_last || !self.route.kind.retryable() {
            return false;
        }
        if !self.state.take_retry(&self.service) {
            return false;
        }
        self.call.handle(CallEvent::Lost);
        true
    }
}
