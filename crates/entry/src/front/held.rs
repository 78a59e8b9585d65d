//! Answers that are held until their callers have taken them.

use {
    crate::{front::state::State, shared::lock},
    bytes::Bytes,
    jayspread_net::clock,
    std::sync::Arc,
};

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
