//! Fake of a model engine or a plain service.
//!
//! Generates text that is a function of the prompt and the version, and counts violations: partial
//! loads, effects applied more than once, and overload while cold.

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
    jayspread_agent::engine::{LoadOrder, State as StateReport},
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

/// Largest chunk that can be staged, bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024 * 1024;
/// Stream events buffered ahead of the connection.
const MAX_BUFFERED_EVENTS: usize = 4;
/// Header with the request ID.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Chunk hashes of a version, by artifact name and byte offset.
pub type Manifest = BTreeMap<(Box<str>, u64), ChunkHash>;

/// Complete manifests by version, shared by all engines of a deployment.
#[derive(Clone, Default)]
pub struct Manifests {
    inner: Arc<Mutex<BTreeMap<Box<str>, Vec<Manifest>>>>,
}

impl Manifests {
    /// Adds a service's manifest for a version.
    pub fn add(&self, version: &str, manifest: Manifest) {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        inner.entry(version.into()).or_default().push(manifest);
    }

    /// Whether `staged` equals the manifest of some service for the version.
    fn is_complete(&self, version: &str, staged: &Manifest) -> bool {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner
            .get(version)
            .is_some_and(|manifests| manifests.contains(staged))
    }
}

/// Configurable behaviour of a fake engine.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Rejects load orders whose fence is lower than the highest seen.
    pub checks_fencing: bool,
    /// Duration of a load.
    pub load_time: Duration,
    /// Delay before the first token of an answer.
    pub time_to_first_token: Duration,
    /// Delay between tokens.
    pub token_interval: Duration,
    /// Highest number of concurrent requests while cold; more are counted as `cold_overloads`.
    pub cold_capacity: usize,
    /// Finished requests after which the engine is warm.
    pub warm_after_requests: u64,
    /// Responds with the ID of another request.
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

/// Counters of one fake engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counters {
    /// Loads of an incomplete version.
    pub partial_loads: u64,
    /// Requests during which the serving version changed.
    pub version_changes: u64,
    /// Requests started.
    pub requests_started: u64,
    /// Requests started while no version was loaded.
    pub requests_unloaded: u64,
    /// Requests started above the capacity of the cold engine.
    pub cold_overloads: u64,
    /// Highest number of concurrent requests while cold.
    pub peak_running_cold: usize,
    /// Highest number of concurrent requests.
    pub peak_running: usize,
    /// How often each effect was applied, by its name.
    pub effects: BTreeMap<String, u64>,
}

struct Inner {
    boot_id: u64,
    serving: Option<Box<str>>,
    loading: Option<(Box<str>, Instant)>,
    fence: u64,
    staged: BTreeMap<Box<str>, Manifest>,
    behaviour: Behaviour,
    running: usize,
    finished_requests: u64,
    counters: Counters,
}

/// A fake engine; clones share its state.
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
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: usize,
    /// Whether the tokens are streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A request with a side effect.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Effect {
    /// Name of the effect.
    pub effect: String,
    /// Duration of the request, milliseconds.
    #[serde(default)]
    pub takes_ms: u64,
}

impl Engine {
    /// Creates a model engine that loads versions listed in `manifests`.
    pub fn new(manifests: &Manifests, behaviour: Behaviour) -> Self {
        Self::create(manifests, behaviour, false)
    }

    /// Creates a plain service, which needs no weights.
    pub fn plain(behaviour: Behaviour) -> Self {
        Self::create(&Manifests::default(), behaviour, true)
    }

