//! Bodies of answers to callers.

use {
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    std::{convert::Infallible, fmt},
};

/// The answer cannot be finished; the connection ends without the mark of a whole body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Cut {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// A whole body.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Source of the pieces of a streamed body.
pub trait Pieces: Send + 'static {
    /// Next piece; nothing at the end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, Cut>>> + Send;
}

/// A body that is read from its source as the caller takes it; dropping it drops the source.
pub fn streamed(first: Bytes, pieces: impl Pieces) -> Body {
    let state = (Some(first), pieces);
    let frames = stream::unfold(state, |(first, mut pieces)| async move {
        let piece = match first {
            Some(first) => Ok(first),
            None => pieces.next().await?,
        };
        Some((piece.map(Frame::data), (None, pieces)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
