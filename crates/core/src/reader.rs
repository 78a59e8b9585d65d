//! Which entry hosts of a region read the store; the others take the records from them.
//!
//! A fleet that restarts at once would otherwise carry the whole configuration over the links
//! between regions once for each host, and every change of it as well.

/// Hosts of a region that read the store: one may be stopped, and one out of touch, while a third
/// still reads.
pub const READERS_PER_REGION: usize = 3;

/// Another entry host of the same region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Its name.
    pub host: &'a str,
    /// It says that the store does not answer it.
    pub store_unreachable: bool,
}

/// Whether the host `me` reads the store. The first by name do; those that the store does not answer
/// go on trying, but others take their places meanwhile.
pub fn reads_store<'a>(me: &str, others: impl IntoIterator<Item = Peer<'a>>) -> bool {
    let before = others
        .into_iter()
        .filter(|other| !other.store_unreachable && other.host < me);
    before.count() < READERS_PER_REGION
}
