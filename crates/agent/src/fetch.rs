//! Obtaining the chunks of a version: from peers and the origin, verified, then staged.

use {
    crate::{
        engine::Place,
        metrics::Metrics,
        shared::{Shared, lock},
        store::Refusal,
    },
    bytes::Bytes,
    jayspread_core::{
        bundle::{Bundle, Piece},
        chunk::{Peer, Plan, Source, Step, Tier},
        id::{ChunkHash, Host, Version},
        load::Event,
    },
    jayspread_net::{clock, event},
    jayspread_schema::wire::{Fetch, Role, ask, reply},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        task::{JoinHandle, JoinSet},
        time,
    },
};

/// Chunks fetched at once from the origin.
const FROM_ORIGIN: usize = 1;
/// Chunks waited for or fetched at once from other data centres.
const FROM_AFAR: usize = 8;
/// Chunks staged at once.
const STAGING: usize = 4;
/// Delay before the sources of a chunk are tried again from the first.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Probes in a row without a hit after which a leader stops probing: the version is new to all.
const PROBES: u32 = 4;
/// Times the usual after which a transfer from the origin counts as stalled.
const STALLED_FACTOR: u32 = 4;
/// Weight of a new transfer time, as a divisor.
const SMOOTHING: u32 = 4;
/// Longest time for one chunk's transfer, as a multiple of the takeover time.
const TRANSFER_TAKEOVERS: u32 = 4;

/// Why one source gave no chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Miss {
    /// It is on its way there; ask again.
    Pending,
    /// Another source has to be asked.
    Failed(&'static str),
    /// The origin limits the rate.
    Limited(Duration),
}

/// How a source is asked for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Whether it has the chunk already.
    Probe,
    /// It should have the chunk or be fetching it.
    Expect,
    /// It must obtain the chunk in place of the source that should have it.
    Acquire,
}

/// Fetching one version.
pub struct Job {
    shared: Arc<Shared>,
    bundle: Arc<Bundle>,
    /// Pieces by the hash of their bytes.
    places: BTreeMap<ChunkHash, Vec<Piece>>,
    /// Chunks that the engine holds in the version that it serves.
    present: BTreeMap<ChunkHash, Place>,
    plan: Mutex<BTreeMap<ChunkHash, Step>>,
    origin: Semaphore,
    afar: Semaphore,
    inside: Semaphore,
    staging: Semaphore,
    /// Probes in a row that found nothing.
    probe_misses: AtomicU32,
    /// Smoothed time of a chunk's transfer from the origin.
    usual: Mutex<Option<Duration>>,
}

impl Job {
    /// Starts fetching `bundle`, of which `present` chunks are at the engine already.
    pub fn start(
        shared: &Arc<Shared>,
        bundle: Arc<Bundle>,
        present: BTreeMap<ChunkHash, Place>,
    ) -> (Arc<Self>, JoinHandle<()>) {
        let mut places: BTreeMap<ChunkHash, Vec<Piece>> = BTreeMap::new();
        for piece in bundle.pieces(shared.service()) {
            places.entry(piece.hash).or_default().push(piece);
        }
        shared.staged.store(0, Ordering::Relaxed);
        shared.wanted.store(places.len() as u32, Ordering::Relaxed);
        let job = Arc::new(Self {
            bundle,
            places,
            present,
            plan: Mutex::default(),
            origin: Semaphore::new(FROM_ORIGIN),
            afar: Semaphore::new(FROM_AFAR),
            inside: Semaphore::new(shared.settings.spread.max_downloads),
            staging: Semaphore::new(STAGING),
            probe_misses: AtomicU32::new(0),
            usual: Mutex::default(),
            shared: Arc::clone(shared),
        });
        let steps = job.replan();
        let lengths = steps.iter().map(|step| (step.hash, step.length)).collect();
        let led = led(&steps);
        lock(&shared.chunks).adopt(&job.bundle.version, lengths, led, clock::now());
        shared.arrived.notify_waiters();
        let task = tokio::spawn(Arc::clone(&job).run(steps));
        (job, task)
    }

