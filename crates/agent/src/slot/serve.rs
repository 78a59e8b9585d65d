//! HTTP interface through which agents fetch pieces and manifests from each other.

use {
    crate::{shared::lock, slot::shared::Shared},
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
    jayspread_core::{id::ChunkHash, spread::Limit},
    jayspread_net::{
        client::{Client, Request},
        clock, event,
    },
    jayspread_platform::{
        engine,
        origin::{self, Manifest},
    },
    serde::{Deserialize, Serialize},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, time},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_MANIFEST_BYTES: usize = 4 << 20;
/// Bytes of a piece that are sent at a time.
const WRITE_BYTES: usize = 8 << 10;
/// Fraction of the host's link that uploads may use; the engine's responses need the rest.
pub const UPLOAD_SHARE: f64 = 0.8;

/// Query parameters of both routes; `/manifest` ignores the index.
#[derive(Debug)]
#[derive(Deserialize)]
struct PieceQuery {
    version: u64,
    #[serde(default)]
    index: usize,
}

/// JSON encoding of a manifest.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct ManifestDocument {
    version: u64,
    piece_bytes: u32,
    digests: Vec<Box<str>>,
}

/// Sends pieces one at a time at a limited rate, so that they do not delay the engine's responses
/// on the same link.
struct Uploader {
    shared: Arc<Shared>,
    /// Permit of the running upload.
    upload_slot: Arc<Semaphore>,
    /// Pause between two writes, which limits the rate.
    write_interval: Duration,
}

/// One upload, which leaves the queue when it is dropped.
struct Upload {
    uploader: Arc<Uploader>,
    version: u64,
    index: usize,
    /// Time at which the first bytes were sent.
    started_at: Option<Instant>,
    sent: usize,
    is_finished: bool,
}

impl Upload {
    /// Takes in an upload of a piece of `bytes`; `None` if it may not wait.
    fn begin(uploader: &Arc<Uploader>, query: &PieceQuery, bytes: usize) -> Option<Self> {
        let (version, index) = (query.version, query.index);
        let may_begin = lock(&uploader.shared.uploads).begin(version, index, bytes as u32);
        may_begin.then(|| Self {
            uploader: Arc::clone(uploader),
            version,
            index,
            started_at: None,
            sent: 0,
            is_finished: false,
        })
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let started_at = self.started_at.filter(|_| self.is_finished);
        let took = started_at.map(|at| clock::now().saturating_duration_since(at));
        let sent = took.map(|took| (self.sent, took));
        lock(&self.uploader.shared.uploads).end(self.version, self.index, sent);
    }
}

/// Creates the routes `/piece` and `/manifest`.
pub fn router(shared: Arc<Shared>) -> Router {
    let rate = shared.settings.link_bytes_per_second * UPLOAD_SHARE;
    let uploader = Arc::new(Uploader {
        shared: Arc::clone(&shared),
        upload_slot: Arc::new(Semaphore::new(1)),
        write_interval: Duration::from_secs_f64(WRITE_BYTES as f64 / rate.max(1.0)),
    });
    Router::new()
        .route("/piece", get(serve_piece).with_state(uploader))
        .route("/manifest", get(serve_manifest).with_state(shared))
}

