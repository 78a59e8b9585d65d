//! Open connections of a server, of which those without progress are closed for new ones.

use {
    crate::{clock, event, sync::lock},
    jayspread_core::memory::{Notice, Standing, first_to_close},
    std::{
        collections::BTreeMap,
        io,
        pin::Pin,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::Notify,
    },
};

/// One in this many connections is closed at a time, so that a flood of new ones costs little.
const BATCH_DIVISOR: usize = 32;

/// A connection of a [`Crowd`].
pub trait Member: Send + Sync + 'static {
    /// Whether and how readily the connection is closed for others.
    fn standing(&self, now: Instant) -> Option<Standing>;
    /// Ends the connection.
    fn close(&self);
}

/// Open connections of a server.
#[derive(Debug)]
pub struct Crowd<M> {
    limit: usize,
    inner: Mutex<Inner<M>>,
    closed: AtomicUsize,
    refused: AtomicUsize,
}

#[derive(Debug)]
struct Inner<M> {
    members: BTreeMap<u64, Arc<M>>,
    next_id: u64,
    notice: Notice,
}

/// Place of a connection in its crowd; given back when dropped.
pub struct Place<M> {
    crowd: Arc<Crowd<M>>,
    id: u64,
}

impl<M> Drop for Place<M> {
    fn drop(&mut self) {
        lock(&self.crowd.inner).members.remove(&self.id);
    }
}

impl<M: Member> Crowd<M> {
    /// A crowd of at most this many connections.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            inner: Mutex::new(Inner {
                members: BTreeMap::new(),
                next_id: 0,
                notice: Notice::default(),
            }),
            closed: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        })
    }

    /// Largest number of connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.inner).members.len()
    }

    /// Number of connections that were closed for others, and of new ones that were refused.
    pub fn totals(&self) -> (usize, usize) {
        (
            self.closed.load(Ordering::Relaxed),
            self.refused.load(Ordering::Relaxed),
        )
    }

    /// Adds a connection; closes others if there are too many. `None` if none can be closed: the new
    /// one is refused.
    pub fn enter(self: &Arc<Self>, member: &Arc<M>) -> Option<Place<M>> {
        if self.count() >= self.limit && self.make_room() == 0 {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let mut inner = lock(&self.inner);
        let id = inner.next_id;
        inner.next_id += 1;
        inner.members.insert(id, Arc::clone(member));
        Some(Place {
            crowd: Arc::clone(self),
            id,
        })
    }

    /// Closes the connections with the oldest progress; returns their number.
    pub fn make_room(&self) -> usize {
        self.close(self.limit / BATCH_DIVISOR + 1, |_| true)
    }

    /// Closes all connections whose callers have not read their answers for long.
    pub fn close_unread(&self) -> usize {
        self.close(usize::MAX, |standing| {
            matches!(standing, Standing::Unread(_))
        })
    }

    fn close(&self, count: usize, is_meant: impl Fn(Standing) -> bool) -> usize {
        let now = clock::now();
        let mut inner = lock(&self.inner);
        let standings = inner.members.iter().filter_map(|(id, member)| {
            let standing = member.standing(now).filter(|standing| is_meant(*standing));
            standing.map(|standing| (*id, standing))
        });
        let closed = first_to_close(standings, count);
        for id in &closed {
            // Counts as closed from now on: its task ends next.
            if let Some(member) = inner.members.remove(id) {
                member.close();
            }
        }
        self.closed.fetch_add(closed.len(), Ordering::Relaxed);
        if let Some(count) = inner.notice.record(closed.len() as u64, now) {
            event!(
                Warn,
                "connections_closed",
                reason = "limit",
                count = count,
                open = inner.members.len()
            );
        }
        closed.len()
    }
}

/// A connection whose progress is that of its socket.
#[derive(Debug)]
pub struct Activity {
    progressed: Mutex<Instant>,
    /// Number of requests whose answer has not begun.
    pending: AtomicUsize,
    closed: Notify,
}

impl Activity {
    /// A connection that was just accepted.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            progressed: Mutex::new(clock::now()),
            pending: AtomicUsize::new(0),
            closed: Notify::new(),
        })
    }

    /// Completes when the connection must end.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Runs the handling of a request up to its answer; the connection is not closed meanwhile.
    pub async fn pending<T>(&self, handling: impl Future<Output = T>) -> T {
        struct Pending<'a>(&'a AtomicUsize);
        impl Drop for Pending<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::AcqRel);
            }
        }
        self.pending.fetch_add(1, Ordering::AcqRel);
        let _pending = Pending(&self.pending);
        handling.await
    }
}

impl Member for Activity {
    fn standing(&self, _: Instant) -> Option<Standing> {
        let is_idle = self.pending.load(Ordering::Acquire) == 0;
        is_idle.then(|| Standing::Waiting(*lock(&self.progressed)))
    }

    fn close(&self) {
        self.closed.notify_one();
    }
}

/// A socket that records its progress.
pub struct Watched<S> {
    socket: S,
    activity: Arc<Activity>,
}

impl<S: Unpin> Watched<S> {
    /// Wraps a socket.
    pub fn new(socket: S, activity: &Arc<Activity>) -> Self {
        Self {
            socket,
            activity: Arc::clone(activity),
        }
    }

    fn record(&self) {
        *lock(&self.activity.progressed) = clock::now();
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        self.record();
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write(context, bytes))?;
        self.record();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
