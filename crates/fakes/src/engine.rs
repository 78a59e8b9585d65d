//! Stand-in for a model engine or a plain service.
//!
//! It stages and loads versions, generates text that follows from the prompt and the version,
//! lodges effects, and keeps the books that show a broken promise: partial loads, effects applied
//! twice, and load beyond what it bears in cold start.

use {
    crate::server::Server,
    axum::{
        Json, Router,
        body::{Body, Bytes},
        extract::{DefaultBodyLimit, Path, State},
        response::{IntoResponse, Response},
        routing::{get, post, put},
    },
    http::{HeaderMap, HeaderValue, StatusCode, header},
    hyper::body::Frame,
    jayspread_agent::engine::{LoadOrder, State as Report},
    jayspread_core::id::ChunkHash,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard},
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time},
};

/// Largest chunk staged, bytes.
const CHUNK_MAX: usize = 64 * 1024 * 1024;
/// Pieces of a stream ready ahead of the connection.
const PIECES_AHEAD: usize = 4;
/// Header of the request id.
const REQUEST_ID: &str = "x-request-id";

/// Chunk hashes of a version by artifact and offset.
pub type Manifest = BTreeMap<(Box<str>, u64), ChunkHash>;

/// What engines of one deployment must load, by version.
#[derive(Clone, Default)]
pub struct Manifests {
    inner: Arc<Mutex<BTreeMap<Box<str>, Vec<Manifest>>>>,
}

impl Manifests {
    /// Adds what a service's engines must load for a version.
    pub fn add(&self, version: &str, manifest: Manifest) {
        let mut inner = self.inner.lock().expect("no panic holds the lock");
        inner.entry(version.into()).or_default().push(manifest);
    }

    /// Whether `staged` is exactly what some service loads for the version.
    fn complete(&self, version: &str, staged: &Manifest) -> bool {
        let inner = self.inner.lock().expect("no panic holds the lock");
        inner.get(version).is_some_and(|all| all.contains(staged))
    }
}

/// How the stand-in behaves.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time of a load.
    pub load_time: Duration,
    /// Time to the first token.
    pub time_to_first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Requests it bears at once in cold start.
    pub cold_capacity: usize,
    /// Requests after which it is warm.
    pub warm_after_requests: u64,
    /// Answers with another request's id.
    pub wrong_request_id: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            checks_fencing: true,
            load_time: Duration::from_millis(50),
            time_to_first_token: Duration::from_millis(2),
            token_interval: Duration::ZERO,
            cold_capacity: usize::MAX,
            warm_after_requests: 0,
            wrong_request_id: false,
        }
    }
}

/// Books of one stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counters {
    /// Loads of something that is no whole version.
    pub partial_loads: u64,
    /// Answers whose version changed between begin and end.
    pub version_changes: u64,
    /// Requests begun.
    pub requests_started: u64,
    /// Requests begun while nothing was loaded.
    pub requests_unloaded: u64,
    /// Requests beyond what it bears in cold start.
    pub cold_overloads: u64,
    /// Most requests running at once in cold start.
    pub peak_running_cold: usize,
    /// Most requests running at once.
    pub peak_running: usize,
    /// Times each effect was applied.
    pub effects: BTreeMap<String, u64>,
}

struct Inner {
    boot: u64,
    serving: Option<Box<str>>,
    loading: Option<(Box<str>, Instant)>,
    fence: u64,
    staged: BTreeMap<Box<str>, Manifest>,
    behaviour: Behaviour,
    running: usize,
    answered: u64,
    books: Counters,
}

/// The stand-in.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    manifests: Manifests,
    plain: bool,
}

/// A request to generate text.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Prompt {
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: usize,
    /// Whether tokens come one by one as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A request with an effect.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Effect {
    /// Name of the effect.
    pub effect: String,
    /// Time that it takes, milliseconds.
    #[serde(default)]
    pub takes_ms: u64,
}

impl Engine {
    /// Creates a model engine.
    pub fn new(manifests: &Manifests, behaviour: Behaviour) -> Self {
        Self::create(manifests, behaviour, false)
    }

    /// Creates a plain service.
    pub fn plain(behaviour: Behaviour) -> Self {
        Self::create(&Manifests::default(), behaviour, true)
    }

