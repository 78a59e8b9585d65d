//! Errors of a request on a connection.

use std::{fmt, io};

/// Error of a request.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened.
    Connect(io::Error),
    /// The connection failed before any byte of the request was sent.
    Unsent(io::Error),
    /// The connection failed after at least one byte of the request was sent.
    Broken(io::Error),
    /// The server closed the connection before the end of the response.
    Truncated,
    /// The server closed the connection after a head without a length, which may be the whole
    /// response.
    Empty,
    /// The response is malformed or too long.
    Malformed(&'static str),
}

impl Error {
    /// Whether the request cannot have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(_) | Error::Unsent(_))
    }

    /// Whether the server's host refused the connection: no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Error::Connect(cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Short name for logs and counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Error::Connect(_) => "connect",
            Error::Unsent(_) => "unsent",
            Error::Broken(_) => "broken",
            Error::Truncated => "ended",
            Error::Empty => "empty",
            Error::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(f, "could not connect: {cause}"),
            Error::Unsent(cause) => write!(f, "could not send: {cause}"),
            Error::Broken(cause) => write!(f, "connection failed: {cause}"),
            Error::Truncated => write!(f, "connection closed before the end of the response"),
            Error::Empty => write!(f, "connection closed after a head without a length"),
            Error::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
