//! Whole calls to one address.

use {
    crate::channel::{Channel, Error, Head},
    bytes::Bytes,
    std::{io, net::SocketAddr, time::Duration},
    tokio::time,
};

/// Client of one address for whole calls, over one connection that is opened again when needed.
pub struct Client {
    address: SocketAddr,
    connect: Duration,
    channel: Option<Channel>,
}

impl Client {
    /// Creates a client that connects within `connect`.
    pub fn new(address: SocketAddr, connect: Duration) -> Self {
        Self {
            address,
            connect,
            channel: None,
        }
    }

    /// Address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls within `limit` and returns head and whole body of at most `max` bytes. After an error
    /// the connection is not used again.
    pub async fn call(
        &mut self,
        request: Request<'_>,
        limit: Duration,
        max: usize,
    ) -> Result<(Head, Bytes), Error> {
        let kept = self.channel.take().filter(|c| c.reusable(limit));
        let exchange = async {
            let mut channel = match kept {
                Some(channel) => channel,
                None => Channel::open(self.address, self.connect).await?,
            };
            let head = request.head(self.address);
            channel.send(&head, request.body);
            let head = channel.head().await?;
            let body = channel.rest(max).await?;
            Ok((channel, head, body))
        };
        let late = Err(Error::Broken(io::ErrorKind::TimedOut.into()));
        let (channel, head, body) = time::timeout(limit, exchange).await.unwrap_or(late)?;
        self.channel = channel.clean().then_some(channel);
        Ok((head, body))
    }
}

/// A whole request of one of our own calls.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body.
    pub media: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A request without a body.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            media: "",
            body: &[],
        }
    }

    fn head(&self, address: SocketAddr) -> Vec<u8> {
        let Self {
            method,
            path,
            media,
            body,
        } = self;
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
        if !media.is_empty() {
            head.push_str(&format!(
                "Content-Type: {media}\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}
