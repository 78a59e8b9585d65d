//! Follows the platform's store: configuration, model versions, evacuations and the list of
//! engines.
//!
//! One long poll per topic waits for changes, which keeps the number of calls to the store low. A
//! stalled connection is detected when a peer reports a larger offset than this host has.

use {
    crate::{
        front::{gossip, state::State},
        metrics,
        shared::lock,
    },
    bytes::Bytes,
    jayspread_core::{
        mirror::{Batch, Mirror, Position, Record},
        placement::LISTING_GRACE,
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error,
        record::{self, Change},
        store::{Client, Read, Topic},
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time after the store came back from a copy for which engines that the copy lacks stay listed. They
/// write their entries again with their next beats.
const ERA_GRACE: Duration = Duration::from_secs(4);
/// Maximum wait of one long poll.
const POLL_WAIT: Duration = Duration::from_millis(15_000);
/// Pause before the next read of the list of engines, so that changes in quick succession take one
/// call.
const BATCH_DELAY: Duration = Duration::from_millis(800);
/// Backoff after the first failed call; it grows by this much with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time after startup during which a host waits to obtain records from peers of its region.
const STARTUP_WAIT: Duration = Duration::from_millis(250);
/// Time without any records after which a host reads the store even if it is not one of the
/// readers.
const MAX_EMPTY_TIME: Duration = Duration::from_millis(2_500);
/// Time for which enough peers must read the store before this host stops reading it.
const HANDOVER_DELAY: Duration = Duration::from_millis(2_000);
/// Interval between checks whether this host should read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while the host has no records.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time that a read may lag behind a peer before its connection is abandoned.
const MAX_LAG: Duration = Duration::from_millis(300);

/// Time from the start of this process, or from the end of an outage, for which a version that was
/// named at an unknown time leaves older ones in use. A host that does not know better must not allow
/// more: the version may be much older.
const UNKNOWN_AGE_GRACE: Duration = Duration::from_secs(3);

/// How this host came by records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// They arrived as they were written.
    Changes,
    /// They are the newest ones of their keys, or were written while this host did not follow the
    /// store: they are of unknown age.
    Snapshot,
}

/// Follows one topic.
struct Watch {
    state: Arc<State>,
    topic: Topic,
    client: Client,
    /// Time of the first of consecutive failed calls, and their number.
    outage: Option<(Instant, u32)>,
    /// The store no longer has the records at the next offset.
    truncated: bool,
}

/// Follows a topic until the task is aborted.
pub async fn run(state: Arc<State>, topic: Topic) {
    let client = Client::new(state.settings.store_address);
    let mut watch = Watch {
        state,
        topic,
        client,
        outage: None,
        truncated: false,
    };
    watch.wait_for_peers().await;
    loop {
        watch.wait_for_turn().await;
        if next_position(&watch.state, topic).is_none() || watch.truncated {
            watch.load_snapshot().await;
        }
        watch.follow().await;
    }
}

impl Watch {
    /// After startup, waits a short time for records from peers of the region.
    async fn wait_for_peers(&self) {
        let deadline = self.state.started + STARTUP_WAIT;
        while clock::now() < deadline && next_position(&self.state, self.topic).is_none() {
            time::sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Waits until this host is one of the readers of the store, or has received no records for
    /// too long.
    async fn wait_for_turn(&self) {
        let since = clock::now();
        while !self.state.reads_store() {
            let is_empty = next_position(&self.state, self.topic).is_none();
            if is_empty && clock::now() >= since + MAX_EMPTY_TIME {
                return;
            }
            let interval = if is_empty {
                STARTUP_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            };
            time::sleep(interval).await;
        }
        event!(Info, "reads_store", topic = topic_name(self.topic));
    }

    /// Reads the newest record of each key; retries until it succeeds or peers provide the records.
    async fn load_snapshot(&mut self) {
        loop {
            let started = clock::now();
            match self.client.newest(self.topic).await {
                Ok(batch) => {
                    let elapsed = clock::now().saturating_duration_since(started);
                    self.state
                        .metrics
                        .store_seconds
                        .observe(elapsed.as_secs_f64());
                    self.on_success();
                    self.truncated = false;
                    self.apply(batch, Source::Snapshot);
                    return;
                }
                Err(cause) => self.on_failure(&cause).await,
            }
            let has_records = next_position(&self.state, self.topic).is_some();
            if has_records && !self.truncated && !self.state.reads_store() {
                return;
            }
        }
    }

    /// Reads changes until the next offset is no longer available or enough peers read the store.
    async fn follow(&mut self) {
        loop {
            let from = next_position(&self.state, self.topic)
                .unwrap_or_default()
                .offset;
            // After a failure, do not wait for changes: any response shows that the store is
            // reachable.
            let wait = if self.outage.is_some() {
                Duration::ZERO
            } else {
                POLL_WAIT
            };
            let read = tokio::select! {
                read = self.client.read(self.topic, from, wait) => Some(read),
                () = lags_behind_peer(&self.state, self.topic) => None,
                () = enough_readers(&self.state) => {
                    event!(Info, "stops_reading_store", topic = topic_name(self.topic));
                    self.clear_outage();
                    return;
                }
            };
            match read {
                Some(Ok(Read::Batch(batch))) => {
                    let source = match self.outage {
                        Some(_) => Source::Snapshot,
                        None => Source::Changes,
                    };
                    self.on_success();
                    let end = batch.end;
                    if with_mirror(&self.state, self.topic, |m| m.needs_complete(end)) {
                        self.truncated = true;
                        return;
                    }
                    let changed = self.apply(batch, source) > 0;
                    if self.topic == Topic::Engines && changed {
                        time::sleep(BATCH_DELAY).await;
                    }
                }
                Some(Ok(Read::Truncated)) => {
                    event!(
                        Warn,
                        "store_offset_unavailable",
                        topic = topic_name(self.topic),
                        from = from
                    );
                    self.truncated = true;
                    return;
                }
                Some(Err(cause)) => self.on_failure(&cause).await,
                None => {
                    event!(
                        Info,
                        "store_read_stalled",
                        topic = topic_name(self.topic),
                        from = from
                    );
                    self.client = Client::new(self.state.settings.store_address);
                }
            }
        }
    }

    fn on_success(&mut self) {
        metrics::count(&self.state.metrics.store_calls, "ok");
        let Some((since, failed_calls)) = self.clear_outage() else {
            return;
        };
        let now = clock::now();
        *lock(&self.state.grace_until) = Some(now + LISTING_GRACE);
        event!(
            Info,
            "store_recovered",
            topic = topic_name(self.topic),
            after_ms = now.saturating_duration_since(since).as_millis(),
            failed_calls = failed_calls
        );
    }

    /// Ends an outage and returns its start and the number of failed calls.
    fn clear_outage(&mut self) -> Option<(Instant, u32)> {
        let outage = self.outage.take()?;
        self.state.failing_topics.fetch_sub(1, Ordering::Relaxed);
        gossip::tell_region(&self.state);
        Some(outage)
    }

    async fn on_failure(&mut self, cause: &Error) {
        metrics::count(&self.state.metrics.store_calls, cause.name());
        let (_, failed_calls) = self.outage.get_or_insert((clock::now(), 0));
        *failed_calls += 1;
        let failed_calls = *failed_calls;
        if failed_calls == 1 {
            self.state.failing_topics.fetch_add(1, Ordering::Relaxed);
            gossip::tell_region(&self.state);
            event!(
                Warn,
                "store_lost",
                topic = topic_name(self.topic),
                reason = cause
            );
        }
        let backoff = (MIN_BACKOFF * failed_calls.min(10)).min(MAX_BACKOFF);
        time::sleep(backoff).await;
    }

    /// Applies records that the store has sent and passes on the news; returns the number of changes.
    fn apply(&self, batch: Batch, source: Source) -> usize {
        let grace_until = self
            .state
            .remaining_grace()
            .map(|remaining| clock::now() + remaining);
        let changes = apply(&self.state, self.topic, batch, source, grace_until);
        if changes > 0 {
            gossip::pass_on_news(&self.state, &self.state.settings.host);
        }
        changes
    }
}

/// Completes when enough peers of this region have read the store for [`HANDOVER_DELAY`].
async fn enough_readers(state: &State) {
    let mut since = None;
    loop {
        if state.reads_store() {
            since = None;
        } else if clock::now() >= *since.get_or_insert_with(clock::now) + HANDOVER_DELAY {
            return;
        }
        time::sleep(HANDOVER_DELAY / 4).await;
    }
}

/// Completes when a peer has been ahead in this topic for [`MAX_LAG`].
async fn lags_behind_peer(state: &State, topic: Topic) {
    let mut peer_offsets = state.peer_offsets.subscribe();
    loop {
        let peer_position = peer_offsets.borrow_and_update().get(topic);
        if state.position(topic) < peer_position {
            time::sleep(MAX_LAG).await;
            if state.position(topic) < peer_position {
                return;
            }
        }
        if peer_offsets.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "operator",
        Topic::Engines => "engines",
    }
}

/// Calls `visit` with the locked mirror of a topic.
fn with_mirror<T>(state: &State, topic: Topic, visit: impl FnOnce(&mut Mirror) -> T) -> T {
    let mut mirrors = lock(&state.mirrors);
    match topic {
        Topic::Engines => visit(&mut mirrors.engines),
        Topic::Operator => visit(&mut mirrors.operator),
    }
}

fn next_position(state: &State, topic: Topic) -> Option<Position> {
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
        Source::Snapshot => {
            let followed_since = if is_first { state.started } else { now };
            let limit = state.settings.bounds.rollout_limit;
            let earliest = (followed_since + UNKNOWN_AGE_GRACE).checked_sub(limit);
            earliest.map_or(Named::At(now), Named::Since)
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
    match topic {
        Topic::Operator => apply_operator(state, &applied.changes, versions_named_at),
        Topic::Engines if applied.new_era => {
            apply_copied_engines(state, &applied.changes, now + ERA_GRACE);
        }
        Topic::Engines => apply_engines(state, &applied.changes, grace_until),
    }
    applied.changes.len()
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
/// `grace_until`, and those that were removed before do not come back by it.
fn apply_copied_engines(state: &State, changes: &[Record], grace_until: Instant) {
    let listed = changes.iter().filter(|record| record.value.is_some());
    let (departed, listed): (Vec<Record>, Vec<Record>) = listed
        .cloned()
        .partition(|record| lock(&state.engines).has_departed(&record.key));
    for record in departed {
        event!(Info, "engine_listed_by_copy", engine = record.key);
    }
    let lacking = with_mirror(state, Topic::Engines, Mirror::release_held);
    apply_engines(state, &listed, None);
    apply_engines(state, &lacking, Some(grace_until));
}

/// When the versions in a batch of records were named.
#[derive(Debug, Clone, Copy)]
enum Named {
    /// About this time.
    At(Instant),
    /// At an unknown time, for which this is the earliest that counts.
    Since(Instant),
}

/// Applies changed records of the operator.
fn apply_operator(state: &State, changes: &[Record], named: Named) {
    if changes.is_empty() {
        return;
    }
    let mut evacuations_changed = false;
    for record in changes {
        match record::parse_change(&record.key, record.value.as_deref()) {
            Ok(change) => evacuations_changed |= apply_change(state, change, named),
            Err(cause) => report_malformed(state, record, &cause),
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

/// Applies changes of the list of engines. A removed engine is kept until `grace_until`, if it is
/// given, so that it can be listed again; otherwise it is dropped at once.
fn apply_engines(state: &State, changes: &[Record], grace_until: Option<Instant>) {
    let now = clock::now();
    for record in changes {
        let Some(value) = &record.value else {
            if lock(&state.engines).remove_listing(&record.key, grace_until, now) {
                event!(
                    Info,
                    "engine_unlisted",
                    engine = record.key,
                    grace = grace_until.is_some()
                );
            }
            continue;
        };
        match record::parse_engine(&record.key, value, &state.settings.regions) {
            Ok(listing) => list_engine(state, listing, now),
            Err(cause) => {
                report_malformed(state, record, &cause);
                lock(&state.engines).remove_listing(&record.key, None, now);
            }
        }
    }
    state.has_engine_list.store(true, Ordering::Relaxed);
}

fn list_engine(state: &State, listing: jayspread_core::engine::Listing, now: Instant) {
    let id = listing.id.clone();
    let (address, draining) = (listing.address, listing.draining);
    let version = listing.loaded.as_ref().map_or(0, |loaded| loaded.version);
    let cold_ms = listing.cold_remaining.as_millis();
    let service = listing.service.clone();
    let is_new = lock(&state.engines).add_listing(listing, now);
    event!(
        Info,
        "engine_listed",
        engine = id,
        new = is_new,
        service = service,
        address = address,
        draining = draining,
        version = version,
        cold_ms = cold_ms
    );
}

fn report_malformed(state: &State, record: &Record, cause: &Error) {
    state.metrics.malformed_records.inc();
    event!(
        Warn,
        "record_unreadable",
        key = record.key,
        offset = record.offset,
        reason = cause
    );
}
