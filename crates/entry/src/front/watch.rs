//! Follows the platform's store: configuration, model versions, evacuations and the list of
//! engines.
//!
//! One long poll per topic waits for changes, which keeps the number of calls to the store low. It
//! ends early enough that a store or a connection that has gone silent is noticed in time, and at
//! once when a peer reports a larger offset than this host has.

use {
    crate::{
        front::{
            gossip,
            records::{self, Source, next_position, topic_name, with_mirror},
            state::State,
        },
        metrics,
        shared::lock,
    },
    jayspread_core::{mirror::Batch, placement::LISTING_GRACE, reader::Pace},
    jayspread_net::{channel, clock, event},
    jayspread_platform::{
        Error,
        store::{Client, Read, Topic},
    },
    std::{
        io,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time for the answer to a read that does not wait for changes.
const ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Number of consecutive failed calls up to which each is told to the region; a datagram may be
/// lost.
const TOLD_FAILURES: u32 = 2;
/// Backoff after the first failed call; it grows by this much with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time without answers, in beats of the engines, from which the entry of a live engine may have
/// expired: entries do after three beats, and the last one may be a beat older than the outage.
const EXPIRY_BEATS: u32 = 2;
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

/// Follows one topic.
struct Watch {
    state: Arc<State>,
    topic: Topic,
    client: Client,
    /// The next read does not wait for changes, so that its answer shows at once whether the store
    /// can be reached.
    check_now: bool,
    /// The last read was abandoned because a peer was ahead.
    stalled: bool,
    /// Time of the first of consecutive failed calls, and their number.
    outage: Option<(Instant, u32)>,
    /// Arrival of the last answer.
    answered_at: Instant,
    /// The store no longer has the records at the next offset.
    truncated: bool,
    /// The last read succeeded, and this host has read the topic since. Otherwise the next records
    /// may have been written at any time.
    follows: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.outage.is_some() {
            self.state.failing_topics.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Follows a topic until the task is aborted.
pub async fn run(state: Arc<State>, topic: Topic) {
    let client = Client::new(state.settings.store_address);
    let mut watch = Watch {
        state,
        topic,
        client,
        check_now: false,
        answered_at: clock::now(),
        stalled: false,
        outage: None,
        truncated: false,
        follows: false,
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
            tokio::select! {
                () = time::sleep(interval) => {}
                () = self.state.readers_changed.notified() => {}
            }
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
                    self.follows = true;
                    self.apply(batch, Source::Snapshot);
                    return;
                }
                Err(cause) => self.on_failure(&cause, Some(started)).await,
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
            let rank = self.state.reader_rank();
            let pace = Pace::new(self.state.settings.bounds.news_limit, rank);
            // After a failure, do not wait for changes: any response shows that the store is
            // reachable. The same after a time without reads, so that what was written in it is not
            // taken for news.
            let (wait, answer_time) = if self.check_now {
                (Duration::ZERO, pace.answer_time)
            } else if self.follows {
                (pace.poll_wait, pace.answer_time)
            } else {
                (Duration::ZERO, ANSWER_TIME)
            };
            self.check_now = false;
            let is_lost = self.outage.is_some();
            let started = clock::now();
            let read = tokio::select! {
                read = self.client.read(self.topic, from, wait, answer_time) => Some(read),
                // While the store fails, a peer is ahead for as long as that lasts.
                () = lags_behind_peer(&self.state, self.topic), if !is_lost => None,
                () = precedes_readers(&self.state), if rank > 0 => {
                    self.client = Client::new(self.state.settings.store_address);
                    self.check_now = true;
                    continue;
                }
                () = enough_readers(&self.state) => {
                    event!(Info, "stops_reading_store", topic = topic_name(self.topic));
                    self.clear_outage();
                    self.follows = false;
                    return;
                }
            };
            match read {
                Some(Ok(Read::Batch(batch))) => {
                    let source = if self.follows {
                        Source::Changes
                    } else {
                        Source::Snapshot
                    };
                    self.follows = true;
                    self.on_success();
                    let end = batch.end;
                    if with_mirror(&self.state, self.topic, |m| m.needs_complete(end)) {
                        self.truncated = true;
                        return;
                    }
                    let changed = self.apply(batch, source) > 0;
                    if self.topic == Topic::Engines && changed {
                        time::sleep(pace.batch_delay).await;
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
                Some(Err(cause)) => self.on_failure(&cause, Some(started)).await,
                None => self.on_stall(from).await,
            }
        }
    }

    /// Abandons a connection on which the store has not sent what a peer has. If a new connection
    /// stalls as well, the store does not answer this host.
    async fn on_stall(&mut self, from: u64) {
        event!(
            Info,
            "store_read_stalled",
            topic = topic_name(self.topic),
            from = from
        );
        self.client = Client::new(self.state.settings.store_address);
        if std::mem::replace(&mut self.stalled, true) {
            let cause = channel::Error::Broken(io::ErrorKind::TimedOut.into());
            // A peer has what the store did not send here: that is no disruption of the store.
            self.on_failure(&cause.into(), None).await;
        }
    }

    fn on_success(&mut self) {
        self.stalled = false;
        metrics::count(&self.state.metrics.store_calls, "ok");
        let now = clock::now();
        let answered_at = std::mem::replace(&mut self.answered_at, now);
        let Some((since, failed_calls)) = self.clear_outage() else {
            return;
        };
        let unanswered = now.saturating_duration_since(answered_at);
        if unanswered >= self.state.settings.bounds.beat_interval * EXPIRY_BEATS {
            *lock(&self.state.grace_until) = Some(now + LISTING_GRACE);
        }
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

    /// Handles a failed call, which began at `started` if it may show a disruption of the store.
    async fn on_failure(&mut self, cause: &Error, started: Option<Instant>) {
        self.follows = false;
        metrics::count(&self.state.metrics.store_calls, cause.name());
        let (_, failed_calls) = self.outage.get_or_insert((clock::now(), 0));
        *failed_calls += 1;
        let failed_calls = *failed_calls;
        if failed_calls == 1 {
            self.state.failing_topics.fetch_add(1, Ordering::Relaxed);
        }
        // The first failure may be due to the connection.
        if let Some(started) = started.filter(|_| failed_calls > 1) {
            self.state.note_store_failure(cause, started);
        }
        if failed_calls <= TOLD_FAILURES {
            gossip::tell_region(&self.state);
        }
        if failed_calls == 1 {
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
        let changes = records::apply(&self.state, self.topic, batch, source, grace_until);
        if changes > 0 {
            gossip::pass_on_news(&self.state, &self.state.settings.host);
            gossip::tell_other_regions(&self.state);
        }
        changes
    }
}

/// Completes when this host is the first of its region that the store answers.
async fn precedes_readers(state: &State) {
    while state.reader_rank() > 0 {
        tokio::select! {
            () = time::sleep(CHECK_INTERVAL) => {}
            () = state.readers_changed.notified() => {}
        }
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
