//! Fake of the platform's host list service.

use {
    crate::server::Server,
    axum::{
        Json, Router,
        extract::State,
        response::{IntoResponse, Response},
        routing::get,
    },
    http::StatusCode,
    jayspread_entry::hosts::HostJson,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

#[derive(Default)]
struct Inner {
    entries: Vec<HostJson>,
    down: bool,
}

/// The host list, shared by all clones.
#[derive(Clone, Default)]
pub struct Hosts {
    inner: Arc<Mutex<Inner>>,
}

impl Hosts {
    /// Starts an HTTP server for the list.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/hosts", get(list_hosts))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Adds a host, or replaces its entry if it is listed already.
    pub fn set(&self, entry: HostJson) {
        let mut inner = self.lock();
        inner.entries.retain(|listed| listed.host != entry.host);
        inner.entries.push(entry);
    }

    /// Removes a host.
    pub fn remove(&self, host: &str) {
        self.lock().entries.retain(|entry| entry.host != host);
    }

    /// Sets the listed state of a host: "live" or "leaving".
    pub fn set_state(&self, host: &str, state: &str) {
        for entry in self
            .lock()
            .entries
            .iter_mut()
            .filter(|entry| entry.host == host)
        {
            state.clone_into(&mut entry.state);
        }
    }

    /// Makes every call fail with status 503 while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }
}

async fn list_hosts(State(hosts): State<Hosts>) -> Response {
    let inner = hosts.lock();
    if inner.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(inner.entries.clone()).into_response()
}
