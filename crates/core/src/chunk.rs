//! Plan of a host for downloading a version: the sources of each chunk, in the order to try them.
//!
//! The origin's region sends each chunk to one remote region, which forwards it to the other
//! regions. In each data centre one leader per chunk downloads it from outside, and the other hosts
//! download it from the leader, which balances uploads over the hosts.

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

/// Maximum number of leaders tried for a chunk in one data centre or region before the origin.
pub const LEADER_CANDIDATES: usize = 3;

/// Maximum number of hosts of one region that fetch chunks from the origin and from other regions.
pub const MAX_REGION_LEADERS: usize = 24;

/// A host that downloads a version and uploads its chunks to others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Host name.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
}

/// Source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Origin server of the weight store.
    Origin,
    /// Another host.
    Peer(Host),
}

/// Level of the distribution tree at which this host fetches a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Leader that fetches the chunk from the origin for its own and other regions.
    Origin,
    /// Leader that fetches the chunk from another region for its own region.
    Region,
    /// Leader that fetches the chunk from another data centre of the same region.
    DataCentre,
    /// Fetches the chunk from the leader of its data centre.
    Member,
}

/// How this host fetches one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Hash of the chunk.
    pub hash: ChunkHash,
    /// Length in bytes.
    pub length: u32,
    /// Tier of this host for the chunk.
    pub tier: Tier,
    /// Sources in the order to try; never empty.
    pub sources: Vec<Source>,
    /// Number of leading `sources` that send the chunk only if they already hold it.
    pub probe_count: usize,
}

/// Strategy for distributing a version; all but the default serve as baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The origin's region sends each chunk to one remote region, and the remote regions exchange
    /// chunks; uploads inside a data centre are balanced over all hosts.
    #[default]
    Exchange,
    /// Like `Exchange`, but if there are hosts in the origin's region, the others use the origin
    /// only as their last source. Suits an origin whose uplink is slower than the links between
    /// regions.
    OriginRegionOnly,
    /// One seeder per data centre fetches all chunks from the origin; the other hosts of the data
    /// centre fetch them from the seeder.
    SingleSeeder,
}

/// Download plan of one host for one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Steps in the order to fetch; each chunk hash occurs once.
    pub steps: Vec<Step>,
}

/// Assignment of chunks to leaders within one group of hosts.
///
/// Chunks and hosts are both sorted by hash, and each host leads one contiguous range of chunks of
/// about the same length. The ranges of two groups overlap for few pairs of hosts, which keeps the
/// number of connections between regions small.
struct Leaders {
    /// Sorted by hash.
    hosts: Vec<Host>,
}

impl Leaders {
    fn new(hosts: BTreeSet<Host>) -> Self {
        let mut hosts: Vec<Host> = hosts.into_iter().collect();
        hosts.sort_by_cached_key(|host| id::score(b"leader", host));
        Self { hosts }
    }

    /// Limits the number of leaders, so that few transfers share the links between regions.
    fn limit(mut self, count: usize) -> Self {
        self.hosts.truncate(count);
        self
    }

    /// Leaders of a chunk in the order to try them. The alternates differ between chunks, so that
    /// the chunks of a failed leader are distributed over all other hosts.
    fn candidates(&self, chunk: &ChunkRank) -> Vec<&Host> {
        let count = self.hosts.len();
        if count == 0 {
            return Vec::new();
        }
        let first = self.leader_index(chunk);
        let stride = 1 + chunk.alternate_seed % count.max(2).saturating_sub(1);
        let indices = (0..LEADER_CANDIDATES.min(count)).scan(first, |index, attempt| {
            let current = *index;
            *index = (first + stride + attempt) % count;
            Some(current)
        });
        let mut candidates: Vec<&Host> = Vec::new();
        for index in indices {
            let host = &self.hosts[index];
            if !candidates.contains(&host) {
                candidates.push(host);
            }
        }
        candidates
    }

    fn leader(&self, chunk: &ChunkRank) -> Option<&Host> {
        self.hosts.get(self.leader_index(chunk))
    }

    fn leader_index(&self, chunk: &ChunkRank) -> usize {
        chunk.position * self.hosts.len() / chunk.total
    }
}

/// Rank of a chunk among all chunks sorted by hash.
#[derive(Debug, Clone, Copy)]
struct ChunkRank {
    position: usize,
    total: usize,
    /// Value from the chunk hash that selects the alternate leaders.
    alternate_seed: usize,
}