    fn create(manifests: &Manifests, behaviour: Behaviour, plain: bool) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                boot_id: rand::random(),
                serving: None,
                loading: None,
                fence: 0,
                staged: BTreeMap::new(),
                behaviour,
                running: 0,
                finished_requests: 0,
                counters: Counters::default(),
            })),
            manifests: manifests.clone(),
            plain,
        }
    }

    /// Starts an HTTP server for the engine.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/state", get(state))
            .route("/orders/load", post(load))
            .route("/staging/{version}/{artifact}/{offset}", put(stage))
            .route("/generate", post(generate))
            .route("/lodge", post(apply_effect))
            .route("/status/{name}", get(status))
            .layer(DefaultBodyLimit::max(MAX_CHUNK_BYTES))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Changes the behaviour while the engine runs.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
    }

    /// Simulates a restart: the engine is cold and has nothing staged or loaded.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.boot_id = rand::random();
        inner.serving = None;
        inner.loading = None;
        inner.staged.clear();
        inner.finished_requests = 0;
    }

    /// Makes the engine cold without a restart that others could notice.
    pub fn make_cold(&self) {
        self.lock().finished_requests = 0;
    }

    /// Snapshot of the counters.
    pub fn counters(&self) -> Counters {
        self.lock().counters.clone()
    }

    /// Version that the engine serves, if any.
    pub fn serving_version(&self) -> Option<Box<str>> {
        let mut inner = self.lock();
        self.finish_due_load(&mut inner);
        inner.serving.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Completes a load whose duration has passed.
    fn finish_due_load(&self, inner: &mut Inner) {
        if let Some((version, ends_at)) = inner.loading.clone()
            && ends_at <= Instant::now()
        {
            let staged = inner.staged.get(&version).cloned().unwrap_or_default();
            if !self.manifests.is_complete(&version, &staged) {
                inner.counters.partial_loads += 1;
            }
            inner.staged.retain(|key, _| *key == version);
            inner.serving = Some(version);
            inner.loading = None;
            inner.finished_requests = 0;
        }
    }

    fn start_request(&self) -> RunningRequest {
        let mut inner = self.lock();
        self.finish_due_load(&mut inner);
        inner.running += 1;
        inner.counters.requests_started += 1;
        let concurrent = inner.running;
        inner.counters.peak_running = inner.counters.peak_running.max(concurrent);
        if inner.serving.is_none() && !self.plain {
            inner.counters.requests_unloaded += 1;
        }
        if inner.finished_requests < inner.behaviour.warm_after_requests {
            inner.counters.peak_running_cold = inner.counters.peak_running_cold.max(concurrent);
            if concurrent > inner.behaviour.cold_capacity {
                inner.counters.cold_overloads += 1;
            }
        }
        RunningRequest {
            engine: self.clone(),
            version: inner.serving.clone(),
        }
    }
}

/// A request in progress; dropping it ends the request.
struct RunningRequest {
    engine: Engine,
    version: Option<Box<str>>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.running -= 1;
        inner.finished_requests += 1;
        if inner.serving != self.version {
            inner.counters.version_changes += 1;
        }
    }
}

async fn state(State(engine): State<Engine>) -> Json<StateReport> {
    let mut inner = engine.lock();
    engine.finish_due_load(&mut inner);
    Json(StateReport {
        boot: inner.boot_id,
        serving: inner.serving.clone().unwrap_or_default().into(),
        loading: inner.loading.is_some(),
        fence: inner.fence,
    })
}

async fn load(State(engine): State<Engine>, Json(order): Json<LoadOrder>) -> StatusCode {
    let mut inner = engine.lock();
    engine.finish_due_load(&mut inner);
    if inner.behaviour.checks_fencing && order.fence < inner.fence {
        return StatusCode::CONFLICT;
    }
    let staged_pieces = inner.staged.get(&*order.version).map_or(0, BTreeMap::len);
    if staged_pieces != order.pieces {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    inner.fence = inner.fence.max(order.fence);
    let load_ends_at = Instant::now() + inner.behaviour.load_time;
    inner.serving = None;
    inner.loading = Some((order.version.into(), load_ends_at));
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
        Some(source) => match staged_chunk(&inner, source) {
            Some(hash) => hash,
            None => return StatusCode::NOT_FOUND,
        },
        None => *blake3::hash(&bytes).as_bytes(),
    };
    let staged = inner.staged.entry(version.into()).or_default();
    staged.insert((artifact.into(), offset), hash);
    StatusCode::CREATED
}

/// Hash of a staged chunk at the source `VERSION/ARTIFACT/OFFSET` of a copy.
fn staged_chunk(inner: &Inner, source: &str) -> Option<ChunkHash> {
    let mut parts = source.splitn(3, '/');
    let version = parts.next()?;
    let artifact = parts.next()?;
    let offset: u64 = parts.next()?.parse().ok()?;
    let staged = inner.staged.get(version)?;
    staged.get(&(artifact.into(), offset)).copied()
}