    fn create(manifests: &Manifests, behaviour: Behaviour, plain: bool) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                boot: rand::random(),
                serving: None,
                loading: None,
                fence: 0,
                staged: BTreeMap::new(),
                behaviour,
                running: 0,
                answered: 0,
                books: Counters::default(),
            })),
            manifests: manifests.clone(),
            plain,
        }
    }

    /// Serves the stand-in over HTTP.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/state", get(state))
            .route("/orders/load", post(load))
            .route("/staging/{version}/{artifact}/{offset}", put(stage))
            .route("/generate", post(generate))
            .route("/lodge", post(lodge))
            .route("/status/{name}", get(status))
            .layer(DefaultBodyLimit::max(CHUNK_MAX))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Changes the behaviour.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
    }

    /// Restarts it: cold and with nothing loaded.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.boot = rand::random();
        inner.serving = None;
        inner.loading = None;
        inner.staged.clear();
        inner.answered = 0;
    }

    /// Turns it cold without a sign.
    pub fn reset_warmth(&self) {
        self.lock().answered = 0;
    }

    /// Books so far.
    pub fn counters(&self) -> Counters {
        self.lock().books.clone()
    }

    /// Version served.
    pub fn serving_version(&self) -> Option<Box<str>> {
        let mut inner = self.lock();
        self.settle(&mut inner);
        inner.serving.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds the lock")
    }

    /// Ends a load whose time has passed.
    fn settle(&self, inner: &mut Inner) {
        if let Some((version, due)) = inner.loading.clone()
            && due <= Instant::now()
        {
            let staged = inner.staged.get(&version).cloned().unwrap_or_default();
            if !self.manifests.complete(&version, &staged) {
                inner.books.partial_loads += 1;
            }
            inner.staged.retain(|other, _| *other == version);
            inner.serving = Some(version);
            inner.loading = None;
            inner.answered = 0;
        }
    }

    fn begin(&self) -> Running {
        let mut inner = self.lock();
        self.settle(&mut inner);
        inner.running += 1;
        inner.books.requests_started += 1;
        let running = inner.running;
        inner.books.peak_running = inner.books.peak_running.max(running);
        if inner.serving.is_none() && !self.plain {
            inner.books.requests_unloaded += 1;
        }
        if inner.answered < inner.behaviour.warm_after_requests {
            inner.books.peak_running_cold = inner.books.peak_running_cold.max(running);
            if running > inner.behaviour.cold_capacity {
                inner.books.cold_overloads += 1;
            }
        }
        Running {
            engine: self.clone(),
            version: inner.serving.clone(),
        }
    }
}

/// A request that runs.
struct Running {
    engine: Engine,
    version: Option<Box<str>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.running -= 1;
        inner.answered += 1;
        if inner.serving != self.version {
            inner.books.version_changes += 1;
        }
    }
}

async fn state(State(engine): State<Engine>) -> Json<Report> {
    let mut inner = engine.lock();
    engine.settle(&mut inner);
    Json(Report {
        boot: inner.boot,
        serving: inner.serving.clone().unwrap_or_default().into(),
        loading: inner.loading.is_some(),
        fence: inner.fence,
    })
}

