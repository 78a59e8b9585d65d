//! Edge to the backend server: state, staging, load orders and work.

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header},
    hyper::body::Incoming,
    jayspread_core::{
        bundle::Piece,
        id::{Revision, Version},
        load::{Report, Target},
    },
    jayspread_net::http::{Client, Error},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, pin::Pin, time::Duration},
};

/// Largest state report, bytes.
const STATE_MAX: usize = 64 * 1024;
/// Header that names the chunk of an earlier version to copy.
const COPY_FROM: &str = "x-copy-from";

/// A future of a call at the edge.
pub type Later<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Place of a chunk in a staged version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Version that the chunk belongs to.
    pub version: Version,
    /// Artifact of the version.
    pub artifact: Box<str>,
    /// Offset in the artifact, bytes.
    pub offset: u64,
}

impl Place {
    /// Place of a piece in a version.
    pub fn new(version: &str, piece: &Piece) -> Self {
        Self {
            version: version.into(),
            artifact: piece.artifact.clone(),
            offset: piece.offset,
        }
    }

    fn path(&self) -> String {
        format!("{}/{}/{}", self.version, self.artifact, self.offset)
    }
}

/// What an agent needs of its backend server.
pub trait Engine: Send + Sync + 'static {
    /// Reads the state.
    fn state(&self) -> Later<'_, Result<Report, Error>>;
    /// Stages the bytes of a chunk of a version that is not served yet.
    fn stage(&self, place: Place, bytes: Bytes) -> Later<'_, Result<(), Error>>;
    /// Stages a chunk that the engine holds in another version; false when it does not.
    fn copy(&self, from: Place, to: Place) -> Later<'_, Result<bool, Error>>;
    /// Orders to load a staged version.
    fn order(&self, want: Target) -> Later<'_, Result<(), Error>>;
    /// Sends work and returns the head of the answer.
    fn work(&self, work: Work) -> Later<'_, Result<Response<Incoming>, Error>>;
}

/// A request for the backend server.
#[derive(Debug, Clone)]
pub struct Work {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// State of an engine as JSON.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Random number of the engine's present life.
    pub boot: u64,
    /// Version served whole, or empty.
    #[serde(default)]
    pub serving: String,
    /// Whether it loads.
    #[serde(default)]
    pub loading: bool,
    /// Highest fencing number seen.
    #[serde(default)]
    pub fence: Revision,
}

/// A load order as JSON.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// Version to load.
    pub version: String,
    /// Fencing number.
    pub fence: Revision,
    /// Pieces that must be staged, no more and no fewer.
    pub pieces: usize,
}

/// Backend server met over HTTP.
pub struct Http {
    control: Client,
    work: Client,
}

impl Http {
    /// Creates the client; calls other than work take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            control: Client::new(address, limit),
            work: Client::new(address, limit),
        }
    }
}

impl Engine for Http {
    fn state(&self) -> Later<'_, Result<Report, Error>> {
        Box::pin(async {
            let call = self
                .control
                .fetch(Method::GET, "/state", Bytes::new(), STATE_MAX);
            let state: State = serde_json::from_slice(&call.await?)
                .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
            Ok(Report {
                boot_id: state.boot,
                serving: Some(state.serving.into()).filter(|v: &Version| !v.is_empty()),
                loading: state.loading,
                fence: state.fence,
            })
        })
    }

    fn stage(&self, place: Place, bytes: Bytes) -> Later<'_, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/staging/{}", place.path());
            let call = self.control.fetch(Method::PUT, &path, bytes, STATE_MAX);
            call.await.map(|_| ())
        })
    }

    fn copy(&self, from: Place, to: Place) -> Later<'_, Result<bool, Error>> {
        Box::pin(async move {
            let path = format!("/staging/{}", to.path());
            let mut headers = HeaderMap::new();
            let value = HeaderValue::from_str(&from.path())
                .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
            headers.insert(COPY_FROM, value);
            let send = self.control.send(Method::PUT, &path, headers, Bytes::new());
            let answer = tokio::time::timeout(self.control.timeout, send);
            let answer = answer.await.map_err(|_| Error::Timeout)??;
            match answer.status() {
                StatusCode::NOT_FOUND => Ok(false),
                status if status.is_success() => Ok(true),
                status => Err(Error::Status(status)),
            }
        })
    }

    fn order(&self, want: Target) -> Later<'_, Result<(), Error>> {
        Box::pin(async move {
            let order = LoadOrder {
                version: want.version.into(),
                fence: want.fence,
                pieces: want.piece_count,
            };
            let call = self.control.post_json("/orders/load", &order, STATE_MAX);
            call.await.map(|_| ())
        })
    }

    fn work(&self, work: Work) -> Later<'_, Result<Response<Incoming>, Error>> {
        Box::pin(async move {
            let mut headers = work.headers;
            headers.remove(header::HOST);
            headers.remove(header::CONTENT_LENGTH);
            self.work
                .send(work.method, &work.path, headers, work.body)
                .await
        })
    }
}
