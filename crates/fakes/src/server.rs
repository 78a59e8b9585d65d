//! HTTP server that runs in a background task until it is closed.

use {
    axum::Router,
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on `address`; with port 0 the system assigns a free port.
    pub async fn open(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Loopback address with port 0: the system assigns a free port on bind.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
