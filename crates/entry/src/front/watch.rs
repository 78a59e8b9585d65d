//! Follows the platform's store: configuration, versions, evacuations and the list of engines.
//!
//! One long read per topic waits for changes, so that calls are few. A connection that has gone
//! silent is noticed when a peer has seen more than this host.

use {
    crate::{front::site::Site, metrics, shared::lock},
    jayspread_core::placement::LISTING_GRACE,
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error,
        record::{self, Change},
        store::{Client, Read, Record, Topic},
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Wait of one long read.
const WAIT: Duration = Duration::from_millis(15_000);
/// Pause before the list of engines is read on, so that changes that come together cost one call.
const GATHER: Duration = Duration::from_millis(800);
/// Pause after the first failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);
/// Time after the start in which a host waits for others of its region.
const MEETING: Duration = Duration::from_millis(250);
/// Time without any records after which a host reads the store whoever else does.
const EMPTY_MAX: Duration = Duration::from_millis(2_500);
/// Time for which others must read the store before a host leaves it to them.
const STEADY: Duration = Duration::from_millis(2_000);
/// Pause between two looks at who reads the store.
const LOOK: Duration = Duration::from_millis(25);
/// Time that a read may lag behind a peer before its connection is given up.
const LAG: Duration = Duration::from_millis(300);

/// One topic being followed.
struct Watch {
    site: Arc<Site>,
    topic: Topic,
    client: Client,
    /// Time since which calls fail, and calls that failed.
    lost: Option<(Instant, u32)>,
    /// The history that was to be read on is gone.
    gone: bool,
}

/// Follows a topic until the task is aborted.
pub async fn run(site: Arc<Site>, topic: Topic) {
    let client = Client::new(site.settings.store_address);
    let mut watch = Watch {
        site,
        topic,
        client,
        lost: None,
        gone: false,
    };
    watch.begin().await;
    loop {
        watch.wait_for_turn().await;
        if mirror(&watch.site, topic, |m| m.end()).is_none() || watch.gone {
            watch.newest().await;
        }
        watch.follow().await;
    }
}

impl Watch {
    /// Lets a host that has just started meet the others of its region, which may have the records.
    async fn begin(&self) {
        let until = self.site.started + MEETING;
        while clock::now() < until && mirror(&self.site, self.topic, |m| m.end()).is_none() {
            time::sleep(LOOK).await;
        }
    }

    /// Waits until this host is one of those that read the store, or has waited in vain for records
    /// from them.
    async fn wait_for_turn(&self) {
        let since = clock::now();
        while !self.site.reads_store() {
            let empty = mirror(&self.site, self.topic, |m| m.end()).is_none();
            if empty && clock::now() >= since + EMPTY_MAX {
                return;
            }
            time::sleep(LOOK).await;
        }
        event!(Info, "reads_store", topic = name(self.topic));
    }

    /// Reads the newest records until that succeeds.
    async fn newest(&mut self) {
        loop {
            let began = clock::now();
            match self.client.newest(self.topic).await {
                Ok(batch) => {
                    let took = clock::now().saturating_duration_since(began);
                    self.site.metrics.store_time.observe(took.as_secs_f64());
                    self.succeeded();
                    self.gone = false;
                    let news = mirror(&self.site, self.topic, |m| m.replace(batch));
                    self.apply(&news);
                    return;
                }
                Err(cause) => self.failed(&cause).await,
            }
            let known = mirror(&self.site, self.topic, |m| m.end()).is_some();
            if known && !self.gone && !self.site.reads_store() {
                return;
            }
        }
    }

    /// Reads on until the history is lost or others read the store.
    async fn follow(&mut self) {
        loop {
            let from = mirror(&self.site, self.topic, |m| m.end()).unwrap_or(0);
            // After a failure the first answer is wanted at once: it tells that the store is back.
            let wait = if self.lost.is_some() {
                Duration::ZERO
            } else {
                WAIT
            };
            let read = tokio::select! {
                read = self.client.read(self.topic, from, wait) => Some(read),
                () = lagging(&self.site, self.topic) => None,
                () = relieved(&self.site) => {
                    event!(Info, "leaves_store", topic = name(self.topic));
                    self.found();
                    return;
                }
            };
            match read {
                Some(Ok(Read::Batch(batch))) => {
                    self.succeeded();
                    let news = mirror(&self.site, self.topic, |m| m.apply(batch));
                    self.apply(&news);
                    if self.topic == Topic::Engines && !news.is_empty() {
                        time::sleep(GATHER).await;
                    }
                }
                Some(Ok(Read::Truncated)) => {
                    event!(Warn, "history_lost", topic = name(self.topic), from = from);
                    self.gone = true;
                    return;
                }
                Some(Err(cause)) => self.failed(&cause).await,
                None => {
                    event!(Info, "read_lags", topic = name(self.topic), from = from);
                    self.client = Client::new(self.site.settings.store_address);
                }
            }
        }
    }

    fn succeeded(&mut self) {
        metrics::count(&self.site.metrics.store, "ok");
        let Some((since, calls)) = self.found() else {
            return;
        };
        let now = clock::now();
        *lock(&self.site.lenient_until) = Some(now + LISTING_GRACE);
        event!(
            Info,
            "store_regained",
            topic = name(self.topic),
            after_ms = now.saturating_duration_since(since).as_millis(),
            failed_calls = calls
        );
    }

    /// Forgets failures.
    fn found(&mut self) -> Option<(Instant, u32)> {
        let lost = self.lost.take()?;
        self.site.topics_lost.fetch_sub(1, Ordering::Relaxed);
        self.site.news.notify_one();
        Some(lost)
    }

    async fn failed(&mut self, cause: &Error) {
        metrics::count(&self.site.metrics.store, cause.name());
        let (_, calls) = self.lost.get_or_insert((clock::now(), 0));
        *calls += 1;
        let calls = *calls;
        if calls == 1 {
            self.site.topics_lost.fetch_add(1, Ordering::Relaxed);
            self.site.news.notify_one();
            event!(Warn, "store_lost", topic = name(self.topic), reason = cause);
        }
        let pause = (BACKOFF_MIN * calls.min(10)).min(BACKOFF_MAX);
        time::sleep(pause).await;
    }

    fn apply(&self, news: &[Record]) {
        match self.topic {
            Topic::Operator => operator(&self.site, news),
            Topic::Engines => {
                let grace = self.site.lenience().map(|left| clock::now() + left);
                engines(&self.site, news, grace);
            }
        }
    }
}

/// Waits until enough others of this region read the store.
async fn relieved(site: &Site) {
    let mut since = None;
    loop {
        if site.reads_store() {
            since = None;
        } else if clock::now() >= *since.get_or_insert_with(clock::now) + STEADY {
            return;
        }
        time::sleep(STEADY / 4).await;
    }
}

/// Waits until a peer has been ahead in this topic for longer than a read may take.
async fn lagging(site: &Site, topic: Topic) {
    let mut ahead = site.ahead.subscribe();
    loop {
        let end = ahead.borrow_and_update().of(topic);
        if mirror(site, topic, |m| m.end()).unwrap_or(0) < end {
            time::sleep(LAG).await;
            if mirror(site, topic, |m| m.end()).unwrap_or(0) < end {
                return;
            }
        }
        if ahead.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "operator",
        Topic::Engines => "engines",
    }
}

/// Uses the mirror of a topic.
pub fn mirror<T>(
    site: &Site,
    topic: Topic,
    using: impl FnOnce(&mut crate::front::mirror::Mirror) -> T,
) -> T {
    let mut mirrors = lock(&site.mirrors);
    match topic {
        Topic::Engines => using(&mut mirrors.engines),
        Topic::Operator => using(&mut mirrors.operator),
    }
}

/// Brings the operator's records into force.
pub fn operator(site: &Site, news: &[Record]) {
    if news.is_empty() {
        return;
    }
    let mut moved = false;
    for record in news {
        match record::parse_change(&record.key, record.value.as_deref()) {
            Ok(order) => moved |= obey(site, order),
            Err(cause) => unreadable(site, record, &cause),
        }
    }
    if moved {
        evacuate(site);
    }
    site.news.notify_one();
}

/// Carries one order out; true when the evacuations may have changed.
fn obey(site: &Site, order: Change) -> bool {
    match order {
        Change::Catalog(catalog) => {
            let mut current = lock(&site.catalog);
            let newer = current
                .as_ref()
                .is_none_or(|c| catalog.revision > c.revision);
            if newer {
                event!(
                    Info,
                    "configuration",
                    revision = catalog.revision,
                    routes = catalog.routes.values().map(Vec::len).sum::<usize>(),
                    keys = catalog.tenants_by_key.len()
                );
                site.metrics.revision.set(catalog.revision);
                *current = Some(catalog);
            }
            false
        }
        Change::Version { model, version } => {
            if lock(&site.targets).record(&model, version, clock::now()) {
                event!(Info, "version_named", model = model, version = version);
            }
            false
        }
        Change::Evacuation {
            data_centre,
            active: out,
        } => {
            event!(Info, "evacuation", data_centre = data_centre, out = out);
            true
        }
        Change::Other => false,
    }
}

/// Takes the evacuated data centres over from all records.
fn evacuate(site: &Site) {
    let mirrors = lock(&site.mirrors);
    let present = mirrors.operator.values();
    let evacuated: BTreeSet<_> = present
        .filter_map(|(key, _)| record::evacuated_data_centre(key))
        .map(Into::into)
        .collect();
    lock(&site.table).set_evacuated(evacuated);
}

/// Takes changes of the list of engines.
pub fn engines(site: &Site, news: &[Record], grace: Option<Instant>) {
    let now = clock::now();
    for record in news {
        let Some(value) = &record.value else {
            if lock(&site.table).remove_listing(&record.key, grace) {
                event!(
                    Info,
                    "engine_unlisted",
                    engine = record.key,
                    lenient = grace.is_some()
                );
            }
            continue;
        };
        match record::parse_engine(&record.key, value, &site.settings.regions) {
            Ok(listing) => list(site, listing, now),
            Err(cause) => {
                unreadable(site, record, &cause);
                lock(&site.table).remove_listing(&record.key, None);
            }
        }
    }
    site.listed.store(true, Ordering::Relaxed);
    site.news.notify_one();
}

fn list(site: &Site, listing: jayspread_core::engine::Listing, now: Instant) {
    let id = listing.id.clone();
    let (address, draining) = (listing.address, listing.draining);
    let version = listing.loaded.as_ref().map_or(0, |l| l.version);
    let cold = listing.cold_remaining.as_millis();
    let service = listing.service.clone();
    let fresh = lock(&site.table).add_listing(listing, now);
    event!(
        Info,
        "engine_listed",
        engine = id,
        fresh = fresh,
        service = service,
        address = address,
        draining = draining,
        version = version,
        cold_ms = cold
    );
}

fn unreadable(site: &Site, record: &Record, cause: &Error) {
    site.metrics.unreadable.inc();
    event!(
        Warn,
        "record_unreadable",
        key = record.key,
        offset = record.offset,
        reason = cause
    );
}
