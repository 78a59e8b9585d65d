//! Whole calls to one address.

use {
    crate::channel::{Channel, Error, Head},
    bytes::{Bytes, BytesMut},
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
        let exchange = async {
            let (mut channel, head) = self.begin(request, limit).await?;
            let body = channel.receive_body(max).await?;
            Ok((channel, head, body))
        };
        let (channel, head, body) = within(limit, exchange).await?;
        self.channel = channel.is_clean().then_some(channel);
        Ok((head, body))
    }

    /// Like [`Client::call`], but `silence` bounds each wait for more of the answer rather than the
    /// whole call: a large answer over a crowded link takes its time, and asking again would crowd
    /// the link more.
    pub async fn download(
        &mut self,
        request: Request<'_>,
        silence: Duration,
        max: usize,
    ) -> Result<(Head, Bytes), Error> {
        let (mut channel, head) = within(silence, self.begin(request, silence)).await?;
        let mut body = BytesMut::new();
        while let Some(piece) = within(silence, channel.receive_data()).await? {
            if body.len() + piece.len() > max {
                return Err(Error::Malformed("the answer is too large"));
            }
            body.extend_from_slice(&piece);
        }
        self.channel = channel.is_clean().then_some(channel);
        Ok((head, body.freeze()))
    }

    /// Sends a request and takes in the head of its answer.
    async fn begin(
        &mut self,
        request: Request<'_>,
        limit: Duration,
    ) -> Result<(Channel, Head), Error> {
        let kept = self.channel.take().filter(|c| c.is_reusable(limit));
        let mut channel = match kept {
            Some(channel) => channel,
            None => Channel::open(self.address, self.connect).await?,
        };
        let head = request.head(self.address);
        channel.queue_request(&head, request.body);
        let head = channel.receive_head().await?;
        Ok((channel, head))
    }
}

async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = Err(Error::Broken(io::ErrorKind::TimedOut.into()));
    time::timeout(limit, step).await.unwrap_or(late)
}

/// A whole request of one of our own calls.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A request without a body.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            content_type: "",
            body: &[],
        }
    }

    fn head(&self, address: SocketAddr) -> Vec<u8> {
        let Self {
            method,
            path,
            content_type: media,
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
