//! Stand-in for the weight store's origin.

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

/// Largest chunk taken, bytes.
const CHUNK_MAX: usize = 64 * 1024 * 1024;
/// Bytes sent at a time over paced links.
const SLICE: usize = 16 * 1024;
/// Slices ready ahead of the connection.
const SLICES_AHEAD: usize = 2;

/// Faults of the origin, changed while it runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Share of chunks sent with a flipped byte.
    pub corruption_rate: f64,
    /// Share of calls refused with 429.
    pub throttling_rate: f64,
    /// Share of chunks that stall half-way for good.
    pub stall_rate: f64,
}

struct Inner {
    chunks: BTreeMap<ChunkHash, Bytes>,
    faults: Faults,
    rng: StdRng,
    sent: u64,
    sent_far: u64,
}

/// Links of the origin.
#[derive(Clone)]
struct Links {
    region: Box<str>,
    up: Arc<Link>,
    network: Arc<Network>,
}

/// The origin.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    links: Option<Links>,
}

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    region: Box<str>,
}

impl Store {
    /// Creates an empty origin whose faults follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                chunks: BTreeMap::new(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                sent: 0,
                sent_far: 0,
            })),
            links: None,
        }
    }

    /// Paces what it sends: `rate` bytes a second in all, and the region's links to others.
    pub fn with_bandwidth(mut self, region: &str, rate: f64, network: &Arc<Network>) -> Self {
        self.links = Some(Links {
            region: region.into(),
            up: Link::new(rate),
            network: Arc::clone(network),
        });
        self
    }

    /// Serves the origin over HTTP.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/chunks/{hash}", get(chunk).put(put))
            .layer(DefaultBodyLimit::max(CHUNK_MAX))
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

    /// Bytes sent in all and to other regions.
    pub fn bytes_sent(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.sent, inner.sent_far)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds the lock")
    }

    /// Draws what becomes of one call.
    fn draw(&self) -> Fate {
        let mut inner = self.lock();
        let faults = inner.faults;
        let mut hits = |share: f64| share > 0.0 && inner.rng.random_bool(share);
        if faults.down {
            return Fate::Down;
        }
        if hits(faults.throttling_rate) {
            return Fate::Limited;
        }
        if hits(faults.stall_rate) {
            return Fate::Stalled;
        }
        if hits(faults.corruption_rate) {
            return Fate::Corrupt;
        }
        Fate::Sound
    }

    fn count(&self, bytes: usize, far: bool) {
        let mut inner = self.lock();
        inner.sent += bytes as u64;
        if far {
            inner.sent_far += bytes as u64;
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Sound,
    Down,
    Limited,
    Stalled,
    Corrupt,
}

async fn put(State(store): State<Store>, Path(hash): Path<String>, bytes: Bytes) -> StatusCode {
    if hex::encode(blake3::hash(&bytes).as_bytes()) != hash {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    store.add_chunk(bytes);
    StatusCode::CREATED
}

async fn chunk(
    State(store): State<Store>,
    Path(hash): Path<String>,
    Query(from): Query<From>,
) -> Response {
    let mut key = ChunkHash::default();
    if hex::decode_to_slice(&hash, &mut key).is_err() {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let fate = store.draw();
    match fate {
        Fate::Down => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Fate::Limited => {
            let delay = [(header::RETRY_AFTER, "0.2")];
            return (StatusCode::TOO_MANY_REQUESTS, delay).into_response();
        }
        _ => {}
    }
    let Some(mut bytes) = store.lock().chunks.get(&key).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if fate == Fate::Corrupt {
        let mut flipped = bytes.to_vec();
        flipped[0] ^= 1;
        bytes = flipped.into();
    }
    send(store, bytes, from.region, fate == Fate::Stalled)
}

/// Sends a chunk in slices, as fast as the links allow.
fn send(store: Store, bytes: Bytes, region: Box<str>, stall: bool) -> Response {
    let (slices, receiver) = mpsc::channel(SLICES_AHEAD);
    let length = bytes.len();
    tokio::spawn(async move {
        let half = length / 2;
        let mut rest = bytes;
        while !rest.is_empty() {
            if stall && rest.len() <= half {
                slices.closed().await;
                return;
            }
            let slice = rest.split_to(rest.len().min(SLICE));
            store.pace(slice.len(), &region).await;
            if slices.send(slice).await.is_err() {
                return;
            }
        }
    });
    let body = Body::new(Paced {
        receiver,
        left: length as u64,
    });
    let headers = [(header::CONTENT_LENGTH, length.to_string())];
    (headers, body).into_response()
}

impl Store {
    async fn pace(&self, bytes: usize, region: &str) {
        let Some(links) = &self.links else {
            self.count(bytes, false);
            return;
        };
        let far = !region.is_empty() && *region != *links.region;
        self.count(bytes, far);
        links.up.send(bytes).await;
        if far {
            if let Some(own) = links.network.region(&links.region) {
                own.up.send(bytes).await;
            }
            if let Some(other) = links.network.region(region) {
                other.down.send(bytes).await;
            }
        }
    }
}

struct Paced {
    receiver: mpsc::Receiver<Bytes>,
    left: u64,
}

impl hyper::body::Body for Paced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let slice = std::task::ready!(self.receiver.poll_recv(cx));
        self.left -= slice.as_ref().map_or(0, |s| s.len() as u64);
        Poll::Ready(slice.map(|s| Ok(Frame::data(s))))
    }
}
