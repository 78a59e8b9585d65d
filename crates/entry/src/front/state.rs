//! State shared by the tasks of an entry host on the platform.
//!
//! Lock order: `mirrors`, `catalog`, `stranded`, `targets`, `retry_budgets`, `longest_timeouts`,
//! `admissions`, `engines`, `quarantine`, `roster`, `peers`, `agents`, `census`, `pool`,
//! `pending_news`, `passed_on`, `backlog`, `observer`. A task holds at most two locks, taken in this
//! order, and none across an await.

use {
    crate::{
        front::{
            admission::Admission, connection::Shutdown, disruption::Observer, metrics::Metrics,
            peers::News, pool::Pool,
        },
        shared::lock,
    },
    jayspread_core::{
        backlog::Backlog,
        catalog::{Catalog, Route},
        census::Census,
        engine::{Engine, Place},
        id::{Host, Service},
        mirror::{Mirror, Position},
        placement::Table,
        quarantine::Ledger,
        reader,
        shutdown::{Schedule, Step},
        target::{Bound, Targets},
        window::Budget,
    },
    jayspread_net::{admin::View, clock, datagram::Socket, event, members::Roster, task::Health},
    jayspread_platform::{settings::Settings, store::Topic},
    jayspread_schema::peer::Role,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time,
    },
    tracing_appender::non_blocking::ErrorCounter,
};

/// A request whose timeout is below this percentage of the longest timeout seen on its route counts
/// as a caller's retry; the timeouts of first tries differ by less.
const CALLER_RETRY_PERCENT: u32 = 85;

/// Mirrors of the store topics that an entry host follows.
#[derive(Debug, Default)]
pub struct Mirrors {
    /// Records that the operator writes.
    pub operator: Mirror,
    /// List of engines.
    pub engines: Mirror,
}

/// Next position in each store topic: all records before it were applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Offsets {
    /// Next position in the operator's records.
    pub operator: Position,
    /// Next position in the list of engines.
    pub engines: Position,
}

impl Offsets {
    /// Whether `other` is ahead in any topic.
    pub fn is_behind(self, other: Self) -> bool {
        self.operator < other.operator || self.engines < other.engines
    }

    /// The larger position of each topic.
    pub fn max(self, other: Self) -> Self {
        Self {
            operator: self.operator.max(other.operator),
            engines: self.engines.max(other.engines),
        }
    }

    /// Next position in one topic.
    pub fn get(self, topic: Topic) -> Position {
        match topic {
            Topic::Operator => self.operator,
            Topic::Engines => self.engines,
        }
    }
}

/// An agent that reports to this host.
#[derive(Debug, Clone, Copy)]
pub struct Agent {
    /// IPv4 address of its host.
    pub address: Ipv4Addr,
    /// Whether it is in this host's region.
    pub is_regional: bool,
    /// Arrival time of its last report.
    pub reported_at: Instant,
}

/// Last heartbeat of another entry host.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// IPv4 address of the host.
    pub address: Ipv4Addr,
    /// Positions up to which it has applied the store's records.
    pub offsets: Offsets,
    /// Whether it cannot reach the store.
    pub store_unreachable: bool,
}

