//! Applies records of the platform's store, whether they come from the store or from a peer.

use {
    crate::{front::state::State, shared::lock},
    bytes::Bytes,
    jayspread_core::mirror::{Batch, Mirror, Position, Record},
    jayspread_net::{clock, event, panic},
    jayspread_platform::{
        record::{self, Change},
        store::Topic,
    },
    std::{
        collections::BTreeSet,
        fmt::Display,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
};

/// Time after the store came back from a copy for which engines that the copy lacks stay listed. They
/// write their entries again with their next beats.
const ERA_GRACE: Duration = Duration::from_secs(4);
/// Time from the start of this process, or from the end of an outage, for which a version that was
/// named at an unknown time leaves older ones in use. A host that does not know better must not allow
/// more: the version may be much older.
const UNKNOWN_AGE_GRACE: Duration = Duration::from_secs(3);

/// How this host came by records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store sent them as they were written.
    Changes,
    /// The store sent the newest ones of their keys, or those written while this host did not
    /// follow it: they are of unknown age.
    Snapshot,
    /// Another entry host sent them; they are of unknown age.
    Peer,
}

impl Source {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Source::Changes => "changes",
            Source::Snapshot => "snapshot",
            Source::Peer => "peer",
        }
    }
}

/// Name of a topic in logs.
pub fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "operator",
        Topic::Engines => "engines",
    }
}

/// Calls `visit` with the locked mirror of a topic.
pub fn with_mirror<T>(state: &State, topic: Topic, visit: impl FnOnce(&mut Mirror) -> T) -> T {
    let mut mirrors = lock(&state.mirrors);
    match topic {
        Topic::Engines => visit(&mut mirrors.engines),
        Topic::Operator => visit(&mut mirrors.operator),
    }
}

/// Next position in a topic; `None` before its first records.
pub fn next_position(state: &State, topic: Topic) -> Option<Position> {
    with_mirror(state, topic, |mirror| mirror.next())
}

/// Applies records of a topic; returns the number of changes. An engine that is removed is kept
/// until `grace_until`, if it is given, so that it can be listed again.
pub fn apply(
    state: &State,
    topic: Topic,
    batch: Batch,
    source: Source,
    grace_until: Option<Instant>,
) -> usize {
    let now = clock::now();
    let is_first = next_position(state, topic).is_none();
    let versions_named_at = match source {
        Source::Changes => Named::At(now),
        Source::Snapshot | Source::Peer => {
            let followed_since = if is_first { state.started } else { now };
            let limit = state.settings.bounds.rollout_limit;
            let earliest = (followed_since + UNKNOWN_AGE_GRACE).checked_sub(limit);
            let since = if is_first {
                Named::Since
            } else {
                Named::Missed
            };
            earliest.map_or(Named::At(now), since)
        }
    };
    let end = batch.end;
    let is_older = |key: &str, value: &Bytes, other: &Bytes| record::is_older(key, value, other);
    let applied = with_mirror(state, topic, |mirror| mirror.apply(batch, is_older, now));
    if applied.new_era {
        event!(
            Warn,
            "store_era",
            topic = topic_name(topic),
            era = end.era,
            offset = end.offset,
            changes = applied.changes.len()
        );
        state.metrics.store_era.set(end.era as i64);
    }
    let count = applied.changes.len();
    match topic {
        Topic::Operator => apply_operator(state, &applied.changes, versions_named_at),
        Topic::Engines if applied.new_era => {
            let grace_until = now + ERA_GRACE;
            apply_copied_engines(state, applied.changes, source, end.era, grace_until);
        }
        Topic::Engines => {
            let lists = Lists {
                source,
                era: end.era,
                doubted_until: None,
                grace_until,
            };
            apply_engines(state, applied.changes, lists);
        }
    }
    count
}

impl State {
    /// Drops what stayed in force after the store came back from a copy and was not written again.
    pub fn expire_held(&self, now: Instant) {
        let expired = with_mirror(self, Topic::Operator, |mirror| mirror.expire_held(now));
        for record in &expired {
            event!(Warn, "record_not_written_again", key = record.key);
        }
        apply_operator(self, &expired, Named::At(now));
    }
}

/// Applies the list of engines as a copy of the store holds it: engines that it lacks are kept until
/// `grace_until`, and processes that were no longer listed do not come back by it before.
fn apply_copied_engines(
    state: &State,
    changes: Vec<Record>,
    source: Source,
    era: u64,
    grace_until: Instant,
) {
    let listed = changes.into_iter().filter(|r| r.value.is_some()).collect();
    let lacking = with_mirror(state, Topic::Engines, Mirror::release_held);
    let copied = Lists {
        source,
        era,
        doubted_until: Some(grace_until),
        grace_until: None,
    };
    apply_engines(state, listed, copied);
    let removed = Lists {
        source,
        era,
        doubted_until: None,
        grace_until: Some(grace_until),
    };
    apply_engines(state, lacking, removed);
}

/// When the versions in a batch of records were named.
#[derive(Debug, Clone, Copy)]
enum Named {
    /// About this time.
    At(Instant),
    /// At an unknown time, for which this is the earliest that counts.
    Since(Instant),
    /// The same, after this host had followed the store until some time before.
    Missed(Instant),
}