async fn serve_piece(
    State(uploader): State<Arc<Uploader>>,
    Query(query): Query<PieceQuery>,
) -> Response {
    let Some(bytes) = find_piece(&uploader.shared, &query).await else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let Some(mut upload) = Upload::begin(&uploader, &query, bytes.len()) else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let Ok(upload_permit) = Arc::clone(&uploader.upload_slot).acquire_owned().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    uploader
        .shared
        .metrics
        .sent_bytes
        .inc_by(bytes.len() as u64);
    let length = bytes.len();
    upload.started_at = Some(clock::now());
    upload.sent = length;
    let body = stream::unfold(
        (bytes, (upload_permit, upload)),
        move |(mut remaining, (permit, mut upload))| {
            let write_interval = uploader.write_interval;
            async move {
                if remaining.is_empty() {
                    return None;
                }
                let chunk = remaining.split_to(remaining.len().min(WRITE_BYTES));
                if !remaining.is_empty() {
                    time::sleep(write_interval).await;
                }
                upload.is_finished = remaining.is_empty();
                Some((Ok::<_, Infallible>(chunk), (remaining, (permit, upload))))
            }
        },
    );
    let mut response = Response::new(Body::from_stream(body));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

/// Finds a piece in memory or in the engine's staging area.
async fn find_piece(shared: &Shared, query: &PieceQuery) -> Option<Bytes> {
    let in_memory = lock(&shared.pieces).get(query.version, query.index);
    match in_memory {
        Some(bytes) => Some(bytes),
        None => read_staged(shared, query).await,
    }
}

/// Reads a piece back from the engine's staging area. The receiver verifies its digest.
async fn read_staged(shared: &Shared, query: &PieceQuery) -> Option<Bytes> {
    if lock(&shared.engine_state).serving_version() != query.version {
        return None;
    }
    let model = shared.weight_source()?.model;
    let mut client = engine::Client::new(shared.engine_address);
    match client.staged_piece(&model, query.index).await {
        Ok(piece) => piece,
        Err(cause) => {
            event!(
                Debug,
                "staged_piece_unreadable",
                index = query.index,
                reason = cause
            );
            None
        }
    }
}

async fn serve_manifest(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<PieceQuery>,
) -> impl IntoResponse {
    let Some(manifest) = lock(&shared.pieces).manifest(query.version) else {
        return (StatusCode::NOT_FOUND, String::new());
    };
    let digests = manifest.digests.iter();
    let document = ManifestDocument {
        version: manifest.version,
        piece_bytes: manifest.piece_bytes,
        digests: digests
            .map(|digest| digest.encode_hex::<String>().into())
            .collect(),
    };
    match serde_json::to_string(&document) {
        Ok(text) => (StatusCode::OK, text),
        Err(cause) => {
            event!(Error, "manifest_encoding_failed", reason = cause);
            (StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

/// Reply of another agent to a request for a piece.
#[derive(Debug)]
pub enum PieceReply {
    /// Bytes of the piece, not yet verified.
    Piece(Bytes),
    /// The agent's upload queue is full.
    Busy,
    /// The agent does not have the piece.
    NotFound,
}

/// Fetches a piece of at most `max_bytes` from another agent, without verifying it. `on_data` gets the
/// number of bytes with each part.
pub async fn fetch_piece(
    peer: SocketAddr,
    version: u64,
    index: usize,
    limit: Limit,
    max_bytes: u32,
    on_data: impl FnMut(usize),
) -> Result<PieceReply, Box<str>> {
    let path = format!("/piece?version={version}&index={index}");
    let mut client = Client::new(peer, CONNECT_TIMEOUT);
    let Limit { wait, total } = limit;
    let (head, body) = client
        .receive(
            Request::get(&path),
            wait,
            total,
            max_bytes as usize,
            on_data,
        )
        .await
        .map_err(|cause| cause.to_string())?;
    Ok(match head.status {
        StatusCode::OK => PieceReply::Piece(body),
        StatusCode::SERVICE_UNAVAILABLE => PieceReply::Busy,
        _ => PieceReply::NotFound,
    })
}

/// Fetches a manifest from another agent; `None` when the agent does not have it.
pub async fn fetch_manifest(peer: SocketAddr, version: u64) -> Result<Option<Manifest>, Box<str>> {
    let path = format!("/manifest?version={version}");
    let mut client = Client::new(peer, CONNECT_TIMEOUT);
    let (head, body) = client
        .call(Request::get(&path), MANIFEST_TIMEOUT, MAX_MANIFEST_BYTES)
        .await
        .map_err(|cause| cause.to_string())?;
    if !head.status.is_success() {
        return Ok(None);
    }
    let document: ManifestDocument =
        serde_json::from_slice(&body).map_err(|cause| cause.to_string())?;
    let digests = document
        .digests
        .iter()
        .map(|text| origin::parse_digest(text));
    let digests: Result<Vec<ChunkHash>, _> = digests.collect();
    Ok(Some(Manifest {
        version: document.version,
        piece_bytes: document.piece_bytes,
        digests: digests.map_err(|cause| cause.to_string())?,
    }))
}
