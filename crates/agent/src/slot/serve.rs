//! Pieces and manifests for other agents.

use {
    crate::{shared::lock, slot::tables::Slot},
    axum::{
        Router,
        extract::{Query, State},
        http::StatusCode,
        response::IntoResponse,
        routing::get,
    },
    bytes::Bytes,
    hex::ToHex,
    jayspread_core::id::ChunkHash,
    jayspread_net::{
        channel::{Client, Request},
        clock, event,
    },
    jayspread_platform::{engine, origin::Manifest},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Semaphore, time},
};

/// Pieces sent at once; the link is slow, so that more would only make each later.
const UPLOADS: usize = 3;
/// Time to connect to another agent.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for a manifest.
const MANIFEST: Duration = Duration::from_millis(1_000);
/// Largest manifest taken, bytes.
const MANIFEST_MAX: usize = 4 << 20;
/// Longest wait that another agent may ask for.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// What another agent asks for.
#[derive(Debug)]
#[derive(Deserialize)]
struct Wanted {
    version: u64,
    index: usize,
    /// Time to wait for a piece that is on its way, milliseconds.
    wait_ms: u64,
}

/// A manifest as agents pass it on.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Passed {
    version: u64,
    piece_bytes: u32,
    digests: Vec<Box<str>>,
}

struct Server {
    slot: Arc<Slot>,
    uploads: Semaphore,
}

/// Routes for other agents.
pub fn router(slot: Arc<Slot>) -> Router {
    let server = Server {
        slot,
        uploads: Semaphore::new(UPLOADS),
    };
    Router::new()
        .route("/piece", get(piece))
        .route("/manifest", get(manifest))
        .with_state(Arc::new(server))
}

async fn piece(
    State(server): State<Arc<Server>>,
    Query(wanted): Query<Wanted>,
) -> impl IntoResponse {
    let Ok(_permit) = server.uploads.acquire().await else {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    let found = find(&server.slot, &wanted).await;
    match found {
        Some(bytes) => {
            server.slot.metrics.sent_bytes.inc_by(bytes.len() as u64);
            (StatusCode::OK, bytes)
        }
        None => (StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Finds a piece in memory or in the engine's staging area, or waits for it to arrive.
async fn find(slot: &Slot, wanted: &Wanted) -> Option<Bytes> {
    let wait = Duration::from_millis(wanted.wait_ms).min(WAIT_MAX);
    let until = clock::now() + wait;
    loop {
        let arrived = slot.arrived.notified();
        if let Some(bytes) = lock(&slot.pieces).get(wanted.version, wanted.index) {
            return Some(bytes);
        }
        let fetching = {
            let pieces = lock(&slot.pieces);
            pieces.manifest(wanted.version).is_some() && !pieces.released(wanted.version)
        };
        if !fetching {
            return staged(slot, wanted).await;
        }
        time::timeout_at(until.into(), arrived).await.ok()?;
    }
}

/// Reads a piece back from the engine's staging area. It is not checked here: who asks checks it.
async fn staged(slot: &Slot, wanted: &Wanted) -> Option<Bytes> {
    if lock(&slot.seen).version() != wanted.version {
        return None;
    }
    let model = slot.source()?.model;
    let mut client = engine::Client::new(slot.engine);
    match client.staged(&model, wanted.index).await {
        Ok(piece) => piece,
        Err(cause) => {
            event!(
                Debug,
                "stage_unreadable",
                index = wanted.index,
                reason = cause
            );
            None
        }
    }
}

async fn manifest(
    State(server): State<Arc<Server>>,
    Query(wanted): Query<Wanted>,
) -> impl IntoResponse {
    let Some(manifest) = lock(&server.slot.pieces).manifest(wanted.version) else {
        return (StatusCode::NOT_FOUND, String::new());
    };
    let digests = manifest.digests.iter();
    let passed = Passed {
        version: manifest.version,
        piece_bytes: manifest.piece_bytes,
        digests: digests
            .map(|digest| digest.encode_hex::<String>().into())
            .collect(),
    };
    match serde_json::to_string(&passed) {
        Ok(text) => (StatusCode::OK, text),
        Err(cause) => {
            event!(Error, "manifest_not_encoded", reason = cause);
            (StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

/// Asks another agent for a piece; nothing when it has none.
pub async fn ask_piece(
    peer: SocketAddr,
    version: u64,
    index: usize,
    wait: Duration,
    limit: Duration,
    bytes: u32,
) -> Result<Option<Bytes>, Box<str>> {
    let wait = wait.as_millis();
    let path = format!("/piece?version={version}&index={index}&wait_ms={wait}");
    let mut client = Client::new(peer, CONNECT);
    let (head, body) = client
        .call(Request::get(&path), limit, bytes as usize)
        .await
        .map_err(|cause| cause.to_string())?;
    Ok(head.status.is_success().then_some(body))
}

/// Asks another agent for a manifest; nothing when it has none.
pub async fn ask_manifest(peer: SocketAddr, version: u64) -> Result<Option<Manifest>, Box<str>> {
    let path = format!("/manifest?version={version}&index=0&wait_ms=0");
    let mut client = Client::new(peer, CONNECT);
    let (head, body) = client
        .call(Request::get(&path), MANIFEST, MANIFEST_MAX)
        .await
        .map_err(|cause| cause.to_string())?;
    if !head.status.is_success() {
        return Ok(None);
    }
    let passed: Passed = serde_json::from_slice(&body).map_err(|cause| cause.to_string())?;
    let digests: Result<Vec<ChunkHash>, _> = passed.digests.iter().map(|d| decode(d)).collect();
    Ok(Some(Manifest {
        version: passed.version,
        piece_bytes: passed.piece_bytes,
        digests: digests?,
    }))
}

fn decode(text: &str) -> Result<ChunkHash, Box<str>> {
    let mut digest = ChunkHash::default();
    hex::decode_to_slice(text, &mut digest).map_err(|cause| cause.to_string())?;
    Ok(digest)
}