async fn load(State(engine): State<Engine>, Json(order): Json<LoadOrder>) -> StatusCode {
    let mut inner = engine.lock();
    engine.settle(&mut inner);
    if inner.behaviour.checks_fencing && order.fence < inner.fence {
        return StatusCode::CONFLICT;
    }
    let staged = inner.staged.get(&*order.version).map_or(0, BTreeMap::len);
    if staged != order.pieces {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    inner.fence = inner.fence.max(order.fence);
    let due = Instant::now() + inner.behaviour.load_time;
    inner.serving = None;
    inner.loading = Some((order.version.into(), due));
    StatusCode::ACCEPTED
}

async fn stage(
    State(engine): State<Engine>,
    Path((version, artifact, offset)): Path<(String, String, u64)>,
    headers: HeaderMap,
    bytes: Bytes,
) -> StatusCode {
    let mut inner = engine.lock();
    let hash = match headers.get("x-copy-from").and_then(|v| v.to_str().ok()) {
        Some(from) => match copied(&inner, from) {
            Some(hash) => hash,
            None => return StatusCode::NOT_FOUND,
        },
        None => *blake3::hash(&bytes).as_bytes(),
    };
    let staged = inner.staged.entry(version.into()).or_default();
    staged.insert((artifact.into(), offset), hash);
    StatusCode::CREATED
}

fn copied(inner: &Inner, from: &str) -> Option<ChunkHash> {
    let mut parts = from.splitn(3, '/');
    let version = parts.next()?;
    let artifact = parts.next()?;
    let offset: u64 = parts.next()?.parse().ok()?;
    let staged = inner.staged.get(version)?;
    staged.get(&(artifact.into(), offset)).copied()
}

/// Token number `index` of the answer to a prompt by a version.
pub fn token(prompt: &str, version: &str, index: usize) -> String {
    let seed = format!("{version}/{prompt}/{index}");
    let hash = blake3::hash(seed.as_bytes());
    format!("w{}", hex::encode(&hash.as_bytes()[..3]))
}

/// Whole text of the answer to a prompt by a version.
pub fn expected_text(prompt: &Prompt, version: &str) -> String {
    let tokens = (0..prompt.tokens).map(|index| token(&prompt.prompt, version, index));
    tokens.collect::<Vec<_>>().join(" ")
}

/// Events of the streamed answer to a prompt by a version.
pub fn expected_events(prompt: &Prompt, version: &str) -> Vec<String> {
    let token = |index| token(&prompt.prompt, version, index);
    let mut events: Vec<String> = (0..prompt.tokens)
        .map(|index| format!("data: {}\n\n", token(index)))
        .collect();
    events.push("data: [DONE]\n\n".to_owned());
    events
}

fn respond(engine: &Engine, headers: &HeaderMap, mut response: Response) -> Response {
    let foreign = engine.lock().behaviour.wrong_request_id;
    let id = headers.get(REQUEST_ID).cloned();
    let id = if foreign {
        Some(HeaderValue::from_static("another"))
    } else {
        id
    };
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

async fn generate(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Json(prompt): Json<Prompt>,
) -> Response {
    let running = engine.begin();
    let behaviour = engine.lock().behaviour;
    let version: Box<str> = running.version.clone().unwrap_or_default();
    time::sleep(behaviour.time_to_first_token).await;
    if !prompt.stream {
        time::sleep(behaviour.token_interval * prompt.tokens as u32).await;
        let text = expected_text(&prompt, &version);
        drop(running);
        let answer = serde_json::json!({ "version": version, "text": text });
        return respond(&engine, &headers, Json(answer).into_response());
    }
    let skip = headers
        .get("x-resume-at")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let body = stream(
        running,
        prompt,
        &version,
        behaviour.token_interval,
        skip.unwrap_or(0),
    );
    let kind = [(header::CONTENT_TYPE, "text/event-stream")];
    respond(&engine, &headers, (kind, body).into_response())
}

/// Streams tokens, without the first `skip` bytes.
fn stream(running: Running, prompt: Prompt, version: &str, gap: Duration, skip: u64) -> Body {
    let (pieces, receiver) = mpsc::channel(PIECES_AHEAD);
    let events = expected_events(&prompt, version);
    tokio::spawn(async move {
        let mut skip = skip as usize;
        for event in events {
            if skip >= event.len() {
                skip -= event.len();
                continue;
            }
            let piece = Bytes::from(event.into_bytes()).slice(skip..);
            skip = 0;
            if !gap.is_zero() {
                time::sleep(gap).await;
            }
            if pieces.send(piece).await.is_err() {
                break;
            }
        }
        drop(running);
    });
    Body::new(Pieces(receiver))
}

struct Pieces(mpsc::Receiver<Bytes>);

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(cx)
            .map(|piece| piece.map(|p| Ok(Frame::data(p))))
    }
}

async fn lodge(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Json(effect): Json<Effect>,
) -> Response {
    let running = engine.begin();
    let count = {
        let mut inner = engine.lock();
        let count = inner
            .books
            .effects
            .entry(effect.effect.clone())
            .or_default();
        *count += 1;
        *count
    };
    time::sleep(Duration::from_millis(effect.takes_ms)).await;
    drop(running);
    let answer = serde_json::json!({ "effect": effect.effect, "count": count });
    respond(&engine, &headers, Json(answer).into_response())
}

async fn status(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Path(name): Path<String>,
) -> Response {
    let running = engine.begin();
    let first = engine.lock().behaviour.time_to_first_token;
    time::sleep(first).await;
    drop(running);
    let answer = serde_json::json!({ "name": name, "open": true });
    respond(&engine, &headers, Json(answer).into_response())
}
