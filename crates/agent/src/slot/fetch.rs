//! Fetches the pieces of a version from other agents and the origin, following the chunk plan.

use {
    crate::{
        shared::lock,
        slot::{
            gossip,
            manifest::{self, GONE},
            metrics::{Reason, Version},
            pieces::sha256,
            serve::{self, PieceReply},
            shared::{Shared, WeightSource},
        },
    },
    bytes::Bytes,
    jayspread_core::{
        bundle::Piece,
        chunk::{Peer, Plan, Policy, Source, Step},
        fetch::{Doubt, End, Supply},
        id::{ChunkHash, Host},
        spread::{self, Fetch, Holder, OriginFailure, Roles, Scheduler},
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error, engine,
        origin::{self, Manifest},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// Delay after a failed request for a piece.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay after a request to a host whose upload queue is full.
const BUSY_DELAY: Duration = Duration::from_millis(30);
/// Longest interval between checks for due requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the plan is rebuilt if other agents are known by then. After a loss of power the
/// agents learn of each other within some tenths of a second, and lead the same pieces until then.
const REPLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Age of a version from which the time for the first reports counts from the start of the fetch.
const MAX_AGE: Duration = Duration::from_millis(2_000);
/// Number of versions whose bytes from the origin are kept in the metrics.
const COUNTED_VERSIONS: u64 = 4;

/// Interval at which other agents are asked to go on with their reports.
const INTEREST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the announcement of a version from which agents of all regions are asked.
const REMOTE_INTEREST_DELAY: Duration = Duration::from_millis(1_500);

/// What came of a request for a piece.
#[derive(Debug, Clone, Copy)]
enum Received {
    /// The piece is in memory now.
    Stored,
    /// The source is busy.
    Busy,
    /// A piece of this digest, which is not that of the manifest.
    Corrupt(ChunkHash),
    /// The source does not have the piece.
    Missing,
    /// No answer, or a failure.
    Nothing,
}

/// Fetch of one version.
struct Job {
    shared: Arc<Shared>,
    source: WeightSource,
    manifest: Arc<Manifest>,
    /// Whether the origin still has the version.
    supply: Mutex<Supply>,
    traffic: Traffic,
}

/// What one fetch has received; logged when it ends.
struct Traffic {
    version: u64,
    origin_bytes: AtomicU64,
    peer_bytes: AtomicU64,
    takeovers: AtomicU64,
}

impl Traffic {
    fn new(version: u64) -> Self {
        Self {
            version,
            origin_bytes: AtomicU64::new(0),
            peer_bytes: AtomicU64::new(0),
            takeovers: AtomicU64::new(0),
        }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        event!(
            Info,
            "fetch_traffic",
            version = self.version,
            from_origin = self.origin_bytes.load(Ordering::Relaxed),
            from_peers = self.peer_bytes.load(Ordering::Relaxed),
            takeovers = self.takeovers.load(Ordering::Relaxed)
        );
    }
}

/// Fetches pieces of a version into memory until all are held or can't be had. `announced_at` is the
/// time at which the version was announced.
pub async fn run(shared: Arc<Shared>, version: u64, announced_at: Instant) -> End {
    let started_at = clock::now();
    let mut supply = Supply::default();
    let Some((source, manifest)) = manifest::obtain(&shared, version, &mut supply).await else {
        return End::Gone;
    };
    lock(&shared.pieces).add_version(&manifest);
    let job = Arc::new(Job {
        shared,
        source,
        manifest,
        supply: Mutex::new(supply),
        traffic: Traffic::new(version),
    });
    job.recover_staged().await;
    // An agent that joins long after the announcement counts from its own start, which leaves it time
    // to receive the reports of other agents before it turns to the origin.
    let takeover_start = if clock::now().saturating_duration_since(announced_at) > MAX_AGE {
        started_at
    } else {
        announced_at
    };
    let end = job.fetch_pieces(takeover_start).await;
    lock(&job.shared.pieces).end_fetch(version, end);
    if end != End::Complete {
        return end;
    }
    event!(
        Info,
        "pieces_complete",
        version = version,
        took_ms = clock::now()
            .saturating_duration_since(started_at)
            .as_millis(),
        from_origin = job.traffic.origin_bytes.load(Ordering::Relaxed),
        from_peers = job.traffic.peer_bytes.load(Ordering::Relaxed)
    );
    End::Complete
}

/// Has the scheduler prefer other sources of a piece to one that failed to send it.
fn reject_source(
    scheduler: &mut Scheduler,
    piece: usize,
    source: &Source,
    received: Received,
    elapsed: Duration,
) {
    match (source, received) {
        (Source::Peer(host), Received::Corrupt(_) | Received::Missing) => {
            event!(
                Info,
                "holder_rejected",
                peer = host,
                index = piece,
                missing = matches!(received, Received::Missing)
            );
            scheduler.reject(piece, host, elapsed);
        }
        (Source::Origin, Received::Corrupt(_)) => {
            scheduler.reject_origin(piece, OriginFailure::Corrupt, elapsed);
        }
        (Source::Origin, Received::Missing | Received::Nothing) => {
            scheduler.reject_origin(piece, OriginFailure::Nothing, elapsed);
        }
        (Source::Peer(_), Received::Nothing) | (_, Received::Busy | Received::Stored) => {}
    }
}

impl Job {
    /// Where the weights are now; `None` if the agent serves another model by now.
    fn current_source(&self) -> Option<WeightSource> {
        let source = self.shared.weight_source();
        source.filter(|source| source.model == self.source.model)
    }

    /// Chunk plan over all known agents.
    fn roles(&self) -> Roles {
        let settings = &self.shared.settings;
        let peer = |host: &str, data_centre: &str| Peer {
            host: host.into(),
            data_centre: data_centre.into(),
            region: settings.region(data_centre).into(),
        };
        let local = peer(&settings.host, &settings.data_centre);
        let agents = self.shared.agents();
        let peers: BTreeSet<Peer> = agents
            .iter()
            .map(|(host, (_, data_centre))| peer(host, data_centre))
            .collect();
        let pieces: Vec<Piece> = (0..self.manifest.digests.len())
            .map(|index| Piece {
                artifact: self.source.model.clone(),
                offset: index as u64 * u64::from(self.manifest.piece_bytes),
                length: self.manifest.piece_bytes,
                hash: self.manifest.digests[index],
            })
            .collect();
        let source = self.current_source();
        let source = source.as_ref().unwrap_or(&self.source);
        let origin = settings.region(&source.data_centre);
        let steps = Plan::new(Policy::OriginRegionOnly, &local, &peers, &pieces, origin).steps;
        // The plan lists each digest once; pieces with equal content share a step.
        let by_digest: BTreeMap<_, &Step> = steps.iter().map(|step| (step.hash, step)).collect();
        let digests = self.manifest.digests.iter();
        let steps = digests.map(|digest| by_digest[digest].clone()).collect();
        Roles {
            local,
            peers,
            steps,
            origin: origin.into(),
        }
    }

    /// Hosts of the known agents.
    fn hosts(&self) -> BTreeSet<Host> {
        self.shared.agents().into_keys().collect()
    }

    /// Requests pieces until the fetch ends. The delays before a piece is fetched in place of its
    /// leader count from `takeover_start`.
    async fn fetch_pieces(self: &Arc<Self>, takeover_start: Instant) -> End {
        let mut hosts = self.hosts();
        let mut roles = self.roles();
        let mut planned_at = clock::now();
        let elapsed = planned_at.saturating_duration_since(takeover_start);
        let mut scheduler = Scheduler::new(&roles, elapsed);
        let mut asked_at: Option<Instant> = None;
        let mut requests = JoinSet::new();
        let mut doubt = Doubt::default();
        let count = self.manifest.digests.len();
        loop {
            (0..count)
                .filter(|index| self.is_held(*index))
                .for_each(|index| scheduler.mark_held(index));
            if scheduler.is_complete() {
                return End::Complete;
            }
            let current = lock(&self.shared.pieces).manifest(self.manifest.version);
            if current.is_none_or(|current| !Arc::ptr_eq(&current, &self.manifest))
                || self.current_source().is_none()
            {
                return End::Dropped;
            }
            let now = clock::now();
            if now.saturating_duration_since(planned_at) >= REPLAN_INTERVAL {
                let known = self.hosts();
                if known != hosts {
                    let has_grown = !known.is_subset(&hosts);
                    (roles, hosts) = (self.roles(), known);
                    scheduler.set_roles(&roles, has_grown);
                }
                planned_at = now;
            }
            if asked_at.is_none_or(|at| now >= at + INTEREST_INTERVAL) {
                let overdue =
                    now.saturating_duration_since(takeover_start) >= REMOTE_INTEREST_DELAY;
                let sources = self.sources(&roles.steps, overdue);
                gossip::ask_for_reports(&self.shared, self.manifest.version, &sources);
                asked_at = Some(now);
            }
            let holders = self.shared.holders(self.manifest.version, count);
            if lock(&self.supply).is_gone(now) && self.is_missing_everywhere(&holders) {
                return End::Gone;
            }
            let elapsed = now.saturating_duration_since(takeover_start);
            while let Some(request) = scheduler.next_fetch(&holders, elapsed, &mut rand::rng()) {
                self.count_takeover(&request);
                let job = Arc::clone(self);
                requests.spawn(async move { job.fetch_piece(request).await });
            }
            tokio::select! {
                Some(finished) = requests.join_next() => match finished {
                    Ok((Fetch { piece, source, .. }, received, took)) => {
                        scheduler.finish_fetch(piece);
                        if let (Source::Peer(host), Received::Stored | Received::Nothing) =
                            (&source, received)
                        {
                            scheduler.record_transfer(host, took);
                        }
                        let elapsed = clock::now().saturating_duration_since(takeover_start);
                        reject_source(&mut scheduler, piece, &source, received, elapsed);
                        if let Received::Corrupt(digest) = received
                            && doubt.record(piece, &source, digest)
                        {
                            event!(
                                Warn,
                                "manifest_contradicted",
                                version = self.manifest.version,
                                index = piece
                            );
                            return End::Contradicted;
                        }
                    }
                    Err(cause) => {
                        event!(Error, "fetch_task_failed", reason = cause);
                        return End::Dropped;
                    }
                },
                () = self.shared.holders_changed.notified() => {}
                () = time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Whether there is a piece that neither this agent nor another one holds.
    fn is_missing_everywhere(&self, holders: &BTreeMap<Host, Holder>) -> bool {
        let is_held_elsewhere =
            |index: &usize| holders.values().any(|holder| holder.pieces.contains(index));
        (0..self.manifest.digests.len())
            .any(|index| !self.is_held(index) && !is_held_elsewhere(&index))
    }

    /// Addresses of the agents that are asked for reports on their pieces.
    fn sources(&self, plan: &[Step], overdue: bool) -> BTreeSet<Ipv4Addr> {
        let settings = &self.shared.settings;
        let agents = self.shared.agents();
        let regions: BTreeMap<&Host, &str> = agents
            .iter()
            .map(|(host, (_, data_centre))| (host, settings.region(data_centre)))
            .collect();
        let own_region = settings.region(&settings.data_centre);
        let hosts = spread::report_sources(&settings.host, own_region, &regions, plan, overdue);
        let address = |host: &Host| agents.get(host).map(|(address, _)| *address);
        hosts.iter().filter_map(address).collect()
    }

    fn count_takeover(&self, request: &Fetch) {
        let Some(takeover) = request.takeover else {
            return;
        };
        let reason = takeover.name();
        let takeovers = &self.shared.metrics.takeovers;
        takeovers.get_or_create(&Reason { reason }).inc();
        self.traffic.takeovers.fetch_add(1, Ordering::Relaxed);
        event!(
            Info,
            "takeover",
            version = self.manifest.version,
            index = request.piece,
            reason = reason,
            from = match &request.source {
                Source::Origin => "origin",
                Source::Peer(host) => host,
            }
        );
    }

    /// Performs one request and returns it with what came of it, and the time that this took.
    async fn fetch_piece(&self, request: Fetch) -> (Fetch, Received, Duration) {
        let started_at = clock::now();
        let received = match &request.source {
            Source::Origin => self.fetch_from_origin(request.piece).await,
            Source::Peer(host) => self.fetch_from_peer(host, request.piece).await,
        };
        let took = clock::now().saturating_duration_since(started_at);
        match received {
            Received::Stored => {}
            Received::Busy => time::sleep(BUSY_DELAY).await,
            Received::Corrupt(_) | Received::Missing | Received::Nothing => {
                time::sleep(RETRY_DELAY).await
            }
        }
        (request, received, took)
    }

    /// Recovers pieces that are still staged at the engine after it or this agent restarted. Stops
    /// if the first piece belongs to another version, as then all of them do.
    async fn recover_staged(&self) {
        if lock(&self.shared.engine_state).serving_version() != 0 {
            return;
        }
        let mut client = engine::Client::new(self.shared.engine_address);
        let mut recovered = 0;
        for index in 0..self.manifest.digests.len() {
            let staged = client.staged_piece(&self.source.model, index).await;
            let stored = match &staged {
                Ok(Some(bytes)) => self.store(index, bytes),
                Ok(None) | Err(_) => false,
            };
            recovered += u32::from(stored);
            if index == 0 && !stored {
                return;
            }
        }
        event!(
            Info,
            "pieces_recovered",
            version = self.manifest.version,
            found = recovered
        );
    }

    fn store(&self, index: usize, bytes: &Bytes) -> bool {
        lock(&self.shared.pieces).insert(self.manifest.version, index, bytes)
    }

    fn is_held(&self, index: usize) -> bool {
        let pieces = lock(&self.shared.pieces);
        pieces.get(self.manifest.version, index).is_some()
    }

    fn count_origin_bytes(&self, count: u64) {
        let version = self.manifest.version;
        let metrics = &self.shared.metrics;
        metrics.origin_bytes.inc_by(count);
        let of_version = Version { version };
        metrics
            .origin_bytes_of
            .get_or_create(&of_version)
            .inc_by(count);
        if let Some(version) = version.checked_sub(COUNTED_VERSIONS) {
            metrics.origin_bytes_of.remove(&Version { version });
        }
        self.traffic
            .origin_bytes
            .fetch_add(count, Ordering::Relaxed);
        lock(&self.shared.pieces).touch(version, clock::now());
    }

    async fn fetch_from_origin(&self, index: usize) -> Received {
        let Some(origin) = self.current_source().and_then(|source| source.origin) else {
            return Received::Nothing;
        };
        let mut client = origin::Client::new(origin);
        let (version, bytes) = (self.manifest.version, self.manifest.piece_bytes);
        let limit = lock(&self.shared.origin_transfers).limit_of_origin(bytes);
        let model = &self.source.model;
        let started_at = clock::now();
        let request = client.piece(model, version, index, bytes, limit, |count| {
            self.count_origin_bytes(count as u64);
        });
        match request.await {
            Ok(piece) => {
                lock(&self.supply).confirm();
                let took = clock::now().saturating_duration_since(started_at);
                lock(&self.shared.origin_transfers).record(piece.len(), took);
                self.store_verified(&piece, index, "origin")
            }
            Err(cause) => {
                if matches!(cause, Error::Refused(GONE)) {
                    lock(&self.supply).refuse(clock::now());
                }
                self.shared.metrics.fetch_failed.inc();
                event!(Debug, "origin_failed", index = index, reason = cause);
                Received::Nothing
            }
        }
    }

    async fn fetch_from_peer(&self, host: &str, index: usize) -> Received {
        let agents = self.shared.agents();
        let Some((address, _)) = agents.get(host) else {
            return Received::Nothing;
        };
        let peer = SocketAddr::new(IpAddr::V4(*address), self.shared.settings.internal_port);
        let (version, bytes) = (self.manifest.version, self.manifest.piece_bytes);
        let limit = lock(&self.shared.peer_transfers).limit_of_peer(bytes);
        let started_at = clock::now();
        let request = serve::fetch_piece(peer, version, index, limit, bytes, |count| {
            self.shared.metrics.peer_bytes.inc_by(count as u64);
            let peer_bytes = &self.traffic.peer_bytes;
            peer_bytes.fetch_add(count as u64, Ordering::Relaxed);
            lock(&self.shared.pieces).touch(version, clock::now());
        });
        match request.await {
            Ok(PieceReply::Piece(piece)) => {
                let took = clock::now().saturating_duration_since(started_at);
                lock(&self.shared.peer_transfers).record(piece.len(), took);
                lock(&self.shared.uploads).mark_elsewhere(version, index);
                self.store_verified(&piece, index, host)
            }
            Ok(PieceReply::Busy) => Received::Busy,
            Ok(PieceReply::NotFound) => Received::Missing,
            Err(cause) => {
                self.shared.metrics.fetch_failed.inc();
                event!(
                    Debug,
                    "peer_failed",
                    peer = host,
                    index = index,
                    reason = cause
                );
                Received::Nothing
            }
        }
    }

    /// Stores a received piece if its digest matches.
    fn store_verified(&self, piece: &Bytes, index: usize, from: &str) -> Received {
        if self.store(index, piece) {
            return Received::Stored;
        }
        self.shared.metrics.pieces_corrupt.inc();
        event!(Warn, "piece_corrupt", source = from, index = index);
        Received::Corrupt(sha256(piece))
    }
}
