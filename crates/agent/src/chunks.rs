//! Chunks in memory: bounded, verified before they are kept, with an upload quota per version.

use {
    bytes::Bytes,
    jayspread_core::{
        chunk::{Policy, Quota},
        id::{ChunkHash, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Why a chunk is not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// The bytes have another hash.
    Corrupt,
}

/// A version whose chunks are exchanged now.
#[derive(Debug)]
struct Exchange {
    version: Version,
    wanted: BTreeSet<ChunkHash>,
    quota: Quota,
    since: Instant,
}

/// Chunks held in memory and the quota for passing them on.
#[derive(Debug)]
pub struct Chunks {
    bound: usize,
    bytes: usize,
    held: BTreeMap<ChunkHash, Bytes>,
    /// Chunks that this host passes on to others, evicted last.
    led: BTreeSet<ChunkHash>,
    exchange: Option<Exchange>,
    /// Chunks that peers asked this host to obtain in place of their leader.
    promoted: BTreeSet<ChunkHash>,
    evicted: u64,
    policy: Policy,
}

impl Chunks {
    /// Creates an empty store of at most `bound` bytes; only trading has an upload quota.
    pub fn new(bound: usize, policy: Policy) -> Self {
        Self {
            bound,
            policy,
            bytes: 0,
            held: BTreeMap::new(),
            led: BTreeSet::new(),
            exchange: None,
            promoted: BTreeSet::new(),
            evicted: 0,
        }
    }

    /// Starts exchanging a version and drops chunks that it does not need.
    pub fn adopt(
        &mut self,
        version: &str,
        wanted: BTreeMap<ChunkHash, u32>,
        led: BTreeSet<ChunkHash>,
        now: Instant,
    ) {
        let size = wanted.values().map(|length| u64::from(*length)).sum();
        let largest = wanted.values().copied().max().unwrap_or(0);
        let wanted: BTreeSet<ChunkHash> = wanted.into_keys().collect();
        self.held.retain(|hash, _| wanted.contains(hash));
        self.bytes = self.held.values().map(Bytes::len).sum();
        self.led = led;
        self.promoted.clear();
        self.exchange = Some(Exchange {
            version: version.into(),
            wanted,
            quota: match self.policy {
                Policy::Exchange | Policy::OriginRegionOnly => Quota::new(size, largest),
                Policy::SingleSeeder => Quota::unlimited(size),
            },
            since: now,
        });
    }

    /// Updates the chunks that this host passes on, after the roster has changed.
    pub fn lead(&mut self, led: BTreeSet<ChunkHash>) {
        self.led = led;
    }

    /// Keeps a chunk whose bytes have the hash.
    pub fn keep(&mut self, hash: ChunkHash, bytes: Bytes) -> Result<(), Rejected> {
        if *blake3::hash(&bytes).as_bytes() != hash {
            return Err(Rejected::Corrupt);
        }
        let length = bytes.len();
        if self.held.insert(hash, bytes).is_none() {
            self.bytes += length;
        }
        self.promoted.remove(&hash);
        self.evict(&hash);
        assert!(
            self.bytes <= self.bound.max(length),
            "chunk memory over its bound"
        );
        Ok(())
    }

    /// Bytes of a chunk, if held.
    pub fn get(&self, hash: &ChunkHash) -> Option<Bytes> {
        self.held.get(hash).cloned()
    }

    /// Whether the version exchanged now needs the chunk.
    pub fn wants(&self, hash: &ChunkHash) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(|e| e.wanted.contains(hash))
    }

    /// Notes that a peer needs this host to obtain a chunk in place of its leader.
    pub fn promote(&mut self, hash: &ChunkHash) {
        if self.wants(hash) && !self.held.contains_key(hash) {
            self.promoted.insert(*hash);
        }
    }

    /// Whether this host is to obtain the chunk in place of its leader.
    pub fn promoted(&self, hash: &ChunkHash) -> bool {
        self.promoted.contains(hash)
    }

    /// Reserves quota for sending a chunk of the version exchanged now.
    pub fn reserve(&mut self, version: &str, bytes: u32, now: Instant) -> bool {
        let Some(exchange) = self.exchange.as_mut().filter(|e| &*e.version == version) else {
            return false;
        };
        let elapsed: Duration = now.saturating_duration_since(exchange.since);
        exchange.quota.reserve(bytes, elapsed)
    }

    /// Settles a reservation with the bytes sent.
    pub fn settle(&mut self, version: &str, reserved: u32, sent: u32) {
        if let Some(exchange) = self.exchange.as_mut().filter(|e| &*e.version == version) {
            exchange.quota.commit(reserved, sent);
        }
    }

    /// Version exchanged now.
    pub fn version(&self) -> Option<&Version> {
        self.exchange.as_ref().map(|e| &e.version)
    }

    /// Bytes sent of the version exchanged now.
    pub fn sent(&self) -> u64 {
        self.exchange.as_ref().map_or(0, |e| e.quota.sent())
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Chunks held and chunks evicted so far.
    pub fn counts(&self) -> (usize, u64) {
        (self.held.len(), self.evicted)
    }

    /// Evicts chunks over the bound, those that others expect here last, `fresh` never.
    fn evict(&mut self, fresh: &ChunkHash) {
        while self.bytes > self.bound {
            let others = self.held.keys().filter(|hash| *hash != fresh);
            let Some(hash) = others.min_by_key(|hash| self.led.contains(*hash)).copied() else {
                return;
            };
            let bytes = self.held.remove(&hash).expect("chunk is held");
            self.bytes -= bytes.len();
            self.evicted += 1;
        }
    }
}
