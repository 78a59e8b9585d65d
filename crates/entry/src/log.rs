//! Edge to the platform's log service.

use {
    bytes::Bytes,
    http::{Method, StatusCode},
    jayspread_net::http::{Client, Error},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, pin::Pin, time::Duration},
};

/// Largest page of records, bytes.
const MAX_PAGE_BYTES: usize = 64 * 1024 * 1024;
/// Records asked for at once.
const MAX_PAGE_RECORDS: usize = 1024;
/// Time added to the deadline of a read that waits for records.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(1);

/// Position of a record in the log.
pub type Offset = u64;

/// A future of a call at the edge.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One record and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position.
    pub offset: Offset,
    /// Encoded record.
    pub bytes: Bytes,
}

/// Records from a position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Page {
    /// Records in order, possibly none, and the position after them.
    Records(Vec<Entry>, Offset),
    /// The position is no longer kept; records start here.
    Truncated(Offset),
}

/// What entry hosts and operators need of the log service.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its position; on an error it may have been appended.
    fn append(&self, record: Bytes) -> BoxFuture<'_, Result<Offset, Error>>;
    /// Reads records from `from` on, waiting at most `wait` for the first.
    fn read(&self, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Page, Error>>;
}

/// Answer to an append as JSON.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct AppendResponse {
    /// Position of the record.
    pub offset: Offset,
}

/// A record as JSON.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RecordJson {
    /// Position.
    pub offset: Offset,
    /// Bytes in hexadecimal digits.
    pub data: String,
}

/// Answer to a read as JSON.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct PageJson {
    /// First position kept.
    pub first: Offset,
    /// Position after the last record returned.
    pub next: Offset,
    /// Records in order.
    #[serde(default)]
    pub records: Vec<RecordJson>,
}

/// Log service met over HTTP.
pub struct Http {
    client: Client,
}

impl Http {
    /// Creates the client; an append takes at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            client: Client::new(address, limit),
        }
    }
}

impl Log for Http {
    fn append(&self, record: Bytes) -> BoxFuture<'_, Result<Offset, Error>> {
        Box::pin(async move {
            let body = self
                .client
                .fetch(Method::POST, "/append", record, MAX_PAGE_BYTES)
                .await?;
            let appended: AppendResponse = decode(&body)?;
            Ok(appended.offset)
        })
    }

    fn read(&self, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Page, Error>> {
        Box::pin(async move {
            let path = format!(
                "/records?from={from}&max={MAX_PAGE_RECORDS}&wait_ms={}",
                wait.as_millis()
            );
            let limit = self.client.limit + wait + LONG_POLL_MARGIN;
            let call =
                self.client
                    .call_within(limit, Method::GET, &path, Bytes::new(), MAX_PAGE_BYTES);
            let (status, _, body) = call.await?;
            match status {
                StatusCode::OK => {
                    let lines: PageJson = decode(&body)?;
                    page(lines)
                }
                StatusCode::GONE => {
                    let lines: PageJson = decode(&body)?;
                    Ok(Page::Truncated(lines.first))
                }
                status => Err(Error::Status(status)),
            }
        })
    }
}

fn page(lines: PageJson) -> Result<Page, Error> {
    let mut entries = Vec::with_capacity(lines.records.len());
    for line in lines.records {
        let bytes =
            hex::decode(&line.data).map_err(|cause| Error::Malformed(cause.to_string().into()))?;
        entries.push(Entry {
            offset: line.offset,
            bytes: bytes.into(),
        });
    }
    Ok(Page::Records(entries, lines.next))
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|cause| Error::Malformed(cause.to_string().into()))
}
