//! A request's way from the queue to its answer: slots, claims, attempts and retries.

use {
    crate::{
        attempt::{Attempt, Begun, Ending, Sink, Target},
        metrics,
        once::{self, Claimed, Summary},
        problem::{Problem, Ran},
        shared::{Shared, lock},
        slots::{Need, Refused, Slot},
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

/// Attempts at one request at most.
const ATTEMPTS_MAX: u32 = 8;
/// Delay suggested where the log or backend servers are away.
const AWAY_DELAY: Duration = Duration::from_secs(1);
/// Time given to recording an outcome before the agent's copy is left to expire.
const RECORD_LIMIT: Duration = Duration::from_secs(30);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request; attempts add their number.
    pub id: Box<str>,
    /// Organisation.
    pub organisation: Organisation,
    /// Service.
    pub service: Service,
    /// Method.
    pub method: Method,
    /// Path and query after the service.
    pub path: Box<str>,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Deadline.
    pub deadline: Instant,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Key to claim before the work starts.
    pub key: Option<Key>,
}

/// What to do after an attempt.
enum Next {
    Again,
    Stop(Problem),
    Done,
}

/// Progress of one call.
struct Run<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    sink: &'a mut Sink,
    excluded: BTreeSet<Host>,
    attempts: u32,
}

/// Serves a call; a problem means that the caller has seen nothing of an answer.
pub async fn serve(shared: &Arc<Shared>, call: &Call, sink: &mut Sink) -> Result<(), Problem> {
    let mut run = Run {
        shared,
        call,
        sink,
        excluded: BTreeSet::new(),
        attempts: 0,
    };
    loop {
        match run.attempt().await {
            Next::Again if run.attempts >= ATTEMPTS_MAX => {
                let problem = busy("backend servers refused every attempt");
                return Err(truthful(shared, call, problem));
            }
            Next::Again => {}
            Next::Done => return Ok(()),
            Next::Stop(problem) => return Err(truthful(shared, call, problem)),
        }
    }
}

/// Turns `no` into `unknown` where another request with the same key may have run.
fn truthful(shared: &Shared, call: &Call, problem: Problem) -> Problem {
    let Some(key) = &call.key else {
        return problem;
    };
    let own = |request: &str| {
        let rest = request.strip_prefix(&*call.id);
        rest.is_some_and(|rest| rest.starts_with('.'))
    };
    let other = match lock(&shared.journal).ledger.state(key) {
        KeyState::Free => false,
        KeyState::Claimed(claim) => !own(&claim.request),
        KeyState::Done(_) => true,
    };
    Problem {
        ran: if other { Ran::Unknown } else { problem.ran },
        ..problem
    }
}

