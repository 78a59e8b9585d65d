//! Selects the entry hosts of a region that read the store; the others fetch the records from them.
//!
//! If every host of a fleet that restarts at once read the store, the whole configuration would
//! cross the links between regions once per host, and so would each later change. News then travel
//! from a reader to the other hosts of its region along a tree, so that no host sends the records to
//! more than a few others.

use crate::id::Host;

/// Number of entry hosts of a region that read the store. With two, one may be stopped or cut off
/// from the store without a delay of the news.
pub const READERS_PER_REGION: usize = 2;
/// Number of hosts to which each host passes on news.
const TREE_ARITY: usize = 4;

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

/// Hosts to which `own_host` passes on news that came from the store at `root`. `hosts` are the entry
/// hosts of the region in the order of their names, with both of them. Hosts that see different
/// members may leave gaps, which close when these hosts hear of the news by a probe.
pub fn children<'a>(hosts: &'a [Host], root: &str, own_host: &str) -> Vec<&'a Host> {
    let position = |name: &str| hosts.iter().position(|host| **host == *name);
    let (Some(root), Some(own)) = (position(root), position(own_host)) else {
        return Vec::new();
    };
    let count = hosts.len();
    let own = (own + count - root) % count;
    let first = own * TREE_ARITY + 1;
    let children = first..count.min(first + TREE_ARITY);
    children.map(|rank| &hosts[(rank + root) % count]).collect()
}
