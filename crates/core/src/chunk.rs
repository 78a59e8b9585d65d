//! Chunk plan: who fetches which chunk from where.
//!
//! A chunk leaves the origin's region once: it goes to one remote region, and that region passes
//! it on to the others. Inside a data centre each chunk has one leader that fetches it from
//! outside; the others take it from the leader, so that uploads are spread evenly.

use {
    crate::{
        bundle::Piece,
        id::{self, ChunkHash, DataCentre, Host, Region},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Leaders tried for a chunk in one data centre or region before the origin.
pub const CANDIDATES: usize = 3;

/// A host that takes part in distributing a version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// Where a chunk may be asked for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The weight store's origin.
    Origin,
    /// Another host.
    Peer(Host),
}

/// Role of this host for one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Fetches the chunk from the origin for its region, and for other regions.
    Origin,
    /// Fetches the chunk from another region for its own.
    Region,
    /// Fetches the chunk from another data centre of its region.
    DataCentre,
    /// Takes the chunk from its data centre's leader.
    Member,
}

/// One chunk as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Hash of the chunk.
    pub hash: ChunkHash,
    /// Length, bytes.
    pub length: u32,
    /// Role of this host.
    pub duty: Duty,
    /// Sources in the order to try; never empty.
    pub sources: Vec<Source>,
}

/// Plan of one host for one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Chunks in the order to fetch, each hash once.
    pub steps: Vec<Step>,
}

/// Leaders of all chunks in one group of hosts.
struct Group {
    /// Indices into the group's members, by chunk.
    leaders: Vec<Vec<u32>>,
    members: Vec<Host>,
}

impl Group {
    /// Spreads chunks evenly over members, moving few of them when a member comes or goes.
    fn new(seed: &[u8], chunks: &[ChunkHash], members: BTreeSet<Host>) -> Self {
        let members: Vec<Host> = members.into_iter().collect();
        let mut room = vec![chunks.len().div_ceil(members.len().max(1)); members.len()];
        let leaders = chunks
            .iter()
            .map(|chunk| lead(seed, chunk, &members, &mut room))
            .collect();
        Self { leaders, members }
    }

    fn candidates(&self, chunk: usize) -> impl Iterator<Item = &Host> {
        let order = &self.leaders[chunk];
        order.iter().map(|index| &self.members[*index as usize])
    }

    fn leader(&self, chunk: usize) -> Option<&Host> {
        self.candidates(chunk).next()
    }
}

/// Order of the first few leaders of a chunk; the first one with room leads.
fn lead(seed: &[u8], chunk: &ChunkHash, members: &[Host], room: &mut [usize]) -> Vec<u32> {
    let subject = [seed, chunk].concat();
    let mut order: Vec<(u64, u32)> = members
        .iter()
        .enumerate()
        .map(|(index, host)| (id::score(&subject, host), index as u32))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let first = order
        .iter()
        .position(|(_, index)| room[*index as usize] > 0);
    if let Some(first) = first {
        let chosen = order.remove(first);
        room[chosen.1 as usize] -= 1;
        order.insert(0, chosen);
    }
    order.truncate(CANDIDATES);
    order.into_iter().map(|(_, index)| index).collect()
}

/// Regions that take part, and the one that each chunk enters first.
struct Regions {
    origin: Region,
    remote: Vec<Region>,
    entrances: Vec<u32>,
}

impl Regions {
    fn new(chunks: &[ChunkHash], peers: &BTreeSet<Peer>, origin: &str) -> Self {
        let all: BTreeSet<Host> = peers.iter().map(|peer| peer.region.clone()).collect();
        let remote: BTreeSet<Host> = all.into_iter().filter(|r| &**r != origin).collect();
        let group = Group::new(b"entrance", chunks, remote);
        let entrances = group.leaders.iter();
        let entrances = entrances.map(|order| order.first().copied().unwrap_or(0));
        Self {
            origin: origin.into(),
            entrances: entrances.collect(),
            remote: group.members,
        }
    }

    /// Region that receives the chunk from the origin's region, if there is a remote one.
    fn entrance(&self, chunk: usize) -> Option<&Region> {
        self.remote.get(self.entrances[chunk] as usize)
    }
}

impl Plan {
    /// Plans for `me` how to obtain `pieces` together with `peers`, which include `me`.
    pub fn new(me: &Peer, peers: &BTreeSet<Peer>, pieces: &[Piece], origin_region: &str) -> Self {
        let mut lengths: BTreeMap<ChunkHash, u32> = BTreeMap::new();
        let mut chunks = Vec::new();
        for piece in pieces {
            if lengths.insert(piece.hash, piece.length).is_none() {
                chunks.push(piece.hash);
            }
        }
        let mut peers = peers.clone();
        peers.insert(me.clone());
        let survey = Survey::new(me, &peers, &chunks, origin_region);
        let mut steps: Vec<(Rank, Step)> = chunks
            .iter()
            .enumerate()
            .map(|(index, hash)| survey.step(index, hash, lengths[hash]))
            .collect();
        steps.sort_by_key(|(rank, _)| *rank);
        let steps = steps.into_iter().map(|(_, step)| step).collect();
        Self { steps }
    }
}

