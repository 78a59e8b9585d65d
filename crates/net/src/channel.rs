//! One HTTP/1.1 connection to a backend server, on which requests follow each other.
//!
//! The caller sees what a pooled client hides and what decides whether a request may have run:
//! whether any byte of it went out, whether the connection was used before, and whether an answer
//! ended the way its head announced. A connection whose exchange did not end cleanly is dropped.

use {
    crate::clock,
    bytes::{Buf, Bytes, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header},
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt, io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time,
    },
};

/// Headers in one answer at most.
const HEADERS_MAX: usize = 64;
/// Largest head of an answer, bytes.
const HEAD_MAX: usize = 64 << 10;
/// Room for one read, bytes.
const READ_SIZE: usize = 8 << 10;
/// Time without acknowledgement after which the system gives a connection up.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Idle time after which the system probes a connection, and the pause between its probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again when the server says nothing else.
const IDLE: Duration = Duration::from_millis(800);
/// Share of the announced idle time that is used, percent.
const IDLE_PERCENT: u32 = 70;

/// Error of an exchange.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened.
    Connect(io::Error),
    /// The connection failed before a byte of the request went out.
    Unsent(io::Error),
    /// The connection failed afterwards.
    Broken(io::Error),
    /// The server closed the connection before the end of its answer.
    Truncated,
    /// What came is no answer.
    Malformed(&'static str),
}

