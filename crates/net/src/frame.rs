//! Frames on a stream: a little-endian length of four bytes, then an encoded message.

use {
    bytes::{Bytes, BytesMut},
    prost::Message,
    quinn::{ReadExactError, RecvStream, SendStream, WriteError},
    std::fmt,
};

/// Largest frame, bytes.
pub const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
/// Bytes of a frame that are allocated before they have arrived.
const STEP: usize = 256 * 1024;
/// Bytes of the length prefix.
const PREFIX: usize = 4;

/// Error of reading or writing a frame.
#[derive(Debug)]
pub enum Error {
    /// The peer ended the stream at a frame boundary.
    EndOfStream,
    /// The stream broke off.
    Broken(Box<str>),
    /// The frame is longer than allowed.
    TooLong(usize),
    /// The frame holds no such message.
    Malformed(prost::DecodeError),
    /// The message has no kind that this version knows.
    UnknownKind,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::EndOfStream => write!(f, "stream ended"),
            Error::Broken(cause) => write!(f, "stream broke off: {cause}"),
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
    assert!(length <= MAX_FRAME_BYTES, "frame longer than allowed");
    let mut buffer = BytesMut::with_capacity(PREFIX + length);
    buffer.extend_from_slice(&(length as u32).to_le_bytes());
    message.encode(&mut buffer).expect("buffer grows as needed");
    buffer.freeze()
}

/// Writes a message; waits while the peer's window is full.
pub async fn write(stream: &mut SendStream, message: &impl Message) -> Result<(), Error> {
    stream.write_chunk(encode(message)).await?;
    Ok(())
}

/// Reads a message of at most `limit` bytes.
pub async fn read<M: Message + Default>(stream: &mut RecvStream, limit: usize) -> Result<M, Error> {
    let mut prefix = [0; PREFIX];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Err(Error::EndOfStream),
        Err(cause) => return Err(Error::Broken(cause.to_string().into())),
    }
    let length = u32::from_le_bytes(prefix) as usize;
    if length > limit {
        return Err(Error::TooLong(length));
    }
    let body = read_bytes(stream, length).await?;
    M::decode(body).map_err(Error::Malformed)
}

/// Reads exactly `length` bytes, allocating only as they arrive.
pub async fn read_bytes(stream: &mut RecvStream, length: usize) -> Result<Bytes, Error> {
    let mut body = BytesMut::with_capacity(length.min(STEP));
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + STEP), 0);
        stream
            .read_exact(&mut body[start..])
            .await
            .map_err(|cause| Error::Broken(cause.to_string().into()))?;
    }
    Ok(body.freeze())
}
