//! Stand-in for the platform's list of hosts.

use {
    crate::server::Server,
    axum::{
        Json, Router,
        extract::State,
        response::{IntoResponse, Response},
        routing::get,
    },
    http::StatusCode,
    jayspread_entry::hosts::Line,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

#[derive(Default)]
struct Inner {
    lines: Vec<Line>,
    down: bool,
}

/// The list.
#[derive(Clone, Default)]
pub struct Hosts {
    inner: Arc<Mutex<Inner>>,
}

impl Hosts {
    /// Serves the list over HTTP.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/hosts", get(list))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Adds a host or replaces its line.
    pub fn set(&self, line: Line) {
        let mut inner = self.lock();
        inner.lines.retain(|old| old.host != line.host);
        inner.lines.push(line);
    }

    /// Removes a host.
    pub fn remove(&self, host: &str) {
        self.lock().lines.retain(|line| line.host != host);
    }

    /// Marks a host as live or leaving.
    pub fn set_state(&self, host: &str, state: &str) {
        for line in self
            .lock()
            .lines
            .iter_mut()
            .filter(|line| line.host == host)
        {
            state.clone_into(&mut line.state);
        }
    }

    /// Makes every call fail, or not.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds the lock")
    }
}

async fn list(State(hosts): State<Hosts>) -> Response {
    let inner = hosts.lock();
    if inner.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(inner.lines.clone()).into_response()
}
