//! Edge to the weight store: chunks by hash, from the origin.

use {
    crate::engine::Later,
    bytes::Bytes,
    http::{Method, StatusCode, header},
    jayspread_core::id::ChunkHash,
    jayspread_net::http::{Client, Error},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Delay assumed when the origin limits the rate without naming one.
const DEFAULT_DELAY: Duration = Duration::from_secs(1);
/// Longest delay taken from the origin.
const DELAY_MAX: Duration = Duration::from_secs(60);

/// Why the origin gave no chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The origin limits the rate; ask again after this time.
    Limited(Duration),
    /// The origin has no such chunk.
    Missing,
    /// The call failed.
    Failed(Error),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Limited(delay) => write!(f, "rate limited for {} ms", delay.as_millis()),
            Refusal::Missing => write!(f, "missing at the origin"),
            Refusal::Failed(cause) => write!(f, "{cause}"),
        }
    }
}

/// What an agent needs of the weight store.
pub trait Store: Send + Sync + 'static {
    /// Fetches a chunk of `length` bytes within `limit`.
    fn chunk(
        &self,
        hash: ChunkHash,
        length: u32,
        limit: Duration,
    ) -> Later<'_, Result<Bytes, Refusal>>;
}

/// Weight store met over HTTP.
pub struct Http {
    client: Client,
    region: Box<str>,
}

impl Http {
    /// Creates the client of a host in `region`, which the origin counts by.
    pub fn new(address: SocketAddr, limit: Duration, region: &str) -> Self {
        Self {
            client: Client::new(address, limit),
            region: region.into(),
        }
    }
}

impl Store for Http {
    fn chunk(
        &self,
        hash: ChunkHash,
        length: u32,
        limit: Duration,
    ) -> Later<'_, Result<Bytes, Refusal>> {
        Box::pin(async move {
            let path = format!("/chunks/{}?region={}", hex::encode(hash), self.region);
            let call =
                self.client
                    .call_within(limit, Method::GET, &path, Bytes::new(), length as usize);
            let (status, headers, body) = call.await.map_err(Refusal::Failed)?;
            match status {
                StatusCode::OK => Ok(body),
                StatusCode::NOT_FOUND => Err(Refusal::Missing),
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    let seconds = headers.get(header::RETRY_AFTER);
                    let seconds = seconds.and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                    let delay = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    Err(Refusal::Limited(
                        delay.unwrap_or(DEFAULT_DELAY).min(DELAY_MAX),
                    ))
                }
                status => Err(Refusal::Failed(Error::Status(status))),
            }
        })
    }
}
