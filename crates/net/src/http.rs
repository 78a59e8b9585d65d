//! HTTP/1.1 client for the platform and backend servers.
//!
//! Every call has a deadline. A call that times out is dropped, which closes its connection: a
//! connection that has gone silent is never used again.

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
const POOL_IDLE: Duration = Duration::from_secs(20);
/// Idle connections kept to one address.
const POOL_SIZE: usize = 64;

/// Media type of JSON documents.
const JSON: &str = "application/json";
/// Media type of bytes.
const BYTES: &str = "application/octet-stream";

/// Error of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    Connect(Box<str>),
    /// The connection broke off; the call may have taken effect.
    Broken(Box<str>),
    /// The deadline passed; the call may have taken effect.
    Timeout,
    /// The answer's body is larger than allowed.
    TooLarge,
    /// The answer has an unexpected status.
    Status(StatusCode),
    /// The answer cannot be decoded.
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

/// Client of one address.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    /// Deadline of a call.
    pub timeout: Duration,
}

impl Client {
    /// Creates a client whose calls take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limit));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(POOL_SIZE)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            pool,
            address,
            timeout: limit,
        }
    }

    /// Address that the client calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the head of the answer, without a deadline for the body.
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
                Error::Connect(chain(&cause))
            } else {
                Error::Broken(chain(&cause))
            }
        })
    }

    /// Calls within the deadline and returns status, headers and a body of at most `max` bytes.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
        self.call_within(self.timeout, method, path, body, max)
            .await
    }

    /// Like [`Client::call`] with another deadline.
    pub async fn call_within(
        &self,
        limit: Duration,
        method: Method,
        path: &str,
        body: Bytes,
        max: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(BYTES));
        let exchange = async {
            let answer = self.send(method, path, headers, body).await?;
            let (head, body) = answer.into_parts();
            let body = collect(body, max).await?;
            Ok((head.status, head.headers, body))
        };
        match time::timeout(limit, exchange).await {
            Ok(done) => done,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Posts a JSON document within the deadline and expects success.
    pub async fn post_json(
        &self,
        path: &str,
        document: &impl Serialize,
        max: usize,
    ) -> Result<Bytes, Error> {
        let body = serde_json::to_vec(document)
            .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON));
        let exchange = async {
            let answer = self.send(Method::POST, path, headers, body.into()).await?;
            let status = answer.status();
            let body = collect(answer.into_body(), max).await?;
            if !status.is_success() {
                return Err(Error::Status(status));
            }
            Ok(body)
        };
        match time::timeout(self.timeout, exchange).await {
            Ok(done) => done,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Calls within the deadline and expects success.
    pub async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max: usize,
    ) -> Result<Bytes, Error> {
        let (status, _, body) = self.call(method, path, body, max).await?;
        if !status.is_success() {
            return Err(Error::Status(status));
        }
        Ok(body)
    }
}

/// Collects a body of at most `max` bytes.
pub async fn collect(body: Incoming, max: usize) -> Result<Bytes, Error> {
    match Limited::new(body, max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => Err(Error::TooLarge),
        Err(cause) => Err(Error::Broken(cause.to_string().into())),
    }
}

/// An error and its causes in one line.
fn chain(cause: &dyn std::error::Error) -> Box<str> {
    let mut text = cause.to_string();
    let mut next = cause.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text.into()
}
