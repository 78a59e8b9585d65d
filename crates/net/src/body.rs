//! Reading of request bodies within limits and within the memory for them.
//!
//! A body is copied into one buffer that grows with what has arrived: the frames of a body would keep
//! whole read buffers in memory. A server that closes a connection with unread data resets it, and the
//! caller may lose the response that came before. What a caller still sends may therefore be read and
//! discarded for a short time before a rejection.

use {
    crate::{clock, sync::lock},
    bytes::Bytes,
    http_body::Body,
    http_body_util::BodyExt,
    jayspread_core::memory::{Budget, Limits, NoRoom},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::Notify, time},
};

/// Longest time for which the rest of a rejected body is read.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);
/// Largest size of the rest of a rejected body that is read, bytes.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
/// Least capacity of a buffer, bytes; it grows by doubling.
const MIN_CAPACITY_BYTES: usize = 2 << 10;
/// Number of bytes after which the progress of a body is recorded: with chunks of a byte, recording
/// each would cost more than reading it.
const RECORDED_BYTES: usize = 2 << 10;

/// Reason why a body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early.
    Broken,
    /// It did not arrive in time.
    TooSlow,
    /// There is no memory for it, or for more of it.
    NoRoom,
    /// It made too little progress while others needed its memory.
    Closed,
}

/// Memory of a process for request bodies.
#[derive(Debug)]
pub struct Memory(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    budget: Budget,
    slots: BTreeMap<u64, Arc<Slot>>,
}

/// A body that is being read.
#[derive(Debug, Default)]
struct Slot {
    /// What has arrived; `None` once the body was closed for others.
    buffer: Mutex<Option<Vec<u8>>>,
    /// Notified when it is closed.
    closed: Notify,
}

impl Memory {
    /// Memory of which nothing is used.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Inner {
            budget: Budget::new(limits),
            slots: BTreeMap::new(),
        })))
    }

    /// Number of bodies that are read or held, and the memory reserved for them, bytes.
    pub fn usage(&self) -> (usize, u64) {
        let inner = lock(&self.0);
        (inner.budget.count(), inner.budget.reserved())
    }

    /// Applies a change to the budget, and frees the memory of bodies that were closed for it.
    fn change<T>(&self, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut inner = lock(&self.0);
        let result = change(&mut inner.budget);
        let closed = inner.budget.take_closed();
        let slots: Vec<Arc<Slot>> = closed
            .iter()
            .filter_map(|id| inner.slots.remove(id))
            .collect();
        drop(inner);
        for slot in slots {
            lock(&slot.buffer).take();
            slot.closed.notify_one();
        }
        result
    }
}

/// Memory reserved for a body; given back when dropped.
struct Lease {
    memory: Arc<Memory>,
    id: u64,
    slot: Arc<Slot>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut inner = lock(&self.memory.0);
        inner.slots.remove(&self.id);
        inner.budget.release(self.id);
    }
}

impl Lease {
    fn begin(memory: &Arc<Memory>, announced: Option<u64>) -> Result<Self, NoRoom> {
        let id = memory.change(|budget| budget.begin(announced, clock::now()))?;
        let slot = Arc::new(Slot {
            buffer: Mutex::new(Some(Vec::new())),
            closed: Notify::new(),
        });
        lock(&memory.0).slots.insert(id, Arc::clone(&slot));
        Ok(Self {
            memory: Arc::clone(memory),
            id,
            slot,
        })
    }

    /// Adds bytes to the body, which has at most `max_bytes`. `unrecorded` counts those whose arrival is
    /// not recorded yet.
    fn append(&self, data: &[u8], max_bytes: usize, unrecorded: &mut usize) -> Result<(), Error> {
        let (length, capacity) = match &*lock(&self.slot.buffer) {
            Some(buffer) => (buffer.len(), buffer.capacity()),
            None => return Err(Error::Closed),
        };
        let needed = length + data.len();
        if needed > max_bytes {
            return Err(Error::TooLarge);
        }
        let grown = (needed > capacity).then(|| {
            let doubled = (2 * capacity).max(MIN_CAPACITY_BYTES);
            doubled.min(max_bytes).max(needed)
        });
        *unrecorded += data.len();
        if grown.is_some() || *unrecorded >= RECORDED_BYTES {
            let arrived = std::mem::take(unrecorded) as u64;
            let now = clock::now();
            self.memory.change(|budget| {
                budget.receive(self.id, arrived, now);
                grown.map_or(Ok(()), |grown| budget.reserve(self.id, grown as u64, now))
            })?;
        }
        let mut buffer = lock(&self.slot.buffer);
        let buffer = buffer.as_mut().ok_or(Error::Closed)?;
        if let Some(grown) = grown {
            buffer.reserve_exact(grown - length);
        }
        buffer.extend_from_slice(data);
        Ok(())
    }

    /// Ends the body, which is held until the last reference to its bytes is dropped.
    fn complete(self) -> Result<Bytes, Error> {
        let body = lock(&self.slot.buffer).take();
        let mut body = body.ok_or(Error::Closed)?;
        body.shrink_to_fit();
        let capacity = body.capacity() as u64;
        self.memory
            .change(|budget| budget.complete(self.id, capacity));
        Ok(Bytes::from_owner(Held { body, _lease: self }))
    }
}

impl From<NoRoom> for Error {
    fn from(_: NoRoom) -> Self {
        Error::NoRoom
    }
}

/// A complete body with its memory.
struct Held {
    body: Vec<u8>,
    _lease: Lease,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a body of at most `max_bytes` within `timeout`. The rest of one that is not accepted is not
/// read, and nothing of one whose announced length is not accepted.
pub async fn read<B>(
    body: &mut B,
    memory: &Arc<Memory>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLarge);
    }
    if announced == Some(0) {
        return Ok(Bytes::new());
    }
    let max_bytes = announced.map_or(max_bytes, |length| max_bytes.min(length as usize));
    let lease = Lease::begin(memory, announced)?;
    let reading = async {
        let mut unrecorded = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Error::Broken)?;
            if let Some(data) = frame.data_ref() {
                lease.append(data, max_bytes, &mut unrecorded)?;
            }
        }
        Ok(())
    };
    tokio::select! {
        result = time::timeout(timeout, reading) => result.unwrap_or(Err(Error::TooSlow))?,
        () = lease.slot.closed.notified() => return Err(Error::Closed),
    }
    lease.complete()
}

/// Reads and discards the rest of a body, within limits of time and size.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    if body.size_hint().lower() > MAX_DISCARDED_BYTES as u64 {
        return;
    }
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The caller gets its response also if the body takes longer.
    let _ = time::timeout(DISCARD_TIME, discarding).await;
}
