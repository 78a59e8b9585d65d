//! Executes a caller's request: acquires a slot, claims the idempotency key, makes attempts and
//! retries.

use {
    crate::{
        attempt::{Attempt, Ending, ResponseHead, Sink, Target},
        idempotency::{self, ClaimResult, Summary},
        metrics,
        problem::{Executed, Problem},
        shared::{Shared, lock},
        slots::{Rejection, Requirements, Slot},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    jayspread_core::{
        claim::{self, KeyState},
        fair::{self, Class},
        id::{Host, Key, Organisation, Request, Service},
        retry,
        route::PREFIX_BYTES,
    },
    jayspread_net::{clock, event},
    jayspread_schema::{
        config::{Claim, Outcome},
        wire::{Header, Refusal, Submit},
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 8;
/// `Retry-After` of problems that are expected to be temporary, such as an unavailable log.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for an outcome to be recorded. After it the agent is not told to discard its copy
/// of the response, and keeps it until it expires.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's request after parsing.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id; an attempt's id is this one with the attempt's number appended.
    pub id: Box<str>,
    /// Organisation that the request is accounted to.
    pub organisation: Organisation,
    /// Service that the request is for.
    pub service: Service,
    /// HTTP method.
    pub method: Method,
    /// Path and query that follow the service.
    pub path: Box<str>,
    /// Headers forwarded to the backend server.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Time by which the request must have started.
    pub deadline: Instant,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Idempotency key, claimed before the request is submitted.
    pub idempotency_key: Option<Key>,
}

/// What to do after an attempt.
enum Action {
    Retry,
    Fail(Problem),
    Done,
}

/// State of a call while it is executed.
struct Execution<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    sink: &'a mut Sink,
    excluded: BTreeSet<Host>,
    attempts: u32,
}

/// Executes a call; an error is returned only when no part of a response has been sent.
pub async fn serve(shared: &Arc<Shared>, call: &Call, sink: &mut Sink) -> Result<(), Problem> {
    let mut execution = Execution {
        shared,
        call,
        sink,
        excluded: BTreeSet::new(),
        attempts: 0,
    };
    loop {
        match execution.attempt().await {
            Action::Retry if execution.attempts >= MAX_ATTEMPTS => {
                let problem = busy("backend servers refused every attempt");
                return Err(mark_possibly_executed(shared, call, problem));
            }
            Action::Retry => {}
            Action::Done => return Ok(()),
            Action::Fail(problem) => return Err(mark_possibly_executed(shared, call, problem)),
        }
    }
}

/// Reports a request as possibly executed when another request with the same key may have run.
fn mark_possibly_executed(shared: &Shared, call: &Call, problem: Problem) -> Problem {
    let Some(key) = &call.idempotency_key else {
        return problem;
    };
    let is_own_attempt = |request: &str| {
        let rest = request.strip_prefix(&*call.id);
        rest.is_some_and(|rest| rest.starts_with('.'))
    };
    let other_may_have_run = match lock(&shared.projection).ledger.state(key) {
        KeyState::Free => false,
        KeyState::Claimed(claim) => !is_own_attempt(&claim.request),
        KeyState::Done(_) => true,
    };
    Problem {
        executed: if other_may_have_run {
            Executed::Unknown
        } else {
            problem.executed
        },
        ..problem
    }
}

impl Execution<'_> {
    async fn attempt(&mut self) -> Action {
        let queued_at = clock::now();
        let slot = match self.shared.slots.acquire(self.requirements()).await {
            Ok(slot) => slot,
            Err(rejection) => return self.handle_rejection(rejection).await,
        };
        let queue_time = clock::now() - queued_at;
        self.shared
            .metrics
            .queue_time
            .observe(queue_time.as_secs_f64());
        let request = claim::attempt_id(&self.call.id, self.attempts);
        self.attempts += 1;
        if let Some(key) = &self.call.idempotency_key {
            let agent = (&slot.host, slot.incarnation);
            let deadline = self.call.deadline;
            match idempotency::claim(self.shared, key, &request, agent, deadline).await {
                ClaimResult::Acquired => {}
                result => {
                    drop(slot);
                    return self.handle_unclaimed(result).await;
                }
            }
        }
        self.submit(slot, request).await
    }

    fn requirements(&self) -> Requirements {
        let call = self.call;
        let state = self.shared.state();
        let bundle = state.bundle.as_ref();
        let organisation = bundle.and_then(|b| b.organisations.get(&call.organisation));
        let prefix = &call.body[..call.body.len().min(PREFIX_BYTES)];
        Requirements {
            service: call.service.clone(),
            organisation: call.organisation.clone(),
            weight: fair::effective_weight(organisation),
            class: class(call),
            deadline: call.deadline,
            prefix: (!prefix.is_empty() && call.repeatable).then(|| prefix.into()),
            excluded: self.excluded.clone(),
            version: self
                .sink
                .response_started()
                .then(|| self.sink.version.clone()),
        }
    }

    async fn handle_rejection(&mut self, rejection: Rejection) -> Action {
        if self.sink.response_started() {
            self.sink
                .truncate("no backend server can resume the answer")
                .await;
            self.shared.metrics.truncated.inc();
            return Action::Done;
        }
        Action::Fail(match rejection {
            Rejection::Deadline => Problem::not_executed(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline cannot be met",
            ),
            Rejection::QueueFull => {
                self.shared.metrics.shed.inc();
                busy("too many requests wait")
            }
            Rejection::NoBackend => Problem::not_executed(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-backend-server",
                "no backend server of the service is usable",
            )
            .with_retry_after(RETRY_AFTER),
        })
    }

    /// Makes an attempt, whose idempotency key is already claimed, and decides what follows.
    async fn submit(&mut self, slot: Slot, request: Request) -> Action {
        let message = self.submit_message(&slot, &request);
        let target = Target::from_slot(&slot);
        let deadline = self.call.deadline;
        let Some(attempt) = Attempt::new(self.shared, target, request.clone(), deadline) else {
            return self.retry_not_started(
                &slot.host,
                &request,
                Refusal::Unreachable,
                Duration::ZERO,
            );
        };
        match attempt.submit(message, self.sink).await {
            Ending::Complete(summary) => {
                drop(slot);
                self.record_completion(&attempt, &request, summary).await;
                Action::Done
            }
            Ending::NotStarted(reason, delay) => {
                self.retry_not_started(&slot.host, &request, reason, delay)
            }
            Ending::Unknown(reason) => self.handle_unknown(&slot.host, &reason).await,
        }
    }

    fn submit_message(&self, slot: &Slot, request: &Request) -> Submit {
        let call = self.call;
        let remaining = call.deadline.saturating_duration_since(clock::now());
        let headers = call.headers.iter().map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        Submit {
            request: request.to_string(),
            organisation: call.organisation.to_string(),
            service: call.service.to_string(),
            method: call.method.to_string(),
            path: call.path.to_string(),
            headers: headers.collect(),
            body: call.body.clone(),
            remaining_ms: remaining.as_millis() as u32,
            repeatable: call.repeatable,
            incarnation: slot.incarnation,
            priority: class(call) as u32,
            resume_at: self.sink.delivered,
            version: self.sink.version.to_string(),
        }
    }

    /// Records the outcome and then lets the agent discard the response.
    async fn record_completion(&self, attempt: &Attempt<'_>, request: &Request, summary: Summary) {
        lock(&self.shared.retry_budget).deposit(clock::now());
        if let Some(key) = &self.call.idempotency_key
            && !idempotency::record_outcome(self.shared, key, request, &summary, RECORD_TIMEOUT)
                .await
        {
            event!(Warn, "outcome_not_recorded", request = request);
            return;
        }
        attempt.acknowledge();
    }

    /// Decides whether to retry after an attempt that provably did not start.
    fn retry_not_started(
        &mut self,
        host: &Host,
        request: &Request,
        reason: Refusal,
        delay: Duration,
    ) -> Action {
        if let Some(key) = &self.call.idempotency_key {
            idempotency::release(self.shared, key, request);
        }
        event!(
            Debug,
            "not_started",
            request = request,
            peer = host,
            reason = reason.as_str_name()
        );
        if clock::now() >= self.call.deadline || reason == Refusal::Deadline {
            let detail = "the deadline passed before the request started";
            return Action::Fail(Problem::not_executed(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                detail,
            ));
        }
        self.excluded.insert(host.clone());
        if !self.may_retry() {
            return Action::Fail(
                busy("backend servers are busy").with_retry_after(delay.max(RETRY_AFTER)),
            );
        }
        Action::Retry
    }

    fn may_retry(&self) -> bool {
        if !lock(&self.shared.retry_budget).withdraw(clock::now()) {
            self.shared.metrics.retries_denied.inc();
            return false;
        }
        self.shared.metrics.retries.inc();
        true
    }

    /// Decides whether to retry after an attempt that may have started.
    async fn handle_unknown(&mut self, host: &Host, reason: &str) -> Action {
        event!(
            Warn,
            "attempt_unknown",
            request = self.call.id,
            peer = host,
            reason = reason
        );
        let allowed = retry::allowed(retry::Attempt::Unknown, self.call.repeatable);
        if allowed && clock::now() < self.call.deadline && self.may_retry() {
            self.excluded.insert(host.clone());
            if self.sink.response_started() {
                self.shared.metrics.resumed.inc();
            }
            return Action::Retry;
        }
        if self.sink.response_started() {
            self.shared.metrics.truncated.inc();
            self.sink.truncate(reason).await;
            return Action::Done;
        }
        Action::Fail(Problem::maybe_executed("lost", reason))
    }

    /// Responds to a call whose idempotency key could not be acquired.
    async fn handle_unclaimed(&mut self, result: ClaimResult) -> Action {
        match result {
            ClaimResult::Acquired => unreachable!("handled by the caller"),
            ClaimResult::Done(outcome) => self.replay(&outcome).await,
            ClaimResult::Held(claim) => self.recall_holder(&claim).await,
            ClaimResult::LogUnavailable => {
                let detail = "the platform's log is out of reach";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Action::Fail(
                    Problem::not_executed(status, "log", detail).with_retry_after(RETRY_AFTER),
                )
            }
            ClaimResult::ClockSkew => {
                let detail = "this host's clock differs too much from the others'";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Action::Fail(
                    Problem::not_executed(status, "clock", detail).with_retry_after(RETRY_AFTER),
                )
            }
        }
    }

    /// Sends the recorded response of an earlier request with the same key.
    async fn replay(&mut self, outcome: &Outcome) -> Action {
        if !outcome.whole {
            let detail = "the request ran, but its answer is too large to be kept";
            return Action::Fail(Problem::maybe_executed("answer-not-kept", detail));
        }
        let mut headers = HeaderMap::new();
        if let Ok(content_type) = HeaderValue::from_str(&outcome.content_type) {
            headers.insert(header::CONTENT_TYPE, content_type);
        }
        headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
        let status = StatusCode::from_u16(outcome.status as u16);
        self.sink.set_recorded_head(ResponseHead {
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
            headers,
        });
        if !outcome.body.is_empty() {
            self.sink.write(outcome.body.clone()).await;
        }
        self.sink.finish();
        Action::Done
    }

    /// Recalls the response of the attempt that holds the key, or releases the key if that attempt
    /// never started.
    async fn recall_holder(&mut self, claim: &Claim) -> Action {
        let target = Target {
            host: claim.agent.as_str().into(),
            incarnation: claim.incarnation,
        };
        let request: Request = claim.request.as_str().into();
        let deadline = self.call.deadline;
        let Some(attempt) = Attempt::new(self.shared, target, request.clone(), deadline) else {
            return Action::Fail(in_doubt("its backend server is out of reach"));
        };
        match attempt.recall(self.sink).await {
            Ending::Complete(summary) => {
                if let Some(key) = &self.call.idempotency_key {
                    idempotency::record_outcome(
                        self.shared,
                        key,
                        &request,
                        &summary,
                        RECORD_TIMEOUT,
                    )
                    .await;
                }
                Action::Done
            }
            Ending::NotStarted(reason, delay) => {
                self.retry_not_started(&claim.agent.as_str().into(), &request, reason, delay)
            }
            Ending::Unknown(reason) if self.sink.response_started() => {
                self.shared.metrics.truncated.inc();
                self.sink.truncate(&reason).await;
                Action::Done
            }
            Ending::Unknown(reason) => Action::Fail(in_doubt(&reason)),
        }
    }
}

fn class(call: &Call) -> Class {
    if call.repeatable {
        Class::Repeatable
    } else {
        Class::SideEffect
    }
}

fn busy(detail: &str) -> Problem {
    Problem::not_executed(StatusCode::SERVICE_UNAVAILABLE, "busy", detail)
        .with_retry_after(RETRY_AFTER)
}

fn in_doubt(reason: &str) -> Problem {
    Problem::maybe_executed(
        "in-doubt",
        format!("an earlier request with this key: {reason}"),
    )
    .with_retry_after(RETRY_AFTER)
}

/// Counts a request that was answered with a problem.
pub fn count_problem(shared: &Shared, problem: &Problem) {
    metrics::count(&shared.metrics.refused, problem.kind);
}
