//! Aliases of the identifiers used throughout, and rendezvous scores over them.

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
/// Id of one life of an engine, as the platform lists it.
pub type Engine = Box<str>;
/// Version name of a bundle.
pub type Version = Box<str>;
/// Number of an accepted configuration; only goes up.
pub type Revision = u64;
/// Random number of one life of a process.
pub type Incarnation = u64;
/// Id of one attempt at a request.
pub type Request = Box<str>;
/// BLAKE3 hash of a chunk.
pub type ChunkHash = [u8; 32];
/// Digest of organisation, service and idempotency key.
pub type Key = [u8; 32];

/// Score of `member` for `subject` under rendezvous hashing; the highest score wins.
pub fn score(subject: &[u8], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Digest under which an idempotency key is claimed.
pub fn key(organisation: &str, service: &str, key: &str) -> Key {
    let mut hasher = blake3::Hasher::new_derive_key("jayspread idempotency key v1");
    for part in [organisation, service, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
