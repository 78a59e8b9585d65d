//! In-memory store of weight pieces that are being distributed.

use {
    bytes::Bytes,
    jayspread_core::{
        fetch::{Count, End, Trust},
        id::ChunkHash,
    },
    jayspread_platform::origin::Manifest,
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Instant,
    },
};

/// SHA-256 digest of a piece, as listed in manifests.
pub fn sha256(bytes: &[u8]) -> ChunkHash {
    Sha256::digest(bytes).into()
}

#[derive(Debug)]
struct Entry {
    manifest: Arc<Manifest>,
    pieces: Vec<Option<Bytes>>,
    /// The engine serves the version, so its staging area holds the pieces instead of this store.
    released: bool,
    trust: Trust,
    /// Time at which a part of a piece last arrived, unless that was not what the manifest lists.
    received_at: Option<Instant>,
}

impl Entry {
    fn indices(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        pieces.filter_map(|(index, piece)| piece.is_some().then_some(index))
    }
}

/// Pieces in memory, by version.
#[derive(Debug, Default)]
pub struct Pieces {
    versions: BTreeMap<u64, Entry>,
}

impl Pieces {
    /// Adds an empty entry for a version unless there is one. A manifest that is not sound is replaced
    /// by this one; pieces on which both agree are kept.
    pub fn add_version(&mut self, manifest: &Arc<Manifest>) {
        let count = manifest.digests.len();
        let entry = self
            .versions
            .entry(manifest.version)
            .or_insert_with(|| Entry {
                manifest: Arc::clone(manifest),
                pieces: vec![None; count],
                released: false,
                trust: Trust::Sound,
                received_at: None,
            });
        if entry.trust == Trust::Sound {
            return;
        }
        let digests = &manifest.digests;
        entry.pieces.resize(count, None);
        for (index, piece) in entry.pieces.iter_mut().enumerate() {
            if entry.manifest.digests.get(index) != digests.get(index) {
                *piece = None;
            }
        }
        entry.manifest = Arc::clone(manifest);
        entry.trust = Trust::Sound;
    }

    /// Records what the end of a fetch says about the manifest of its version.
    pub fn end_fetch(&mut self, version: u64, end: End) {
        if let Some(entry) = self.versions.get_mut(&version) {
            entry.trust = entry.trust.after(end);
        }
    }

    /// Drops all versions but these and the one that the engine serves.
    pub fn retain(&mut self, needed: &BTreeSet<u64>) {
        self.versions
            .retain(|version, entry| entry.released || needed.contains(version));
    }

    /// Manifest of a version, if the version is in the store and its manifest is usable.
    pub fn manifest(&self, version: u64) -> Option<Arc<Manifest>> {
        let entry = self.versions.get(&version);
        entry
            .filter(|entry| entry.trust.is_usable())
            .map(|entry| Arc::clone(&entry.manifest))
    }

    /// Whether the origin is to be asked for the manifest of a version again.
    pub fn is_stale(&self, version: u64) -> bool {
        let entry = self.versions.get(&version);
        entry.is_some_and(|entry| entry.trust == Trust::Stale)
    }

    /// Bytes of a piece, if it is in memory.
    pub fn get(&self, version: u64, index: usize) -> Option<Bytes> {
        self.versions.get(&version)?.pieces.get(index)?.clone()
    }

    /// Records that a part of a piece has arrived.
    pub fn touch(&mut self, version: u64, now: Instant) {
        if let Some(entry) = self.versions.get_mut(&version) {
            entry.received_at = Some(now);
        }
    }

    /// Times at which parts of pieces last arrived, by version.
    pub fn received(&self) -> BTreeMap<u64, Instant> {
        let versions = self.versions.iter();
        versions
            .filter_map(|(version, entry)| Some((*version, entry.received_at?)))
            .collect()
    }

    /// Stores a piece if its digest matches the manifest; returns whether it was stored.
    pub fn insert(&mut self, version: u64, index: usize, bytes: &Bytes) -> bool {
        let Some(entry) = self.versions.get_mut(&version) else {
            return false;
        };
        let expected = entry.manifest.digests.get(index);
        if expected.is_none_or(|expected| sha256(bytes) != *expected) {
            // Bytes that are of no use are no progress.
            entry.received_at = None;
            return false;
        }
        entry.pieces[index] = Some(bytes.clone());
        true
    }

    /// Versions whose pieces are offered to other agents, with the indices in memory.
    pub fn offered_versions(&self) -> impl Iterator<Item = (u64, Vec<usize>)> {
        self.versions
            .iter()
            .filter(|(_, entry)| !entry.released)
            .map(|(version, entry)| (*version, entry.indices().collect()))
    }

    /// Indices of a version's pieces that are in memory, in ascending order.
    pub fn indices(&self, version: u64) -> Vec<usize> {
        let entry = self.versions.get(&version);
        entry.map_or_else(Vec::new, |entry| entry.indices().collect())
    }

    /// Whether all pieces of a version are in memory.
    pub fn is_complete(&self, version: u64) -> bool {
        let entry = self.versions.get(&version);
        entry.is_some_and(|entry| {
            entry.trust.is_usable() && entry.pieces.iter().all(Option::is_some)
        })
    }

    /// Frees the pieces of `version` and drops all older versions, once the engine serves `version`
    /// and keeps its pieces staged.
    pub fn release(&mut self, version: u64) {
        self.versions.retain(|stored, _| *stored >= version);
        if let Some(entry) = self.versions.get_mut(&version) {
            entry.pieces.iter_mut().for_each(|piece| *piece = None);
            entry.released = true;
        }
    }

    /// Offers a version to other agents again after the engine lost its staged pieces.
    pub fn reopen(&mut self, version: u64) {
        if let Some(entry) = self.versions.get_mut(&version) {
            entry.released = false;
        }
    }

    /// Versions with the numbers of their pieces in memory.
    pub fn counts(&self) -> impl Iterator<Item = (u64, Count)> {
        let count = |entry: &Entry| Count {
            held: entry.indices().count(),
            total: match entry.trust.is_usable() {
                true => entry.pieces.len(),
                false => 0,
            },
        };
        let versions = self.versions.iter();
        versions.map(move |(version, entry)| (*version, count(entry)))
    }
}
