//! Obtaining the pieces of a version by the core's chunk plan, from other agents and the origin.

use {
    crate::{
        shared::lock,
        slot::{
            serve::{self, Given},
            tables::{Slot, Source as Weights},
        },
    },
    bytes::Bytes,
    jayspread_core::{
        bundle::Piece,
        chunk::{Peer, Plan, Policy, Source, Step},
        spread::{Fetch, Scheduler},
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        engine,
        origin::{self, Manifest},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// Time for one piece on a slow and shared link, the turn at its holder included.
const TRANSFER: Duration = Duration::from_millis(2_000);
/// Pause before a manifest is asked for again, and before a failed source is asked again.
const ROUND: Duration = Duration::from_millis(150);
/// Pause before another host is asked when one has too many waiting.
const BUSY: Duration = Duration::from_millis(30);
/// Longest time without looking at what is due.
const LOOK: Duration = Duration::from_millis(200);
/// Interval of planning anew over the agents that are known by then.
const REPLAN: Duration = Duration::from_millis(1_000);

/// One version being fetched.
struct Job {
    slot: Arc<Slot>,
    weights: Weights,
    manifest: Arc<Manifest>,
}

/// Fetches all pieces of a version into memory; ends when they are complete. `named` is the time at
/// which the version was named.
pub async fn run(slot: Arc<Slot>, version: u64, named: Instant) {
    let began = clock::now();
    let (weights, manifest) = manifest(&slot, version).await;
    lock(&slot.pieces).open(&manifest);
    let job = Arc::new(Job {
        slot,
        weights,
        manifest,
    });
    job.recover().await;
    // A host that joins long after the naming gives the others time to be heard first.
    let since = if clock::now().saturating_duration_since(named) > REPLAN * 2 {
        began
    } else {
        named
    };
    job.spread(since).await;
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
                if turn == 0 {
                    event!(Warn, "manifest_failed", version = version, reason = cause);
                }
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
        && (turn.is_multiple_of(2) || agents.is_empty())
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
    let peer = SocketAddr::new(IpAddr::V4(*address), slot.settings.internal_port);
    serve::ask_manifest(peer, version).await
}

impl Job {
    /// Plan over the agents that are heard from.
    fn plan(&self) -> Vec<Step> {
        let settings = &self.slot.settings;
        let peer = |host: &str, data_centre: &str| Peer {
            host: host.into(),
            data_centre: data_centre.into(),
            region: settings.region(data_centre).into(),
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
        let origin = settings.region(&self.weights.data_centre);
        let steps = Plan::new(Policy::OriginRegionOnly, &me, &peers, &pieces, origin).steps;
        // The plan has each digest once; equal pieces share its step.
        let by_digest: BTreeMap<_, &Step> = steps.iter().map(|step| (step.hash, step)).collect();
        let digests = self.manifest.digests.iter();
        digests.map(|digest| by_digest[digest].clone()).collect()
    }

    /// Asks for pieces until all are held.
    async fn spread(self: &Arc<Self>, since: Instant) {
        let settings = &self.slot.settings;
        let patience = rand::random();
        let region = settings.region(&settings.data_centre);
        let mut spread = Scheduler::new(&settings.data_centre, region, &self.plan(), patience);
        let mut planned = clock::now();
        let mut asks = JoinSet::new();
        let count = self.manifest.digests.len();
        loop {
            (0..count)
                .filter(|index| self.has(*index))
                .for_each(|index| spread.mark_held(index));
            if spread.is_complete() {
                return;
            }
            let now = clock::now();
            if now.saturating_duration_since(planned) >= REPLAN {
                spread.set_plan(&self.plan());
                planned = now;
            }
            let holders = self.slot.holders(self.manifest.version, count);
            let elapsed = now.saturating_duration_since(since);
            while let Some(ask) = spread.next_fetch(&holders, elapsed, &mut rand::rng()) {
                let job = Arc::clone(self);
                asks.spawn(async move { job.obtain(ask).await });
            }
            tokio::select! {
                Some(ended) = asks.join_next() => match ended {
                    Ok(index) => spread.finish_fetch(index),
                    Err(cause) => {
                        event!(Error, "ask_ended", reason = cause);
                        return;
                    }
                },
                () = self.slot.holders_changed.notified() => {}
                () = time::sleep(LOOK) => {}
            }
        }
    }

    /// Carries one ask out and returns the index of its piece.
    async fn obtain(&self, ask: Fetch) -> usize {
        let given = match &ask.source {
            Source::Origin => self.ask_origin(ask.piece).await,
            Source::Peer(host) => self.ask_peer(host, ask.piece).await,
        };
        match given {
            Given::Piece(_) => {}
            Given::Busy => time::sleep(BUSY).await,
            Given::Nothing => time::sleep(ROUND).await,
        }
        ask.piece
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
            let staged = client.staged_piece(&self.weights.model, index).await;
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
        lock(&self.slot.pieces).keep(self.manifest.version, index, bytes)
    }

    fn has(&self, index: usize) -> bool {
        let pieces = lock(&self.slot.pieces);
        pieces.get(self.manifest.version, index).is_some()
    }

    async fn ask_origin(&self, index: usize) -> Given {
        let Some(origin) = self.weights.origin else {
            return Given::Nothing;
        };
        let mut client = origin::Client::new(origin);
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
                Given::Nothing
            }
        }
    }

    async fn ask_peer(&self, host: &str, index: usize) -> Given {
        let agents = self.slot.agents();
        let Some((address, _)) = agents.get(host) else {
            return Given::Nothing;
        };
        let peer = SocketAddr::new(IpAddr::V4(*address), self.slot.settings.internal_port);
        let (version, bytes) = (self.manifest.version, self.manifest.piece_bytes);
        let asked = serve::ask_piece(peer, version, index, TRANSFER, bytes);
        match asked.await {
            Ok(Given::Piece(piece)) => {
                self.slot.metrics.peer_bytes.inc_by(piece.len() as u64);
                self.check(piece, index, host)
            }
            Ok(given) => given,
            Err(cause) => {
                self.slot.metrics.fetch_failed.inc();
                event!(
                    Debug,
                    "peer_failed",
                    peer = host,
                    index = index,
                    reason = cause
                );
                Given::Nothing
            }
        }
    }

    /// Keeps a piece if its digest is right.
    fn check(&self, piece: Bytes, index: usize, from: &str) -> Given {
        if self.keep(index, &piece) {
            return Given::Piece(piece);
        }
        self.slot.metrics.corrupt.inc();
        event!(Warn, "piece_corrupt", source = from, index = index);
        Given::Nothing
    }
}
