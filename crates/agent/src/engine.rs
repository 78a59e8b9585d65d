//! Client of the backend server: state, staging area, load orders and requests.

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

/// Largest accepted reply to a control call.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Header that names the chunk of another version to copy.
const COPY_FROM_HEADER: &str = "x-copy-from";

/// Boxed future returned by the methods of `Engine` and `Store`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Location of a chunk within a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Version that contains the chunk.
    pub version: Version,
    /// Name of the artifact that contains the chunk.
    pub artifact: Box<str>,
    /// Offset within the artifact in bytes.
    pub offset: u64,
}

impl Location {
    /// Location of `piece` within `version`.
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

/// Interface of a backend server.
pub trait Engine: Send + Sync + 'static {
    /// Reads the engine's state.
    fn state(&self) -> BoxFuture<'_, Result<Report, Error>>;
    /// Stages a chunk of a version that is not loaded yet.
    fn stage(&self, location: Location, bytes: Bytes) -> BoxFuture<'_, Result<(), Error>>;
    /// Stages a chunk by copying it from another version; `false` if the engine does not have it.
    fn copy(&self, from: Location, to: Location) -> BoxFuture<'_, Result<bool, Error>>;
    /// Orders the engine to load a staged version.
    fn order_load(&self, target: Target) -> BoxFuture<'_, Result<(), Error>>;
    /// Sends a request and returns the response once its headers have arrived.
    fn send(&self, request: BackendRequest) -> BoxFuture<'_, Result<Response<Incoming>, Error>>;
}

/// HTTP request to the backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: Box<str>,
    /// Request headers; host and content length are replaced when sending.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// JSON document with the state of an engine.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Random number drawn when the engine process started.
    pub boot: u64,
    /// Version that is completely loaded, or empty.
    #[serde(default)]
    pub serving: String,
    /// Whether a load is in progress.
    #[serde(default)]
    pub loading: bool,
    /// Highest fencing token seen in load orders.
    #[serde(default)]
    pub fence: Revision,
}

/// JSON document of a load order.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// Version to load.
    pub version: String,
    /// Fencing token; some engines refuse orders with a lower token than they have seen.
    pub fence: Revision,
    /// Exact number of pieces that must be staged.
    pub pieces: usize,
}

/// Backend server reached over HTTP.
pub struct HttpEngine {
    control_client: Client,
    request_client: Client,
}

impl HttpEngine {
    /// Creates a client whose control calls are limited by `timeout`; requests are not.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            control_client: Client::new(address, timeout),
            request_client: Client::new(address, timeout),
        }
    }
}

impl Engine for HttpEngine {
    fn state(&self) -> BoxFuture<'_, Result<Report, Error>> {
        Box::pin(async {
            let call =
                self.control_client
                    .fetch(Method::GET, "/state", Bytes::new(), MAX_REPLY_BYTES);
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

    fn stage(&self, location: Location, bytes: Bytes) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/staging/{}", location.path());
            let call = self
                .control_client
                .fetch(Method::PUT, &path, bytes, MAX_REPLY_BYTES);
            call.await.map(|_| ())
        })
    }

    fn copy(&self, from: Location, to: Location) -> BoxFuture<'_, Result<bool, Error>> {
        Box::pin(async move {
            let path = format!("/staging/{}", to.path());
            let mut headers = HeaderMap::new();
            let value = HeaderValue::from_str(&from.path())
                .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
            headers.insert(COPY_FROM_HEADER, value);
            let send = self
                .control_client
                .send(Method::PUT, &path, headers, Bytes::new());
            let response = tokio::time::timeout(self.control_client.timeout, send);
            let response = response.await.map_err(|_| Error::Timeout)??;
            match response.status() {
                StatusCode::NOT_FOUND => Ok(false),
                status if status.is_success() => Ok(true),
                status => Err(Error::Status(status)),
            }
        })
    }

    fn order_load(&self, target: Target) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            let order = LoadOrder {
                version: target.version.into(),
                fence: target.fence,
                pieces: target.piece_count,
            };
            let call = self
                .control_client
                .post_json("/orders/load", &order, MAX_REPLY_BYTES);
            call.await.map(|_| ())
        })
    }

    fn send(&self, request: BackendRequest) -> BoxFuture<'_, Result<Response<Incoming>, Error>> {
        Box::pin(async move {
            let mut headers = request.headers;
            headers.remove(header::HOST);
            headers.remove(header::CONTENT_LENGTH);
            self.request_client
                .send(request.method, &request.path, headers, request.body)
                .await
        })
    }
}
