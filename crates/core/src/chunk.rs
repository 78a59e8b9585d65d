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
pub const LEADER_CANDIDATES: usize = 3;

/// Hosts of one region at most that fetch chunks from the origin and other regions.
pub const MAX_REGION_LEADERS: usize = 24;

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
pub enum Tier {
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
    pub tier: Tier,
    /// Sources in the order to try; never empty.
    pub sources: Vec<Source>,
    /// Sources at the front that are only asked whether they have the chunk already.
    pub probe_count: usize,
}

/// Ways to distribute a version, for comparison by measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Chunks leave the origin's region once and are traded between the others; uploads inside a
    /// data centre are spread over all hosts.
    #[default]
    Exchange,
    /// Like `Trade`, but only hosts of the origin's region ask the origin, where there are any: for
    /// an origin whose link is slower than those between regions.
    OriginRegionOnly,
    /// Each data centre takes a copy from the origin; its hosts take it from one seeder.
    SingleSeeder,
}

/// Plan of one host for one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Chunks in the order to fetch, each hash once.
    pub steps: Vec<Step>,
}

/// Leaders of all chunks in one group of hosts.
///
/// Chunks are ordered by their hashes and hosts by theirs; equal stretches of the one order fall
/// to the hosts of the other. Two groups thus match with few pairs of hosts, so that few
/// connections cross the links between regions, and each host leads equally many chunks.
struct Group {
    members: Vec<Host>,
}

impl Group {
    fn new(members: BTreeSet<Host>) -> Self {
        let mut members: Vec<Host> = members.into_iter().collect();
        members.sort_by_cached_key(|host| id::score(b"leader", host));
        Self { members }
    }

    /// Keeps only so many members, so that few transfers share the links between regions.
    fn first(mut self, count: usize) -> Self {
        self.members.truncate(count);
        self
    }

    /// Leaders of a chunk in the order to try them; a dead one's chunks fall to all others.
    fn candidates(&self, chunk: &Ranked) -> Vec<&Host> {
        let count = self.members.len();
        if count == 0 {
            return Vec::new();
        }
        let first = self.first_index(chunk);
        let step = 1 + chunk.spread % count.max(2).saturating_sub(1);
        let indices = (0..LEADER_CANDIDATES.min(count)).scan(first, |index, turn| {
            let found = *index;
            *index = (first + step + turn) % count;
            Some(found)
        });
        let mut candidates: Vec<&Host> = Vec::new();
        for index in indices {
            let host = &self.members[index];
            if !candidates.contains(&host) {
                candidates.push(host);
            }
        }
        candidates
    }

    fn leader(&self, chunk: &Ranked) -> Option<&Host> {
        self.members.get(self.first_index(chunk))
    }

    fn first_index(&self, chunk: &Ranked) -> usize {
        chunk.position * self.members.len() / chunk.of
    }
}

/// Place of a chunk in the order by hash.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    position: usize,
    of: usize,
    /// Number that spreads a dead leader's chunks.
    spread: usize,
}

fn rank(chunks: &[ChunkHash]) -> Vec<Ranked> {
    let mut order: Vec<usize> = (0..chunks.len()).collect();
    order.sort_unstable_by_key(|index| chunks[*index]);
    let mut ranked = vec![None; chunks.len()];
    for (position, index) in order.into_iter().enumerate() {
        let hash = &chunks[index];
        ranked[index] = Some(Ranked {
            position,
            of: chunks.len(),
            spread: usize::from(hash[30]) << 8 | usize::from(hash[31]),
        });
    }
    ranked.into_iter().flatten().collect()
}

/// Regions that take part.
struct Regions {
    origin: Region,
    remote: Vec<Region>,
}

impl Regions {
    fn new(peers: &BTreeSet<Peer>, origin: &str) -> Self {
        let all: BTreeSet<Region> = peers.iter().map(|peer| peer.region.clone()).collect();
        Self {
            origin: origin.into(),
            remote: all.into_iter().filter(|r| &**r != origin).collect(),
        }
    }

    /// Region that receives the chunk from the origin's region, if there is a remote one.
    fn entrance(&self, chunk: usize) -> Option<&Region> {
        let count = self.remote.len().max(1);
        self.remote.get(chunk % count)
    }
}

impl Plan {
    /// Plans for `me` how to obtain `pieces` together with `peers`, which include `me`.
    pub fn new(
        policy: Policy,
        me: &Peer,
        peers: &BTreeSet<Peer>,
        pieces: &[Piece],
        origin_region: &str,
    ) -> Self {
        let mut lengths: BTreeMap<ChunkHash, u32> = BTreeMap::new();
        let mut chunks = Vec::new();
        for piece in pieces {
            if lengths.insert(piece.hash, piece.length).is_none() {
                chunks.push(piece.hash);
            }
        }
        let mut peers = peers.clone();
        peers.insert(me.clone());
        if policy == Policy::SingleSeeder {
            return Self::from_seeder(me, &peers, &chunks, &lengths);
        }
        let survey = Survey::new(policy, me, &peers, &chunks, origin_region);
        let steps = chunks.iter().enumerate();
        let steps = steps.map(|(index, hash)| survey.step(index, hash, lengths[hash]));
        Self {
            steps: steps.collect(),
        }
    }
}

