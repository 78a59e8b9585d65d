//! Length-prefixed messages on a QUIC stream: a four-byte little-endian length, then the message.

use {
    bytes::{Bytes, BytesMut},
    prost::Message,
    quinn::{ReadExactError, RecvStream, SendStream, WriteError},
    std::fmt,
};

/// Maximum length of a message, bytes.
pub const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
/// Buffer space allocated ahead of the received data, bytes.
const READ_STEP_BYTES: usize = 256 * 1024;
/// Size of the length prefix, bytes.
const PREFIX_BYTES: usize = 4;

/// Error of reading or writing a frame.
#[derive(Debug)]
pub enum Error {
    /// The peer finished the stream at a frame boundary.
    EndOfStream,
    /// The stream or its connection failed.
    Broken(Box<str>),
    /// The frame exceeds the length limit; its length in bytes.
    TooLong(usize),
    /// The message cannot be decoded.
    Malformed(prost::DecodeError),
    /// The kind of the message is missing or unknown to this version.
    UnknownKind,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::EndOfStream => write!(f, "stream ended"),
            Error::Broken(cause) => write!(f, "stream failed: {cause}"),
            Error::TooLong(length) => write!(f, "frame of {length} bytes is too long"),
            Error::Malformed(cause) => write!(f, "malformed frame: {cause}"),
            Error::UnknownKind => write!(f, "message of an unknown kind"),
        }
    }
}

impl std::error::Error for Error {}

impl From<WriteError> for Error {
    fn from(cause: WriteError) -> Self {
        Error::Broken(cause.to_string().into())
    }
}

/// Encodes a message with its length prefix.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    assert!(length <= MAX_FRAME_BYTES, "frame exceeds the length limit");
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + length);
    buffer.extend_from_slice(&(length as u32).to_le_bytes());
    message.encode(&mut buffer).expect("buffer grows as needed");
    buffer.freeze()
}

/// Writes a message; waits while the flow-control window of the peer is full.
pub async fn write(stream: &mut SendStream, message: &impl Message) -> Result<(), Error> {
    stream.write_chunk(encode(message)).await?;
    Ok(())
}

/// Reads a message of at most `max_bytes` bytes.
pub async fn read<M: Message + Default>(
    stream: &mut RecvStream,
    max_bytes: usize,
) -> Result<M, Error> {
    let mut prefix = [0; PREFIX_BYTES];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Err(Error::EndOfStream),
        Err(cause) => return Err(Error::Broken(cause.to_string().into())),
    }
    let length = u32::from_le_bytes(prefix) as usize;
    if length > max_bytes {
        return Err(Error::TooLong(length));
    }
    let body = read_bytes(stream, length).await?;
    M::decode(body).map_err(Error::Malformed)
}

/// Reads exactly `length` bytes; grows the buffer step by step as they arrive.
pub async fn read_bytes(stream: &mut RecvStream, length: usize) -> Result<Bytes, Error> {
    let mut body = BytesMut::with_capacity(length.min(READ_STEP_BYTES));
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + READ_STEP_BYTES), 0);
        stream
            .read_exact(&mut body[start..])
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
    }
    Ok(body.freeze())
}
