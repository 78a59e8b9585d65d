//! Selects the entry hosts of a region that read the store; the others fetch the records from them.
//!
//! If every host of a fleet that restarts at once read the store, the whole configuration would
//! cross the links between regions once per host, and so would each later change. News then travel
//! from a reader to the other hosts of its region along a tree, so that no host sends the records to
//! more than a few others.

use {crate::id::Host, std::time::Duration};

/// Number of entry hosts of a region that read the store. With two, one may be stopped or cut off
/// from the store without a delay of the news.
pub const READERS_PER_REGION: usize = 2;
/// Largest number of hosts of another region that are told of news.
const MAX_CONTACTS: usize = 2 * READERS_PER_REGION;
/// Number of hosts to which each host passes on news.
const TREE_ARITY: usize = 4;

/// Longest wait of one long poll.
const MAX_POLL_WAIT: Duration = Duration::from_millis(15_000);
/// Longest time for an answer of the store, in addition to the wait that a long poll asks for.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Longest pause between two reads of a topic that changes often.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(800);
/// Wait of a long poll as a share of the time in which news must be in force.
const POLL_SHARE: f64 = 0.45;
/// The same for the time of an answer.
const ANSWER_SHARE: f64 = 0.2;
/// The same for the pause between two reads.
const BATCH_SHARE: f64 = 0.2;

/// Times of the reads of one topic. A store that falls silent is noticed when an answer is overdue,
/// so that the pause, the wait and the answer together end well before the limit: what remains is
/// for the host that takes over and for the hosts that it tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Wait of one long poll.
    pub poll_wait: Duration,
    /// Time for an answer, in addition to that wait.
    pub answer_time: Duration,
    /// Pause before the next read after changes, so that those in quick succession take one call.
    pub batch_delay: Duration,
}

impl Pace {
    /// Returns the times for news that must be in force within `limit`; without one, the longest.
    /// `rank` is that of the host among the readers of its region: it is enough that the first of
    /// them notices the silence, since it tells the others, so that they poll with the longest
    /// wait.
    pub fn new(limit: Option<Duration>, rank: usize) -> Self {
        let share = |share: f64, longest: Duration| {
            limit.map_or(longest, |limit| limit.mul_f64(share).min(longest))
        };
        let batch_delay = share(BATCH_SHARE, MAX_BATCH_DELAY);
        if rank > 0 {
            return Self {
                poll_wait: MAX_POLL_WAIT,
                answer_time: MAX_ANSWER_TIME,
                batch_delay,
            };
        }
        Self {
            poll_wait: share(POLL_SHARE, MAX_POLL_WAIT),
            answer_time: share(ANSWER_SHARE, MAX_ANSWER_TIME),
            batch_delay,
        }
    }

    /// Longest time from news until a host with these times notices that its store is silent.
    pub fn silence_noticed_after(&self) -> Duration {
        self.batch_delay + self.poll_wait + self.answer_time
    }
}

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
    rank(own_host, peers) < READERS_PER_REGION
}

/// Number of hosts that come before `own_host` and that the store answers.
pub fn rank<'a>(own_host: &str, peers: impl IntoIterator<Item = Peer<'a>>) -> usize {
    let preceding = peers
        .into_iter()
        .filter(|peer| !peer.store_unreachable && peer.host < own_host);
    preceding.count()
}

/// Hosts of another region that are told of news: those that read the store, and at most as many
/// more in place of those that it does not answer. `peers` are in the order of their names.
pub fn contacts<'a>(peers: impl IntoIterator<Item = Peer<'a>>) -> Vec<&'a str> {
    let mut contacts = Vec::new();
    let mut answered = 0;
    for peer in peers {
        if answered == READERS_PER_REGION || contacts.len() == MAX_CONTACTS {
            break;
        }
        answered += usize::from(!peer.store_unreachable);
        contacts.push(peer.host);
    }
    contacts
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
