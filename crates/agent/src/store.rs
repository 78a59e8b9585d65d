//! Client of the weight store, which serves chunks by hash from its origin server.

use {
    crate::engine::BoxFuture,
    bytes::Bytes,
    http::{Method, StatusCode, header},
    jayspread_core::id::ChunkHash,
    jayspread_net::http::{Client, Error as HttpError},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Delay assumed when a rate-limited response has no usable Retry-After header.
const DEFAULT_DELAY: Duration = Duration::from_secs(1);
/// Upper limit on the delay that the origin may request.
const MAX_DELAY: Duration = Duration::from_secs(60);

/// Error of fetching a chunk from the origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The origin limits the request rate; retry after this delay.
    RateLimited(Duration),
    /// The origin does not have the chunk.
    NotFound,
    /// The HTTP call failed.
    Http(HttpError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::RateLimited(delay) => write!(
                f,
                "rate limited by the origin; retry after {} ms",
                delay.as_millis()
            ),
            Error::NotFound => write!(f, "chunk not found at the origin"),
            Error::Http(cause) => write!(f, "{cause}"),
        }
    }
}

/// Interface of the weight store.
pub trait Store: Send + Sync + 'static {
    /// Fetches a chunk of `length` bytes, failing after `timeout`. The bytes are not verified.
    fn fetch(
        &self,
        hash: ChunkHash,
        length: u32,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>>;
}

/// Weight store reached over HTTP.
pub struct HttpStore {
    client: Client,
    region: Box<str>,
}

impl HttpStore {
    /// Creates a client for a host in `region`; the origin counts transfers by region.
    pub fn new(address: SocketAddr, timeout: Duration, region: &str) -> Self {
        Self {
            client: Client::new(address, timeout),
            region: region.into(),
        }
    }
}

impl Store for HttpStore {
    fn fetch(
        &self,
        hash: ChunkHash,
        length: u32,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Box::pin(async move {
            let path = format!("/chunks/{}?region={}", hex::encode(hash), self.region);
            let call =
                self.client
                    .call_within(timeout, Method::GET, &path, Bytes::new(), length as usize);
            let (status, headers, body) = call.await.map_err(Error::Http)?;
            match status {
                StatusCode::OK => Ok(body),
                StatusCode::NOT_FOUND => Err(Error::NotFound),
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    let seconds = headers.get(header::RETRY_AFTER);
                    let seconds = seconds.and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                    let delay = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    Err(Error::RateLimited(
                        delay.unwrap_or(DEFAULT_DELAY).min(MAX_DELAY),
                    ))
                }
                status => Err(Error::Http(HttpError::Status(status))),
            }
        })
    }
}
