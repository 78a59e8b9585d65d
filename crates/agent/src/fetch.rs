//! Fetches the chunks of a version from peers and the origin, verifies and stages them.

use {
    crate::{
        engine::Location,
        metrics::Metrics,
        shared::{Shared, lock},
        store::Error as StoreError,
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

/// Concurrent fetches from the origin.
const MAX_ORIGIN_FETCHES: usize = 1;
/// Concurrent fetches from other data centres, including those waiting for a chunk to arrive there.
const MAX_REMOTE_FETCHES: usize = 8;
/// Concurrent staging calls to the engine.
const MAX_STAGING_CALLS: usize = 4;
/// Delay before all sources of a chunk are tried again, and before staging is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Consecutive probe misses after which a leader stops probing, as no host has the version yet.
const MAX_PROBE_MISSES: u32 = 4;
/// Timeout of a transfer from the origin, as a multiple of the smoothed transfer time.
const STALL_TIMEOUT_FACTOR: u32 = 4;
/// Divisor of the smoothed transfer time: a new sample has a weight of 1/4.
const SMOOTHING_DIVISOR: u32 = 4;
/// Timeout for one chunk's transfer, as a multiple of the takeover time.
const TRANSFER_TIMEOUT_FACTOR: u32 = 4;

/// Reason why a source did not return a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchError {
    /// The source is fetching the chunk itself; ask it again.
    Pending,
    /// The fetch failed; try another source. Holds the metric label.
    Failed(&'static str),
    /// The origin limits the request rate; retry after this delay.
    RateLimited(Duration),
}

/// How a source is asked for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Returns the chunk only if the source already has it.
    Probe,
    /// The source should have the chunk or be fetching it; wait for it.
    Expect,
    /// The source must fetch the chunk in place of its leader, which did not deliver it.
    Acquire,
}

/// Fetch of one version.
pub struct Job {
    shared: Arc<Shared>,
    bundle: Arc<Bundle>,
    /// Pieces by chunk hash; equal pieces share a chunk.
    pieces: BTreeMap<ChunkHash, Vec<Piece>>,
    /// Chunks of the version that the engine serves, which it can copy.
    loaded_chunks: BTreeMap<ChunkHash, Location>,
    plan: Mutex<BTreeMap<ChunkHash, Step>>,
    origin_permits: Semaphore,
    remote_permits: Semaphore,
    local_permits: Semaphore,
    staging_permits: Semaphore,
    /// Consecutive probe misses.
    probe_misses: AtomicU32,
    /// Smoothed transfer time of a chunk from the origin.
    transfer_time: Mutex<Option<Duration>>,
}

impl Job {
    /// Spawns a task that fetches `bundle`. The engine already has `loaded_chunks` in the version
    /// that it serves.
    pub fn start(
        shared: &Arc<Shared>,
        bundle: Arc<Bundle>,
        loaded_chunks: BTreeMap<ChunkHash, Location>,
    ) -> (Arc<Self>, JoinHandle<()>) {
        let mut pieces: BTreeMap<ChunkHash, Vec<Piece>> = BTreeMap::new();
        for piece in bundle.pieces(shared.service()) {
            pieces.entry(piece.hash).or_default().push(piece);
        }
        shared.chunks_staged.store(0, Ordering::Relaxed);
        let wanted = pieces.len() as u32;
        shared.chunks_wanted.store(wanted, Ordering::Relaxed);
        let job = Arc::new(Self {
            bundle,
            pieces,
            loaded_chunks,
            plan: Mutex::default(),
            origin_permits: Semaphore::new(MAX_ORIGIN_FETCHES),
            remote_permits: Semaphore::new(MAX_REMOTE_FETCHES),
            local_permits: Semaphore::new(shared.settings.spread.max_downloads),
            staging_permits: Semaphore::new(MAX_STAGING_CALLS),
            probe_misses: AtomicU32::new(0),
            transfer_time: Mutex::default(),
            shared: Arc::clone(shared),
        });
        let steps = job.replan();
        let lengths = steps.iter().map(|step| (step.hash, step.length)).collect();
        let leading = leading_chunks(&steps);
        let version = &job.bundle.version;
        lock(&shared.chunks).begin_version(version, lengths, leading, clock::now());
        shared.chunk_arrived.notify_waiters();
        let task = tokio::spawn(Arc::clone(&job).run(steps));
        (job, task)
    }

    /// Rebuilds the plan from the current roster and returns its steps in order.
    fn replan(&self) -> Vec<Step> {
        let place = &self.shared.settings.place;
        let local = Peer {
            host: place.host.clone(),
            data_centre: place.data_centre.clone(),
            region: place.region.clone(),
        };
        let pieces = self.bundle.pieces(self.shared.service());
        let policy = self.shared.policy;
        let origin_region = &self.bundle.origin_region;
        let plan = Plan::new(policy, &local, &self.peers(), &pieces, origin_region);
        let by_hash = plan.steps.iter().map(|step| (step.hash, step.clone()));
        *lock(&self.plan) = by_hash.collect();
        plan.steps
    }

    /// Rebuilds the plan after a change of the roster.
    pub fn roster_changed(&self) {
        let leading_chunks = leading_chunks(&self.replan());
        lock(&self.shared.chunks).set_leading(leading_chunks);
    }

    /// Agents whose services load the same chunks.
    fn peers(&self) -> BTreeSet<Peer> {
        let services = self.bundle.services_sharing_weights(self.shared.service());
        let config = lock(&self.shared.config);
        let members = config.members.values().filter(|member| {
            member.role == i32::from(Role::Agent)
                && !member.leaving
                && services.contains(member.service.as_str())
        });
        let peers = members.map(|member| Peer {
            host: member.host.as_str().into(),
            data_centre: member.data_centre.as_str().into(),
            region: member.region.as_str().into(),
        });
        peers.collect()
    }

    /// Fetches and stages all chunks, then reports the version as complete to the loader.
    async fn run(self: Arc<Self>, steps: Vec<Step>) {
        let started_at = clock::now();
        self.connect_to_regions(&steps);
        let mut tasks = JoinSet::new();
        for step in steps {
            let job = Arc::clone(&self);
            tasks.spawn(async move { job.fetch_and_stage(step).await });
        }
        while tasks.join_next().await.is_some() {}
        let staged = self.shared.chunks_staged.load(Ordering::Relaxed);
        assert_eq!(
            staged as usize,
            self.pieces.len(),
            "a complete version has all chunks staged"
        );
        let version: Version = self.bundle.version.clone();
        event!(
            Info,
            "version_complete",
            version = version,
            took_ms = (clock::now() - started_at).as_millis()
        );
        lock(&self.shared.loader).handle(&Event::Verified(version), clock::now());
        self.shared.control_wakeup.notify_one();
    }

    /// Opens connections to other regions before chunk transfers saturate the links.
    fn connect_to_regions(&self, steps: &[Step]) {
        let region_steps = steps.iter().filter(|step| step.tier == Tier::Region);
        let first_sources = region_steps.filter_map(|step| step.sources.first());
        let sources: BTreeSet<&Source> = first_sources.collect();
        for source in sources {
            let Source::Peer(host) = source else {
                continue;
            };
            if let Some(address) = self.address(host) {
                self.shared.peers.link(&self.shared, host, address);
            }
        }
    }

    /// Fetches and stages one chunk, or has the engine copy it.
    async fn fetch_and_stage(&self, step: Step) {
        if !self.copy_from_loaded(&step.hash).await {
            let bytes = self.fetch(&step).await;
            self.stage(&step.hash, bytes).await;
        }
        self.shared.chunks_staged.fetch_add(1, Ordering::Relaxed);
    }

    /// Has the engine copy a chunk from the version that it serves; `false` if it cannot.
    async fn copy_from_loaded(&self, hash: &ChunkHash) -> bool {
        let Some(from) = self.loaded_chunks.get(hash) else {
            return false;
        };
        let Ok(_permit) = self.staging_permits.acquire().await else {
            return false;
        };
        for piece in &self.pieces[hash] {
            let to = Location::new(&self.bundle.version, piece);
            match self.shared.engine.copy(from.clone(), to).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return false,
            }
        }
        self.shared.metrics.chunks_copied.inc();
        true
    }

    async fn stage(&self, hash: &ChunkHash, bytes: Bytes) {
        for piece in &self.pieces[hash] {
            loop {
                let permit = self.staging_permits.acquire().await;
                let location = Location::new(&self.bundle.version, piece);
                let staged = self.shared.engine.stage(location, bytes.clone()).await;
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
                time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Fetches a chunk, trying its sources in turn until one returns it.
    async fn fetch(&self, step: &Step) -> Bytes {
        loop {
            if let Some(bytes) = lock(&self.shared.chunks).get(&step.hash) {
                return bytes;
            }
            let current_step = lock(&self.plan).get(&step.hash).cloned();
            let current_step = current_step.unwrap_or_else(|| step.clone());
            if let Some(bytes) = self.try_sources(&current_step).await {
                return bytes;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Tries each source once. A source that is fetching the chunk itself is asked until it returns
    /// the chunk or fails.
    async fn try_sources(&self, step: &Step) -> Option<Bytes> {
        let mut already_asked = false;
        for source in &step.sources {
            if self.should_skip(step, source) {
                continue;
            }
            let is_probe = step.sources[..step.probe_count].contains(source);
            if is_probe && self.probe_misses.load(Ordering::Relaxed) >= MAX_PROBE_MISSES {
                continue;
            }
            let mode = match (is_probe, already_asked) {
                (true, _) => Mode::Probe,
                (false, false) => Mode::Expect,
                (false, true) => Mode::Acquire,
            };
            already_asked |= !is_probe;
            let Ok(_permit) = self.permits(step, source).acquire().await else {
                return None;
            };
            loop {
                match self.try_source(step, source, mode).await {
                    Ok(bytes) => {
                        if is_probe {
                            self.probe_misses.store(0, Ordering::Relaxed);
                        }
                        return Some(bytes);
                    }
                    Err(FetchError::Pending) if !self.should_skip(step, source) => {}
                    Err(FetchError::Pending) => break,
                    Err(FetchError::RateLimited(delay)) => {
                        Metrics::count(&self.shared.metrics.fetch_failed, "limited");
                        time::sleep(delay).await;
                    }
                    Err(FetchError::Failed(_)) if is_probe => {
                        self.probe_misses.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                    Err(FetchError::Failed(reason)) => {
                        Metrics::count(&self.shared.metrics.fetch_failed, reason);
                        break;
                    }
                }
            }
        }
        None
    }

    /// Permits for fetching from a source. A permit is held while waiting for the source to get the
    /// chunk, so that chunks are awaited in the plan's order.
    fn permits(&self, step: &Step, source: &Source) -> &Semaphore {
        match source {
            Source::Origin => &self.origin_permits,
            Source::Peer(_) if step.tier == Tier::Member => &self.local_permits,
            Source::Peer(_) => &self.remote_permits,
        }
    }

    /// Whether to skip a source, because it is quarantined or this host fetches the chunk in its
    /// place.
    fn should_skip(&self, step: &Step, source: &Source) -> bool {
        let Source::Peer(host) = source else {
            return false;
        };
        if self.shared.peers.is_quarantined(host, clock::now()) {
            return true;
        }
        let promoted = lock(&self.shared.chunks).is_promoted(&step.hash);
        promoted && step.tier == Tier::Member && self.in_local_data_centre(host)
    }

    fn in_local_data_centre(&self, host: &Host) -> bool {
        let config = lock(&self.shared.config);
        let member = config.members.get(host);
        member.is_some_and(|member| *member.data_centre == *self.shared.settings.place.data_centre)
    }

    async fn try_source(
        &self,
        step: &Step,
        source: &Source,
        mode: Mode,
    ) -> Result<Bytes, FetchError> {
        if let Some(bytes) = lock(&self.shared.chunks).get(&step.hash) {
            return Ok(bytes);
        }
        let bytes = match source {
            Source::Origin => self.fetch_from_origin(step).await?,
            Source::Peer(host) => self.fetch_from_peer(step, host, mode).await?,
        };
        self.store_verified(step, source, bytes)
    }

    /// Stores a chunk if its hash matches. A peer that sent a corrupt chunk moves towards
    /// quarantine.
    fn store_verified(
        &self,
        step: &Step,
        source: &Source,
        bytes: Bytes,
    ) -> Result<Bytes, FetchError> {
        let stored = lock(&self.shared.chunks).insert(step.hash, bytes.clone());
        if stored.is_ok() {
            self.shared.chunk_arrived.notify_waiters();
            return Ok(bytes);
        }
        let source_label = match source {
            Source::Origin => "origin",
            Source::Peer(host) => {
                self.shared.peers.record_corrupt_chunk(host, clock::now());
                "peer"
            }
        };
        Metrics::count(&self.shared.metrics.chunks_corrupt, source_label);
        event!(Warn, "chunk_corrupt", source = format!("{source:?}"));
        Err(FetchError::Failed("corrupt"))
    }

    async fn fetch_from_origin(&self, step: &Step) -> Result<Bytes, FetchError> {
        let Some(store) = &self.shared.store else {
            return Err(FetchError::Failed("no_store"));
        };
        let timeout = self.origin_timeout();
        let started_at = clock::now();
        match store.fetch(step.hash, step.length, timeout).await {
            Ok(bytes) => {
                self.record_transfer_time(clock::now() - started_at);
                let metrics = &self.shared.metrics;
                metrics.bytes_from_origin.inc_by(bytes.len() as u64);
                Ok(bytes)
            }
            Err(StoreError::RateLimited(delay)) => Err(FetchError::RateLimited(delay)),
            Err(StoreError::NotFound) => Err(FetchError::Failed("origin_missing")),
            Err(StoreError::Http(cause)) => {
                event!(Debug, "origin_failed", reason = cause);
                Err(FetchError::Failed("origin"))
            }
        }
    }

    /// Updates the smoothed transfer time from the origin.
    fn record_transfer_time(&self, elapsed: Duration) {
        let mut transfer_time = lock(&self.transfer_time);
        let previous = transfer_time.unwrap_or(elapsed);
        *transfer_time = Some((previous * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR);
    }

    /// Time after which a transfer from the origin counts as stalled.
    fn origin_timeout(&self) -> Duration {
        let max = self.transfer_timeout();
        let Some(transfer_time) = *lock(&self.transfer_time) else {
            return max;
        };
        let min = self.shared.settings.spread.holder_timeout.min(max);
        (transfer_time * STALL_TIMEOUT_FACTOR).clamp(min, max)
    }

    fn transfer_timeout(&self) -> Duration {
        self.shared.settings.spread.holder_timeout * TRANSFER_TIMEOUT_FACTOR
    }

    async fn fetch_from_peer(
        &self,
        step: &Step,
        host: &Host,
        mode: Mode,
    ) -> Result<Bytes, FetchError> {
        let takeover = self.shared.settings.spread.holder_timeout;
        let address = self.address(host);
        let address = address.ok_or(FetchError::Failed("unknown_peer"))?;
        let peers = &self.shared.peers;
        let session = peers.session(&self.shared, host, address, takeover).await;
        let session = session.ok_or(FetchError::Failed("unreachable"))?;
        let is_probe = mode == Mode::Probe;
        let wait = if is_probe { Duration::ZERO } else { takeover };
        let fetch = Fetch {
            version: self.bundle.version.to_string(),
            hash: Bytes::copy_from_slice(&step.hash),
            wait_ms: wait.as_millis() as u32,
            acquire: mode == Mode::Acquire,
        };
        let exchange = async {
            let mut reader = session.send_request(ask::Kind::Fetch(fetch)).await.ok()?;
            let reply = time::timeout(takeover * 2, reader.next()).await;
            let reply = reply.ok()?.ok()?;
            let reply::Kind::Chunk(chunk) = reply else {
                return Some(Err(reply));
            };
            if chunk.length != step.length {
                return None;
            }
            reader.read_bytes(chunk.length as usize).await.ok().map(Ok)
        };
        match time::timeout(self.transfer_timeout(), exchange).await {
            Ok(Some(Ok(bytes))) => {
                let metrics = &self.shared.metrics;
                metrics.bytes_from_peers.inc_by(bytes.len() as u64);
                Ok(bytes)
            }
            Ok(Some(Err(reply::Kind::NoChunk(no_chunk)))) if no_chunk.pending && !is_probe => {
                Err(FetchError::Pending)
            }
            Ok(Some(Err(reply::Kind::NoChunk(no_chunk)))) if no_chunk.missing => {
                Err(FetchError::Failed("missing"))
            }
            Ok(Some(Err(_))) => Err(FetchError::Failed("busy")),
            Ok(None) => Err(FetchError::Failed("broken")),
            Err(_) => Err(FetchError::Failed("stalled")),
        }
    }

    fn address(&self, host: &Host) -> Option<SocketAddr> {
        let config = lock(&self.shared.config);
        config.members.get(host)?.address.parse().ok()
    }
}

/// Chunks that this host fetches on behalf of others.
fn leading_chunks(steps: &[Step]) -> BTreeSet<ChunkHash> {
    let leading_steps = steps.iter().filter(|step| step.tier != Tier::Member);
    leading_steps.map(|step| step.hash).collect()
}
