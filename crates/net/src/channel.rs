//! One HTTP/1.1 connection to a backend server, used for one request at a time.
//!
//! Errors tell whether any byte of a request was sent and whether a response ended as its head
//! announced, because this decides whether a request may be retried. A pooled client hides both, and
//! whether the connection was used before. A connection that is not clean after a response must not
//! be used again.

mod error;

pub use error::Error;

use {
    crate::clock,
    bytes::{Buf, Bytes, BytesMut, buf::Chain},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header},
    jayspread_core::framing::{End, Fields, Framing},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time,
    },
};

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// Maximum size of a response head, bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a chunk size line with its extensions, bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// Maximum number of informational responses before a response.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;
/// Buffer space reserved for each read, bytes.
const READ_RESERVE_BYTES: usize = 8 << 10;
/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keepalive probe and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused if the server announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest keep-alive timeout taken from a server.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Share of the announced keep-alive timeout during which a connection is reused, percent.
const KEEP_ALIVE_PERCENT: u32 = 70;

/// Parser state of the current response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No response is being read.
    Idle,
    /// Body of known length; number of bytes remaining.
    Length(u64),
    /// Inside a chunk; number of bytes remaining.
    Chunk(u64),
    /// Expects a chunk size; except before the first chunk, a line break comes first.
    ChunkSize { first: bool },
    /// Expects trailers.
    Trailers,
    /// The body ends when the server closes the connection; number of bytes received.
    UntilClose(u64),
    /// The response is complete.
    Done(End),
}

impl Progress {
    /// State before the first byte of a body.
    fn start(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Progress::Length(0),
            Framing::Length(length) => Progress::Length(length),
            Framing::Chunks => Progress::ChunkSize { first: true },
            Framing::Close => Progress::UntilClose(0),
        }
    }

    /// How the body ended if the connection was closed in order in this state; `None` if it is
    /// incomplete.
    fn end_at_close(self) -> Option<End> {
        match self {
            Progress::UntilClose(received) => Framing::Close.end_at_close(received),
            Progress::Length(remaining) => Framing::Length(remaining).end_at_close(0),
            Progress::Chunk(_) | Progress::ChunkSize { .. } | Progress::Trailers => {
                Framing::Chunks.end_at_close(0)
            }
            Progress::Done(end) => Some(end),
            Progress::Idle => None,
        }
    }
}

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
}

/// HTTP/1.1 client connection.
pub struct Channel {
    stream: TcpStream,
    /// Bytes received but not yet parsed.
    incoming: BytesMut,
    /// Bytes of the request that are not yet sent: its head, and its body after that.
    outgoing: Chain<BytesMut, Bytes>,
    /// Method of the request.
    method: Box<[u8]>,
    /// At least one byte of the request was sent.
    any_sent: bool,
    /// Number of requests queued so far.
    request_count: u64,
    progress: Progress,
    /// The connection cannot take another request: the server closes it or an error occurred.
    must_close: bool,
    idle_timeout: Duration,
    idle_since: Instant,
}

