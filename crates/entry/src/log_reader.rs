//! Reads the log as it grows, and writes checkpoints to it.

use {
    crate::{
        log::{Entry, Page},
        metrics,
        projection::Outcome,
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

/// Longest wait for records in one read.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of changes since the last checkpoint after which one is due.
const CHECKPOINT_CHANGES: u64 = 64;
/// Time after this entry host's last checkpoint, or its start, after which one is due if there is
/// any configuration.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(60);
/// Delay per rank before an entry host writes a due checkpoint, so that usually only one does.
const CHECKPOINT_STAGGER: Duration = Duration::from_secs(2);
/// Interval between checks whether a checkpoint is due.
const CHECKPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between removals of expired claims.
const PRUNE_INTERVAL: Duration = Duration::from_secs(30);

/// Reads the log until aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut pruned_at = clock::now();
    loop {
        let from = lock(&shared.projection).next_offset;
        let caught_up = shared.caught_up.load(Ordering::Relaxed);
        let wait = match caught_up && shared.log_up.load(Ordering::Relaxed) {
            true => READ_WAIT,
            false => Duration::ZERO,
        };
        match shared.log.read(from, wait).await {
            Ok(Page::Records(entries, _)) => apply_records(&shared, &entries),
            Ok(Page::Truncated(first)) => {
                event!(Info, "log_truncated", first = first);
                lock(&shared.projection).skip_to(first.max(from));
            }
            Err(cause) => {
                if shared.log_up.swap(false, Ordering::Relaxed) {
                    event!(Warn, "log_down", reason = cause);
                }
                time::sleep(READ_RETRY_DELAY).await;
                continue;
            }
        }
        if !shared.log_up.swap(true, Ordering::Relaxed) {
            event!(Info, "log_up", next = from);
        }
        if clock::now() > pruned_at + PRUNE_INTERVAL {
            pruned_at = clock::now();
            lock(&shared.projection).ledger.prune(clock::unix_ms());
        }
    }
}

/// Applies records and notifies the tasks that wait for them.
fn apply_records(shared: &Shared, entries: &[Entry]) {
    let mut projection = lock(&shared.projection);
    let revision = projection.config.revision();
    for entry in entries {
        let outcome = projection.apply(entry);
        report_outcome(shared, entry, &outcome);
    }
    let state = projection.config.state();
    assert!(state.revision >= revision, "the revision never decreases");
    drop(projection);
    if state.revision > revision {
        shared.apply_config(&state);
    }
    if entries.is_empty() {
        shared.caught_up.store(true, Ordering::Relaxed);
    } else {
        shared.projection_updates.send_modify(|n| *n += 1);
    }
}

/// Counts the outcome of a record and logs changes and malformed records.
fn report_outcome(shared: &Shared, entry: &Entry, outcome: &Outcome) {
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
        Outcome::Rejected(reason) => {
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
        Outcome::Deferred => metrics::count(records, "unplaced"),
        Outcome::Malformed(reason) => {
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
pub async fn write_checkpoints(shared: Arc<Shared>) {
    let mut due_since: Option<Instant> = None;
    let mut written_at = clock::now();
    loop {
        time::sleep(CHECKPOINT_POLL_INTERVAL).await;
        let now = clock::now();
        let (revision, last_checkpoint) = {
            let projection = lock(&shared.projection);
            (projection.config.revision(), projection.last_checkpoint)
        };
        let has_many_changes = revision >= last_checkpoint + CHECKPOINT_CHANGES;
        let is_old = revision > 0 && now >= written_at + MAX_CHECKPOINT_AGE;
        if !shared.log_up.load(Ordering::Relaxed) || !(has_many_changes || is_old) {
            due_since = None;
            continue;
        }
        let due = *due_since.get_or_insert(now);
        if now < due + CHECKPOINT_STAGGER * checkpoint_rank(&shared) {
            continue;
        }
        written_at = now;
        due_since = None;
        append_checkpoint(&shared).await;
    }
}

/// Number of live entry hosts, in all data centres, that write this checkpoint before this one.
fn checkpoint_rank(shared: &Shared) -> u32 {
    let local_host: Host = shared.settings.place.host.clone();
    let revision = lock(&shared.projection).config.revision().to_le_bytes();
    let local_score = id::score(&revision, &local_host);
    let roster = lock(&shared.roster);
    let entries = roster.members.values().filter(|m| {
        m.role == i32::from(Role::Entry) && roster.health.health(&m.host) == Health::Alive
    });
    entries
        .filter(|m| id::score(&revision, &m.host) > local_score)
        .count() as u32
}

async fn append_checkpoint(shared: &Shared) {
    let Some(checkpoint) = lock(&shared.projection).make_checkpoint() else {
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
