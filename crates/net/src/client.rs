//! HTTP/1.1 client that makes one call at a time to one address and reuses its connection.

use {
    crate::channel::{Channel, Error, Head},
    bytes::{Bytes, BytesMut},
    std::{io, net::SocketAddr, time::Duration},
    tokio::time,
};

/// Longest time for a download; a server that sends a byte now and then does not hold it for ever.
const MAX_DOWNLOAD_TIME: Duration = Duration::from_secs(20);

/// Client of one address; keeps one connection and reopens it when needed.
pub struct Client {
    address: SocketAddr,
    connect_timeout: Duration,
    channel: Option<Channel>,
}

impl Client {
    /// Creates a client; `connect_timeout` bounds opening a connection.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            channel: None,
        }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the head and the complete body of its response, which must arrive
    /// within `timeout` and have at most `max_body` bytes. After an error the connection is closed.
    pub async fn call(
        &mut self,
        request: Request<'_>,
        timeout: Duration,
        max_body: usize,
    ) -> Result<(Head, Bytes), Error> {
        let exchange = async {
            let (mut channel, head) = self.start_request(request, timeout).await?;
            let body = channel.receive_body(max_body).await?;
            Ok((channel, head, body))
        };
        let (channel, head, body) = with_timeout(timeout, exchange).await?;
        self.channel = channel.is_clean().then_some(channel);
        Ok((head, body))
    }

    /// Like [`Client::call`], but `idle_timeout` bounds each wait for more data instead of the whole
    /// call: a large body may take long on a congested link, and a retry would add to the congestion.
    pub async fn download(
        &mut self,
        request: Request<'_>,
        idle_timeout: Duration,
        max_body: usize,
    ) -> Result<(Head, Bytes), Error> {
        self.receive(request, idle_timeout, MAX_DOWNLOAD_TIME, max_body, |_| {})
            .await
    }

    /// Like [`Client::download`], but the body must arrive within `timeout`, and `on_data` gets the
    /// number of bytes of the body with each part.
    pub async fn receive(
        &mut self,
        request: Request<'_>,
        idle_timeout: Duration,
        timeout: Duration,
        max_body: usize,
        mut on_data: impl FnMut(usize),
    ) -> Result<(Head, Bytes), Error> {
        let (mut channel, head) =
            with_timeout(idle_timeout, self.start_request(request, idle_timeout)).await?;
        let receiving = async {
            let mut body = BytesMut::new();
            while let Some(data) = with_timeout(idle_timeout, channel.receive_data()).await? {
                if body.len() + data.len() > max_body {
                    return Err(Error::Malformed("response body is too large"));
                }
                body.extend_from_slice(&data);
                on_data(data.len());
            }
            Ok(body)
        };
        let body = with_timeout(timeout, receiving).await?;
        self.channel = channel.is_clean().then_some(channel);
        Ok((head, body.freeze()))
    }

    /// Sends a request and reads the head of its response.
    async fn start_request(
        &mut self,
        request: Request<'_>,
        timeout: Duration,
    ) -> Result<(Channel, Head), Error> {
        let reusable = self.channel.take().filter(|c| c.is_reusable(timeout));
        let mut channel = match reusable {
            Some(channel) => channel,
            None => Channel::open(self.address, self.connect_timeout).await?,
        };
        let request_head = request.head(self.address);
        channel.queue_request(&request_head, request.body);
        let head = channel.receive_head().await?;
        Ok((channel, head))
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let timed_out = Err(Error::Broken(io::ErrorKind::TimedOut.into()));
    time::timeout(timeout, operation).await.unwrap_or(timed_out)
}

/// Request of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body; if empty, no body is sent.
    pub content_type: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Creates a GET request without a body.
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
            content_type,
            body,
        } = self;
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
        if !content_type.is_empty() {
            head.push_str(&format!(
                "Content-Type: {content_type}\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}
