//! Connection of a caller, which may read slowly.
//!
//! The kernel's user timeout also ends connections whose peer reads slowly, since it counts from the
//! last byte taken while the peer's window is closed. Callers' connections are watched here instead.

use {
    crate::{clock, event, inspection},
    jayspread_core::delivery::{End, SAMPLE_INTERVAL, Sample, Verdict, Watch},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io::{self, IoSlice},
        net::Shutdown,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        time::{self, Sleep},
    },
};

/// Idle time before the first TCP keepalive probe and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Number of bytes that the kernel takes beyond those that it has sent. Without a bound it would hold
/// whole answers for slow readers.
const UNSENT_BYTES: u32 = 128 << 10;

/// Size of the kernel's buffer for what callers send and the process has not read, bytes. The default
/// grows to several megabytes for each connection.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Bounds what the kernel holds for each connection that this listener accepts.
pub fn bound_receive_buffer(listener: &TcpListener) {
    if let Err(cause) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        event!(
            Debug,
            "socket_option_failed",
            option = "receive_buffer",
            reason = cause
        );
    }
}

/// Connection that fails if its peer is dead, or takes no byte for a long time. It shares its stream
/// with whoever closes it.
pub struct Connection {
    stream: Arc<TcpStream>,
    /// Number of bytes that the kernel has taken.
    written: u64,
    /// Whether the last write found no room.
    is_blocked: bool,
    /// Set while the peer may not have taken all bytes.
    watch: Option<Watch>,
    next_sample: Pin<Box<Sleep>>,
    end: Option<End>,
}

impl Connection {
    /// Wraps an accepted connection and sets its options; the kernel's default replaces one that it
    /// refuses.
    pub fn new(stream: Arc<TcpStream>) -> Self {
        let socket = SockRef::from(&*stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        for (name, result) in [
            ("nodelay", stream.set_nodelay(true)),
            ("keepalive", socket.set_tcp_keepalive(&keepalive)),
            ("unsent_bytes", socket.set_tcp_notsent_lowat(UNSENT_BYTES)),
        ] {
            if let Err(cause) = result {
                event!(Debug, "socket_option_failed", option = name, reason = cause);
            }
        }
        Self {
            stream,
            written: 0,
            is_blocked: false,
            watch: None,
            next_sample: Box::pin(time::sleep(Duration::ZERO)),
            end: None,
        }
    }

    /// Since when the peer has taken no byte of what was sent; `None` if it has all, as far as known.
    pub fn untaken_since(&self) -> Option<Instant> {
        self.watch.map(|watch| watch.taken_at())
    }

    /// Records a write and starts to watch the peer if it was idle.
    fn record_write(&mut self, context: &mut Context<'_>, written: Option<usize>) {
        let before = self.written;
        self.written += written.unwrap_or(0) as u64;
        self.is_blocked = written.is_none();
        let is_watched = self.is_blocked || inspection::is_available();
        if self.watch.is_none() && is_watched {
            self.watch = Some(Watch::new(before, clock::now()));
            self.schedule();
        }
        // Registers the task for the next sample.
        let _ = self.next_sample.as_mut().poll(context);
    }

    fn schedule(&mut self) {
        let at = time::Instant::now() + SAMPLE_INTERVAL;
        self.next_sample.as_mut().reset(at);
    }

    /// Samples the connection when that is due; fails if it must be closed.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.end.is_none()
            && let Some(watch) = &mut self.watch
            && self.next_sample.as_mut().poll(context).is_ready()
        {
            let addresses = (self.stream.local_addr(), self.stream.peer_addr());
            let queue = match addresses {
                (Ok(local), Ok(peer)) => inspection::queue(local, peer),
                _ => None,
            };
            let sample = Sample {
                written: self.written,
                is_blocked: self.is_blocked,
                queue,
            };
            match watch.observe(sample, clock::now()) {
                Verdict::Idle => self.watch = None,
                Verdict::Waiting => self.schedule(),
                Verdict::Ended(end) => self.abort(end, sample),
            }
        }
        match self.end {
            Some(end) => Err(io::Error::new(io::ErrorKind::TimedOut, end.name())),
            None => Ok(()),
        }
    }

    /// Makes the connection be reset when it is dropped, so that the kernel holds nothing for it.
    fn abort(&mut self, end: End, sample: Sample) {
        self.end = Some(end);
        event!(
            Info,
            "caller_given_up",
            reason = end.name(),
            written = sample.written,
            unacknowledged = sample.queue.map_or(0, |queue| queue.unacknowledged)
        );
        reset_on_drop(&self.stream, true);
    }

    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        let stream = &self.stream;
        let written = poll_io(|| stream.poll_write_ready(context), || write(stream));
        match written {
            Poll::Ready(result) => {
                self.record_write(context, Some(*result.as_ref().unwrap_or(&0)));
                Poll::Ready(result)
            }
            Poll::Pending => {
                self.record_write(context, None);
                Poll::Pending
            }
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.stream;
        let read = poll_io(
            || stream.poll_read_ready(context),
            || stream.try_read(buffer.initialize_unfilled()),
        );
        match read {
            Poll::Ready(result) => {
                buffer.advance(result?);
                Poll::Ready(Ok(()))
            }
            Poll::Pending => {
                self.check(context)?;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.check(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shut_down(&self.stream))
    }
}

/// Sets whether a stream is reset when it is dropped, also by the end of the process.
pub fn reset_on_drop(stream: &TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(cause) = SockRef::from(stream).set_linger(linger) {
        event!(
            Debug,
            "socket_option_failed",
            option = "linger",
            reason = cause
        );
    }
}

/// Ends the sending direction of a stream.
pub fn shut_down(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}

/// Runs `operate` when the socket is ready for it.
fn poll_io(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut operate: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(poll_ready())?;
        match operate() {
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
