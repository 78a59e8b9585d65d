//! Claims on idempotency keys, committed to the log in groups.

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

/// Time for which a group collects before it is appended.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Records of a group at most.
const MAX_BATCH_CLAIMS: usize = 512;
/// Delay before a group whose append failed is appended again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Claims, outcomes and voids that wait to be appended.
#[derive(Default)]
pub struct Claims {
    pending: Mutex<Batch>,
    pending_added: Notify,
}

/// Result of claiming a key.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimResult {
    /// The request holds the key and may run.
    Acquired,
    /// Another request holds it.
    Held(Claim),
    /// The work has an outcome.
    Done(Outcome),
    /// The log could not be asked in time; nothing ran.
    LogUnavailable,
    /// This host's clock is too far from the others'.
    ClockSkew,
}

/// An answer as far as it is worth recording.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, when small enough.
    pub body: Option<Bytes>,
}

impl Claims {
    fn enqueue(&self, fill: impl FnOnce(&mut Batch)) {
        fill(&mut lock(&self.pending));
        self.pending_added.notify_one();
    }

    fn take_batch(&self) -> Batch {
        let mut waiting = lock(&self.pending);
        let mut rest = Batch::default();
        if waiting.claims.len() > MAX_BATCH_CLAIMS {
            rest.claims = waiting.claims.split_off(MAX_BATCH_CLAIMS);
        }
        let mut batch = std::mem::replace(&mut *waiting, rest);
        batch.id = Bytes::copy_from_slice(&rand::random::<[u8; 16]>());
        batch
    }

    fn is_empty(&self) -> bool {
        let waiting = lock(&self.pending);
        waiting.claims.is_empty() && waiting.outcomes.is_empty() && waiting.voids.is_empty()
    }

    /// Whether nothing waits to be appended.
    pub fn is_idle(&self) -> bool {
        self.is_empty()
    }
}

/// Appends groups until aborted.
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

/// Appends a group until it is in the log; a repeat changes nothing, since the first claim wins.
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

/// Claims `key` for `request`, which is to run at `agent`, and waits for the log's word.
pub async fn claim(
    shared: &Shared,
    key: &Key,
    request: &str,
    agent: (&Host, Incarnation),
    deadline: Instant,
) -> ClaimResult {
    let now_ms = clock::unix_ms();
    if let Some(known) = recorded_result(shared, key, request) {
        return count_result(shared, known);
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
    let mut moved = shared.projection_updates.subscribe();
    shared.claims.enqueue(|batch| batch.claims.push(claim));
    let due = time::Instant::from_std(deadline);
    loop {
        moved.borrow_and_update();
        if let Some(known) = recorded_result(shared, key, request) {
            return count_result(shared, known);
        }
        let lost = !shared.log_up.load(Ordering::Relaxed);
        if lost || time::timeout_at(due, moved.changed()).await.is_err() {
            release(shared, key, request);
            return count_result(shared, ClaimResult::LogUnavailable);
        }
    }
}

/// What the log says of the key, or nothing while it is free.
fn recorded_result(shared: &Shared, key: &Key, request: &str) -> Option<ClaimResult> {
    match lock(&shared.projection).ledger.state(key) {
        KeyState::Free => None,
        KeyState::Claimed(claim) if claim.request == request => Some(ClaimResult::Acquired),
        KeyState::Claimed(claim) => Some(ClaimResult::Held(claim)),
        KeyState::Done(outcome) => Some(ClaimResult::Done(outcome)),
    }
}

fn count_result(shared: &Shared, claimed: ClaimResult) -> ClaimResult {
    let name = match &claimed {
        ClaimResult::Acquired => "won",
        ClaimResult::Held(_) => "held",
        ClaimResult::Done(_) => "done",
        ClaimResult::LogUnavailable => "unreachable",
        ClaimResult::ClockSkew => "skewed",
    };
    metrics::count(&shared.metrics.claims, name);
    claimed
}

/// Frees a key whose work provably never started and never will.
pub fn release(shared: &Shared, key: &Key, request: &str) {
    let void = Void {
        key: Bytes::copy_from_slice(key),
        request: request.to_owned(),
    };
    shared.claims.enqueue(|batch| batch.voids.push(void));
}

/// Records the outcome of claimed work and waits at most `limit` until the log shows it.
pub async fn record_outcome(
    shared: &Shared,
    key: &Key,
    request: &str,
    summary: &Summary,
    limit: Duration,
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
    let mut moved = shared.projection_updates.subscribe();
    shared.claims.enqueue(|batch| batch.outcomes.push(outcome));
    let due = time::Instant::now() + limit;
    loop {
        moved.borrow_and_update();
        if matches!(
            recorded_result(shared, key, request),
            Some(ClaimResult::Done(_))
        ) {
            return true;
        }
        if time::timeout_at(due, moved.changed()).await.is_err() {
            return false;
        }
    }
}