impl Channel {
    /// Connects to `address` within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let timed_out = || Error::Connect(io::ErrorKind::TimedOut.into());
        let stream = time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| timed_out())?
            .map_err(Error::Connect)?;
        set_socket_options(&stream).map_err(Error::Connect)?;
        Ok(Self {
            stream,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new().chain(Bytes::new()),
            method: Box::default(),
            any_sent: false,
            request_count: 0,
            progress: Progress::Idle,
            must_close: false,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since: clock::now(),
        })
    }

    /// Queues a request, which is sent while its response is read.
    ///
    /// Panics if the previous request is not fully sent.
    pub fn queue_request(&mut self, head: &[u8], body: &[u8]) {
        self.queue_shared(head, Bytes::copy_from_slice(body));
    }

    /// Same as [`Channel::queue_request`] without a copy of the body.
    pub fn queue_shared(&mut self, head: &[u8], body: Bytes) {
        assert!(
            !self.outgoing.has_remaining(),
            "previous request is not fully sent"
        );
        let method = head.split(|byte| *byte == b' ').next();
        self.method = method.unwrap_or_default().into();
        self.outgoing = BytesMut::from(head).chain(body);
        self.any_sent = false;
        self.request_count += 1;
        self.progress = Progress::Idle;
    }

    /// Sends the queued request and reads the response head, skipping informational responses.
    ///
    /// After an error the connection cannot be reused.
    pub async fn receive_head(&mut self) -> Result<Head, Error> {
        let head = self.read_head().await;
        self.must_close |= head.is_err();
        head
    }

    async fn read_head(&mut self) -> Result<Head, Error> {
        let mut informational_count = 0;
        loop {
            if let Some(head) = self.parse_head()? {
                if !head.status.is_informational() {
                    return Ok(head);
                }
                informational_count += 1;
                if informational_count > MAX_INFORMATIONAL_RESPONSES {
                    return Err(Error::Malformed("too many informational responses"));
                }
                continue;
            }
            if self.incoming.len() > MAX_HEAD_BYTES {
                return Err(Error::Malformed("head is too long"));
            }
            if self.transfer().await? == 0 {
                return Err(self.io_error(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Reads the next part of the body; `None` after its end. [`Channel::end`] tells how it ended.
    pub async fn receive_data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.progress {
                Progress::Idle => return Err(Error::Malformed("no response is being read")),
                Progress::Done(_) => return Ok(None),
                Progress::Length(0) => self.finish_response(End::Marked),
                Progress::Length(remaining) if !self.incoming.is_empty() => {
                    let (data, remaining) = self.take_body(remaining);
                    self.progress = Progress::Length(remaining);
                    return Ok(Some(data));
                }
                Progress::Chunk(0) => self.progress = Progress::ChunkSize { first: false },
                Progress::Chunk(remaining) if !self.incoming.is_empty() => {
                    let (data, remaining) = self.take_body(remaining);
                    self.progress = Progress::Chunk(remaining);
                    return Ok(Some(data));
                }
                Progress::ChunkSize { first } => {
                    if !self.parse_chunk_size(first)? {
                        self.read_more().await?;
                    }
                }
                Progress::Trailers => {
                    if !self.skip_trailers()? {
                        self.read_more().await?;
                    }
                }
                Progress::UntilClose(received) if !self.incoming.is_empty() => {
                    let data = self.incoming.split().freeze();
                    self.progress = Progress::UntilClose(received + data.len() as u64);
                    return Ok(Some(data));
                }
                Progress::Length(_) | Progress::Chunk(_) | Progress::UntilClose(_) => {
                    self.read_more().await?;
                }
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes unless it arrives in one piece.
    pub async fn receive_body(&mut self, max: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(data) = self.receive_data().await? {
            if body.is_empty() && self.progress == Progress::Length(0) {
                self.finish_response(End::Marked);
                return Ok(data);
            }
            if body.len() + data.len() > max {
                return Err(Error::Malformed("body is too long"));
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// How the body of the last response ended; `None` until it has.
    pub fn end(&self) -> Option<End> {
        match self.progress {
            Progress::Done(end) => Some(end),
            _ => None,
        }
    }

    /// Whether the last response is complete, no unread or unsent bytes remain, and the connection
    /// stays open.
    pub fn is_clean(&self) -> bool {
        matches!(self.progress, Progress::Done(_) | Progress::Idle)
            && self.incoming.is_empty()
            && !self.outgoing.has_remaining()
            && !self.must_close
    }

    /// Whether the connection carries its first request.
    pub fn is_first_request(&self) -> bool {
        self.request_count == 1
    }

    /// Whether any byte of the request was sent.
    pub fn has_sent(&self) -> bool {
        self.any_sent
    }

    /// Whether the whole request was sent.
    pub fn is_request_sent(&self) -> bool {
        self.any_sent && !self.outgoing.has_remaining()
    }

    /// Whether the connection can take another request: it is clean, open, and has been idle for less
    /// than `max_idle` and its own idle timeout.
    pub fn is_reusable(&self, max_idle: Duration) -> bool {
        let idle = clock::now().saturating_duration_since(self.idle_since);
        if !self.is_clean() || idle >= self.idle_timeout.min(max_idle) {
            return false;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(cause) if cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends the rest of the request while reading; returns the number of bytes read, 0 at the end of
    /// the stream.
    async fn transfer(&mut self) -> Result<usize, Error> {
        self.incoming.reserve(READ_RESERVE_BYTES);
        if !self.outgoing.has_remaining() {
            let read = self.stream.read_buf(&mut self.incoming).await;
            return read.map_err(|cause| self.io_error(cause));
        }
        loop {
            let (mut reader, mut writer) = self.stream.split();
            let step = tokio::select! {
                biased;
                sent = writer.write_buf(&mut self.outgoing) => sent.map(Step::Sent),
                read = reader.read_buf(&mut self.incoming) => read.map(Step::Received),
            };
            match step {
                Ok(Step::Sent(count)) => {
                    self.any_sent |= count > 0;
                    if !self.outgoing.has_remaining() {
                        // An empty rest would keep the memory of the whole body.
                        self.outgoing = BytesMut::new().chain(Bytes::new());
                        let read = self.stream.read_buf(&mut self.incoming).await;
                        return read.map_err(|cause| self.io_error(cause));
                    }
                }
                Ok(Step::Received(count)) => return Ok(count),
                Err(cause) => return Err(self.io_error(cause)),
            }
        }
    }

    /// Reads more of the body, whose end may be that of the connection.
    async fn read_more(&mut self) -> Result<(), Error> {
        if self.transfer().await? > 0 {
            return Ok(());
        }
        self.must_close = true;
        let broken = match self.progress {
            Progress::UntilClose(0) => Error::Empty,
            _ => Error::Truncated,
        };
        let end = self.progress.end_at_close().ok_or(broken)?;
        self.finish_response(end);
        Ok(())
    }

    fn io_error(&self, cause: io::Error) -> Error {
        if self.any_sent {
            Error::Broken(cause)
        } else {
            Error::Unsent(cause)
        }
    }

    fn take_body(&mut self, remaining: u64) -> (Bytes, u64) {
        let count = (self.incoming.len() as u64).min(remaining);
        (
            self.incoming.split_to(count as usize).freeze(),
            remaining - count,
        )
    }

    fn finish_response(&mut self, end: End) {
        self.progress = Progress::Done(end);
        self.idle_since = clock::now();
    }

    /// Parses the size of the next chunk; returns false if more bytes are needed.
    fn parse_chunk_size(&mut self, first: bool) -> Result<bool, Error> {
        let line_break_bytes = if first { 0 } else { 2 };
        if self.incoming.len() < line_break_bytes {
            return Ok(false);
        }
        if !first && !self.incoming.starts_with(b"\r\n") {
            return Err(Error::Malformed("chunk is not followed by a line break"));
        }
        match httparse::parse_chunk_size(&self.incoming[line_break_bytes..]) {
            Ok(httparse::Status::Complete((consumed, size))) => {
                self.incoming.advance(line_break_bytes + consumed);
                self.progress = match size {
                    0 => Progress::Trailers,
                    size => Progress::Chunk(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if self.incoming.len() > MAX_CHUNK_LINE_BYTES => {
                Err(Error::Malformed("chunk size line is too long"))
            }
            Ok(httparse::Status::Partial) => Ok(false),
            Err(_) => Err(Error::Malformed("invalid chunk size")),
        }
    }

    /// Skips trailers; returns false if more bytes are needed.
    fn skip_trailers(&mut self) -> Result<bool, Error> {
        if self.incoming.starts_with(b"\r\n") {
            self.incoming.advance(2);
            self.finish_response(End::Marked);
            return Ok(true);
        }
        let end = self.incoming.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            self.incoming.advance(end + 4);
            self.finish_response(End::Marked);
            return Ok(true);
        }
        if self.incoming.len() > MAX_HEAD_BYTES {
            return Err(Error::Malformed("trailers are too long"));
        }
        Ok(false)
    }

    /// Parses a head from the received bytes; returns `None` if it is incomplete.
    fn parse_head(&mut self) -> Result<Option<Head>, Error> {
        if self.incoming.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let length = match parsed.parse(&self.incoming) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("invalid head")),
        };
        let status = parsed.code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(Error::Malformed("invalid status"))?;
        let mut header_map = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(header.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(Error::Malformed("invalid header"));
            };
            header_map.append(name, value);
        }
        let is_http_10 = parsed.version == Some(0);
        self.incoming.advance(length);
        self.set_framing(status, &header_map, is_http_10)?;
        Ok(Some(Head {
            status,
            headers: header_map,
        }))
    }

    /// Determines the body's framing and whether the connection stays open.
    fn set_framing(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        is_http_10: bool,
    ) -> Result<(), Error> {
        let has_token = |name, token: &str| {
            let values = headers.get_all(name).iter();
            let texts = values.filter_map(|value| value.to_str().ok());
            texts
                .flat_map(|text| text.split(','))
                .any(|item| item.trim().eq_ignore_ascii_case(token))
        };
        self.must_close = is_http_10 || has_token(header::CONNECTION, "close");
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_timeout = timeout * KEEP_ALIVE_PERCENT / 100;
        }
        let values = |name| {
            let values = headers.get_all(name).iter();
            values.map(HeaderValue::as_bytes).collect()
        };
        let fields = Fields {
            method: &self.method,
            status: status.as_u16(),
            is_http_10,
            codings: values(header::TRANSFER_ENCODING),
            lengths: values(header::CONTENT_LENGTH),
        };
        let framing = fields.framing();
        let framing = framing.map_err(|fault| Error::Malformed(fault.reason()))?;
        self.progress = Progress::start(framing);
        Ok(())
    }
}

/// Result of one step of [`Channel::transfer`]: number of bytes sent or received.
enum Step {
    Sent(usize),
    Received(usize),
}

/// Idle timeout that the server announces in the `Keep-Alive` header, at most [`MAX_IDLE_TIMEOUT`].
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = |item: &str| item.trim().strip_prefix("timeout=")?.parse().ok();
    let seconds: u64 = text.split(',').find_map(timeout)?;
    Some(Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}

/// Disables Nagle's algorithm and sets keepalive and user timeout, so that a dead connection fails.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