/// Token at `index` of the answer that a version gives to a prompt.
pub fn token(prompt: &str, version: &str, index: usize) -> String {
    let seed = format!("{version}/{prompt}/{index}");
    let hash = blake3::hash(seed.as_bytes());
    format!("w{}", hex::encode(&hash.as_bytes()[..3]))
}

/// Complete text of the answer that a version gives to a prompt.
pub fn expected_text(prompt: &Prompt, version: &str) -> String {
    let tokens = (0..prompt.tokens).map(|index| token(&prompt.prompt, version, index));
    tokens.collect::<Vec<_>>().join(" ")
}

/// Events of the streamed answer that a version gives to a prompt.
pub fn expected_events(prompt: &Prompt, version: &str) -> Vec<String> {
    let token = |index| token(&prompt.prompt, version, index);
    let mut events: Vec<String> = (0..prompt.tokens)
        .map(|index| format!("data: {}\n\n", token(index)))
        .collect();
    events.push("data: [DONE]\n\n".to_owned());
    events
}

/// Adds the request ID to a response, or a wrong ID if the behaviour says so.
fn with_request_id(engine: &Engine, headers: &HeaderMap, mut response: Response) -> Response {
    let wrong_request_id = engine.lock().behaviour.wrong_request_id;
    let id = headers.get(REQUEST_ID_HEADER).cloned();
    let id = if wrong_request_id {
        Some(HeaderValue::from_static("another"))
    } else {
        id
    };
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}

async fn generate(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Json(prompt): Json<Prompt>,
) -> Response {
    let running = engine.start_request();
    let behaviour = engine.lock().behaviour;
    let version: Box<str> = running.version.clone().unwrap_or_default();
    time::sleep(behaviour.time_to_first_token).await;
    if !prompt.stream {
        time::sleep(behaviour.token_interval * prompt.tokens as u32).await;
        let text = expected_text(&prompt, &version);
        drop(running);
        let answer = serde_json::json!({ "version": version, "text": text });
        return with_request_id(&engine, &headers, Json(answer).into_response());
    }
    let offset = headers
        .get("x-resume-at")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let interval = behaviour.token_interval;
    let body = stream(running, prompt, &version, interval, offset.unwrap_or(0));
    let content_type = [(header::CONTENT_TYPE, "text/event-stream")];
    with_request_id(&engine, &headers, (content_type, body).into_response())
}

/// Streams the events of an answer from byte `offset` on.
fn stream(
    request: RunningRequest,
    prompt: Prompt,
    version: &str,
    interval: Duration,
    offset: u64,
) -> Body {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let events = expected_events(&prompt, version);
    tokio::spawn(async move {
        let mut skip = offset as usize;
        for event in events {
            if skip >= event.len() {
                skip -= event.len();
                continue;
            }
            let data = Bytes::from(event.into_bytes()).slice(skip..);
            skip = 0;
            if !interval.is_zero() {
                time::sleep(interval).await;
            }
            if sender.send(data).await.is_err() {
                break;
            }
        }
        drop(request);
    });
    Body::new(ChannelBody(receiver))
}

/// Response body whose data comes from a channel.
struct ChannelBody(mpsc::Receiver<Bytes>);

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(cx)
            .map(|data| data.map(|bytes| Ok(Frame::data(bytes))))
    }
}

async fn apply_effect(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Json(effect): Json<Effect>,
) -> Response {
    let running = engine.start_request();
    let count = {
        let mut inner = engine.lock();
        let effects = &mut inner.counters.effects;
        let count = effects.entry(effect.effect.clone()).or_default();
        *count += 1;
        *count
    };
    time::sleep(Duration::from_millis(effect.takes_ms)).await;
    drop(running);
    let answer = serde_json::json!({ "effect": effect.effect, "count": count });
    with_request_id(&engine, &headers, Json(answer).into_response())
}

async fn status(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Path(name): Path<String>,
) -> Response {
    let running = engine.start_request();
    let delay = engine.lock().behaviour.time_to_first_token;
    time::sleep(delay).await;
    drop(running);
    let answer = serde_json::json!({ "name": name, "open": true });
    with_request_id(&engine, &headers, Json(answer).into_response())
}
