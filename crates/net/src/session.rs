//! Connection to another process: requests and replies on streams, heartbeats as datagrams.

use {
    crate::frame::{self, Error},
    bytes::Bytes,
    jayspread_schema::wire::{Ask, Beat, Hello, Reply, ask, reply},
    prost::Message,
    quinn::{Connection, Endpoint, RecvStream, SendStream, VarInt},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Maximum length of a request message, bytes; the largest are submitted requests with their body.
const MAX_REQUEST_BYTES: usize = frame::MAX_FRAME_BYTES;
/// Maximum length of a reply message, bytes; the largest are configuration checkpoints.
const MAX_REPLY_BYTES: usize = frame::MAX_FRAME_BYTES;
/// Error code of a regular connection close.
const CLOSE_CODE: VarInt = VarInt::from_u32(0);
/// Error code sent when the rest of a reply stream is not needed.
const STOP_CODE: VarInt = VarInt::from_u32(1);

/// Connection on which both ends have exchanged hellos.
#[derive(Debug, Clone)]
pub struct Session {
    connection: Connection,
    /// Hello of the peer.
    pub peer: Arc<Hello>,
    /// Endpoint used only by this connection, kept open until the connection ends.
    _endpoint: Option<Endpoint>,
}

/// Sending half of a stream; writes the replies to a request.
pub struct Writer(pub(crate) SendStream);

/// Receiving half of a stream; reads the replies to a request.
pub struct Reader(pub(crate) RecvStream);

impl Session {
    pub(crate) fn new(connection: Connection, peer: Hello, endpoint: Option<Endpoint>) -> Self {
        Self {
            connection,
            peer: Arc::new(peer),
            _endpoint: endpoint,
        }
    }

    /// Sends a request on a new stream and returns the reader of its replies.
    pub async fn send_request(&self, kind: ask::Kind) -> Result<Reader, Error> {
        let (mut send, recv) = self
            .connection
            .open_bi()
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
        let request = Ask { kind: Some(kind) };
        frame::write(&mut send, &request).await?;
        let _ = send.finish();
        Ok(Reader(recv))
    }

    /// Sends a request and reads one reply, both within `timeout`.
    pub async fn call(&self, kind: ask::Kind, timeout: Duration) -> Result<reply::Kind, Error> {
        let exchange = async {
            let mut reader = self.send_request(kind).await?;
            reader.next().await
        };
        match time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(Error::Broken("timed out".into())),
        }
    }

    /// Waits for the next stream opened by the peer; each carries one request.
    pub async fn accept(&self) -> Result<(SendStream, RecvStream), Error> {
        let stream = self.connection.accept_bi().await;
        stream.map_err(|cause| Error::Broken(cause.to_string().into()))
    }

    /// Sends a heartbeat without waiting; returns false if it could not be queued, for example because
    /// it is larger than the maximum datagram of the path.
    pub fn send_heartbeat(&self, heartbeat: &Beat) -> bool {
        let datagram = Bytes::from(heartbeat.encode_to_vec());
        self.connection.send_datagram(datagram).is_ok()
    }

    /// Waits for the peer's next heartbeat; fails if it is malformed.
    pub async fn receive_heartbeat(&self) -> Result<Beat, Error> {
        let datagram = self
            .connection
            .read_datagram()
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
        Beat::decode(datagram).map_err(Error::Malformed)
    }

    /// Identifier of the connection, unique among open connections of its endpoint.
    pub fn id(&self) -> usize {
        self.connection.stable_id()
    }

    /// Round-trip time of the connection.
    pub fn rtt(&self) -> Duration {
        self.connection.rtt()
    }

    /// Bytes sent and received in UDP payloads of this connection.
    pub fn byte_counts(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Closes the connection and aborts its streams.
    pub fn close(&self, reason: &str) {
        self.connection.close(CLOSE_CODE, reason.as_bytes());
    }
}

/// Reads the request from an accepted stream.
pub async fn read_request(stream: &mut RecvStream) -> Result<ask::Kind, Error> {
    let request: Ask = frame::read(stream, MAX_REQUEST_BYTES).await?;
    request.kind.ok_or(Error::UnknownKind)
}

impl Reader {
    /// Reads the next reply.
    pub async fn next(&mut self) -> Result<reply::Kind, Error> {
        let reply: Reply = frame::read(&mut self.0, MAX_REPLY_BYTES).await?;
        reply.kind.ok_or(Error::UnknownKind)
    }

    /// Reads `length` raw bytes announced by the previous reply.
    pub async fn read_bytes(&mut self, length: usize) -> Result<Bytes, Error> {
        frame::read_bytes(&mut self.0, length).await
    }

    /// Stops the stream, so that the peer sends no further replies.
    pub fn close(mut self) {
        let _ = self.0.stop(STOP_CODE);
    }
}

impl Writer {
    /// Wraps the sending half of an accepted stream.
    pub fn new(stream: SendStream) -> Self {
        Self(stream)
    }

    /// Writes a reply.
    pub async fn write(&mut self, kind: reply::Kind) -> Result<(), Error> {
        let reply = Reply { kind: Some(kind) };
        frame::write(&mut self.0, &reply).await
    }

    /// Writes raw bytes announced by the previous reply.
    pub async fn write_bytes(&mut self, bytes: Bytes) -> Result<(), Error> {
        self.0.write_chunk(bytes).await?;
        Ok(())
    }

    /// Finishes the stream.
    pub fn close(mut self) {
        let _ = self.0.finish();
    }

    /// Finishes the stream and waits; returns true if the peer has received everything.
    pub async fn delivered(mut self) -> bool {
        let _ = self.0.finish();
        matches!(self.0.stopped().await, Ok(None))
    }
}
