//! Paced links on loopback: a QUIC runtime whose sockets delay what they send.
//!
//! Each host has a place, told by its IP number and port; a datagram between regions queues on
//! the sending region's uplink and the receiving region's downlink. A full queue drops.

use {
    quinn::{
        AsyncTimer, AsyncUdpSocket, Runtime, TokioRuntime, UdpPoller,
        udp::{RecvMeta, Transmit},
    },
    std::{
        collections::BTreeMap,
        fmt,
        io::{self, IoSliceMut},
        net::{SocketAddr, UdpSocket},
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Longest queue of a link, as time.
const QUEUE_MAX: Duration = Duration::from_millis(200);
/// Bytes of IP and UDP headers added to each datagram.
const HEADERS: usize = 28;

/// One direction of a link with a rate.
#[derive(Debug)]
pub struct Link {
    rate: f64,
    free: Mutex<Instant>,
    bytes: Mutex<u64>,
}

impl Link {
    /// Creates a pipe of `rate` bytes a second.
    pub fn new(rate: f64) -> Arc<Self> {
        Arc::new(Self {
            rate,
            free: Mutex::new(Instant::now()),
            bytes: Mutex::new(0),
        })
    }

    /// Time at which `bytes` have passed when they arrive at `at`; nothing when the queue is full.
    pub fn enqueue(&self, bytes: usize, at: Instant) -> Option<Instant> {
        let mut free = self.free.lock().expect("no panic holds the lock");
        let start = (*free).max(at);
        if start > at + QUEUE_MAX {
            return None;
        }
        *free = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        *self.bytes.lock().expect("no panic holds the lock") += bytes as u64;
        Some(*free)
    }

    /// Waits until `bytes` have passed, without ever dropping. Like a sender that answers to
    /// congestion, it joins the queue only while that is short, and so leaves room for others.
    pub async fn send(&self, bytes: usize) {
        loop {
            let (due, joined) = self.join(bytes);
            time::sleep_until(time::Instant::from_std(due)).await;
            if joined {
                return;
            }
        }
    }

    /// Time when the bytes have passed, or when to try again since the queue is long.
    fn join(&self, bytes: usize) -> (Instant, bool) {
        let now = Instant::now();
        let mut free = self.free.lock().expect("no panic holds the lock");
        if *free > now + QUEUE_MAX / 2 {
            return (*free - QUEUE_MAX / 4, false);
        }
        *free = (*free).max(now) + Duration::from_secs_f64(bytes as f64 / self.rate);
        *self.bytes.lock().expect("no panic holds the lock") += bytes as u64;
        (*free, true)
    }

    /// Bytes passed so far.
    pub fn bytes(&self) -> u64 {
        *self.bytes.lock().expect("no panic holds the lock")
    }
}

/// Links of one region to the others.
#[derive(Debug, Clone)]
pub struct Region {
    /// Out of the region.
    pub up: Arc<Link>,
    /// Into the region.
    pub down: Arc<Link>,
}

/// Faults of the network, changed while it runs.
#[derive(Debug, Default)]
struct Cuts {
    /// Regions cut off from the others.
    cut: Vec<Box<str>>,
    /// Addresses whose datagrams vanish.
    silent: Vec<SocketAddr>,
}

/// All links of a deployment.
#[derive(Debug, Default)]
pub struct Network {
    regions: Mutex<BTreeMap<Box<str>, Region>>,
    places: Mutex<BTreeMap<SocketAddr, Box<str>>>,
    cuts: Mutex<Cuts>,
}

impl Network {
    /// Adds a region whose links carry `rate` bytes a second each way.
    pub fn add_region(&self, name: &str, rate: f64) -> Region {
        let region = Region {
            up: Link::new(rate),
            down: Link::new(rate),
        };
        let mut regions = self.regions.lock().expect("no panic holds the lock");
        regions.insert(name.into(), region.clone());
        region
    }

    /// Links of a region.
    pub fn region(&self, name: &str) -> Option<Region> {
        let regions = self.regions.lock().expect("no panic holds the lock");
        regions.get(name).cloned()
    }

    /// Cuts a region off from the others, or reconnects it.
    pub fn set_partitioned(&self, region: &str, cut: bool) {
        let mut cuts = self.cuts.lock().expect("no panic holds the lock");
        cuts.cut.retain(|name| &**name != region);
        if cut {
            cuts.cut.push(region.into());
        }
    }

    /// Makes every datagram to and from an address vanish, or not.
    pub fn set_blackholed(&self, address: SocketAddr, silent: bool) {
        let mut cuts = self.cuts.lock().expect("no panic holds the lock");
        cuts.silent.retain(|other| *other != address);
        if silent {
            cuts.silent.push(address);
        }
    }

    fn place(&self, address: &SocketAddr) -> Option<Box<str>> {
        let places = self.places.lock().expect("no panic holds the lock");
        places.get(address).cloned()
    }

    fn settle(&self, address: SocketAddr, region: &str) {
        let mut places = self.places.lock().expect("no panic holds the lock");
        places.insert(address, region.into());
    }

    /// Time at which a datagram arrives, or nothing when it is lost.
    fn route(
        &self,
        from: SocketAddr,
        region: &str,
        to: SocketAddr,
        bytes: usize,
    ) -> Option<Instant> {
        let now = Instant::now();
        let target = self.place(&to);
        let other = target.filter(|target| &**target != region);
        {
            let cuts = self.cuts.lock().expect("no panic holds the lock");
            if cuts.silent.contains(&to) || cuts.silent.contains(&from) {
                return None;
            }
            let cut = |name: &str| cuts.cut.iter().any(|c| &**c == name);
            if let Some(other) = &other
                && (cut(other) || cut(region))
            {
                return None;
            }
        }
        let Some(other) = other else {
            return Some(now);
        };
        let sent = match self.region(region) {
            Some(own) => own.up.enqueue(bytes + HEADERS, now)?,
            None => now,
        };
        match self.region(&other) {
            Some(there) => there.down.enqueue(bytes + HEADERS, sent),
            None => Some(sent),
        }
    }
}

/// QUIC runtime of a host in one region of the network.
pub struct HostRuntime {
    network: Arc<Network>,
    region: Box<str>,
}

impl HostRuntime {
    /// Creates the runtime of a host in `region`.
    pub fn new(network: &Arc<Network>, region: &str) -> Arc<Self> {
        Arc::new(Self {
            network: Arc::clone(network),
            region: region.into(),
        })
    }
}

impl fmt::Debug for HostRuntime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Shaped({})", self.region)
    }
}

