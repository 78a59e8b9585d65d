//! Answers that are held until their callers have taken them, and the memory reserved for them.

use {
    crate::{front::state::State, shared::lock},
    bytes::Bytes,
    jayspread_net::clock,
    std::{sync::Arc, time::Duration},
};

/// Memory reserved for the answer of a request in progress; given back when dropped.
pub struct Allocation {
    bytes: u64,
    state: Arc<State>,
}

impl Allocation {
    /// Reserves memory for the answer of a request on a route.
    ///
    /// # Errors
    ///
    /// The time after which the caller may try again.
    pub fn reserve(state: &Arc<State>, route: &str) -> Result<Self, Duration> {
        let reserved = lock(&state.backlog).reserve(route, clock::now());
        let bytes = reserved.inspect_err(|_| {
            // Their answers are given back when the connections have ended; the next request finds
            // room.
            state.callers.close_unread();
        })?;
        Ok(Self {
            bytes,
            state: Arc::clone(state),
        })
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        lock(&self.state.backlog).cancel(self.bytes);
    }
}

/// Whole body of an answer, counted as held until the last reference to its bytes is dropped.
struct Held {
    body: Bytes,
    state: Arc<State>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        lock(&self.state.backlog).release(self.body.len() as u64, clock::now());
    }
}

/// Counts the body of an answer as held until the kernel has taken it or it is dropped.
pub fn hold(state: &Arc<State>, body: Bytes) -> Bytes {
    lock(&state.backlog).hold(body.len() as u64);
    Bytes::from_owner(Held {
        body,
        state: Arc::clone(state),
    })
}
