//! In-memory cache of verified chunks, with a size limit and an upload quota per version.

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

/// Reason why a chunk was not cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The hash of the bytes does not match.
    Corrupt,
}

/// Version whose chunks are being exchanged with other agents.
#[derive(Debug)]
struct Exchange {
    version: Version,
    needed: BTreeSet<ChunkHash>,
    quota: Quota,
    started_at: Instant,
}

/// Cached chunks and the quota for uploading them to other agents.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    held_bytes: usize,
    held: BTreeMap<ChunkHash, Bytes>,
    /// Chunks that this host fetches on behalf of others; evicted last.
    leading: BTreeSet<ChunkHash>,
    exchange: Option<Exchange>,
    /// Chunks that this host fetches in place of their leader, at the request of a peer.
    promoted: BTreeSet<ChunkHash>,
    evicted: u64,
    policy: Policy,
}

impl Cache {
    /// Creates an empty cache of at most `capacity` bytes. [`Policy::SingleSeeder`] has no upload
    /// quota.
    pub fn new(capacity: usize, policy: Policy) -> Self {
        Self {
            capacity,
            policy,
            held_bytes: 0,
            held: BTreeMap::new(),
            leading: BTreeSet::new(),
            exchange: None,
            promoted: BTreeSet::new(),
            evicted: 0,
        }
    }

    /// Starts exchanging a version and drops all chunks that it does not need.
    ///
    /// `lengths` holds the chunks of the version with their lengths in bytes.
    pub fn begin_version(
        &mut self,
        version: &str,
        lengths: BTreeMap<ChunkHash, u32>,
        leading: BTreeSet<ChunkHash>,
        now: Instant,
    ) {
        let size = lengths.values().map(|length| u64::from(*length)).sum();
        let largest = lengths.values().copied().max().unwrap_or(0);
        let needed: BTreeSet<ChunkHash> = lengths.into_keys().collect();
        self.held.retain(|hash, _| needed.contains(hash));
        self.held_bytes = self.held.values().map(Bytes::len).sum();
        self.leading = leading;
        self.promoted.clear();
        self.exchange = Some(Exchange {
            version: version.into(),
            needed,
            quota: match self.policy {
                Policy::Exchange | Policy::OriginRegionOnly => Quota::new(size, largest),
                Policy::SingleSeeder => Quota::unlimited(size),
            },
            started_at: now,
        });
    }

    /// Sets the chunks that this host fetches on behalf of others.
    pub fn set_leading(&mut self, leading: BTreeSet<ChunkHash>) {
        self.leading = leading;
    }

    /// Adds a chunk after verifying its hash, and evicts others over the capacity.
    pub fn insert(&mut self, hash: ChunkHash, bytes: Bytes) -> Result<(), Error> {
        if *blake3::hash(&bytes).as_bytes() != hash {
            return Err(Error::Corrupt);
        }
        let length = bytes.len();
        if self.held.insert(hash, bytes).is_none() {
            self.held_bytes += length;
        }
        self.promoted.remove(&hash);
        self.evict(&hash);
        assert!(
            self.held_bytes <= self.capacity.max(length),
            "chunk cache exceeds its capacity"
        );
        Ok(())
    }

    /// Bytes of a chunk, if it is cached.
    pub fn get(&self, hash: &ChunkHash) -> Option<Bytes> {
        self.held.get(hash).cloned()
    }

    /// Whether the chunk belongs to the current version.
    pub fn is_needed(&self, hash: &ChunkHash) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(|e| e.needed.contains(hash))
    }

    /// Makes this host fetch a chunk in place of its leader, if the chunk is needed and not cached.
    pub fn promote(&mut self, hash: &ChunkHash) {
        if self.is_needed(hash) && !self.held.contains_key(hash) {
            self.promoted.insert(*hash);
        }
    }

    /// Whether this host fetches the chunk in place of its leader.
    pub fn is_promoted(&self, hash: &ChunkHash) -> bool {
        self.promoted.contains(hash)
    }

    /// Reserves upload quota for a chunk. Returns false if `version` is not current or the quota is
    /// used up.
    pub fn reserve_upload(&mut self, version: &str, bytes: u32, now: Instant) -> bool {
        let Some(exchange) = self.exchange.as_mut().filter(|e| &*e.version == version) else {
            return false;
        };
        let elapsed: Duration = now.saturating_duration_since(exchange.started_at);
        exchange.quota.reserve(bytes, elapsed)
    }

    /// Replaces a reservation with the number of bytes that were sent.
    pub fn settle_upload(&mut self, version: &str, reserved: u32, sent: u32) {
        if let Some(exchange) = self.exchange.as_mut().filter(|e| &*e.version == version) {
            exchange.quota.commit(reserved, sent);
        }
    }

    /// Version whose chunks are being exchanged.
    pub fn current_version(&self) -> Option<&Version> {
        self.exchange.as_ref().map(|e| &e.version)
    }

    /// Bytes uploaded of the current version.
    pub fn uploaded_bytes(&self) -> u64 {
        self.exchange.as_ref().map_or(0, |e| e.quota.sent())
    }

    /// Total size of the cached chunks in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Number of cached chunks, and of chunks evicted since the start.
    pub fn counts(&self) -> (usize, u64) {
        (self.held.len(), self.evicted)
    }

    /// Evicts chunks over the capacity: leading chunks last, `inserted` never.
    fn evict(&mut self, inserted: &ChunkHash) {
        while self.held_bytes > self.capacity {
            let candidates = self.held.keys().filter(|hash| *hash != inserted);
            let Some(hash) = candidates
                .min_by_key(|hash| self.leading.contains(*hash))
                .copied()
            else {
                return;
            };
            let bytes = self.held.remove(&hash).expect("chunk is cached");
            self.held_bytes -= bytes.len();
            self.evicted += 1;
        }
    }
}