/// Shared state of an entry host.
pub struct State {
    /// Settings read at startup.
    pub settings: Settings,
    /// Region of this host.
    pub region: Box<str>,
    /// UDP socket for messages between processes.
    pub socket: Socket,
    /// Store records as applied.
    pub mirrors: Mutex<Mirrors>,
    /// Configuration in effect; `None` until the first one is known.
    pub catalog: Mutex<Option<Arc<Catalog>>>,
    /// Model versions that the operator has requested.
    pub targets: Mutex<Targets>,
    /// Retry budgets by service.
    pub(super) retry_budgets: Mutex<BTreeMap<Box<str>, Budget>>,
    /// Longest timeout that callers of each route have asked for, by route name.
    longest_timeouts: Mutex<BTreeMap<Box<str>, Duration>>,
    /// Admission of requests, by service.
    pub(super) admissions: Mutex<BTreeMap<Box<str>, Admission>>,
    /// Engines of all services, with their load and health.
    pub engines: Mutex<Table>,
    /// What is known of prompt parts that crash engines.
    pub quarantine: Mutex<Ledger>,
    /// Triggers the exchange of news of them.
    pub quarantine_due: Notify,
    /// Other processes that are known or send heartbeats.
    pub roster: Mutex<Roster>,
    /// Last known states of other entry hosts.
    pub peers: Mutex<BTreeMap<Host, Peer>>,
    /// Agents that report to this host.
    pub agents: Mutex<BTreeMap<Host, Agent>>,
    /// Services with a model that no engine of this region serves.
    pub stranded: Mutex<BTreeSet<Service>>,
    census: Mutex<Census>,
    /// Start time of this process.
    pub started: Instant,
    /// Idle connections to engines.
    pub pool: Mutex<Pool>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Health of the background tasks.
    pub tasks: Arc<Health>,
    /// Triggers an immediate heartbeat, because something that it reports has changed.
    pub heartbeat_due: Notify,
    /// Notifies that a peer has lost or regained the store, which may change who reads it.
    pub readers_changed: Notify,
    /// Largest positions that any peer has reported.
    pub peer_offsets: watch::Sender<Offsets>,
    /// Whether a fetch of records from peers is running.
    pub is_fetching: AtomicBool,
    /// What to fetch after it; one entry for each root, and one for news without.
    pub pending_news: Mutex<BTreeMap<Option<Host>, News>>,
    /// Positions of the last news that this host has passed on, by their root.
    pub passed_on: Mutex<BTreeMap<Host, Offsets>>,
    /// Number of store topics whose calls currently fail.
    pub failing_topics: AtomicUsize,
    /// End of the grace period after a store outage, during which engines missing from the list may
    /// be listed again.
    pub grace_until: Mutex<Option<Instant>>,
    /// Progress of the shutdown.
    pub shutdown: watch::Sender<Shutdown>,
    /// Times of the shutdown; set before `shutdown` tells of it.
    pub schedule: OnceLock<Schedule>,
    /// Whether the list of engines has been read at least once.
    pub has_engine_list: AtomicBool,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Number of callers' connections that have something in hand.
    pub in_hand: Arc<AtomicUsize>,
    /// Answers that callers have not taken yet.
    pub backlog: Mutex<Backlog>,
    /// What shows disruptions of the store, and how many engines are out of service.
    pub(super) observer: Mutex<Observer>,
    dropped_lines: ErrorCounter,
}

impl State {
    /// Creates the state of a process; `dropped_lines` counts log lines that could not be queued.
    pub fn new(settings: Settings, socket: Socket, dropped_lines: ErrorCounter) -> Arc<Self> {
        let now = clock::now();
        let seeds = settings.seeds.clone();
        let roster = Roster::new(&socket.identity, settings.regions.clone(), seeds, now);
        Arc::new(Self {
            region: settings.region(&settings.data_centre).into(),
            socket,
            mirrors: Mutex::default(),
            catalog: Mutex::default(),
            targets: Mutex::default(),
            retry_budgets: Mutex::default(),
            longest_timeouts: Mutex::default(),
            admissions: Mutex::default(),
            engines: Mutex::default(),
            quarantine: Mutex::default(),
            quarantine_due: Notify::new(),
            roster: Mutex::new(roster),
            peers: Mutex::default(),
            agents: Mutex::default(),
            stranded: Mutex::default(),
            census: Mutex::new(Census::new(now)),
            started: now,
            pool: Mutex::default(),
            metrics: Metrics::default(),
            tasks: Arc::default(),
            heartbeat_due: Notify::new(),
            readers_changed: Notify::new(),
            peer_offsets: watch::Sender::default(),
            is_fetching: AtomicBool::new(false),
            pending_news: Mutex::default(),
            passed_on: Mutex::default(),
            failing_topics: AtomicUsize::new(0),
            grace_until: Mutex::default(),
            shutdown: watch::Sender::default(),
            schedule: OnceLock::new(),
            has_engine_list: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            in_hand: Arc::default(),
            backlog: Mutex::new(Backlog::new(settings.memory_bytes, now)),
            observer: Mutex::new(Observer::new(now)),
            dropped_lines,
            settings,
        })
    }