impl Run<'_> {
    async fn attempt(&mut self) -> Next {
        let queued = clock::now();
        let slot = match self.shared.slots.acquire(self.need()).await {
            Ok(slot) => slot,
            Err(refused) => return self.no_slot(refused).await,
        };
        let waited = clock::now() - queued;
        self.shared.metrics.queued.observe(waited.as_secs_f64());
        let request = claim::attempt_id(&self.call.id, self.attempts);
        self.attempts += 1;
        if let Some(key) = &self.call.key {
            let agent = (&slot.host, slot.incarnation);
            let deadline = self.call.deadline;
            match once::claim(self.shared, key, &request, agent, deadline).await {
                Claimed::Won => {}
                other => {
                    drop(slot);
                    return self.not_won(other).await;
                }
            }
        }
        self.run(slot, request).await
    }

    fn need(&self) -> Need {
        let call = self.call;
        let state = self.shared.state();
        let account = state.bundle.as_ref();
        let account = account.and_then(|b| b.organisations.get(&call.organisation));
        let prefix = &call.body[..call.body.len().min(PREFIX_BYTES)];
        Need {
            service: call.service.clone(),
            organisation: call.organisation.clone(),
            weight: fair::effective_weight(account),
            class: class(call),
            deadline: call.deadline,
            prefix: (!prefix.is_empty() && call.repeatable).then(|| prefix.into()),
            excluded: self.excluded.clone(),
            version: self.sink.begun().then(|| self.sink.version.clone()),
        }
    }

    async fn no_slot(&mut self, refused: Refused) -> Next {
        if self.sink.begun() {
            self.sink
                .cut("no backend server can resume the answer")
                .await;
            self.shared.metrics.cut.inc();
            return Next::Done;
        }
        Next::Stop(match refused {
            Refused::Deadline => Problem::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline cannot be met",
            ),
            Refused::Shed => {
                self.shared.metrics.shed.inc();
                busy("too many requests wait")
            }
            Refused::Absent => Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-backend-server",
                "no backend server of the service is usable",
            )
            .after(AWAY_DELAY),
        })
    }

    /// Sends an attempt whose key, if any, is held, and judges its ending.
    async fn run(&mut self, slot: Slot, request: Request) -> Next {
        let submit = self.submit(&slot, &request);
        let target = Target::of(&slot);
        let deadline = self.call.deadline;
        let Some(attempt) = Attempt::new(self.shared, target, request.clone(), deadline) else {
            return self.again(&slot.host, &request, Refusal::Unreachable, Duration::ZERO);
        };
        match attempt.submit(submit, self.sink).await {
            Ending::Whole(summary) => {
                drop(slot);
                self.whole(&attempt, &request, summary).await;
                Next::Done
            }
            Ending::NotStarted(reason, delay) => self.again(&slot.host, &request, reason, delay),
            Ending::Unknown(reason) => self.unknown(&slot.host, &reason).await,
        }
    }

    fn submit(&self, slot: &Slot, request: &Request) -> Submit {
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

    async fn whole(&self, attempt: &Attempt<'_>, request: &Request, summary: Summary) {
        lock(&self.shared.retries).deposit(clock::now());
        if let Some(key) = &self.call.key
            && !once::record(self.shared, key, request, &summary, RECORD_LIMIT).await
        {
            event!(Warn, "outcome_unrecorded", request = request);
            return;
        }
        attempt.acknowledge();
    }

    /// Decides after an attempt that provably did not start.
    fn again(&mut self, host: &Host, request: &Request, reason: Refusal, delay: Duration) -> Next {
        if let Some(key) = &self.call.key {
            once::void(self.shared, key, request);
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
            return Next::Stop(Problem::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                detail,
            ));
        }
        self.excluded.insert(host.clone());
        if !self.may_retry() {
            return Next::Stop(busy("backend servers are busy").after(delay.max(AWAY_DELAY)));
        }
        Next::Again
    }

    fn may_retry(&self) -> bool {
        if !lock(&self.shared.retries).withdraw(clock::now()) {
            self.shared.metrics.retries_denied.inc();
            return false;
        }
        self.shared.metrics.retries.inc();
        true
    }

    /// Decides after an attempt that may have started.
    async fn unknown(&mut self, host: &Host, reason: &str) -> Next {
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
            if self.sink.begun() {
                self.shared.metrics.resumed.inc();
            }
            return Next::Again;
        }
        if self.sink.begun() {
            self.shared.metrics.cut.inc();
            self.sink.cut(reason).await;
            return Next::Done;
        }
        Next::Stop(Problem::unknown("lost", reason))
    }

    /// Answers a call whose key is held or done, or could not be claimed.
    async fn not_won(&mut self, claimed: Claimed) -> Next {
        match claimed {
            Claimed::Won => unreachable!("handled by the caller"),
            Claimed::Done(outcome) => self.replay(&outcome).await,
            Claimed::Held(claim) => self.holder(&claim).await,
            Claimed::Unreachable => {
                let detail = "the platform's log is out of reach";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Next::Stop(Problem::not_run(status, "log", detail).after(AWAY_DELAY))
            }
            Claimed::Skewed => {
                let detail = "this host's clock differs too much from the others'";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Next::Stop(Problem::not_run(status, "clock", detail).after(AWAY_DELAY))
            }
        }
    }

    /// Gives the recorded answer of an earlier request with the same key.
    async fn replay(&mut self, outcome: &Outcome) -> Next {
        if !outcome.whole {
            let detail = "the request ran, but its answer is too large to be kept";
            return Next::Stop(Problem::unknown("answer-not-kept", detail));
        }
        let mut headers = HeaderMap::new();
        if let Ok(kind) = HeaderValue::from_str(&outcome.content_type) {
            headers.insert(header::CONTENT_TYPE, kind);
        }
        headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
        let status = StatusCode::from_u16(outcome.status as u16);
        self.sink.replay(Begun {
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
            headers,
        });
        if !outcome.body.is_empty() {
            self.sink.data(outcome.body.clone()).await;
        }
        self.sink.end();
        Next::Done
    }

    /// Follows the attempt that holds the key, or frees the key when it never started.
    async fn holder(&mut self, claim: &Claim) -> Next {
        let target = Target {
            host: claim.agent.as_str().into(),
            incarnation: claim.incarnation,
        };
        let request: Request = claim.request.as_str().into();
        let deadline = self.call.deadline;
        let Some(attempt) = Attempt::new(self.shared, target, request.clone(), deadline) else {
            return Next::Stop(in_doubt("its backend server is out of reach"));
        };
        match attempt.recall(self.sink).await {
            Ending::Whole(summary) => {
                if let Some(key) = &self.call.key {
                    once::record(self.shared, key, &request, &summary, RECORD_LIMIT).await;
                }
                Next::Done
            }
            Ending::NotStarted(reason, delay) => {
                self.again(&claim.agent.as_str().into(), &request, reason, delay)
            }
            Ending::Unknown(reason) if self.sink.begun() => {
                self.shared.metrics.cut.inc();
                self.sink.cut(&reason).await;
                Next::Done
            }
            Ending::Unknown(reason) => Next::Stop(in_doubt(&reason)),
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
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy", detail).after(AWAY_DELAY)
}

fn in_doubt(reason: &str) -> Problem {
    Problem::unknown(
        "in-doubt",
        format!("an earlier request with this key: {reason}"),
    )
    .after(AWAY_DELAY)
}

/// Counts a refusal.
pub fn count(shared: &Shared, problem: &Problem) {
    metrics::count(&shared.metrics.refused, problem.kind);
}