/// Applies changed records of the operator.
fn apply_operator(state: &State, changes: &[Record], named: Named) {
    if changes.is_empty() {
        return;
    }
    let mut evacuations_changed = false;
    for record in changes {
        let parse = || record::parse_change(&record.key, record.value.as_deref());
        let applied = panic::catch(|| parse().map(|change| apply_change(state, change, named)));
        match applied {
            Ok(Ok(changed)) => evacuations_changed |= changed,
            Ok(Err(cause)) => report_malformed(state, record, &cause),
            Err(panic) => report_malformed(state, record, &panic),
        }
    }
    if evacuations_changed {
        update_evacuations(state);
    }
    state.heartbeat_due.notify_one();
}

/// Applies one change; returns true if the set of evacuated data centres may have changed.
fn apply_change(state: &State, change: Change, named: Named) -> bool {
    match change {
        Change::Catalog(catalog) => {
            let mut current = lock(&state.catalog);
            let is_newer = current
                .as_ref()
                .is_none_or(|current| catalog.revision > current.revision);
            if is_newer {
                event!(
                    Info,
                    "configuration",
                    revision = catalog.revision,
                    routes = catalog.routes.values().map(Vec::len).sum::<usize>(),
                    keys = catalog.organisations_by_key.len()
                );
                state.metrics.revision.set(catalog.revision);
                *current = Some(catalog);
            }
            false
        }
        Change::Version { model, version } => {
            let mut targets = lock(&state.targets);
            let (is_newest, set_at, assumed) = match named {
                Named::At(at) => (targets.record(&model, version, at), at, false),
                Named::Since(at) => (targets.assume(&model, version, at), at, true),
                Named::Missed(at) => {
                    let now = clock::now();
                    (targets.miss(&model, version, at, now), at, true)
                }
            };
            drop(targets);
            if is_newest {
                event!(
                    Info,
                    "version_named",
                    model = model,
                    version = version,
                    age_ms = clock::now().saturating_duration_since(set_at).as_millis(),
                    assumed = assumed,
                    source = "records"
                );
            }
            false
        }
        Change::Evacuation {
            data_centre,
            active,
        } => {
            event!(Info, "evacuation", data_centre = data_centre, out = active);
            true
        }
        Change::Other => false,
    }
}

/// Recomputes the evacuated data centres from all records of the operator.
fn update_evacuations(state: &State) {
    let mirrors = lock(&state.mirrors);
    let present = mirrors.operator.values();
    let evacuated: BTreeSet<_> = present
        .filter_map(|(key, _)| record::evacuated_data_centre(key))
        .map(Into::into)
        .collect();
    lock(&state.engines).set_evacuated(evacuated);
}

/// How changes of the list of engines are applied.
#[derive(Debug, Clone, Copy)]
struct Lists {
    source: Source,
    /// Era of the records' offsets.
    era: u64,
    /// The records are those of an older copy; the time until which they are doubted.
    doubted_until: Option<Instant>,
    /// Time until which removed engines are kept, so that they can be listed again; without it, they
    /// are dropped at once.
    grace_until: Option<Instant>,
}

/// Applies changes of the list of engines, in the order of the log: of two processes at an address, the
/// one listed last runs there.
fn apply_engines(state: &State, mut changes: Vec<Record>, lists: Lists) {
    let now = clock::now();
    changes.sort_by_key(|record| record.offset);
    for record in &changes {
        let Some(value) = &record.value else {
            if lock(&state.engines).remove_listing(&record.key, lists.grace_until, now) {
                event!(
                    Info,
                    "engine_unlisted",
                    engine = record.key,
                    grace = lists.grace_until.is_some(),
                    source = lists.source.name()
                );
            }
            continue;
        };
        let position = Position {
            era: lists.era,
            offset: record.offset,
        };
        let regions = &state.settings.regions;
        let parse = || record::parse_engine(&record.key, value, position, regions);
        let applied =
            panic::catch(|| parse().map(|listing| list_engine(state, listing, lists, now)));
        let cause: &dyn Display = match &applied {
            Ok(Ok(())) => continue,
            Ok(Err(cause)) => cause,
            Err(panic) => panic,
        };
        report_malformed(state, record, cause);
        lock(&state.engines).remove_listing(&record.key, None, now);
    }
    state.has_engine_list.store(true, Ordering::Relaxed);
}

fn list_engine(
    state: &State,
    listing: jayspread_core::engine::Listing,
    lists: Lists,
    now: Instant,
) {
    let id = listing.id.clone();
    let (address, draining) = (listing.address, listing.draining);
    let version = listing.loaded.as_ref().map_or(0, |loaded| loaded.version);
    let cold_ms = listing.cold_remaining.as_millis();
    let service = listing.service.clone();
    let added = {
        let mut table = lock(&state.engines);
        match lists.doubted_until {
            Some(until) => table.add_copied_listing(listing, until, now),
            None => Some(table.add_listing(listing, now)),
        }
    };
    let Some(is_new) = added else {
        event!(Info, "engine_listed_by_copy", engine = id, used = false);
        return;
    };
    event!(
        Info,
        "engine_listed",
        engine = id,
        new = is_new,
        service = service,
        address = address,
        draining = draining,
        version = version,
        cold_ms = cold_ms,
        source = lists.source.name()
    );
}

fn report_malformed(state: &State, record: &Record, cause: &dyn Display) {
    state.metrics.malformed_records.inc();
    event!(
        Warn,
        "record_unreadable",
        key = record.key,
        offset = record.offset,
        reason = cause
    );
}
