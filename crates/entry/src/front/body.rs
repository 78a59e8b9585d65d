//! Response bodies sent to callers.

use {
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    jayspread_net::panic::{self, Panic},
    std::{convert::Infallible, fmt},
    tokio::task,
};

/// Error that ends a response body early: the connection closes without the final chunk, so the
/// caller sees that the body is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for Aborted {}

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// A body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Source of the chunks of a streamed body.
pub trait Source: Send + 'static {
    /// Returns the next chunk, or `None` at the end of the body.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, Aborted>>> + Send;

    /// Records that [`Source::next`] panicked, which aborts the body.
    fn record_panic(&mut self, panic: &Panic);
}

/// A body that starts with `first` and polls `source` as the caller reads; dropping the body drops
/// the source. What came before an error is written before the body fails.
pub fn streaming(first: Bytes, source: impl Source) -> Body {
    let state = (Some(first), source);
    let frames = stream::unfold(state, |(first, mut source)| async move {
        let chunk = match first {
            Some(first) => Ok(first),
            None => match panic::catch_async(source.next()).await {
                Ok(chunk) => chunk?,
                Err(panic) => {
                    source.record_panic(&panic);
                    Err(Aborted)
                }
            },
        };
        if chunk.is_err() {
            // An error ends the connection with what it has not written yet. It writes while the body
            // waits.
            task::yield_now().await;
        }
        Some((chunk.map(Frame::data), (None, source)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
