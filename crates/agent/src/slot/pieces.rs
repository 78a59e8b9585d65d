//! Pieces of versions held in memory while they spread.

use {
    bytes::Bytes,
    jayspread_core::id::ChunkHash,
    jayspread_platform::origin::Manifest,
    sha2::{Digest, Sha256},
    std::{collections::BTreeMap, sync::Arc},
};

/// Versions held at once: the one that is loaded next and a newer one that is fetched meanwhile.
const VERSIONS: usize = 2;

/// SHA-256 of bytes, the digest that manifests hold.
pub fn digest(bytes: &[u8]) -> ChunkHash {
    Sha256::digest(bytes).into()
}

/// Pieces of one version.
#[derive(Debug)]
struct Held {
    manifest: Arc<Manifest>,
    pieces: Vec<Option<Bytes>>,
    /// The memory was given back; the engine's staging area has them.
    released: bool,
}

impl Held {
    /// Indices of the pieces that are in memory.
    fn present(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        pieces.filter_map(|(index, piece)| piece.is_some().then_some(index))
    }
}

/// All pieces held.
#[derive(Debug, Default)]
pub struct Pieces {
    versions: BTreeMap<u64, Held>,
}

impl Pieces {
    /// Makes room for a version, forgetting the oldest one.
    pub fn open(&mut self, manifest: &Arc<Manifest>) {
        let count = manifest.digests.len();
        self.versions
            .entry(manifest.version)
            .or_insert_with(|| Held {
                manifest: Arc::clone(manifest),
                pieces: vec![None; count],
                released: false,
            });
        while self.versions.len() > VERSIONS {
            self.versions.pop_first();
        }
    }

    /// Manifest of a version.
    pub fn manifest(&self, version: u64) -> Option<Arc<Manifest>> {
        self.versions
            .get(&version)
            .map(|held| Arc::clone(&held.manifest))
    }

    /// A piece in memory.
    pub fn get(&self, version: u64, index: usize) -> Option<Bytes> {
        self.versions.get(&version)?.pieces.get(index)?.clone()
    }

    /// Keeps a piece if it has the digest that the manifest states.
    pub fn keep(&mut self, version: u64, index: usize, bytes: &Bytes) -> bool {
        let Some(held) = self.versions.get_mut(&version) else {
            return false;
        };
        let expected = held.manifest.digests.get(index);
        if expected.is_none_or(|expected| digest(bytes) != *expected) {
            return false;
        }
        held.pieces[index] = Some(bytes.clone());
        true
    }

    /// Versions with pieces in memory, and which ones.
    pub fn spreading(&self) -> impl Iterator<Item = (u64, Vec<usize>)> {
        self.versions
            .iter()
            .filter(|(_, held)| !held.released)
            .map(|(version, held)| (*version, held.present().collect()))
    }

    /// Indices of a version's pieces that are in memory.
    pub fn indices(&self, version: u64) -> Vec<usize> {
        let held = self.versions.get(&version);
        held.map_or_else(Vec::new, |held| held.present().collect())
    }

    /// Share of a version's pieces that is in memory.
    pub fn share(&self, version: u64) -> f64 {
        let Some(held) = self.versions.get(&version) else {
            return 0.0;
        };
        held.present().count() as f64 / held.pieces.len().max(1) as f64
    }

    /// Whether all pieces of a version are in memory.
    pub fn complete(&self, version: u64) -> bool {
        let held = self.versions.get(&version);
        held.is_some_and(|held| held.pieces.iter().all(Option::is_some))
    }

    /// Notes that the engine serves a version: its pieces are staged there, and the memory for them
    /// and for older ones is given back.
    pub fn loaded(&mut self, version: u64) {
        self.versions.retain(|held, _| *held >= version);
        if let Some(held) = self.versions.get_mut(&version) {
            held.pieces.iter_mut().for_each(|piece| *piece = None);
            held.released = true;
        }
    }

    /// Takes a version up again whose staged pieces were lost.
    pub fn reclaim(&mut self, version: u64) {
        if let Some(held) = self.versions.get_mut(&version) {
            held.released = false;
        }
    }

    /// Versions and how many of their pieces are in memory.
    pub fn iter(&self) -> impl Iterator<Item = (u64, usize)> {
        let versions = self.versions.iter();
        versions.map(|(version, held)| (*version, held.present().count()))
    }
}
