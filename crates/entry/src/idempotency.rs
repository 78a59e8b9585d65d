//! Claims on idempotency keys, appended to the log in batches.

use {
    crate::{
        metrics,
        shared::{Shared, lock},
    },
    bytes::Bytes,
    jayspread_core::{
        claim::{KeyState, MAX_BODY_BYTES},
        id::{Host, Incarnation, Key},
    },
    jayspread_net::{clock, event},
    jayspread_schema::config::{Batch, Claim, Outcome, Record, Void, record},
    prost::Message,
    std::{
        sync::{Arc, Mutex, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time},
};

/// Time for which records are collected into a batch.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Most claims in a batch.
const MAX_BATCH_CLAIMS: usize = 512;
/// Delay before a failed append is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Claims, outcomes and releases that wait to be appended to the log.
#[derive(Default)]
pub struct Claims {
    pending: Mutex<Batch>,
    pending_added: Notify,
}

/// Result of claiming a key.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimResult {
    /// The request has acquired the key and may be submitted.
    Acquired,
    /// Another request holds the key.
    Held(Claim),
    /// A request with the key has completed with this outcome.
    Done(Outcome),
    /// The log was unavailable or too slow; the request has not run.
    LogUnavailable,
    /// This host's clock differs too much from those of other hosts.
    ClockSkew,
}

/// The part of a response that is recorded as the outcome of its key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// HTTP status.
    pub status: u16,
    /// Value of the Content-Type header; empty if absent.
    pub content_type: String,
    /// Complete body; absent when it is too large to be recorded.
    pub body: Option<Bytes>,
}

impl Claims {
    fn enqueue(&self, add: impl FnOnce(&mut Batch)) {
        add(&mut lock(&self.pending));
        self.pending_added.notify_one();
    }

    fn take_batch(&self) -> Batch {
        let mut pending = lock(&self.pending);
        let mut remainder = Batch::default();
        if pending.claims.len() > MAX_BATCH_CLAIMS {
            remainder.claims = pending.claims.split_off(MAX_BATCH_CLAIMS);
        }
        let mut batch = std::mem::replace(&mut *pending, remainder);
        batch.id = Bytes::copy_from_slice(&rand::random::<[u8; 16]>());
        batch
    }

    fn is_empty(&self) -> bool {
        let pending = lock(&self.pending);
        pending.claims.is_empty() && pending.outcomes.is_empty() && pending.voids.is_empty()
    }

    /// Whether no record waits to be appended.
    pub fn is_idle(&self) -> bool {
        self.is_empty()
    }
}

/// Appends pending records in batches until aborted.
pub async fn run(shared: Arc<Shared>) {
    loop {
        while shared.claims.is_empty() {
            shared.claims.pending_added.notified().await;
        }
        time::sleep(BATCH_DELAY).await;
        let batch = shared.claims.take_batch();
        append(&shared, batch).await;
    }
}

/// Appends a batch, retrying until it succeeds. A batch that is appended twice has no further
/// effect, since the first claim on a key wins.
async fn append(shared: &Shared, batch: Batch) {
    let record = Record {
        kind: Some(record::Kind::Batch(batch)),
    };
    let bytes = Bytes::from(record.encode_to_vec());
    loop {
        match shared.log.append(bytes.clone()).await {
            Ok(_) => {
                metrics::count(&shared.metrics.appends, "claims");
                return;
            }
            Err(cause) => {
                metrics::count(&shared.metrics.appends, "failed");
                event!(Debug, "append_failed", reason = cause);
                time::sleep(APPEND_RETRY_DELAY).await;
            }
        }
    }
}

/// Claims `key` for `request`, which is to run at `agent`, and waits until the log shows the
/// result.
pub async fn claim(
    shared: &Shared,
    key: &Key,
    request: &str,
    agent: (&Host, Incarnation),
    deadline: Instant,
) -> ClaimResult {
    let now_ms = clock::unix_ms();
    if let Some(result) = recorded_result(shared, key, request) {
        return count_result(shared, result);
    }
    if !shared.log_up.load(Ordering::Relaxed) {
        return count_result(shared, ClaimResult::LogUnavailable);
    }
    if !lock(&shared.projection).ledger.accepts_clock(now_ms) {
        return count_result(shared, ClaimResult::ClockSkew);
    }
    let claim = Claim {
        key: Bytes::copy_from_slice(key),
        request: request.to_owned(),
        agent: agent.0.to_string(),
        incarnation: agent.1,
        claimed_at_ms: now_ms,
    };
    let mut updates = shared.projection_updates.subscribe();
    shared.claims.enqueue(|batch| batch.claims.push(claim));
    let timeout_at = time::Instant::from_std(deadline);
    loop {
        updates.borrow_and_update();
        if let Some(result) = recorded_result(shared, key, request) {
            return count_result(shared, result);
        }
        let log_down = !shared.log_up.load(Ordering::Relaxed);
        if log_down
            || time::timeout_at(timeout_at, updates.changed())
                .await
                .is_err()
        {
            release(shared, key, request);
            return count_result(shared, ClaimResult::LogUnavailable);
        }
    }
}

/// Returns the state of the key in the log for `request`; `None` while the key is free.
fn recorded_result(shared: &Shared, key: &Key, request: &str) -> Option<ClaimResult> {
    match lock(&shared.projection).ledger.state(key) {
        KeyState::Free => None,
        KeyState::Claimed(claim) if claim.request == request => Some(ClaimResult::Acquired),
        KeyState::Claimed(claim) => Some(ClaimResult::Held(claim)),
        KeyState::Done(outcome) => Some(ClaimResult::Done(outcome)),
    }
}

fn count_result(shared: &Shared, result: ClaimResult) -> ClaimResult {
    let label = match &result {
        ClaimResult::Acquired => "won",
        ClaimResult::Held(_) => "held",
        ClaimResult::Done(_) => "done",
        ClaimResult::LogUnavailable => "unreachable",
        ClaimResult::ClockSkew => "skewed",
    };
    metrics::count(&shared.metrics.claims, label);
    result
}

/// Releases a key whose request provably never started and never will.
pub fn release(shared: &Shared, key: &Key, request: &str) {
    let void = Void {
        key: Bytes::copy_from_slice(key),
        request: request.to_owned(),
    };
    shared.claims.enqueue(|batch| batch.voids.push(void));
}

/// Records the outcome of a request that holds `key`; returns whether the log showed it within
/// `timeout`.
pub async fn record_outcome(
    shared: &Shared,
    key: &Key,
    request: &str,
    summary: &Summary,
    timeout: Duration,
) -> bool {
    let body = summary
        .body
        .clone()
        .filter(|body| body.len() <= MAX_BODY_BYTES);
    let outcome = Outcome {
        key: Bytes::copy_from_slice(key),
        request: request.to_owned(),
        status: summary.status.into(),
        content_type: summary.content_type.clone(),
        whole: body.is_some(),
        body: body.unwrap_or_default(),
    };
    let mut updates = shared.projection_updates.subscribe();
    shared.claims.enqueue(|batch| batch.outcomes.push(outcome));
    let timeout_at = time::Instant::now() + timeout;
    loop {
        updates.borrow_and_update();
        if matches!(
            recorded_result(shared, key, request),
            Some(ClaimResult::Done(_))
        ) {
            return true;
        }
        if time::timeout_at(timeout_at, updates.changed())
            .await
            .is_err()
        {
            return false;
        }
    }
}