    /// Returns the configuration in effect, if one is known.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.catalog).clone()
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.shutdown.borrow() >= Shutdown::Stopping
    }

    /// Whether a step is allowed for a request that needs `need` from now on to be answered; a
    /// stopping process allows fewer.
    pub fn allows(&self, step: Step, need: Duration) -> bool {
        let schedule = self.schedule.get();
        schedule.is_none_or(|schedule| schedule.allows(step, need, clock::now()))
    }

    /// Completes when a stopping process passes on no more requests for the first time.
    pub async fn refuses_requests(&self) {
        self.reaches(Shutdown::Stopping).await;
        if let Some(schedule) = self.schedule.get() {
            time::sleep_until(schedule.refuse_from().into()).await;
        }
    }

    /// Completes when requests in hand must get their final answers.
    pub async fn answers_at_once(&self) {
        self.reaches(Shutdown::Answering).await;
    }

    async fn reaches(&self, progress: Shutdown) {
        let mut shutdown = self.shutdown.subscribe();
        // Fails only without a sender, and this state owns it.
        let _ = shutdown.wait_for(|current| *current >= progress).await;
    }

    /// Remaining grace period after a store outage; `None` outside of one.
    pub fn remaining_grace(&self) -> Option<Duration> {
        let until = (*lock(&self.grace_until))?;
        let remaining = until.saturating_duration_since(clock::now());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Calls `visit` with the other live entry hosts of this host's region, and their states where
    /// these are known.
    pub fn with_regional_peers<T>(
        &self,
        visit: impl FnOnce(&mut dyn Iterator<Item = (&Host, Option<&Peer>)>) -> T,
    ) -> T {
        let roster = lock(&self.roster);
        let peers = lock(&self.peers);
        let entries = roster.usable_members(Role::Entry);
        let regional = entries.filter(|(_, contact)| contact.region == self.region);
        visit(&mut regional.map(|(host, _)| (host, peers.get(host))))
    }

    /// Whether this host reads the store itself; otherwise it fetches the records from peers of its
    /// region.
    pub fn reads_store(&self) -> bool {
        self.reader_rank() < reader::READERS_PER_REGION
    }

    /// Number of hosts of the region that read the store before this one does.
    pub fn reader_rank(&self) -> usize {
        self.with_regional_peers(|peers| {
            let others = peers.map(|(host, peer)| reader::Peer {
                host,
                store_unreachable: peer.is_some_and(|peer| peer.store_unreachable),
            });
            reader::rank(&self.settings.host, others)
        })
    }

    /// Recent peak of the number of live entry hosts, including this one; they share limits.
    pub fn host_count(&self) -> usize {
        let roster = lock(&self.roster);
        let (others, agrees) = (roster.other_entry_hosts(), roster.is_agreed());
        drop(roster);
        lock(&self.census).count(others, agrees, clock::now())
    }

    /// This host's place among the live entry hosts.
    pub fn place(&self) -> Place {
        let index = lock(&self.roster).preceding_entry_hosts();
        Place {
            index,
            hosts: self.host_count(),
        }
    }

    /// Versions of a model, and the times until which work on older ones may begin. Disruptions of the
    /// store that enough hosts saw have restarted these times.
    pub fn version_bounds(&self, model: &str) -> Vec<Bound> {
        lock(&self.targets).bounds(model, self.settings.bounds.rollout_limit)
    }

    /// Whether a request is a caller's retry: its timeout is shorter than that of other requests on
    /// the route, because part of the caller's time has passed. Also records the timeout.
    pub fn is_caller_retry(&self, route: &Route, timeout: Duration) -> bool {
        let mut timeouts = lock(&self.longest_timeouts);
        let Some(longest) = timeouts.get_mut(&route.name) else {
            timeouts.insert(route.name.clone(), timeout);
            return false;
        };
        *longest = timeout.max(*longest);
        timeout < *longest * CALLER_RETRY_PERCENT / 100
    }

    /// Counts and logs that an engine was ejected from load balancing.
    pub fn report_ejection(&self, engine: &str, reason: &str) {
        self.metrics.ejected_engines.inc();
        event!(Warn, "engine_ejected", engine = engine, reason = reason);
    }
}

