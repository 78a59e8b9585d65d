//! Fake of the weight store's origin, optionally with limited bandwidth.

use {
    crate::{
        network::{Link, Network},
        server::Server,
    },
    axum::{
        Router,
        body::{Body, Bytes},
        extract::{DefaultBodyLimit, Path, Query, State},
        response::{IntoResponse, Response},
        routing::get,
    },
    http::{StatusCode, header},
    hyper::body::Frame,
    jayspread_core::id::ChunkHash,
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard},
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// Largest chunk accepted, bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024 * 1024;
/// Bytes sent at a time over links with limited bandwidth.
const SLICE_BYTES: usize = 16 * 1024;
/// Slices buffered ahead of the connection.
const MAX_BUFFERED_SLICES: usize = 2;

/// Faults of the origin, changed while it runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Share of chunks sent with a flipped bit, 0 to 1.
    pub corruption_rate: f64,
    /// Share of calls rejected with status 429, 0 to 1.
    pub throttling_rate: f64,
    /// Share of chunks whose transfer stalls halfway until the caller gives up, 0 to 1.
    pub stall_rate: f64,
}

struct Inner {
    chunks: BTreeMap<ChunkHash, Bytes>,
    faults: Faults,
    rng: StdRng,
    bytes_sent: u64,
    bytes_sent_cross_region: u64,
}

/// Bandwidth limits of the origin.
#[derive(Clone)]
struct Bandwidth {
    region: Box<str>,
    uplink: Arc<Link>,
    network: Arc<Network>,
}

/// The origin; clones share its state.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    bandwidth: Option<Bandwidth>,
}

#[derive(Deserialize)]
struct ChunkQuery {
    #[serde(default)]
    region: Box<str>,
}

impl Store {
    /// Creates an empty origin whose random faults are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                chunks: BTreeMap::new(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                bytes_sent: 0,
                bytes_sent_cross_region: 0,
            })),
            bandwidth: None,
        }
    }

    /// Limits the bandwidth: `rate` bytes a second for all transfers, and the links between regions
    /// of `network` for transfers to other regions.
    pub fn with_bandwidth(mut self, region: &str, rate: f64, network: &Arc<Network>) -> Self {
        self.bandwidth = Some(Bandwidth {
            region: region.into(),
            uplink: Link::new(rate),
            network: Arc::clone(network),
        });
        self
    }

    /// Starts an HTTP server for the origin.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/chunks/{hash}", get(get_chunk).put(put_chunk))
            .layer(DefaultBodyLimit::max(MAX_CHUNK_BYTES))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Adds a chunk and returns its hash.
    pub fn add_chunk(&self, bytes: Bytes) -> ChunkHash {
        let hash = *blake3::hash(&bytes).as_bytes();
        self.lock().chunks.insert(hash, bytes);
        hash
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Bytes sent: in total, and to other regions.
    pub fn bytes_sent(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.bytes_sent, inner.bytes_sent_cross_region)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Chooses the fault of one call at random.
    fn choose_fault(&self) -> Fault {
        let mut inner = self.lock();
        let faults = inner.faults;
        let mut occurs = |rate: f64| rate > 0.0 && inner.rng.random_bool(rate);
        if faults.down {
            return Fault::Down;
        }
        if occurs(faults.throttling_rate) {
            return Fault::Throttled;
        }
        if occurs(faults.stall_rate) {
            return Fault::Stalled;
        }
        if occurs(faults.corruption_rate) {
            return Fault::Corrupt;
        }
        Fault::None
    }

    fn count_bytes(&self, bytes: usize, cross_region: bool) {
        let mut inner = self.lock();
        inner.bytes_sent += bytes as u64;
        if cross_region {
            inner.bytes_sent_cross_region += bytes as u64;
        }
    }
}

/// Fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Down,
    Throttled,
    Stalled,
    Corrupt,
}

async fn put_chunk(
    State(store): State<Store>,
    Path(hash): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    if hex::encode(blake3::hash(&bytes).as_bytes()) != hash {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    store.add_chunk(bytes);
    StatusCode::CREATED
}

async fn get_chunk(
    State(store): State<Store>,
    Path(hash): Path<String>,
    Query(query): Query<ChunkQuery>,
) -> Response {
    let mut decoded = ChunkHash::default();
    if hex::decode_to_slice(&hash, &mut decoded).is_err() {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let fault = store.choose_fault();
    match fault {
        Fault::Down => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Fault::Throttled => {
            let retry_after = [(header::RETRY_AFTER, "0.2")];
            return (StatusCode::TOO_MANY_REQUESTS, retry_after).into_response();
        }
        _ => {}
    }
    let Some(mut bytes) = store.lock().chunks.get(&decoded).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if fault == Fault::Corrupt {
        let mut flipped = bytes.to_vec();
        flipped[0] ^= 1;
        bytes = flipped.into();
    }
    send(store, bytes, query.region, fault == Fault::Stalled)
}

/// Streams a chunk to a caller in `region`, as fast as the bandwidth allows; with `stall`, only its
/// first half.
fn send(store: Store, bytes: Bytes, region: Box<str>, stall: bool) -> Response {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_SLICES);
    let length = bytes.len();
    tokio::spawn(async move {
        let half = length / 2;
        let mut remaining = bytes;
        while !remaining.is_empty() {
            if stall && remaining.len() <= half {
                sender.closed().await;
                return;
            }
            let slice = remaining.split_to(remaining.len().min(SLICE_BYTES));
            store.throttle(slice.len(), &region).await;
            if sender.send(slice).await.is_err() {
                return;
            }
        }
    });
    let body = Body::new(ChunkBody {
        receiver,
        remaining: length as u64,
    });
    let headers = [(header::CONTENT_LENGTH, length.to_string())];
    (headers, body).into_response()
}

impl Store {
    /// Waits until `bytes` have passed the links to `region`.
    async fn throttle(&self, bytes: usize, region: &str) {
        let Some(bandwidth) = &self.bandwidth else {
            self.count_bytes(bytes, false);
            return;
        };
        let cross_region = !region.is_empty() && *region != *bandwidth.region;
        self.count_bytes(bytes, cross_region);
        bandwidth.uplink.send(bytes).await;
        if cross_region {
            if let Some(origin_region) = bandwidth.network.region(&bandwidth.region) {
                origin_region.uplink.send(bytes).await;
            }
            if let Some(target_region) = bandwidth.network.region(region) {
                target_region.downlink.send(bytes).await;
            }
        }
    }
}

/// Response body whose data comes from a channel.
struct ChunkBody {
    receiver: mpsc::Receiver<Bytes>,
    remaining: u64,
}

impl hyper::body::Body for ChunkBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let slice = std::task::ready!(self.receiver.poll_recv(cx));
        self.remaining -= slice.as_ref().map_or(0, |s| s.len() as u64);
        Poll::Ready(slice.map(|s| Ok(Frame::data(s))))
    }
}