fn rank_chunks(chunks: &[ChunkHash]) -> Vec<ChunkRank> {
    let mut order: Vec<usize> = (0..chunks.len()).collect();
    order.sort_unstable_by_key(|index| chunks[*index]);
    let mut ranks = vec![None; chunks.len()];
    for (position, index) in order.into_iter().enumerate() {
        let hash = &chunks[index];
        ranks[index] = Some(ChunkRank {
            position,
            total: chunks.len(),
            alternate_seed: usize::from(hash[30]) << 8 | usize::from(hash[31]),
        });
    }
    ranks.into_iter().flatten().collect()
}

/// Regions of all peers.
struct Regions {
    origin: Region,
    remote: Vec<Region>,
}

impl Regions {
    fn new(peers: &BTreeSet<Peer>, origin: &str) -> Self {
        let regions: BTreeSet<Region> = peers.iter().map(|peer| peer.region.clone()).collect();
        Self {
            origin: origin.into(),
            remote: regions
                .into_iter()
                .filter(|region| &**region != origin)
                .collect(),
        }
    }

    /// Remote region that receives the chunk directly from the origin's region; `None` if there are
    /// no remote regions.
    fn receiving_region(&self, chunk: usize) -> Option<&Region> {
        let count = self.remote.len().max(1);
        self.remote.get(chunk % count)
    }
}

impl Plan {
    /// Plans how `local` fetches `pieces`. `peers` are all hosts that load the version; `local` is
    /// added if it is missing.
    pub fn new(
        policy: Policy,
        local: &Peer,
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
        peers.insert(local.clone());
        if policy == Policy::SingleSeeder {
            return Self::from_seeder(local, &peers, &chunks, &lengths);
        }
        let planner = Planner::new(policy, local, &peers, &chunks, origin_region);
        let steps = chunks.iter().enumerate();
        let steps = steps.map(|(index, hash)| planner.step(index, hash, lengths[hash]));
        Self {
            steps: steps.collect(),
        }
    }
}

impl Plan {
    fn from_seeder(
        local: &Peer,
        peers: &BTreeSet<Peer>,
        chunks: &[ChunkHash],
        lengths: &BTreeMap<ChunkHash, u32>,
    ) -> Self {
        let same_data_centre = |peer: &&Peer| peer.data_centre == local.data_centre;
        let seeder = peers.iter().find(same_data_centre).map(|peer| &peer.host);
        let (tier, source) = match seeder {
            Some(seeder) if *seeder != local.host => (Tier::Member, Source::Peer(seeder.clone())),
            _ => (Tier::Origin, Source::Origin),
        };
        let steps = chunks.iter().map(|hash| Step {
            hash: *hash,
            length: lengths[hash],
            tier,
            sources: vec![source.clone()],
            probe_count: 0,
        });
        Self {
            steps: steps.collect(),
        }
    }
}

/// Leader assignments that the plan of one host depends on.
struct Planner<'a> {
    local: &'a Peer,
    /// Whether hosts outside the origin's region use the origin only as their last source.
    origin_region_only: bool,
    regions: Regions,
    ranks: Vec<ChunkRank>,
    /// Leaders in each region.
    leaders_by_region: BTreeMap<Region, Leaders>,
    /// Leaders in the local data centre.
    data_centre_leaders: Leaders,
}

impl<'a> Planner<'a> {
    fn new(
        policy: Policy,
        local: &'a Peer,
        peers: &BTreeSet<Peer>,
        chunks: &[ChunkHash],
        origin: &str,
    ) -> Self {
        let mut hosts: BTreeMap<Region, BTreeSet<Host>> = BTreeMap::new();
        for peer in peers {
            let region = hosts.entry(peer.region.clone()).or_default();
            region.insert(peer.host.clone());
        }
        let data_centre_leaders = peers
            .iter()
            .filter(|peer| peer.data_centre == local.data_centre)
            .map(|peer| peer.host.clone());
        let data_centre_leaders = Leaders::new(data_centre_leaders.collect());
        let leaders_by_region = hosts
            .into_iter()
            .map(|(region, hosts)| (region, Leaders::new(hosts).limit(MAX_REGION_LEADERS)));
        let has_origin_region = peers.iter().any(|peer| *peer.region == *origin);
        Self {
            local,
            origin_region_only: policy == Policy::OriginRegionOnly && has_origin_region,
            regions: Regions::new(peers, origin),
            ranks: rank_chunks(chunks),
            leaders_by_region: leaders_by_region.collect(),
            data_centre_leaders,
        }
    }

