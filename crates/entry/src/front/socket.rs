//! The socket of a caller's connection, and what the connection has in hand.

use {
    jayspread_core::{
        connection::{Connection, Limits, Stage},
        memory::Standing,
    },
    jayspread_net::{caller, clock, crowd::Member, sync::lock},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
    },
};

/// State of a connection, and its share in the number of connections with something in hand.
pub struct Progress {
    connection: Mutex<Connection>,
    in_hand: Arc<AtomicUsize>,
    /// Notified when the first byte of a head arrives.
    pub head_begun: Notify,
    /// Notified when the connection is closed for others.
    pub evicted: Notify,
}

/// Marks the body of a request as being read until dropped.
pub struct Reading(Arc<Progress>);

impl Reading {
    /// Marks the connection of a request, if it has one.
    pub fn begin(progress: Option<&Arc<Progress>>) -> Option<Self> {
        let progress = Arc::clone(progress?);
        lock(&progress.connection).set_reading(true);
        Some(Self(progress))
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        lock(&self.0.connection).set_reading(false);
    }
}

impl Member for Progress {
    fn standing(&self, now: Instant) -> Option<Standing> {
        lock(&self.connection).standing(now)
    }

    fn close(&self) {
        self.evicted.notify_one();
    }
}

impl Progress {
    /// State of a connection that was just accepted; `in_hand` counts connections that have something
    /// in hand.
    pub fn new(in_hand: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            connection: Mutex::new(Connection::new(clock::now())),
            in_hand,
            head_begun: Notify::new(),
            evicted: Notify::new(),
        })
    }

    /// What the connection has in hand.
    pub fn stage(&self) -> Stage {
        lock(&self.connection).stage()
    }

    /// Whether a part of a request has arrived, and no answer was begun.
    pub fn is_incomplete(&self) -> bool {
        lock(&self.connection).is_incomplete()
    }

    /// Time from which the connection may be closed; `None` while a request or an answer is in hand.
    pub fn expiry(&self, limits: Limits) -> Option<Instant> {
        lock(&self.connection).expiry(limits)
    }

    /// Records the idle time that an answer tells the caller.
    pub fn promise(&self, idle: Duration) {
        lock(&self.connection).promise(idle);
    }

    /// Records that the head of a request is complete.
    pub fn begin(&self) {
        self.update(Connection::begin);
    }

    /// Records that the answer to a request is complete, or given up.
    pub fn end(&self) {
        self.update(Connection::end);
    }

    /// Records that the connection is being closed; what was sent counts as in hand until the caller
    /// has closed it as well.
    pub fn close(&self) {
        self.update(Connection::close);
    }

    fn update(&self, change: impl FnOnce(&mut Connection, Instant)) {
        let mut connection = lock(&self.connection);
        let was_in_hand = connection.is_in_hand();
        change(&mut connection, clock::now());
        match (was_in_hand, connection.is_in_hand()) {
            (false, true) => self.in_hand.fetch_add(1, Ordering::AcqRel),
            (true, false) => self.in_hand.fetch_sub(1, Ordering::AcqRel),
            _ => return,
        };
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if lock(&self.connection).is_in_hand() {
            self.in_hand.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// A socket that records its progress.
pub struct Socket {
    connection: caller::Connection,
    progress: Arc<Progress>,
}

impl Socket {
    /// Wraps a stream, which is shared with the task that closes it.
    pub fn new(stream: &Arc<TcpStream>, progress: &Arc<Progress>) -> Self {
        Self {
            connection: caller::Connection::new(Arc::clone(stream)),
            progress: Arc::clone(progress),
        }
    }

    fn record_untaken(&self) {
        let since = self.connection.untaken_since();
        lock(&self.progress.connection).set_untaken(since);
    }

    fn connection(&mut self) -> Pin<&mut caller::Connection> {
        Pin::new(&mut self.connection)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = self.connection().poll_read(context, buffer);
        self.record_untaken();
        ready!(read)?;
        if buffer.filled().len() > filled {
            let was_idle = self.progress.stage() == Stage::Idle;
            self.progress.update(Connection::receive);
            if was_idle {
                self.progress.head_begun.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.connection().poll_write(context, bytes);
        self.record_untaken();
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.connection().poll_write_vectored(context, slices);
        self.record_untaken();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    /// Called when no byte is left in the buffer above this socket.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.connection().poll_flush(context))?;
        if self.progress.stage() == Stage::Answer {
            self.progress.update(Connection::flush);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.close();
        self.connection().poll_shutdown(context)
    }
}