    /// Plans anew from the present roster and returns the steps in order.
    fn replan(&self) -> Vec<Step> {
        let place = &self.shared.settings.place;
        let me = Peer {
            host: place.host.clone(),
            data_centre: place.data_centre.clone(),
            region: place.region.clone(),
        };
        let pieces = self.bundle.pieces(self.shared.service());
        let plan = Plan::new(
            self.shared.policy,
            &me,
            &self.peers(),
            &pieces,
            &self.bundle.origin_region,
        );
        let by_hash = plan.steps.iter().map(|step| (step.hash, step.clone()));
        *lock(&self.plan) = by_hash.collect();
        plan.steps
    }

    /// Plans anew after the roster has changed.
    pub fn roster_changed(&self) {
        let led = led(&self.replan());
        lock(&self.shared.chunks).lead(led);
    }

    /// Hosts that load the same chunks.
    fn peers(&self) -> BTreeSet<Peer> {
        let sharing = self.bundle.services_sharing_weights(self.shared.service());
        let config = lock(&self.shared.config);
        let members = config.members.values().filter(|member| {
            member.role == i32::from(Role::Agent)
                && !member.leaving
                && sharing.contains(member.service.as_str())
        });
        let peers = members.map(|member| Peer {
            host: member.host.as_str().into(),
            data_centre: member.data_centre.as_str().into(),
            region: member.region.as_str().into(),
        });
        peers.collect()
    }

    /// Fetches and stages everything; ends when the version is complete.
    async fn run(self: Arc<Self>, steps: Vec<Step>) {
        let began = clock::now();
        self.dial_far(&steps);
        let mut tasks = JoinSet::new();
        for step in steps {
            let job = Arc::clone(&self);
            tasks.spawn(async move { job.obtain(step).await });
        }
        while tasks.join_next().await.is_some() {}
        let staged = self.shared.staged.load(Ordering::Relaxed);
        assert_eq!(
            staged as usize,
            self.places.len(),
            "complete means all chunks are staged"
        );
        let version: Version = self.bundle.version.clone();
        event!(
            Info,
            "version_complete",
            version = version,
            ms = (clock::now() - began).as_millis()
        );
        lock(&self.shared.loader).handle(&Event::Verified(version), clock::now());
        self.shared.wake.notify_one();
    }

    /// Opens the connections to other regions before chunks fill the links.
    fn dial_far(&self, steps: &[Step]) {
        let regional = steps.iter().filter(|step| step.tier == Tier::Region);
        let first = regional.filter_map(|step| step.sources.first());
        let hosts: BTreeSet<&Source> = first.collect();
        for source in hosts {
            let Source::Peer(host) = source else {
                continue;
            };
            if let Some(address) = self.address(host) {
                self.shared.peers.link(&self.shared, host, address);
            }
        }
    }

    /// Obtains and stages one chunk.
    async fn obtain(&self, step: Step) {
        if !self.copy(&step.hash).await {
            let bytes = self.fetch(&step).await;
            self.stage(&step.hash, bytes).await;
        }
        self.shared.staged.fetch_add(1, Ordering::Relaxed);
    }

