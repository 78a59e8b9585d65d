//! Obtaining the pieces of a version by the core's chunk plan, from other agents and the origin.

use {
    crate::{
        shared::lock,
        slot::{
            serve,
            tables::{Slot, Source as Weights},
        },
    },
    bytes::Bytes,
    jayspread_core::{
        bundle::Piece,
        chunk::{Duty, Peer, Plan, Policy, Source, Step},
        id::ChunkHash,
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        engine,
        origin::{self, Manifest},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Semaphore, task::JoinSet, time},
};

/// Pieces asked of the origin at once.
const FROM_ORIGIN: usize = 2;
/// Pieces asked of other data centres at once.
const FROM_AFAR: usize = 3;
/// Pieces asked of the own data centre at once.
const INSIDE: usize = 4;
/// Time for which another agent may keep an ask waiting for a piece that it fetches itself.
const WAIT: Duration = Duration::from_millis(1_500);
/// Time for one piece on a slow and shared link.
const TRANSFER: Duration = Duration::from_millis(2_500);
/// Pause before the sources of a piece, or of a manifest, are tried again.
const ROUND: Duration = Duration::from_millis(150);
/// Probes in a row without a hit after which a leader stops probing: the version is new to all.
const PROBES: u32 = 4;
/// Time for which news of other agents is waited for before the plan is made.
const MEET: Duration = Duration::from_millis(200);

/// One version being fetched.
pub struct Job {
    slot: Arc<Slot>,
    weights: Weights,
    manifest: Arc<Manifest>,
    index: BTreeMap<ChunkHash, Vec<usize>>,
    origin: Semaphore,
    afar: Semaphore,
    inside: Semaphore,
    missed: AtomicU32,
}

/// Fetches all pieces of a version into memory; ends when they are complete.
pub async fn run(slot: Arc<Slot>, version: u64) {
    let began = clock::now();
    let (weights, manifest) = manifest(&slot, version).await;
    lock(&slot.pieces).open(&manifest);
    if slot.agents().is_empty() {
        time::sleep(MEET).await;
    }
    let mut index: BTreeMap<ChunkHash, Vec<usize>> = BTreeMap::new();
    for (place, digest) in manifest.digests.iter().enumerate() {
        index.entry(*digest).or_default().push(place);
    }
    let job = Arc::new(Job {
        slot,
        weights,
        manifest,
        index,
        origin: Semaphore::new(FROM_ORIGIN),
        afar: Semaphore::new(FROM_AFAR),
        inside: Semaphore::new(INSIDE),
        missed: AtomicU32::new(0),
    });
    job.recover().await;
    let mut tasks = JoinSet::new();
    for step in job.plan() {
        let job = Arc::clone(&job);
        tasks.spawn(async move { job.obtain(&step).await });
    }
    while tasks.join_next().await.is_some() {}
    event!(
        Info,
        "pieces_complete",
        version = version,
        took_ms = clock::now().saturating_duration_since(began).as_millis(),
        from_origin = job.slot.metrics.origin_bytes.get(),
        from_peers = job.slot.metrics.peer_bytes.get()
    );
}

/// Gets the manifest from the origin or, failing that, from another agent.
async fn manifest(slot: &Slot, version: u64) -> (Weights, Arc<Manifest>) {
    let mut turn = 0;
    loop {
        let Some(weights) = slot.source() else {
            time::sleep(ROUND).await;
            continue;
        };
        if let Some(known) = lock(&slot.pieces).manifest(version) {
            return (weights, known);
        }
        match ask_manifest(slot, &weights, version, turn).await {
            Ok(Some(manifest)) => return (weights, Arc::new(manifest)),
            Ok(None) => {}
            Err(cause) => {
                event!(Warn, "manifest_failed", version = version, reason = cause);
                slot.metrics.fetch_failed.inc();
            }
        }
        turn += 1;
        time::sleep(ROUND).await;
    }
}

/// Asks the origin and another agent by turns.
async fn ask_manifest(
    slot: &Slot,
    weights: &Weights,
    version: u64,
    turn: usize,
) -> Result<Option<Manifest>, Box<str>> {
    let agents = slot.agents();
    if let Some(origin) = weights.origin
        && (turn % 2 == 0 || agents.is_empty())
    {
        let mut client = origin::Client::new(origin);
        let manifest = client.manifest(&weights.model, version).await;
        let manifest = manifest.map_err(|cause| cause.to_string())?;
        if manifest.version != version {
            return Err(format!("it is of version {}", manifest.version).into());
        }
        return Ok(Some(manifest));
    }
    let Some((address, _)) = agents.values().nth(turn / 2 % agents.len().max(1)) else {
        return Ok(None);
    };
    let peer = SocketAddr::new(IpAddr::V4(*address), slot.settings.port);
    serve::ask_manifest(peer, version).await
}

