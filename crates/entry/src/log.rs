//! Client of the platform's log service.

use {
    bytes::Bytes,
    http::{Method, StatusCode},
    jayspread_net::http::{Client, Error},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, pin::Pin, time::Duration},
};

/// Largest response to an append or a read.
const MAX_PAGE_BYTES: usize = 64 * 1024 * 1024;
/// Most records requested in one read.
const MAX_PAGE_RECORDS: usize = 1024;
/// Time added to the timeout of a read on top of its wait for records.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(1);

/// Position of a record in the log.
pub type Offset = u64;

/// Future of a call to a platform service.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One record and its position in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub offset: Offset,
    /// Encoded record.
    pub bytes: Bytes,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Page {
    /// Records in order, possibly none, and the position after them.
    Records(Vec<Entry>, Offset),
    /// The requested position is no longer retained; carries the position of the first retained
    /// record.
    Truncated(Offset),
}

/// Log service as entry hosts and operators' commands use it.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its position. After an error the record may still be appended.
    fn append(&self, record: Bytes) -> BoxFuture<'_, Result<Offset, Error>>;
    /// Reads records starting at `from`, waiting up to `wait` for the first one.
    fn read(&self, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Page, Error>>;
}

/// JSON response to an append.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct AppendResponse {
    /// Position of the record.
    pub offset: Offset,
}

/// JSON form of a record.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RecordJson {
    /// Position in the log.
    pub offset: Offset,
    /// Encoded record in hexadecimal digits.
    pub data: String,
}

/// JSON response to a read.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct PageJson {
    /// First position that is retained.
    pub first: Offset,
    /// Position after the last record returned.
    pub next: Offset,
    /// Records in order.
    #[serde(default)]
    pub records: Vec<RecordJson>,
}

/// HTTP client of the log service.
pub struct Http {
    client: Client,
}

impl Http {
    /// Creates the client; an append takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(address, timeout),
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
            let timeout = self.client.timeout + wait + LONG_POLL_MARGIN;
            let call =
                self.client
                    .call_within(timeout, Method::GET, &path, Bytes::new(), MAX_PAGE_BYTES);
            let (status, _, body) = call.await?;
            match status {
                StatusCode::OK => {
                    let page: PageJson = decode(&body)?;
                    decode_page(page)
                }
                StatusCode::GONE => {
                    let page: PageJson = decode(&body)?;
                    Ok(Page::Truncated(page.first))
                }
                status => Err(Error::Status(status)),
            }
        })
    }
}

fn decode_page(page: PageJson) -> Result<Page, Error> {
    let mut entries = Vec::with_capacity(page.records.len());
    for record in page.records {
        let bytes = hex::decode(&record.data)
            .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
        entries.push(Entry {
            offset: record.offset,
            bytes: bytes.into(),
        });
    }
    Ok(Page::Records(entries, page.next))
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|cause| Error::Malformed(cause.to_string().into()))
}
