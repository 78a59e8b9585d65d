//! Panics: a hook that logs them, and a future that ends with an error instead of unwinding.

use {
    crate::event,
    prometheus_client::metrics::counter::Counter,
    std::{
        any::Any,
        fmt,
        future::poll_fn,
        panic::{self, AssertUnwindSafe, PanicHookInfo},
        pin::pin,
        sync::LazyLock,
        task::Poll,
        thread,
    },
};

/// Maximum length of a logged message, bytes.
const MAX_MESSAGE_BYTES: usize = 256;

static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);

/// A panic that was caught.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Panic {
    message: Box<str>,
}

impl Panic {
    fn new(payload: &(dyn Any + Send)) -> Self {
        Self {
            message: message(payload),
        }
    }
}

impl fmt::Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Panic {}

/// Message of a panic, at most [`MAX_MESSAGE_BYTES`] long.
fn message(payload: &(dyn Any + Send)) -> Box<str> {
    let text = payload
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let text = text.unwrap_or("unknown");
    text[..text.floor_char_boundary(MAX_MESSAGE_BYTES)].into()
}

/// Number of panics in this process since [`install_hook`].
pub fn count() -> Counter {
    PANICS.clone()
}

/// Logs and counts all later panics of this process instead of printing them.
pub fn install_hook() {
    panic::set_hook(Box::new(report));
}

fn report(info: &PanicHookInfo<'_>) {
    PANICS.inc();
    let location = info.location().map_or_else(
        || "unknown".to_owned(),
        |location| format!("{}:{}", location.file(), location.line()),
    );
    event!(
        Error,
        "panic",
        location = location,
        thread = thread::current().name().unwrap_or("unnamed"),
        message = message(info.payload())
    );
}

/// Calls a function; returns its panic as an error. What the function has borrowed mutably must be
/// usable after a panic in the middle of it.
pub fn catch<T>(function: impl FnOnce() -> T) -> Result<T, Panic> {
    panic::catch_unwind(AssertUnwindSafe(function)).map_err(|payload| Panic::new(&*payload))
}

/// Runs a future; returns its panic as an error. See [`catch`].
pub async fn catch_async<T>(future: impl Future<Output = T>) -> Result<T, Panic> {
    let mut future = pin!(future);
    poll_fn(|cx| match catch(|| future.as_mut().poll(cx)) {
        Ok(poll) => poll.map(Ok),
        Err(panic) => Poll::Ready(Err(panic)),
    })
    .await
}