    /// Has the engine copy a chunk from the version that it serves.
    async fn copy(&self, hash: &ChunkHash) -> bool {
        let Some(from) = self.present.get(hash) else {
            return false;
        };
        let Ok(_permit) = self.staging.acquire().await else {
            return false;
        };
        for piece in &self.places[hash] {
            let to = Place::new(&self.bundle.version, piece);
            match self.shared.engine.copy(from.clone(), to).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return false,
            }
        }
        self.shared.metrics.copied.inc();
        true
    }

    async fn stage(&self, hash: &ChunkHash, bytes: Bytes) {
        for piece in &self.places[hash] {
            loop {
                let permit = self.staging.acquire().await;
                let place = Place::new(&self.bundle.version, piece);
                let staged = self.shared.engine.stage(place, bytes.clone()).await;
                drop(permit);
                let Err(cause) = staged else {
                    break;
                };
                event!(
                    Warn,
                    "stage_failed",
                    version = self.bundle.version,
                    reason = cause
                );
                time::sleep(ROUND_DELAY).await;
            }
        }
    }

    /// Fetches a chunk, trying its sources in turn until one gives it.
    async fn fetch(&self, step: &Step) -> Bytes {
        loop {
            if let Some(bytes) = lock(&self.shared.chunks).get(&step.hash) {
                return bytes;
            }
            let current = lock(&self.plan).get(&step.hash).cloned();
            let current = current.unwrap_or_else(|| step.clone());
            if let Some(bytes) = self.round(&current).await {
                return bytes;
            }
            time::sleep(ROUND_DELAY).await;
        }
    }

    /// Tries each source once, a pending one until it gives the chunk or fails.
    async fn round(&self, step: &Step) -> Option<Bytes> {
        let mut asked = false;
        for source in &step.sources {
            if self.skips(step, source) {
                continue;
            }
            let probe = step.sources[..step.probe_count].contains(source);
            if probe && self.probe_misses.load(Ordering::Relaxed) >= PROBES {
                continue;
            }
            let manner = match (probe, asked) {
                (true, _) => Manner::Probe,
                (false, false) => Manner::Expect,
                (false, true) => Manner::Acquire,
            };
            asked |= !probe;
            let Ok(_permit) = self.gate(step, source).acquire().await else {
                return None;
            };
            loop {
                match self.try_source(step, source, manner).await {
                    Ok(bytes) => {
                        if probe {
                            self.probe_misses.store(0, Ordering::Relaxed);
                        }
                        return Some(bytes);
                    }
                    Err(Miss::Pending) if !self.skips(step, source) => {}
                    Err(Miss::Pending) => break,
                    Err(Miss::Limited(delay)) => {
                        Metrics::count(&self.shared.metrics.fetch_failed, "limited");
                        time::sleep(delay).await;
                    }
                    Err(Miss::Failed(_)) if probe => {
                        self.probe_misses.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                    Err(Miss::Failed(reason)) => {
                        Metrics::count(&self.shared.metrics.fetch_failed, reason);
                        break;
                    }
                }
            }
        }
        None
    }

    /// Permits for asking a source. One is kept while the chunk is on its way there, so that chunks
    /// are waited for in the plan's order.
    fn gate(&self, step: &Step, source: &Source) -> &Semaphore {
        match source {
            Source::Origin => &self.origin,
            Source::Peer(_) if step.tier == Tier::Member => &self.inside,
            Source::Peer(_) => &self.afar,
        }
    }

    /// Whether a source is passed over: it is shunned, or this host acts in its place.
    fn skips(&self, step: &Step, source: &Source) -> bool {
        let Source::Peer(host) = source else {
            return false;
        };
        if self.shared.peers.shunned(host, clock::now()) {
            return true;
        }
        let promoted = lock(&self.shared.chunks).promoted(&step.hash);
        promoted && step.tier == Tier::Member && self.near(host)
    }

    fn near(&self, host: &Host) -> bool {
        let config = lock(&self.shared.config);
        let member = config.members.get(host);
        member.is_some_and(|m| *m.data_centre == *self.shared.settings.place.data_centre)
    }

    async fn try_source(
        &self,
        step: &Step,
        source: &Source,
        manner: Manner,
    ) -> Result<Bytes, Miss> {
        if let Some(bytes) = lock(&self.shared.chunks).get(&step.hash) {
            return Ok(bytes);
        }
        let bytes = match source {
            Source::Origin => self.ask_origin(step).await?,
            Source::Peer(host) => self.ask_peer(step, host, manner).await?,
        };
        self.keep(step, source, bytes)
    }

    fn keep(&self, step: &Step, source: &Source, bytes: Bytes) -> Result<Bytes, Miss> {
        let kept = lock(&self.shared.chunks).keep(step.hash, bytes.clone());
        if kept.is_ok() {
            self.shared.arrived.notify_waiters();
            return Ok(bytes);
        }
        let name = match source {
            Source::Origin => "origin",
            Source::Peer(host) => {
                self.shared.peers.strike(host, clock::now());
                "peer"
            }
        };
        Metrics::count(&self.shared.metrics.corrupt, name);
        event!(Warn, "chunk_corrupt", source = format!("{source:?}"));
        Err(Miss::Failed("corrupt"))
    }

    async fn ask_origin(&self, step: &Step) -> Result<Bytes, Miss> {
        let Some(store) = &self.shared.store else {
            return Err(Miss::Failed("no_store"));
        };
        let limit = self.origin_limit();
        let began = clock::now();
        match store.chunk(step.hash, step.length, limit).await {
            Ok(bytes) => {
                self.learn(clock::now() - began);
                self.shared
                    .metrics
                    .bytes_from_origin
                    .inc_by(bytes.len() as u64);
                Ok(bytes)
            }
            Err(Refusal::Limited(delay)) => Err(Miss::Limited(delay)),
            Err(Refusal::Missing) => Err(Miss::Failed("origin_missing")),
            Err(Refusal::Failed(cause)) => {
                event!(Debug, "origin_failed", reason = cause);
                Err(Miss::Failed("origin"))
            }
        }
    }

    /// Takes in the time of a transfer from the origin.
    fn learn(&self, took: Duration) {
        let mut usual = lock(&self.usual);
        let before = usual.unwrap_or(took);
        *usual = Some((before * (SMOOTHING - 1) + took) / SMOOTHING);
    }

    /// Time after which a transfer from the origin counts as stalled: several times the usual.
    fn origin_limit(&self) -> Duration {
        let most = self.transfer_limit();
        let Some(usual) = *lock(&self.usual) else {
            return most;
        };
        let least = self.shared.settings.spread.holder_timeout.min(most);
        (usual * STALLED_FACTOR).clamp(least, most)
    }

    fn transfer_limit(&self) -> Duration {
        self.shared.settings.spread.holder_timeout * TRANSFER_TAKEOVERS
    }

    async fn ask_peer(&self, step: &Step, host: &Host, manner: Manner) -> Result<Bytes, Miss> {
        let takeover = self.shared.settings.spread.holder_timeout;
        let address = self.address(host).ok_or(Miss::Failed("unknown_peer"))?;
        let session = self
            .shared
            .peers
            .session(&self.shared, host, address, takeover)
            .await;
        let session = session.ok_or(Miss::Failed("unreachable"))?;
        let probe = manner == Manner::Probe;
        let wait = if probe { Duration::ZERO } else { takeover };
        let fetch = Fetch {
            version: self.bundle.version.to_string(),
            hash: Bytes::copy_from_slice(&step.hash),
            wait_ms: wait.as_millis() as u32,
            acquire: manner == Manner::Acquire,
        };
        let exchange = async {
            let mut reader = session.send_request(ask::Kind::Fetch(fetch)).await.ok()?;
            let head = time::timeout(takeover * 2, reader.next())
                .await
                .ok()?
                .ok()?;
            let reply::Kind::Chunk(chunk) = head else {
                return Some(Err(head));
            };
            if chunk.length != step.length {
                return None;
            }
            reader.read_bytes(chunk.length as usize).await.ok().map(Ok)
        };
        match time::timeout(self.transfer_limit(), exchange).await {
            Ok(Some(Ok(bytes))) => {
                self.shared
                    .metrics
                    .bytes_from_peers
                    .inc_by(bytes.len() as u64);
                Ok(bytes)
            }
            Ok(Some(Err(reply::Kind::NoChunk(none)))) if none.pending && !probe => {
                Err(Miss::Pending)
            }
            Ok(Some(Err(reply::Kind::NoChunk(none)))) if none.missing => {
                Err(Miss::Failed("missing"))
            }
            Ok(Some(Err(_))) => Err(Miss::Failed("busy")),
            Ok(None) => Err(Miss::Failed("broken")),
            Err(_) => Err(Miss::Failed("stalled")),
        }
    }

    fn address(&self, host: &Host) -> Option<SocketAddr> {
        let config = lock(&self.shared.config);
        config.members.get(host)?.address.parse().ok()
    }
}

/// Chunks that this host passes on to others.
fn led(steps: &[Step]) -> BTreeSet<ChunkHash> {
    let leads = steps.iter().filter(|step| step.tier != Tier::Member);
    leads.map(|step| step.hash).collect()
}
