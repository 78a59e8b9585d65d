//! Simulated network between regions: a QUIC runtime whose sockets delay or drop datagrams.
//!
//! The address of a socket determines its region. A datagram between regions queues on the uplink
//! of the sending region and the downlink of the receiving one; a full queue drops it.

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

/// Longest queueing delay of a link.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(200);
/// Bytes that the IP and UDP headers add to each datagram.
const HEADER_BYTES: usize = 28;

/// One direction of a link with limited bandwidth.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: f64,
    /// Time at which all queued bytes have been sent.
    idle_at: Mutex<Instant>,
    bytes_sent: Mutex<u64>,
}

impl Link {
    /// Creates a link that carries `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_second,
            idle_at: Mutex::new(Instant::now()),
            bytes_sent: Mutex::new(0),
        })
    }

    /// Queues `bytes` that arrive at `arrival`. Returns when they have been sent, or `None` if the
    /// queue is full and they are dropped.
    pub fn enqueue(&self, bytes: usize, arrival: Instant) -> Option<Instant> {
        let mut idle_at = self.idle_at.lock().expect("lock is not poisoned");
        let start = (*idle_at).max(arrival);
        if start > arrival + MAX_QUEUE_DELAY {
            return None;
        }
        *idle_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        *self.bytes_sent.lock().expect("lock is not poisoned") += bytes as u64;
        Some(*idle_at)
    }

    /// Waits until `bytes` have been sent; never drops them. Like a sender with congestion control,
    /// it enqueues only while the queue is short, which leaves room for other senders.
    pub async fn send(&self, bytes: usize) {
        loop {
            let (resume_at, enqueued) = self.try_enqueue(bytes);
            time::sleep_until(time::Instant::from_std(resume_at)).await;
            if enqueued {
                return;
            }
        }
    }

    /// Returns the time when `bytes` have been sent and true, or the time to try again and false if
    /// the queue is too long.
    fn try_enqueue(&self, bytes: usize) -> (Instant, bool) {
        let now = Instant::now();
        let mut idle_at = self.idle_at.lock().expect("lock is not poisoned");
        if *idle_at > now + MAX_QUEUE_DELAY / 2 {
            return (*idle_at - MAX_QUEUE_DELAY / 4, false);
        }
        *idle_at =
            (*idle_at).max(now) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        *self.bytes_sent.lock().expect("lock is not poisoned") += bytes as u64;
        (*idle_at, true)
    }

    /// Bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        *self.bytes_sent.lock().expect("lock is not poisoned")
    }
}

/// Links of one region to all others.
#[derive(Debug, Clone)]
pub struct Region {
    /// Carries datagrams out of the region.
    pub uplink: Arc<Link>,
    /// Carries datagrams into the region.
    pub downlink: Arc<Link>,
}

/// Faults of the network, changed while it runs.
#[derive(Debug, Default)]
struct Faults {
    /// Regions partitioned from all others.
    partitioned: Vec<Box<str>>,
    /// Addresses whose datagrams are dropped.
    blackholed: Vec<SocketAddr>,
}

/// All regions of a deployment and the links between them.
#[derive(Debug, Default)]
pub struct Network {
    regions: Mutex<BTreeMap<Box<str>, Region>>,
    regions_by_address: Mutex<BTreeMap<SocketAddr, Box<str>>>,
    faults: Mutex<Faults>,
}

impl Network {
    /// Adds a region whose links carry `bytes_per_second` each way.
    pub fn add_region(&self, name: &str, bytes_per_second: f64) -> Region {
        let region = Region {
            uplink: Link::new(bytes_per_second),
            downlink: Link::new(bytes_per_second),
        };
        let mut regions = self.regions.lock().expect("lock is not poisoned");
        regions.insert(name.into(), region.clone());
        region
    }

    /// Links of a region, or `None` if it was not added.
    pub fn region(&self, name: &str) -> Option<Region> {
        let regions = self.regions.lock().expect("lock is not poisoned");
        regions.get(name).cloned()
    }

    /// Partitions a region from all others, or reconnects it.
    pub fn set_partitioned(&self, region: &str, partitioned: bool) {
        let mut faults = self.faults.lock().expect("lock is not poisoned");
        faults.partitioned.retain(|name| &**name != region);
        if partitioned {
            faults.partitioned.push(region.into());
        }
    }

    /// Drops every datagram to and from an address while `blackholed` is true.
    pub fn set_blackholed(&self, address: SocketAddr, blackholed: bool) {
        let mut faults = self.faults.lock().expect("lock is not poisoned");
        faults
            .blackholed
            .retain(|blackholed| *blackholed != address);
        if blackholed {
            faults.blackholed.push(address);
        }
    }

    fn region_of(&self, address: &SocketAddr) -> Option<Box<str>> {
        let regions = self
            .regions_by_address
            .lock()
            .expect("lock is not poisoned");
        regions.get(address).cloned()
    }

    fn register(&self, address: SocketAddr, region: &str) {
        let mut regions = self
            .regions_by_address
            .lock()
            .expect("lock is not poisoned");
        regions.insert(address, region.into());
    }

    /// Time at which a datagram sent from `source` in `region` arrives, or `None` if it is dropped.
    fn arrival_time(
        &self,
        source: SocketAddr,
        region: &str,
        destination: SocketAddr,
        bytes: usize,
    ) -> Option<Instant> {
        let now = Instant::now();
        let destination_region = self.region_of(&destination);
        let other_region = destination_region.filter(|name| &**name != region);
        {
            let faults = self.faults.lock().expect("lock is not poisoned");
            if faults.blackholed.contains(&destination) || faults.blackholed.contains(&source) {
                return None;
            }
            let partitioned =
                |name: &str| faults.partitioned.iter().any(|region| &**region == name);
            if let Some(other_region) = &other_region
                && (partitioned(other_region) || partitioned(region))
            {
                return None;
            }
        }
        let Some(other_region) = other_region else {
            return Some(now);
        };
        let sent_at = match self.region(region) {
            Some(links) => links.uplink.enqueue(bytes + HEADER_BYTES, now)?,
            None => now,
        };
        match self.region(&other_region) {
            Some(links) => links.downlink.enqueue(bytes + HEADER_BYTES, sent_at),
            None => Some(sent_at),
        }
    }
}

/// QUIC runtime of a host in one region.
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
        write!(f, "HostRuntime({})", self.region)
    }
}

impl Runtime for HostRuntime {
    fn new_timer(&self, deadline: Instant) -> Pin<Box<dyn AsyncTimer>> {
        TokioRuntime.new_timer(deadline)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        TokioRuntime.spawn(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        let inner = TokioRuntime.wrap_udp_socket(socket)?;
        let local = inner.local_addr()?;
        self.network.register(local, &self.region);
        Ok(Arc::new(Socket {
            inner,
            local,
            network: Arc::clone(&self.network),
            region: self.region.clone(),
        }))
    }
}

/// Socket that delays or drops datagrams according to the simulated network.
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
        let destination = transmit.destination;
        let Some(arrival) = self
            .network
            .arrival_time(self.local, &self.region, destination, bytes)
        else {
            return Ok(());
        };
        if arrival <= Instant::now() {
            return self.inner.try_send(transmit);
        }
        let inner = Arc::clone(&self.inner);
        let contents = transmit.contents.to_vec();
        let (ecn, src_ip) = (transmit.ecn, transmit.src_ip);
        tokio::spawn(async move {
            time::sleep_until(time::Instant::from_std(arrival)).await;
            let _ = inner.try_send(&Transmit {
                destination,
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
