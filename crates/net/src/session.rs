//! One connection to another process: typed asks and answers, and heartbeats as datagrams.

use {
    crate::frame::{self, Error},
    bytes::Bytes,
    jayspread_schema::wire::{Ask, Beat, Hello, Reply, ask, reply},
    prost::Message,
    quinn::{Connection, Endpoint, RecvStream, SendStream, VarInt},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Largest ask, bytes: a request with its body.
const ASK_MAX: usize = frame::MAX_FRAME_BYTES;
/// Largest answer frame, bytes: a checkpoint of the configuration.
const REPLY_MAX: usize = frame::MAX_FRAME_BYTES;
/// Code of an orderly end of a connection.
const CLOSED: VarInt = VarInt::from_u32(0);
/// Code of a stream that is not wanted any more.
const STOPPED: VarInt = VarInt::from_u32(1);

/// An open connection whose ends have introduced themselves.
#[derive(Debug, Clone)]
pub struct Session {
    connection: Connection,
    /// The other end.
    pub peer: Arc<Hello>,
    /// Endpoint made for this connection alone, kept open with it.
    _endpoint: Option<Endpoint>,
}

/// Sending half of a stream that answers an ask.
pub struct Writer(pub(crate) SendStream);

/// Receiving half of a stream with the answer to an ask.
pub struct Reader(pub(crate) RecvStream);

impl Session {
    pub(crate) fn new(connection: Connection, peer: Hello, endpoint: Option<Endpoint>) -> Self {
        Self {
            connection,
            peer: Arc::new(peer),
            _endpoint: endpoint,
        }
    }

    /// Sends an ask and returns the reader of its answer.
    pub async fn send_request(&self, kind: ask::Kind) -> Result<Reader, Error> {
        let (mut send, recv) = self
            .connection
            .open_bi()
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
        let ask = Ask { kind: Some(kind) };
        frame::write(&mut send, &ask).await?;
        let _ = send.finish();
        Ok(Reader(recv))
    }

    /// Sends an ask and reads one answer frame within `limit`.
    pub async fn call(&self, kind: ask::Kind, limit: Duration) -> Result<reply::Kind, Error> {
        let exchange = async {
            let mut reader = self.send_request(kind).await?;
            reader.next().await
        };
        match time::timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Broken("timed out".into())),
        }
    }

    /// Waits for the peer's next ask.
    pub async fn accept(&self) -> Result<(SendStream, RecvStream), Error> {
        let streams = self.connection.accept_bi().await;
        streams.map_err(|cause| Error::Broken(cause.to_string().into()))
    }

    /// Sends a heartbeat; one that does not fit the path's datagrams is lost.
    pub fn send_heartbeat(&self, beat: &Beat) -> bool {
        let bytes = Bytes::from(beat.encode_to_vec());
        self.connection.send_datagram(bytes).is_ok()
    }

    /// Waits for the peer's next heartbeat; malformed ones give an error.
    pub async fn receive_heartbeat(&self) -> Result<Beat, Error> {
        let bytes = self
            .connection
            .read_datagram()
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
        Beat::decode(bytes).map_err(Error::Malformed)
    }

    /// Number of the connection, unique among open ones.
    pub fn id(&self) -> usize {
        self.connection.stable_id()
    }

    /// Round-trip time of the connection.
    pub fn rtt(&self) -> Duration {
        self.connection.rtt()
    }

    /// Bytes sent and received over the connection, UDP payloads.
    pub fn byte_counts(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Ends the connection; work on its streams is lost.
    pub fn close(&self, reason: &str) {
        self.connection.close(CLOSED, reason.as_bytes());
    }
}

/// Reads the ask that opens an accepted stream.
pub async fn read_request(stream: &mut RecvStream) -> Result<ask::Kind, Error> {
    let ask: Ask = frame::read(stream, ASK_MAX).await?;
    ask.kind.ok_or(Error::UnknownKind)
}

impl Reader {
    /// Reads the next answer frame.
    pub async fn next(&mut self) -> Result<reply::Kind, Error> {
        let reply: Reply = frame::read(&mut self.0, REPLY_MAX).await?;
        reply.kind.ok_or(Error::UnknownKind)
    }

    /// Reads raw bytes that an answer frame announced.
    pub async fn read_bytes(&mut self, length: usize) -> Result<Bytes, Error> {
        frame::read_bytes(&mut self.0, length).await
    }

    /// Tells the peer that the rest of the answer is not wanted.
    pub fn close(mut self) {
        let _ = self.0.stop(STOPPED);
    }
}

impl Writer {
    /// Wraps the sending half of an accepted stream.
    pub fn new(stream: SendStream) -> Self {
        Self(stream)
    }

    /// Writes an answer frame.
    pub async fn write(&mut self, kind: reply::Kind) -> Result<(), Error> {
        let reply = Reply { kind: Some(kind) };
        frame::write(&mut self.0, &reply).await
    }

    /// Writes raw bytes that an answer frame has announced.
    pub async fn write_bytes(&mut self, bytes: Bytes) -> Result<(), Error> {
        self.0.write_chunk(bytes).await?;
        Ok(())
    }

    /// Ends the answer in order.
    pub fn close(mut self) {
        let _ = self.0.finish();
    }

    /// Waits until the peer has received everything or has gone.
    pub async fn delivered(mut self) -> bool {
        let _ = self.0.finish();
        matches!(self.0.stopped().await, Ok(None))
    }
}