    fn step(&self, index: usize, hash: &ChunkHash, length: u32) -> Step {
        let chunk = &self.ranks[index];
        let region = &self.local.region;
        let receiving_region = self.regions.receiving_region(index);
        let receives = receiving_region == Some(region);
        let from_origin = *region == self.regions.origin || receives && !self.origin_region_only;
        let remote = match receiving_region {
            _ if from_origin => None,
            _ if receives => self.leaders_by_region.get(&self.regions.origin),
            Some(receiving_region) => self.leaders_by_region.get(receiving_region),
            None => None,
        };
        let region_leaders = &self.leaders_by_region[region];
        let tier = if region_leaders.leader(chunk) == Some(&self.local.host) {
            if from_origin {
                Tier::Origin
            } else {
                Tier::Region
            }
        } else if self.data_centre_leaders.leader(chunk) == Some(&self.local.host) {
            Tier::DataCentre
        } else {
            Tier::Member
        };
        // Members fetch from these leaders; a new leader asks them for chunks of the previous one.
        let mut sources = Vec::new();
        if tier != Tier::DataCentre {
            self.add_candidates(&mut sources, &self.data_centre_leaders, chunk);
        }
        let probe_count = if tier == Tier::Member {
            0
        } else {
            sources.len()
        };
        if matches!(tier, Tier::Member | Tier::DataCentre) {
            self.add_candidates(&mut sources, region_leaders, chunk);
        }
        if let Some(remote) = remote {
            self.add_candidates(&mut sources, remote, chunk);
        }
        if self.origin_region_only
            && tier == Tier::Region
            && let Some(leaders) = self.leaders_by_region.get(&self.regions.origin)
        {
            self.add_candidates(&mut sources, leaders, chunk);
        }
        sources.push(Source::Origin);
        Step {
            hash: *hash,
            length,
            tier,
            sources,
            probe_count,
        }
    }

    fn add_candidates(&self, sources: &mut Vec<Source>, leaders: &Leaders, chunk: &ChunkRank) {
        for host in leaders.candidates(chunk) {
            let source = Source::Peer(host.clone());
            if *host != self.local.host && !sources.contains(&source) {
                sources.push(source);
            }
        }
    }
}

/// Upload budget of one host for one version; it grows slowly, so that hosts that join later can
/// still download.
#[derive(Debug, Clone)]
pub struct Quota {
    /// Size of the version in bytes.
    size: u64,
    /// Bytes sent, including retries.
    sent: u64,
    /// Bytes reserved for uploads in progress.
    reserved: u64,
    /// Budget in bytes before any refill.
    initial: u64,
}

/// Initial upload budget of a host, as a percentage of the version's size.
pub const QUOTA_PERCENT: u64 = 105;
/// Time in which the upload budget grows by the size of the version.
pub const QUOTA_REFILL_PERIOD: Duration = Duration::from_secs(600);

impl Quota {
    /// Creates the budget for a version of `size` bytes whose largest chunk has `largest` bytes.
    pub fn new(size: u64, largest: u32) -> Self {
        let initial = (size * QUOTA_PERCENT / 100).max(size + u64::from(largest));
        Self {
            size,
            sent: 0,
            reserved: 0,
            initial,
        }
    }

    /// Creates a quota that only counts bytes and never refuses.
    pub fn unlimited(size: u64) -> Self {
        Self {
            initial: u64::MAX / 2,
            ..Self::new(size, 0)
        }
    }

    /// Reserves bytes for one upload and returns whether the budget allows it. `elapsed` is the
    /// time since the host adopted the version.
    pub fn reserve(&mut self, bytes: u32, elapsed: Duration) -> bool {
        let refilled = self.size as u128 * elapsed.as_millis() / QUOTA_REFILL_PERIOD.as_millis();
        let allowed = self.initial + refilled as u64;
        if self.sent + self.reserved + u64::from(bytes) > allowed {
            return false;
        }
        self.reserved += u64::from(bytes);
        true
    }

    /// Replaces a reservation by the number of bytes actually sent.
    pub fn commit(&mut self, reserved: u32, sent: u32) {
        assert!(sent <= reserved, "upload sent more bytes than it reserved");
        assert!(
            u64::from(reserved) <= self.reserved,
            "commits more bytes than are reserved"
        );
        self.reserved -= u64::from(reserved);
        self.sent += u64::from(sent);
    }

    /// Bytes sent so far, including retries.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}

/// Link bandwidths that limit a broadcast, in bytes per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bandwidth {
    /// Uplink of the origin.
    pub origin: f64,
    /// Slowest link into a region.
    pub region: f64,
    /// Slowest link of a host.
    pub host: f64,
}

/// Lower bound of the time in which `size` bytes can reach every host.
pub fn min_broadcast_time(size: u64, bandwidth: Bandwidth) -> Duration {
    let slowest = bandwidth.origin.min(bandwidth.region).min(bandwidth.host);
    Duration::from_secs_f64(size as f64 / slowest)
}
