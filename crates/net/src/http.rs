//! HTTP/1.1 client with a connection pool, for the platform and backend servers.
//!
//! Every call has a timeout. A call that times out closes its connection, so that an unresponsive
//! connection is not reused.

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::Serialize,
    std::{fmt, net::SocketAddr, time::Duration},
    tokio::time,
};

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Media type of JSON documents.
const JSON_TYPE: &str = "application/json";
/// Media type of binary data.
const BYTES_TYPE: &str = "application/octet-stream";

/// Error of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    Connect(Box<str>),
    /// The connection failed; the call may have taken effect.
    Broken(Box<str>),
    /// The call timed out; it may have taken effect.
    Timeout,
    /// The response body exceeds the size limit.
    TooLarge,
    /// The response has an unexpected status.
    Status(StatusCode),
    /// The request cannot be encoded or the response cannot be decoded.
    Malformed(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(f, "could not connect: {cause}"),
            Error::Broken(cause) => write!(f, "connection broke off: {cause}"),
            Error::Timeout => write!(f, "timed out"),
            Error::TooLarge => write!(f, "answer is too large"),
            Error::Status(status) => write!(f, "answered {status}"),
            Error::Malformed(cause) => write!(f, "malformed answer: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client of one address; clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    /// Default timeout of a call.
    pub timeout: Duration,
}

impl Client {
    /// Creates a client whose calls and connection attempts take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            pool,
            address,
            timeout,
        }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the response as soon as its head has arrived. Applies no timeout
    /// after the connection is open.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
        *request.headers_mut() = headers;
        self.pool.request(request).await.map_err(|cause| {
            if cause.is_connect() {
                Error::Connect(error_chain(&cause))
            } else {
                Error::Broken(error_chain(&cause))
            }
        })
    }

    /// Makes a call within the default timeout and returns status, headers and a body of at most
    /// `max_body` bytes.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max_body: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
        self.call_within(self.timeout, method, path, body, max_body)
            .await
    }

    /// Like [`Client::call`], with another timeout.
    pub async fn call_within(
        &self,
        timeout: Duration,
        method: Method,
        path: &str,
        body: Bytes,
        max_body: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(BYTES_TYPE));
        let exchange = async {
            let response = self.send(method, path, headers, body).await?;
            let (head, body) = response.into_parts();
            let body = collect(body, max_body).await?;
            Ok((head.status, head.headers, body))
        };
        match time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Posts a JSON document within the default timeout; fails unless the status is a success.
    pub async fn post_json(
        &self,
        path: &str,
        document: &impl Serialize,
        max_body: usize,
    ) -> Result<Bytes, Error> {
        let body = serde_json::to_vec(document)
            .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
        let exchange = async {
            let response = self.send(Method::POST, path, headers, body.into()).await?;
            let status = response.status();
            let body = collect(response.into_body(), max_body).await?;
            if !status.is_success() {
                return Err(Error::Status(status));
            }
            Ok(body)
        };
        match time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Makes a call within the default timeout; fails unless the status is a success.
    pub async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max_body: usize,
    ) -> Result<Bytes, Error> {
        let (status, _, body) = self.call(method, path, body, max_body).await?;
        if !status.is_success() {
            return Err(Error::Status(status));
        }
        Ok(body)
    }
}

/// Reads a complete body of at most `max_body` bytes.
pub async fn collect(body: Incoming, max_body: usize) -> Result<Bytes, Error> {
    match Limited::new(body, max_body).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => Err(Error::TooLarge),
        Err(cause) => Err(Error::Broken(cause.to_string().into())),
    }
}

/// Formats an error and its sources in one line.
fn error_chain(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text.into()
}
