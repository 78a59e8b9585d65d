//! Following the log, and writing checkpoints now and then.

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

/// Longest wait of one read for records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Changes after which a checkpoint is due.
const CHECKPOINT_CHANGES: u64 = 64;
/// Time after which a checkpoint is due when anything has changed.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(60);
/// Time that each entry host waits for those before it to write the checkpoint.
const CHECKPOINT_STAGGER: Duration = Duration::from_secs(2);
/// Interval of looking whether a checkpoint is due.
const CHECKPOINT_POLL: Duration = Duration::from_millis(500);
/// Interval of forgetting old claims.
const PRUNE_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the log until aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut pruned = clock::now();
    loop {
        let from = lock(&shared.projection).next_offset;
        let steady = shared.caught_up.load(Ordering::Relaxed);
        let wait = match steady && shared.log_up.load(Ordering::Relaxed) {
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
        if clock::now() > pruned + PRUNE_INTERVAL {
            pruned = clock::now();
            lock(&shared.projection).ledger.prune(clock::unix_ms());
        }
    }
}

/// Applies records and tells those who wait for them.
fn apply_records(shared: &Shared, entries: &[Entry]) {
    let mut journal = lock(&shared.projection);
    let before = journal.config.revision();
    for entry in entries {
        let outcome = journal.apply(entry);
        log_outcome(shared, entry, &outcome);
    }
    let state = journal.config.state();
    assert!(state.revision >= before, "configuration reverts");
    drop(journal);
    if state.revision > before {
        shared.apply_config(&state);
    }
    if entries.is_empty() {
        shared.caught_up.store(true, Ordering::Relaxed);
    } else {
        shared.projection_updates.send_modify(|n| *n += 1);
    }
}

fn log_outcome(shared: &Shared, entry: &Entry, outcome: &Outcome) {
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
    let mut written = clock::now();
    loop {
        time::sleep(CHECKPOINT_POLL).await;
        let now = clock::now();
        let (revision, last) = {
            let journal = lock(&shared.projection);
            (journal.config.revision(), journal.last_checkpoint)
        };
        let many = revision >= last + CHECKPOINT_CHANGES;
        let old = revision > 0 && now >= written + MAX_CHECKPOINT_AGE;
        if !shared.log_up.load(Ordering::Relaxed) || !(many || old) {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        if now < since + CHECKPOINT_STAGGER * checkpoint_rank(&shared) {
            continue;
        }
        written = now;
        due_since = None;
        append_checkpoint(&shared).await;
    }
}

/// Entry hosts of all data centres whose turn comes before this one's.
fn checkpoint_rank(shared: &Shared) -> u32 {
    let me: Host = shared.settings.place.host.clone();
    let revision = lock(&shared.projection).config.revision().to_le_bytes();
    let own = id::score(&revision, &me);
    let roster = lock(&shared.roster);
    let entries = roster.members.values().filter(|m| {
        m.role == i32::from(Role::Entry) && roster.health.health(&m.host) == Health::Alive
    });
    entries
        .filter(|m| id::score(&revision, &m.host) > own)
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
