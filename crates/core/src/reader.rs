//! Selects the entry hosts of a region that read the store; the others fetch the records from them.
//!
//! If every host of a fleet that restarts at once read the store, the whole configuration would
//! cross the links between regions once per host, and so would each later change.

/// Number of entry hosts of a region that read the store. With three, one may be stopped and
/// another cut off from the store while the third still reads.
pub const READERS_PER_REGION: usize = 3;

/// Another entry host of the same region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Host name; determines the order in which hosts become readers.
    pub host: &'a str,
    /// Whether the peer reports that the store does not answer it.
    pub store_unreachable: bool,
}

/// Whether `own_host` reads the store. The first hosts in the order of their names do. Those that
/// the store does not answer keep trying, and the next hosts read in addition.
pub fn reads_store<'a>(own_host: &str, peers: impl IntoIterator<Item = Peer<'a>>) -> bool {
    let preceding = peers
        .into_iter()
        .filter(|peer| !peer.store_unreachable && peer.host < own_host);
    preceding.count() < READERS_PER_REGION
}
