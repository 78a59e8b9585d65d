//! Following the log, and writing checkpoints now and then.

use {
    crate::{
        journal::Outcome,
        log::{Entry, Page},
        metrics,
        shared::{Shared, lock},
    },
    jayspread_core::{
        id::{self, Host},
        member::Health,
    },
    jayspread_net::{clock, event},
    jayspread_schema::{
        config::{Record, record},
        wire::Role,
    },
    prost::Message,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Longest wait of one read for records.
const WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed read.
const FAILED_DELAY: Duration = Duration::from_millis(200);
/// Changes after which a checkpoint is due.
const CHECKPOINT_CHANGES: u64 = 64;
/// Time after which a checkpoint is due when anything has changed.
const CHECKPOINT_AGE: Duration = Duration::from_secs(60);
/// Time that each entry host waits for those before it to write the checkpoint.
const CHECKPOINT_TURN: Duration = Duration::from_secs(2);
/// Interval of looking whether a checkpoint is due.
const CHECKPOINT_POLL: Duration = Duration::from_millis(500);
/// Interval of forgetting old claims.
const PRUNE_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the log until aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut pruned = clock::now();
    loop {
        let from = lock(&shared.journal).next;
        let steady = shared.caught_up.load(Ordering::Relaxed);
        let wait = match steady && shared.log_up.load(Ordering::Relaxed) {
            true => WAIT,
            false => Duration::ZERO,
        };
        match shared.log.read(from, wait).await {
            Ok(Page::Records(entries, _)) => take(&shared, &entries),
            Ok(Page::Truncated(first)) => {
                event!(Info, "log_truncated", first = first);
                lock(&shared.journal).truncated(first.max(from));
            }
            Err(cause) => {
                if shared.log_up.swap(false, Ordering::Relaxed) {
                    event!(Warn, "log_down", reason = cause);
                }
                time::sleep(FAILED_DELAY).await;
                continue;
            }
        }
        if !shared.log_up.swap(true, Ordering::Relaxed) {
            event!(Info, "log_up", next = from);
        }
        if clock::now() > pruned + PRUNE_INTERVAL {
            pruned = clock::now();
            lock(&shared.journal).ledger.prune(clock::unix_ms());
        }
    }
}

/// Applies records and tells those who wait for them.
fn take(shared: &Shared, entries: &[Entry]) {
    let mut journal = lock(&shared.journal);
    let before = journal.fold.revision();
    for entry in entries {
        let outcome = journal.apply(entry);
        note(shared, entry, &outcome);
    }
    let state = journal.fold.state();
    assert!(state.revision >= before, "configuration reverts");
    drop(journal);
    if state.revision > before {
        shared.configured(&state);
    }
    if entries.is_empty() {
        shared.caught_up.store(true, Ordering::Relaxed);
    } else {
        shared.moved.send_modify(|n| *n += 1);
    }
}

fn note(shared: &Shared, entry: &Entry, outcome: &Outcome) {
    let records = &shared.metrics.records;
    match outcome {
        Outcome::Accepted(revision, effect) => {
            metrics::count(records, "accepted");
            event!(
                Info,
                "change",
                revision = revision,
                effect = effect,
                offset = entry.offset
            );
        }
        Outcome::Refused(reason) => {
            metrics::count(records, "refused");
            event!(
                Warn,
                "change_refused",
                offset = entry.offset,
                reason = reason
            );
        }
        Outcome::Checkpoint(_) => metrics::count(records, "checkpoint"),
        Outcome::Batch => metrics::count(records, "batch"),
        Outcome::Unplaced => metrics::count(records, "unplaced"),
        Outcome::Nonsense(reason) => {
            metrics::count(records, "nonsense");
            event!(
                Warn,
                "record_malformed",
                offset = entry.offset,
                reason = reason
            );
        }
    }
}

/// Writes checkpoints when they are due, until aborted.
pub async fn checkpoints(shared: Arc<Shared>) {
    let mut due_since: Option<Instant> = None;
    let mut written = clock::now();
    loop {
        time::sleep(CHECKPOINT_POLL).await;
        let now = clock::now();
        let (revision, last) = {
            let journal = lock(&shared.journal);
            (journal.fold.revision(), journal.checkpoint)
        };
        let many = revision >= last + CHECKPOINT_CHANGES;
        let old = revision > 0 && now >= written + CHECKPOINT_AGE;
        if !shared.log_up.load(Ordering::Relaxed) || !(many || old) {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        if now < since + CHECKPOINT_TURN * rank(&shared) {
            continue;
        }
        written = now;
        due_since = None;
        write(&shared).await;
    }
}

/// Entry hosts of all data centres whose turn comes before this one's.
fn rank(shared: &Shared) -> u32 {
    let me: Host = shared.settings.place.host.clone();
    let revision = lock(&shared.journal).fold.revision().to_le_bytes();
    let own = id::score(&revision, &me);
    let roster = lock(&shared.roster);
    let entries = roster.members.values().filter(|m| {
        m.role == i32::from(Role::Entry) && roster.health.health(&m.host) == Health::Alive
    });
    entries
        .filter(|m| id::score(&revision, &m.host) > own)
        .count() as u32
}

async fn write(shared: &Shared) {
    let Some(checkpoint) = lock(&shared.journal).write_checkpoint() else {
        return;
    };
    let revision = checkpoint.revision;
    let record = Record {
        kind: Some(record::Kind::Checkpoint(checkpoint)),
    };
    match shared.log.append(record.encode_to_vec().into()).await {
        Ok(offset) => {
            metrics::count(&shared.metrics.appends, "checkpoint");
            event!(
                Info,
                "checkpoint_written",
                revision = revision,
                offset = offset
            );
        }
        Err(cause) => event!(Warn, "checkpoint_lost", reason = cause),
    }
}
