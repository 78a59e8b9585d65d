//! Reading of request bodies within limits.
//!
//! A server that closes a connection with unread data resets it, and the caller may lose the
//! response that came before. What a caller still sends is therefore read and discarded for a short
//! time before a rejection.

use {
    bytes::Bytes,
    http_body::Body,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    std::{error::Error as StdError, time::Duration},
    tokio::time,
};

/// Longest time for which the rest of a rejected body is read.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);
/// Largest size of the rest of a rejected body that is read, bytes.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Reason why a body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early.
    Broken,
    /// It did not arrive in time.
    TooSlow,
}

/// Reads a body of at most `max_bytes` within `timeout`. The rest of a larger one is discarded.
pub async fn read<B>(mut body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let reading = Limited::new(&mut body, max_bytes).collect();
    let error = match time::timeout(timeout, reading).await {
        Ok(Ok(collected)) => return Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Error::TooLarge,
        Ok(Err(_)) => Error::Broken,
        Err(_) => Error::TooSlow,
    };
    if error == Error::TooLarge {
        discard(body).await;
    }
    Err(error)
}

/// Reads and discards the rest of a body, within limits of time and size.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The caller gets its response also if the body takes longer.
    let _ = time::timeout(DISCARD_TIME, discarding).await;
}
