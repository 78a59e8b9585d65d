//! Type aliases of identifiers, rendezvous hashing, and digests of idempotency keys.

/// Name of a host.
pub type Host = Box<str>;
/// Name of a data centre.
pub type DataCentre = Box<str>;
/// Name of a region.
pub type Region = Box<str>;
/// Name of an organisation.
pub type Organisation = Box<str>;
/// Name of a service.
pub type Service = Box<str>;
/// Id of an engine instance, as the platform lists it. An engine is a backend server process.
pub type Engine = Box<str>;
/// Start of an engine process, Unix milliseconds on the clock of its host; `None` if the platform does
/// not state it. Tells apart the processes that run under one id, and says nothing of their order:
/// the clock may have been set back.
pub type Started = Option<u64>;
/// Name of a bundle's version.
pub type Version = Box<str>;
/// Number of an accepted configuration; increases with every change.
pub type Revision = u64;
/// Random number that a process draws at its start; distinguishes it from earlier runs on its host.
pub type Incarnation = u64;
/// Id of one attempt at a request.
pub type Request = Box<str>;
/// BLAKE3 hash of a chunk.
pub type ChunkHash = [u8; 32];
/// Digest of organisation, service and idempotency key.
pub type Key = [u8; 32];

/// Rendezvous hash of `member` for `subject`; the member with the highest score is selected.
pub fn score(subject: &[u8], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Hash of several texts, each of which counts with its length.
pub fn digest(subject: &[u8], texts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for text in std::iter::once(&subject).chain(texts) {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Digest by which an idempotency key is claimed; keys are scoped to an organisation and a service.
pub fn key(organisation: &str, service: &str, key: &str) -> Key {
    let mut hasher = blake3::Hasher::new_derive_key("jayspread idempotency key v1");
    for part in [organisation, service, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