impl Plan {
    fn from_seeder(
        me: &Peer,
        peers: &BTreeSet<Peer>,
        chunks: &[ChunkHash],
        lengths: &BTreeMap<ChunkHash, u32>,
    ) -> Self {
        let near = |peer: &&Peer| peer.data_centre == me.data_centre;
        let seeder = peers.iter().find(near).map(|peer| &peer.host);
        let (duty, source) = match seeder {
            Some(seeder) if *seeder != me.host => (Tier::Member, Source::Peer(seeder.clone())),
            _ => (Tier::Origin, Source::Origin),
        };
        let steps = chunks.iter().map(|hash| Step {
            hash: *hash,
            length: lengths[hash],
            tier: duty,
            sources: vec![source.clone()],
            probe_count: 0,
        });
        Self {
            steps: steps.collect(),
        }
    }
}

/// Leaders in the groups that one host deals with.
struct Survey<'a> {
    me: &'a Peer,
    /// Only hosts of the origin's region ask the origin first.
    once: bool,
    regions: Regions,
    ranked: Vec<Ranked>,
    /// Leaders over each region's hosts.
    by_region: BTreeMap<Region, Group>,
    /// Leaders over the hosts of the own data centre.
    own: Group,
}

impl<'a> Survey<'a> {
    fn new(
        policy: Policy,
        me: &'a Peer,
        peers: &BTreeSet<Peer>,
        chunks: &[ChunkHash],
        origin: &str,
    ) -> Self {
        let mut hosts: BTreeMap<Region, BTreeSet<Host>> = BTreeMap::new();
        for peer in peers {
            let region = hosts.entry(peer.region.clone()).or_default();
            region.insert(peer.host.clone());
        }
        let own = peers
            .iter()
            .filter(|peer| peer.data_centre == me.data_centre)
            .map(|peer| peer.host.clone());
        let own = Group::new(own.collect());
        let by_region = hosts
            .into_iter()
            .map(|(region, hosts)| (region, Group::new(hosts).first(MAX_REGION_LEADERS)));
        let inside = peers.iter().any(|peer| *peer.region == *origin);
        Self {
            me,
            once: policy == Policy::OriginRegionOnly && inside,
            regions: Regions::new(peers, origin),
            ranked: rank(chunks),
            by_region: by_region.collect(),
            own,
        }
    }

    fn step(&self, index: usize, hash: &ChunkHash, length: u32) -> Step {
        let chunk = &self.ranked[index];
        let region = &self.me.region;
        let entrance = self.regions.entrance(index);
        let enters = entrance == Some(region);
        let from_origin = *region == self.regions.origin || enters && !self.once;
        let outside = match entrance {
            _ if from_origin => None,
            _ if enters => self.by_region.get(&self.regions.origin),
            Some(entrance) => self.by_region.get(entrance),
            None => None,
        };
        let regional = &self.by_region[region];
        let duty = if regional.leader(chunk) == Some(&self.me.host) {
            if from_origin {
                Tier::Origin
            } else {
                Tier::Region
            }
        } else if self.own.leader(chunk) == Some(&self.me.host) {
            Tier::DataCentre
        } else {
            Tier::Member
        };
        // A leader that was replaced finds in its data centre what its predecessor passed on.
        let mut sources = Vec::new();
        if duty != Tier::DataCentre {
            self.add(&mut sources, &self.own, chunk);
        }
        let probes = if duty == Tier::Member {
            0
        } else {
            sources.len()
        };
        if matches!(duty, Tier::Member | Tier::DataCentre) {
            self.add(&mut sources, regional, chunk);
        }
        if let Some(outside) = outside {
            self.add(&mut sources, outside, chunk);
        }
        sources.push(Source::Origin);
        Step {
            hash: *hash,
            length,
            tier: duty,
            sources,
            probe_count: probes,
        }
    }

    fn add(&self, sources: &mut Vec<Source>, group: &Group, chunk: &Ranked) {
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
pub const QUOTA_REFILL_PERIOD: Duration = Duration::from_secs(600);

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

    /// Creates a quota without a limit, which only counts.
    pub fn unlimited(size: u64) -> Self {
        Self {
            allowance: u64::MAX / 2,
            ..Self::new(size, 0)
        }
    }

    /// Reserves bytes for one upload, `elapsed` after the version was adopted.
    pub fn reserve(&mut self, bytes: u32, elapsed: Duration) -> bool {
        let grown = self.size as u128 * elapsed.as_millis() / QUOTA_REFILL_PERIOD.as_millis();
        let allowed = self.allowance + grown as u64;
        if self.sent + self.reserved + u64::from(bytes) > allowed {
            return false;
        }
        self.reserved += u64::from(bytes);
        true
    }

    /// Turns a reservation into bytes actually sent.
    pub fn commit(&mut self, reserved: u32, sent: u32) {
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
pub struct Bandwidth {
    /// The origin's uplink.
    pub origin: f64,
    /// The slowest link into a region.
    pub region: f64,
    /// The slowest host link.
    pub host: f64,
}

/// Least time in which `size` bytes can reach every host over these links.
pub fn min_broadcast_time(size: u64, links: Bandwidth) -> Duration {
    let slowest = links.origin.min(links.region).min(links.host);
    Duration::from_secs_f64(size as f64 / slowest)
}
