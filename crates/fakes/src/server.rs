//! A small HTTP server that can be closed.

use {
    axum::Router,
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// A listening server.
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; port 0 takes any.
    pub async fn open(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Any free port on loopback.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