impl View for State {
    fn ready(&self) -> Result<(), Box<str>> {
        if self.is_stopping() {
            return Err("stopping".into());
        }
        if self.catalog().is_none() {
            return Err("no configuration is known yet".into());
        }
        if !self.has_engine_list.load(Ordering::Relaxed) {
            return Err("no engine is known yet".into());
        }
        self.tasks.check()
    }

    fn dump(&self) -> Value {
        let now = clock::now();
        let hosts = self.host_count();
        let offsets = self.offsets();
        let catalog = self.catalog();
        let describe = |engine: &Engine| {
            json!({
                "id": engine.listing.id,
                "service": engine.listing.service,
                "address": engine.listing.address.to_string(),
                "data_centre": engine.listing.data_centre,
                "draining": engine.is_leaving(),
                "managed": engine.managed,
                "limit_per_second": engine.limit.rate(),
                "resting_ms": engine.resting_for(now).map(|rest| rest.as_millis() as u64),
                "cold": engine.is_cold(now),
                "version": engine.version(now),
                "closed": engine.reported_unavailable(now),
                "in_flight": engine.in_flight,
                "occupancy": engine.occupancy(hosts, now),
                "load_age_ms": engine.load_age(now).map(|age| age.as_millis() as u64),
                "pace": engine.pace.learned(now).map(|factor| json!({
                    "factor": factor,
                    "samples": engine.pace.confidence(now),
                    "age_ms": engine.pace.age(now).map(|age| age.as_millis() as u64),
                    "limit": engine.pace.knee(engine.listing.slots, now),
                })),
                "failures": engine.outlier.failure_rate(),
                "left_out": !engine.outlier.is_healthy(),
            })
        };
        let limit = self.settings.bounds.rollout_limit;
        let known = lock(&self.targets);
        let targets: Vec<Value> = known
            .iter()
            .map(|(model, target)| {
                let age = |at| now.saturating_duration_since(at).as_millis() as u64;
                let counted_from = known.counted_from(model, &target, limit);
                json!({
                    "model": model,
                    "version": target.version,
                    "age_ms": age(target.set_at),
                    "counted_ms": age(counted_from),
                })
            })
            .collect();
        drop(known);
        let table = lock(&self.engines);
        let engines: Vec<Value> = table.iter().map(describe).collect();
        let evacuated = json!(table.evacuated());
        drop(table);
        let quarantined_parts: Vec<String> = {
            let ledger = lock(&self.quarantine);
            let parts = ledger.quarantined(now);
            parts.map(|part| format!("{part:016x}")).collect()
        };
        let reads_store = self.reads_store();
        let reporting_agents = lock(&self.agents).len();
        let roster = lock(&self.roster);
        let members: BTreeMap<&str, String> = roster
            .iter()
            .map(|(host, standing)| (&**host, format!("{standing:?}").to_lowercase()))
            .collect();
        json!({
            "host": self.settings.host,
            "ready": self.ready().err(),
            "revision": catalog.map(|catalog| catalog.revision),
            "targets": targets,
            "evacuated": evacuated,
            "quarantined_parts": quarantined_parts,
            "engines": engines,
            "admission": self.describe_admission(),
            "members": members,
            "entry_hosts": hosts,
            "reads_store": reads_store,
            "store_era": offsets.operator.era,
            "offsets": {"operator": offsets.operator.offset, "engines": offsets.engines.offset},
            "reporting_agents": reporting_agents,
            "store_topics_lost": self.failing_topics.load(Ordering::Relaxed),
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "held_bytes": lock(&self.backlog).held(),
            "reserved_bytes": lock(&self.backlog).reserved(),
        })
    }

    fn refresh(&self) {
        let metrics = &self.metrics;
        metrics
            .in_flight
            .set(self.in_flight.load(Ordering::Relaxed) as i64);
        let now = clock::now();
        let table = lock(&self.engines);
        metrics.engines.set(table.iter().count() as i64);
        metrics.hopeless_choices.set(table.hopeless());
        let factors = table.iter().filter_map(|engine| engine.pace.learned(now));
        metrics.slowest_factor.set(factors.fold(1.0, f64::max));
        drop(table);
        metrics
            .members
            .set(lock(&self.roster).iter().count() as i64);
        metrics
            .lines_dropped
            .set(self.dropped_lines.dropped_lines() as i64);
    }
}