impl Error {
    /// Whether the request cannot have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(_) | Error::Unsent(_))
    }

    /// Short name for logs and counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Error::Connect(_) => "connect",
            Error::Unsent(_) => "unsent",
            Error::Broken(_) => "broken",
            Error::Truncated => "ended",
            Error::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(f, "could not connect: {cause}"),
            Error::Unsent(cause) => write!(f, "could not send: {cause}"),
            Error::Broken(cause) => write!(f, "connection broke off: {cause}"),
            Error::Truncated => write!(f, "connection ended inside an answer"),
            Error::Malformed(what) => write!(f, "malformed answer: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// How the body of the present answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// No answer is being read.
    Idle,
    /// So many bytes are left.
    Length(u64),
    /// Chunks; so many bytes of the present one are left.
    Chunk(u64),
    /// The line behind a chunk and the size of the next one are due.
    ChunkSize { first: bool },
    /// Trailers are due.
    Trailers,
    /// The body ends with the connection.
    UntilClose,
    /// The answer has ended.
    Done,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// A connection.
pub struct Channel {
    stream: TcpStream,
    incoming: BytesMut,
    /// Bytes of the request that still have to go out.
    outgoing: BytesMut,
    written: bool,
    framing: Framing,
    /// The server announced that it closes the connection.
    closing: bool,
    idle_limit: Duration,
    idle_since: Instant,
}

impl Channel {
    /// Connects to `address` within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let late = || Error::Connect(io::ErrorKind::TimedOut.into());
        let stream = time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| late())?
            .map_err(Error::Connect)?;
        set_socket_options(&stream).map_err(Error::Connect)?;
        Ok(Self {
            stream,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            written: false,
            framing: Framing::Idle,
            closing: false,
            idle_limit: IDLE,
            idle_since: clock::now(),
        })
    }

    /// Prepares a request; [`Channel::head`] sends it and reads the answer.
    pub fn queue_request(&mut self, head: &[u8], body: &[u8]) {
        assert!(self.outgoing.is_empty(), "one request at a time");
        self.outgoing.extend_from_slice(head);
        self.outgoing.extend_from_slice(body);
        self.written = false;
        self.framing = Framing::Idle;
    }

    /// Reads the head of the next answer while the request goes out. After an error the connection
    /// is not clean any more.
    pub async fn receive_head(&mut self) -> Result<Head, Error> {
        let read = self.read_head().await;
        self.closing |= read.is_err();
        read
    }

    async fn read_head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some(head) = self.parse_head()? {
                if !head.status.is_informational() {
                    return Ok(head);
                }
                continue;
            }
            if self.incoming.len() > HEAD_MAX {
                return Err(Error::Malformed("head is too long"));
            }
            if self.exchange_bytes().await? == 0 {
                return Err(self.failure(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Reads the next piece of the body; nothing when it has ended as announced.
    pub async fn receive_data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.framing {
                Framing::Idle => return Err(Error::Malformed("no answer is being read")),
                Framing::Done => return Ok(None),
                Framing::Length(0) => self.finish(),
                Framing::Length(left) if !self.incoming.is_empty() => {
                    let (piece, left) = self.take(left);
                    self.framing = Framing::Length(left);
                    return Ok(Some(piece));
                }
                Framing::Chunk(0) => self.framing = Framing::ChunkSize { first: false },
                Framing::Chunk(left) if !self.incoming.is_empty() => {
                    let (piece, left) = self.take(left);
                    self.framing = Framing::Chunk(left);
                    return Ok(Some(piece));
                }
                Framing::ChunkSize { first } => {
                    if !self.chunk_size(first)? {
                        self.more().await?;
                    }
                }
                Framing::Trailers => {
                    if !self.trailers()? {
                        self.more().await?;
                    }
                }
                Framing::UntilClose if !self.incoming.is_empty() => {
                    return Ok(Some(self.incoming.split().freeze()));
                }
                Framing::UntilClose => {
                    if self.exchange_bytes().await? == 0 {
                        self.closing = true;
                        self.finish();
                    }
                }
                Framing::Length(_) | Framing::Chunk(_) => self.more().await?,
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes.
    pub async fn receive_body(&mut self, max: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.receive_data().await? {
            if whole.is_empty() && self.framing == Framing::Length(0) {
                self.finish();
                return Ok(piece);
            }
            if whole.len() + piece.len() > max {
                return Err(Error::Malformed("body is too long"));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Whether the answer has ended and no byte is left over on either side.
    pub fn is_clean(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::Idle)
            && self.incoming.is_empty()
            && self.outgoing.is_empty()
            && !self.closing
    }

    /// Whether the connection can take another request, having been idle for at most `most`.
    pub fn is_reusable(&self, most: Duration) -> bool {
        let idle = clock::now().saturating_duration_since(self.idle_since);
        if !self.is_clean() || idle >= self.idle_limit.min(most) {
            return false;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(cause) if cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes what is left of the request and reads; returns the bytes read, 0 at the end.
    async fn exchange_bytes(&mut self) -> Result<usize, Error> {
        self.incoming.reserve(READ_SIZE);
        if self.outgoing.is_empty() {
            let read = self.stream.read_buf(&mut self.incoming).await;
            return read.map_err(|cause| self.failure(cause));
        }
        loop {
            let (mut reader, mut writer) = self.stream.split();
            let step = tokio::select! {
                biased;
                written = writer.write(&self.outgoing) => written.map(Step::Written),
                read = reader.read_buf(&mut self.incoming) => read.map(Step::Read),
            };
            match step {
                Ok(Step::Written(count)) => {
                    self.outgoing.advance(count);
                    self.written |= count > 0;
                    if self.outgoing.is_empty() {
                        let read = self.stream.read_buf(&mut self.incoming).await;
                        return read.map_err(|cause| self.failure(cause));
                    }
                }
                Ok(Step::Read(count)) => return Ok(count),
                Err(cause) => return Err(self.failure(cause)),
            }
        }
    }

    async fn more(&mut self) -> Result<(), Error> {
        if self.exchange_bytes().await? == 0 {
            return Err(Error::Truncated);
        }
        Ok(())
    }

    fn failure(&self, cause: io::Error) -> Error {
        if self.written {
            Error::Broken(cause)
        } else {
            Error::Unsent(cause)
        }
    }

    fn take(&mut self, left: u64) -> (Bytes, u64) {
        let count = (self.incoming.len() as u64).min(left);
        (
            self.incoming.split_to(count as usize).freeze(),
            left - count,
        )
    }

    fn finish(&mut self) {
        self.framing = Framing::Done;
        self.idle_since = clock::now();
    }

    /// Reads the size of the next chunk; false when bytes are missing.
    fn chunk_size(&mut self, first: bool) -> Result<bool, Error> {
        let skip = if first { 0 } else { 2 };
        if self.incoming.len() < skip {
            return Ok(false);
        }
        if !first && !self.incoming.starts_with(b"\r\n") {
            return Err(Error::Malformed("no line end behind a chunk"));
        }
        match httparse::parse_chunk_size(&self.incoming[skip..]) {
            Ok(httparse::Status::Complete((used, size))) => {
                self.incoming.advance(skip + used);
                self.framing = match size {
                    0 => Framing::Trailers,
                    size => Framing::Chunk(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) => Ok(false),
            Err(_) => Err(Error::Malformed("bad chunk size")),
        }
    }

    /// Skips trailers; false when bytes are missing.
    fn trailers(&mut self) -> Result<bool, Error> {
        if self.incoming.starts_with(b"\r\n") {
            self.incoming.advance(2);
            self.finish();
            return Ok(true);
        }
        let end = self.incoming.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            self.incoming.advance(end + 4);
            self.finish();
            return Ok(true);
        }
        if self.incoming.len() > HEAD_MAX {
            return Err(Error::Malformed("trailers are too long"));
        }
        Ok(false)
    }

    /// Takes a head off the incoming bytes; nothing when it is not complete.
    fn parse_head(&mut self) -> Result<Option<Head>, Error> {
        if self.incoming.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut headers);
        let used = match parsed.parse(&self.incoming) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("bad head")),
        };
        let status = parsed.code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(Error::Malformed("bad status"))?;
        let mut map = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(Error::Malformed("bad header"));
            };
            map.append(name, value);
        }
        let close_by_default = parsed.version == Some(0);
        self.incoming.advance(used);
        self.frame(status, &map, close_by_default)?;
        Ok(Some(Head {
            status,
            headers: map,
        }))
    }

    /// Works out how the body ends and what becomes of the connection.
    fn frame(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        close_by_default: bool,
    ) -> Result<(), Error> {
        let has = |name, token: &str| {
            let values = headers.get_all(name).iter();
            let texts = values.filter_map(|value| value.to_str().ok());
            texts
                .flat_map(|text| text.split(','))
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        };
        self.closing = close_by_default || has(header::CONNECTION, "close");
        if let Some(limit) = keep_alive(headers) {
            self.idle_limit = limit * IDLE_PERCENT / 100;
        }
        let empty = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        self.framing = if empty {
            Framing::Length(0)
        } else if has(header::TRANSFER_ENCODING, "chunked") {
            Framing::ChunkSize { first: true }
        } else if let Some(length) = headers.get(header::CONTENT_LENGTH) {
            let length = length.to_str().ok().and_then(|text| text.parse().ok());
            Framing::Length(length.ok_or(Error::Malformed("bad length"))?)
        } else {
            Framing::UntilClose
        };
        Ok(())
    }
}

enum Step {
    Written(usize),
    Read(usize),
}

/// Idle time that the server announces.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = |part: &str| part.trim().strip_prefix("timeout=")?.parse().ok();
    let seconds: u64 = text.split(',').find_map(timeout)?;
    Some(Duration::from_secs(seconds))
}

/// Sets what makes a silent connection fail: probes and a bound on unacknowledged bytes.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE))
}
