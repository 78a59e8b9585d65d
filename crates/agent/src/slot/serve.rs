//! Pieces and manifests for other agents.

use {
    crate::{shared::lock, slot::tables::Slot},
    axum::{
        Router,
        body::Body,
        extract::{Query, State},
        http::{StatusCode, header},
        response::{IntoResponse, Response},
        routing::get,
    },
    bytes::Bytes,
    futures_util::stream,
    hex::ToHex,
    jayspread_core::{id::ChunkHash, spread::MAX_QUEUED_UPLOADS},
    jayspread_net::{
        client::{Client, Request},
        event,
    },
    jayspread_platform::{
        engine,
        origin::{self, Manifest},
    },
    serde::{Deserialize, Serialize},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Semaphore, time},
};

/// Time to connect to another agent.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for a manifest.
const MANIFEST: Duration = Duration::from_millis(1_000);
/// Largest manifest taken, bytes.
const MANIFEST_MAX: usize = 4 << 20;
/// Bytes written at once.
const PART: usize = 8 << 10;
/// Share of the host's link that pieces may take; the engine's answers share the link.
const LINK_SHARE: f64 = 0.8;

/// What another agent asks for.
#[derive(Debug)]
#[derive(Deserialize)]
struct Wanted {
    version: u64,
    #[serde(default)]
    index: usize,
}

/// A manifest as agents pass it on.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Passed {
    version: u64,
    piece_bytes: u32,
    digests: Vec<Box<str>>,
}

/// What sends pieces: one at a time and paced, so that they do not queue on the link before the
/// engine's answers.
struct Server {
    slot: Arc<Slot>,
    turn: Arc<Semaphore>,
    /// Transfers that may wait or run.
    queue: Arc<Semaphore>,
    /// Pause behind each part.
    pause: Duration,
}

/// Routes for other agents.
pub fn router(slot: Arc<Slot>) -> Router {
    let rate = slot.settings.link_bytes_per_second * LINK_SHARE;
    let server = Arc::new(Server {
        slot: Arc::clone(&slot),
        turn: Arc::new(Semaphore::new(1)),
        queue: Arc::new(Semaphore::new(MAX_QUEUED_UPLOADS + 1)),
        pause: Duration::from_secs_f64(PART as f64 / rate.max(1.0)),
    });
    Router::new()
        .route("/piece", get(piece).with_state(server))
        .route("/manifest", get(manifest).with_state(slot))
}

async fn piece(State(server): State<Arc<Server>>, Query(wanted): Query<Wanted>) -> Response {
    let Some(bytes) = find(&server.slot, &wanted).await else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let Ok(place) = Arc::clone(&server.queue).try_acquire_owned() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let Ok(turn) = Arc::clone(&server.turn).acquire_owned().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    server.slot.metrics.sent_bytes.inc_by(bytes.len() as u64);
    let length = bytes.len();
    let paced = stream::unfold((bytes, (turn, place)), move |(mut left, turn)| {
        let pause = server.pause;
        async move {
            if left.is_empty() {
                return None;
            }
            let part = left.split_to(left.len().min(PART));
            if !left.is_empty() {
                time::sleep(pause).await;
            }
            Some((Ok::<_, Infallible>(part), (left, turn)))
        }
    });
    let mut response = Response::new(Body::from_stream(paced));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

/// Finds a piece in memory or in the engine's staging area.
async fn find(slot: &Slot, wanted: &Wanted) -> Option<Bytes> {
    let held = lock(&slot.pieces).get(wanted.version, wanted.index);
    match held {
        Some(bytes) => Some(bytes),
        None => staged(slot, wanted).await,
    }
}

/// Reads a piece back from the engine's staging area. It is not checked here: who asks checks it.
async fn staged(slot: &Slot, wanted: &Wanted) -> Option<Bytes> {
    if lock(&slot.seen).version() != wanted.version {
        return None;
    }
    let model = slot.source()?.model;
    let mut client = engine::Client::new(slot.engine);
    match client.staged_piece(&model, wanted.index).await {
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
    State(slot): State<Arc<Slot>>,
    Query(wanted): Query<Wanted>,
) -> impl IntoResponse {
    let Some(manifest) = lock(&slot.pieces).manifest(wanted.version) else {
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

/// What another agent gives that was asked for a piece.
#[derive(Debug)]
pub enum Given {
    /// The piece.
    Piece(Bytes),
    /// Too many wait there.
    Busy,
    /// It has none.
    Nothing,
}

/// Asks another agent for a piece.
pub async fn ask_piece(
    peer: SocketAddr,
    version: u64,
    index: usize,
    limit: Duration,
    bytes: u32,
) -> Result<Given, Box<str>> {
    let path = format!("/piece?version={version}&index={index}");
    let mut client = Client::new(peer, CONNECT);
    let (head, body) = client
        .call(Request::get(&path), limit, bytes as usize)
        .await
        .map_err(|cause| cause.to_string())?;
    Ok(match head.status {
        StatusCode::OK => Given::Piece(body),
        StatusCode::SERVICE_UNAVAILABLE => Given::Busy,
        _ => Given::Nothing,
    })
}

/// Asks another agent for a manifest; nothing when it has none.
pub async fn ask_manifest(peer: SocketAddr, version: u64) -> Result<Option<Manifest>, Box<str>> {
    let path = format!("/manifest?version={version}");
    let mut client = Client::new(peer, CONNECT);
    let (head, body) = client
        .call(Request::get(&path), MANIFEST, MANIFEST_MAX)
        .await
        .map_err(|cause| cause.to_string())?;
    if !head.status.is_success() {
        return Ok(None);
    }
    let passed: Passed = serde_json::from_slice(&body).map_err(|cause| cause.to_string())?;
    let digests = passed.digests.iter().map(|text| origin::parse_digest(text));
    let digests: Result<Vec<ChunkHash>, _> = digests.collect();
    Ok(Some(Manifest {
        version: passed.version,
        piece_bytes: passed.piece_bytes,
        digests: digests.map_err(|cause| cause.to_string())?,
    }))
}