impl Runtime for HostRuntime {
    fn new_timer(&self, i: Instant) -> Pin<Box<dyn AsyncTimer>> {
        TokioRuntime.new_timer(i)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        TokioRuntime.spawn(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        let inner = TokioRuntime.wrap_udp_socket(socket)?;
        let local = inner.local_addr()?;
        self.network.settle(local, &self.region);
        Ok(Arc::new(Socket {
            inner,
            local,
            network: Arc::clone(&self.network),
            region: self.region.clone(),
        }))
    }
}

/// Socket that delays datagrams to other regions.
struct Socket {
    inner: Arc<dyn AsyncUdpSocket>,
    local: SocketAddr,
    network: Arc<Network>,
    region: Box<str>,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Socket({})", self.local)
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let bytes = transmit.contents.len();
        let to = transmit.destination;
        let Some(due) = self.network.route(self.local, &self.region, to, bytes) else {
            return Ok(());
        };
        if due <= Instant::now() {
            return self.inner.try_send(transmit);
        }
        let inner = Arc::clone(&self.inner);
        let contents = transmit.contents.to_vec();
        let (ecn, src_ip) = (transmit.ecn, transmit.src_ip);
        tokio::spawn(async move {
            time::sleep_until(time::Instant::from_std(due)).await;
            let _ = inner.try_send(&Transmit {
                destination: to,
                ecn,
                contents: &contents,
                segment_size: None,
                src_ip,
            });
        });
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        self.inner.poll_recv(cx, bufs, meta)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.local)
    }

    fn max_transmit_segments(&self) -> usize {
        1
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