/// Place of a chunk in the fetch order: chunks that enter through the own region go first.
type Rank = (bool, usize);

/// Leaders in the groups that one host deals with.
struct Survey<'a> {
    me: &'a Peer,
    regions: Regions,
    /// Leaders over each region's hosts.
    by_region: BTreeMap<Region, Group>,
    /// Leaders over the hosts of the own data centre.
    own: Group,
}

impl<'a> Survey<'a> {
    fn new(me: &'a Peer, peers: &BTreeSet<Peer>, chunks: &[ChunkHash], origin: &str) -> Self {
        let mut hosts: BTreeMap<Region, BTreeSet<Host>> = BTreeMap::new();
        for peer in peers {
            let region = hosts.entry(peer.region.clone()).or_default();
            region.insert(peer.host.clone());
        }
        let own = peers
            .iter()
            .filter(|peer| peer.data_centre == me.data_centre)
            .map(|peer| peer.host.clone());
        let by_region = hosts
            .into_iter()
            .map(|(region, hosts)| (region, Group::new(b"leader", chunks, hosts)));
        Self {
            me,
            regions: Regions::new(chunks, peers, origin),
            by_region: by_region.collect(),
            own: Group::new(b"leader", chunks, own.collect()),
        }
    }

    fn step(&self, chunk: usize, hash: &ChunkHash, length: u32) -> (Rank, Step) {
        let region = &self.me.region;
        let entrance = self.regions.entrance(chunk);
        let from_origin = *region == self.regions.origin || entrance == Some(region);
        let outside = match entrance {
            Some(entrance) if !from_origin => self.by_region.get(entrance),
            _ => None,
        };
        let regional = &self.by_region[region];
        let duty = if regional.leader(chunk) == Some(&self.me.host) {
            if from_origin {
                Duty::Origin
            } else {
                Duty::Region
            }
        } else if self.own.leader(chunk) == Some(&self.me.host) {
            Duty::DataCentre
        } else {
            Duty::Member
        };
        let mut sources = Vec::new();
        if duty == Duty::Member {
            self.add(&mut sources, &self.own, chunk);
        }
        if matches!(duty, Duty::Member | Duty::DataCentre) {
            self.add(&mut sources, regional, chunk);
        }
        if let Some(outside) = outside {
            self.add(&mut sources, outside, chunk);
        }
        sources.push(Source::Origin);
        let first = *region != self.regions.origin && !from_origin;
        let step = Step {
            hash: *hash,
            length,
            duty,
            sources,
        };
        ((first, chunk), step)
    }

    fn add(&self, sources: &mut Vec<Source>, group: &Group, chunk: usize) {
        for host in group.candidates(chunk) {
            let source = Source::Peer(host.clone());
            if *host != self.me.host && !sources.contains(&source) {
                sources.push(source);
            }
        }
    }
}

/// Bytes that a host may send of one version, refilled slowly for hosts that come later.
#[derive(Debug, Clone)]
pub struct Quota {
    /// Bytes of the version.
    size: u64,
    /// Bytes sent, retries included.
    sent: u64,
    /// Bytes promised to transfers in progress.
    reserved: u64,
    allowance: u64,
}

/// Share of a version's bytes that a host may send while a roll-out runs, percent.
pub const QUOTA_PERCENT: u64 = 105;
/// Time over which the quota grows by the size of a version.
pub const QUOTA_REFILL: Duration = Duration::from_secs(600);

impl Quota {
    /// Creates the quota for a version of `size` bytes, of which `largest` is the largest chunk.
    pub fn new(size: u64, largest: u32) -> Self {
        let allowance = (size * QUOTA_PERCENT / 100).max(size + u64::from(largest));
        Self {
            size,
            sent: 0,
            reserved: 0,
            allowance,
        }
    }

    /// Reserves bytes for one upload, `elapsed` after the version was adopted.
    pub fn reserve(&mut self, bytes: u32, elapsed: Duration) -> bool {
        let grown = self.size as u128 * elapsed.as_millis() / QUOTA_REFILL.as_millis();
        let allowed = self.allowance + grown as u64;
        if self.sent + self.reserved + u64::from(bytes) > allowed {
            return false;
        }
        self.reserved += u64::from(bytes);
        true
    }

    /// Turns a reservation into bytes actually sent.
    pub fn settle(&mut self, reserved: u32, sent: u32) {
        assert!(sent <= reserved, "more bytes sent than reserved");
        assert!(
            u64::from(reserved) <= self.reserved,
            "settled more than was reserved"
        );
        self.reserved -= u64::from(reserved);
        self.sent += u64::from(sent);
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}

/// Rates of the links that bound a broadcast, bytes a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Links {
    /// The origin's uplink.
    pub origin: f64,
    /// The slowest link into a region.
    pub region: f64,
    /// The slowest host link.
    pub host: f64,
}

/// Least time in which `size` bytes can reach every host over these links.
pub fn bound(size: u64, links: Links) -> Duration {
    let slowest = links.origin.min(links.region).min(links.host);
    Duration::from_secs_f64(size as f64 / slowest)
}