impl Job {
    /// Plan over the agents that are heard from.
    fn plan(&self) -> Vec<Step> {
        let settings = &self.slot.settings;
        let peer = |host: &str, data_centre: &str| Peer {
            host: host.into(),
            data_centre: data_centre.into(),
            region: self.region(data_centre),
        };
        let me = peer(&settings.host, &settings.data_centre);
        let agents = self.slot.agents();
        let peers: BTreeSet<Peer> = agents.iter().map(|(h, (_, dc))| peer(h, dc)).collect();
        let pieces: Vec<Piece> = (0..self.manifest.digests.len())
            .map(|place| Piece {
                artifact: self.weights.model.clone(),
                offset: place as u64 * u64::from(self.manifest.piece_bytes),
                length: self.manifest.piece_bytes,
                hash: self.manifest.digests[place],
            })
            .collect();
        let origin = self.region(&self.weights.data_centre);
        Plan::new(Policy::Trade, &me, &peers, &pieces, &origin).steps
    }

    fn region(&self, data_centre: &str) -> Box<str> {
        let region = self.slot.settings.regions.get(data_centre);
        region.cloned().unwrap_or_else(|| data_centre.into())
    }

    /// Takes pieces that the engine still has staged, after a restart of it or of this agent. If
    /// its first one is of another version, so are the rest.
    async fn recover(&self) {
        if lock(&self.slot.seen).version() != 0 {
            return;
        }
        let mut client = engine::Client::new(self.slot.engine);
        let mut found = 0;
        for index in 0..self.manifest.digests.len() {
            let staged = client.staged(&self.weights.model, index).await;
            let kept = match &staged {
                Ok(Some(bytes)) => self.keep(index, bytes),
                Ok(None) | Err(_) => false,
            };
            found += u32::from(kept);
            if index == 0 && !kept {
                return;
            }
        }
        event!(
            Info,
            "pieces_recovered",
            version = self.manifest.version,
            found = found
        );
    }

    fn keep(&self, index: usize, bytes: &Bytes) -> bool {
        let kept = lock(&self.slot.pieces).keep(self.manifest.version, index, bytes);
        if kept {
            self.slot.arrived.notify_waiters();
        }
        kept
    }

    fn has(&self, index: usize) -> bool {
        let pieces = lock(&self.slot.pieces);
        pieces.get(self.manifest.version, index).is_some()
    }

    /// Obtains one piece, wherever the version holds it.
    async fn obtain(&self, step: &Step) {
        let places = &self.index[&step.hash];
        while !places.iter().all(|index| self.has(*index)) {
            if let Some(bytes) = self.round(step, places[0]).await {
                for index in places {
                    self.keep(*index, &bytes);
                }
                return;
            }
            time::sleep(ROUND).await;
        }
    }

    /// Tries each source once.
    async fn round(&self, step: &Step, index: usize) -> Option<Bytes> {
        for (place, source) in step.sources.iter().enumerate() {
            let probe = place < step.probes;
            if probe && self.missed.load(Ordering::Relaxed) >= PROBES {
                continue;
            }
            let Ok(_permit) = self.gate(step, source).acquire().await else {
                return None;
            };
            let bytes = match source {
                Source::Origin => self.ask_origin(index).await,
                Source::Peer(host) => self.ask_peer(host, index, probe).await,
            };
            match bytes {
                Some(bytes) => {
                    self.missed.store(0, Ordering::Relaxed);
                    return Some(bytes);
                }
                None if probe => {
                    self.missed.fetch_add(1, Ordering::Relaxed);
                }
                None => {}
            }
        }
        None
    }

    fn gate(&self, step: &Step, source: &Source) -> &Semaphore {
        match source {
            Source::Origin => &self.origin,
            Source::Peer(_) if step.duty == Duty::Member => &self.inside,
            Source::Peer(_) => &self.afar,
        }
    }

    async fn ask_origin(&self, index: usize) -> Option<Bytes> {
        let mut client = origin::Client::new(self.weights.origin?);
        let (version, bytes) = (self.manifest.version, self.manifest.piece_bytes);
        let asked = client.piece(&self.weights.model, version, index, bytes, TRANSFER);
        match asked.await {
            Ok(piece) => {
                self.slot.metrics.origin_bytes.inc_by(piece.len() as u64);
                self.check(piece, index, "origin")
            }
            Err(cause) => {
                self.slot.metrics.fetch_failed.inc();
                event!(Debug, "origin_failed", index = index, reason = cause);
                None
            }
        }
    }

    async fn ask_peer(&self, host: &str, index: usize, probe: bool) -> Option<Bytes> {
        let agents = self.slot.agents();
        let (address, _) = agents.get(host)?;
        let peer = SocketAddr::new(IpAddr::V4(*address), self.slot.settings.port);
        let wait = if probe { Duration::ZERO } else { WAIT };
        let (version, bytes) = (self.manifest.version, self.manifest.piece_bytes);
        let asked = serve::ask_piece(peer, version, index, wait, wait + TRANSFER, bytes);
        match asked.await {
            Ok(piece) => {
                let piece = piece?;
                self.slot.metrics.peer_bytes.inc_by(piece.len() as u64);
                self.check(piece, index, host)
            }
            Err(cause) => {
                self.slot.metrics.fetch_failed.inc();
                event!(
                    Debug,
                    "peer_failed",
                    peer = host,
                    index = index,
                    reason = cause
                );
                None
            }
        }
    }

    /// Keeps a piece if its digest is right.
    fn check(&self, piece: Bytes, index: usize, from: &str) -> Option<Bytes> {
        if self.keep(index, &piece) {
            return Some(piece);
        }
        self.slot.metrics.corrupt.inc();
        event!(Warn, "piece_corrupt", source = from, index = index);
        None
    }
}
