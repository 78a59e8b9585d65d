//! Scheduling of piece downloads: which piece a host fetches next, and from which source.
//!
//! The chunk plan names the leader that fetches a piece into a region or data centre. Inside a data
//! centre, hosts fetch the rarest pieces first from any local holder. A host fetches at most one
//! piece at a time from each source, so that transfers stay short on links that also carry
//! requests.
//!
//! A leader that makes progress keeps its pieces, however long they take. One that makes none for a
//! multiple of the measured time between two pieces, while other pieces come or it is silent, is
//! replaced by one host per piece, then by another one, in the order of a rendezvous hash. A piece that
//! the origin did not send comes from any holder at once.

use {
    crate::{
        chunk::{MAX_REGION_LEADERS, Peer, Source, Step, Tier},
        id::{self, DataCentre, Host, Region},
        progress::{Pace, Prior},
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of concurrent downloads of one host.
pub const MAX_DOWNLOADS: usize = 3;
/// Maximum number of uploads queued at one host behind the running one. Further requests are
/// refused at once, so that the requesters turn to other holders: at the start of a distribution
/// all hosts request pieces from the first few holders.
pub const MAX_QUEUED_UPLOADS: usize = 4;
/// Maximum number of concurrent downloads of one host from the origin.
const MAX_ORIGIN_DOWNLOADS: usize = 1;
/// Number of hosts of the origin's region that replace the leader of a piece before one of another
/// region does.
const NEAR_REPLACEMENTS: usize = 3;
/// Times the limit of the leader that each host has that replaces it, until the next one does.
const RANK_FACTOR: u32 = 2;
/// Factor by which a leader has longer that reports regularly while nothing comes to anyone: then the
/// origin is slow or away, and other hosts would get nothing from it either.
const REPORTING_FACTOR: u32 = 5;

/// Shortest limit of the wait for the next bytes of a transfer.
const MIN_TRANSFER_WAIT: Duration = Duration::from_millis(2_000);
/// Longest limit of the wait for the next bytes of a transfer, and of a transfer between agents.
const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(10_000);
/// Longest limit of a transfer from the origin. Its bytes still arrive until then.
const MAX_ORIGIN_TRANSFER: Duration = Duration::from_millis(120_000);
/// Usual transfer times after which a transfer counts as failed. An upload waits for
/// [`MAX_QUEUED_UPLOADS`] others.
const TRANSFER_FACTOR: u32 = 3 * (MAX_QUEUED_UPLOADS as u32 + 1);
/// Weight of the last transfer in the usual transfer time.
const TRANSFER_WEIGHT: f64 = 0.2;

/// Limits of one transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Longest wait for the next bytes.
    pub wait: Duration,
    /// Longest time until the last byte.
    pub total: Duration,
}

/// Usual time of transfers of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Transfers {
    seconds_per_byte: f64,
}

impl Transfers {
    /// Creates the estimate from what the link of the host allows.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            seconds_per_byte: 1.0 / bytes_per_second.max(1.0),
        }
    }

    /// Records the time that a transfer of `bytes` took.
    pub fn record(&mut self, bytes: usize, took: Duration) {
        let new = took.as_secs_f64() / bytes.max(1) as f64;
        self.seconds_per_byte += (new - self.seconds_per_byte) * TRANSFER_WEIGHT;
    }

    /// Usual time of a transfer of `bytes`, including the wait in the holder's upload queue.
    pub fn usual(self, bytes: u32) -> Duration {
        Duration::from_secs_f64(self.seconds_per_byte * f64::from(bytes))
    }

    /// Time per piece of `bytes` while a host fetches as many at a time as it may.
    pub fn piece_time(self, bytes: u32) -> Duration {
        self.usual(bytes) / MAX_DOWNLOADS as u32
    }

    /// Limits of the next transfer from another agent. One that is slower than most is ended, since
    /// other agents have the piece too.
    pub fn limit_of_peer(self, bytes: u32) -> Limit {
        let expected = self.usual(bytes) * TRANSFER_FACTOR;
        let wait = expected.clamp(MIN_TRANSFER_WAIT, MAX_TRANSFER_WAIT);
        Limit { wait, total: wait }
    }

    /// Limits of the next transfer from the origin. Many leaders share its link, so that a transfer
    /// whose bytes arrive is not ended for being slow.
    pub fn limit_of_origin(self, bytes: u32) -> Limit {
        Limit {
            wait: self.limit_of_peer(bytes).wait,
            total: MAX_ORIGIN_TRANSFER,
        }
    }
}

/// Time of an upload from which a host sends pieces that other hosts hold only while nobody waits for
/// another one: reports arrive within about this time, so that the next one can ask those hosts.
const SLOW_UPLOAD: Duration = Duration::from_millis(150);
/// Number of versions of which an upload queue knows the pieces that other hosts hold.
const UPLOADED_VERSIONS: usize = 4;

/// Uploads of one host, running and waiting.
///
/// A host with a slow link would send the first piece that it leads, and those that all have, to many
/// hosts before its other pieces to any.
#[derive(Debug)]
pub struct Uploads {
    queued: BTreeMap<(u64, usize), usize>,
    /// Pieces that other hosts hold, or are about to, by version.
    elsewhere: BTreeMap<u64, BTreeSet<usize>>,
    transfers: Transfers,
}

impl Uploads {
    /// Creates an empty queue; `bytes_per_second` is what the link of the host allows.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            queued: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            transfers: Transfers::new(bytes_per_second),
        }
    }

    /// Records that another host holds a piece.
    pub fn mark_elsewhere(&mut self, version: u64, piece: usize) {
        self.elsewhere.entry(version).or_default().insert(piece);
        while self.elsewhere.len() > UPLOADED_VERSIONS {
            self.elsewhere.pop_first();
        }
    }

    /// Takes in an upload of a piece of `bytes`; returns whether it may begin or wait.
    pub fn begin(&mut self, version: u64, piece: usize, bytes: u32) -> bool {
        let count: usize = self.queued.values().sum();
        let is_slow = self.transfers.usual(bytes) >= SLOW_UPLOAD;
        let elsewhere = self.elsewhere.get(&version);
        let is_elsewhere = elsewhere.is_some_and(|pieces| pieces.contains(&piece))
            || self.queued.contains_key(&(version, piece));
        if count > MAX_QUEUED_UPLOADS || is_slow && is_elsewhere && count > 0 {
            return false;
        }
        *self.queued.entry((version, piece)).or_default() += 1;
        true
    }

    /// Records the end of an upload that could begin, and its bytes and the time that they took; `None`
    /// if it was not finished.
    pub fn end(&mut self, version: u64, piece: usize, sent: Option<(usize, Duration)>) {
        if let Some((bytes, took)) = sent {
            self.transfers.record(bytes, took);
            self.mark_elsewhere(version, piece);
        }
        let Some(count) = self.queued.get_mut(&(version, piece)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.queued.remove(&(version, piece));
        }
    }
}

/// Times the usual transfer time from which a source counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Transfer times from other hosts.
#[derive(Debug, Default)]
struct Speeds {
    /// Time that the last transfer from each host took, in seconds.
    last: BTreeMap<Host, f64>,
    /// Usual time, in seconds.
    usual: Option<f64>,
}

impl Speeds {
    fn record(&mut self, host: &Host, took: Duration) {
        let took = took.as_secs_f64();
        self.last.insert(host.clone(), took);
        let usual = self.usual.unwrap_or(took);
        // One slow host must not make the usual time so long that it is none any more.
        let new = took.min(usual * SLOW_FACTOR);
        self.usual = Some(usual + (new - usual) * TRANSFER_WEIGHT);
    }

    fn is_slow(&self, host: &Host) -> bool {
        let last = self.last.get(host).zip(self.usual);
        last.is_some_and(|(took, usual)| *took > usual * SLOW_FACTOR)
    }
}

/// Time for which a piece is not fetched again from a holder that lacks it, or sent other bytes, or
/// from an origin that did not send it while there are holders.
pub const REJECTION_TIME: Duration = Duration::from_millis(3_000);

/// Maximum number of reports that one host sends to a group of hosts per second, summed over the
/// receivers. At this rate, reports of 200 bytes use about a thirtieth of a link of 9.4 Mbit/s.
const MAX_REPORTS_PER_SECOND: f64 = 200.0;

/// Interval between two reports to a group of `hosts` receivers, at least `shortest`. It grows with
/// the group, because reports from all hosts to all others grow with the square of the fleet size
/// and would take bandwidth from the pieces.
pub fn report_interval(shortest: Duration, hosts: usize) -> Duration {
    shortest.max(Duration::from_secs_f64(
        hosts as f64 / MAX_REPORTS_PER_SECOND,
    ))
}

/// Number of agents of the own region that are asked for reports on their pieces.
const REGIONAL_SOURCES: usize = 16;
/// Number of agents of each other region that are asked once a version is overdue.
const REMOTE_SOURCES: usize = 2;

/// Agents whose pieces matter to `own_host`: some of its region, those from which the plan has it
/// fetch pieces into the region, and, if the version is overdue, some of the other regions. Their
/// number does not grow with the fleet. `agents` holds the regions of the other agents.
pub fn report_sources(
    own_host: &str,
    own_region: &str,
    agents: &BTreeMap<&Host, &str>,
    plan: &[Step],
    overdue: bool,
) -> BTreeSet<Host> {
    let mut by_region: BTreeMap<&str, Vec<(u64, &Host)>> = BTreeMap::new();
    for (host, region) in agents {
        let rank = id::score(own_host.as_bytes(), host);
        by_region.entry(region).or_default().push((rank, host));
    }
    let mut sources = BTreeSet::new();
    for (region, mut ranked) in by_region {
        let count = match region == own_region {
            true => REGIONAL_SOURCES,
            false if overdue => REMOTE_SOURCES,
            false => 0,
        };
        ranked.sort_unstable();
        let chosen = ranked.into_iter().take(count);
        sources.extend(chosen.map(|(_, host)| host.clone()));
    }
    let led = plan.iter().filter(|step| step.tier == Tier::Region);
    for source in led.flat_map(|step| &step.sources) {
        if let Source::Peer(host) = source {
            sources.insert(host.clone());
        }
    }
    sources.remove(own_host);
    sources
}

/// Location of another host and the pieces that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Indices of the pieces that the host holds.
    pub pieces: BTreeSet<usize>,
}

/// Download of one piece from one source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Index of the piece.
    pub piece: usize,
    /// Source to fetch it from.
    pub source: Source,
    /// Why this host fetches the piece in place of its leader, if it does.
    pub takeover: Option<Takeover>,
}

/// Reason for which a host fetches a piece in place of its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Takeover {
    /// The leader sends no reports.
    Silent,
    /// The leader gets no pieces while others do.
    Behind,
    /// Nobody gets pieces, for longer than an origin at the measured rate would explain.
    Overdue,
    /// The origin or a holder sent nothing, or other bytes.
    Rejected,
}

impl Takeover {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Takeover::Silent => "silent",
            Takeover::Behind => "behind",
            Takeover::Overdue => "overdue",
            Takeover::Rejected => "rejected",
        }
    }
}

/// Place of one host in the order in which hosts replace the leader of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Succession {
    /// Leader from which this host would get the piece; `None` if it is the leader.
    leader: Option<Host>,
    /// Hosts that replace the leader before this one as the one to bring the piece into the data
    /// centre.
    local_rank: u32,
    /// The same as the one to fetch it from the origin.
    origin_rank: u32,
}

/// Number of hosts that ask the origin for the manifest of a version at once. As many hosts of a region
/// lead pieces.
const MANIFEST_READERS: usize = MAX_REGION_LEADERS;

/// Whether this host asks the origin for the manifest of a version at once, not other agents first: a
/// manifest for each host of a large fleet is more than the pieces.
pub fn reads_manifest(version: u64, local: &Peer, peers: &BTreeSet<Peer>, origin: &str) -> bool {
    let is_near = |peer: &&Peer| *peer.region == *origin;
    let is_anyone_near = peers.iter().any(|peer| is_near(&peer));
    if is_anyone_near && *local.region != *origin {
        return false;
    }
    let key = version.to_le_bytes();
    let own = id::score(&key, &local.host);
    let others = peers.iter().filter(|peer| peer.host != local.host);
    let readers = others.filter(|peer| !is_anyone_near || is_near(peer));
    let earlier = readers.filter(|peer| id::score(&key, &peer.host) > own);
    earlier.count() < MANIFEST_READERS
}

/// Set of hosts and the plan of one of them.
#[derive(Debug, Clone)]
pub struct Roles {
    /// Host of the plan.
    pub local: Peer,
    /// Hosts that are alive, with or without `local`.
    pub peers: BTreeSet<Peer>,
    /// Steps of the plan, one per piece, in piece order.
    pub steps: Vec<Step>,
    /// Region of the origin.
    pub origin: Region,
}

impl Roles {
    fn sees_region(&self) -> bool {
        let is_neighbour = |peer: &&Peer| peer.region == self.local.region;
        self.peers.iter().filter(is_neighbour).count() <= REGIONAL_SOURCES
    }

    /// Place of the local host for each piece.
    fn successions(&self) -> Vec<Succession> {
        let others = self.peers.iter().filter(|p| p.host != self.local.host);
        let regions: BTreeSet<&Region> = others
            .clone()
            .map(|peer| &peer.region)
            .chain([&self.local.region])
            .collect();
        let near = match regions.contains(&self.origin) {
            true => Some(&self.origin),
            false => None,
        };
        let far: Vec<&Region> = regions
            .into_iter()
            .filter(|region| Some(*region) != near)
            .collect();
        let neighbours: Vec<&Peer> = others
            .filter(|peer| peer.region == self.local.region)
            .collect();
        let near_first = match near {
            Some(_) => NEAR_REPLACEMENTS as u32,
            None => 0,
        };
        let succession = |step: &Step| {
            let leader = match (step.tier, step.sources.first()) {
                (Tier::DataCentre | Tier::Member, Some(Source::Peer(host))) => Some(host.clone()),
                _ => None,
            };
            let own = id::score(&step.hash, &self.local.host);
            let mut earlier: Vec<&Peer> = neighbours.clone();
            earlier.retain(|peer| {
                Some(&peer.host) != leader.as_ref() && id::score(&step.hash, &peer.host) > own
            });
            let is_local = |peer: &&&Peer| peer.data_centre == self.local.data_centre;
            let local_rank = earlier.iter().filter(is_local).count() as u32;
            let rank = earlier.len() as u32;
            let width = far.len() as u32 + u32::from(near.is_some());
            let position = far.iter().position(|region| **region == self.local.region);
            let origin_rank = match position {
                Some(position) => {
                    let position = position as u32 + u32::from(near.is_some());
                    near_first + rank * width + position
                }
                None if rank < near_first => rank,
                None => near_first + (rank - near_first) * width,
            };
            Succession {
                leader,
                local_rank,
                origin_rank,
            }
        };
        self.steps.iter().map(succession).collect()
    }
}

/// Failure of a request for a piece to the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginFailure {
    /// The origin did not send the piece.
    Nothing,
    /// The origin sent other bytes.
    Corrupt,
}

/// Whether the origin is asked for a piece after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caution {
    /// After the other pieces, and only if there is no holder.
    LastResort,
    /// Not at all: it sent other bytes again, and its link is not to carry them each time.
    Closed,
}

/// Download scheduler of one host for one version.
#[derive(Debug)]
pub struct Scheduler {
    local: Peer,
    origin: Region,
    /// Tier of this host for each piece, by piece index.
    tiers: Vec<Tier>,
    successions: Vec<Succession>,
    /// Whether all hosts of the region send reports to this one, so that a leader without reports is
    /// silent.
    sees_region: bool,
    /// Order in which this host fetches from the origin, by piece index. It differs between hosts: at
    /// the start each of them may know of no other one and lead all pieces.
    order: Vec<u64>,
    held_pieces: BTreeSet<usize>,
    in_progress: BTreeMap<usize, Source>,
    /// Holders that don't have what they report, by piece, and the elapsed time until which they are
    /// left out.
    rejected: BTreeMap<(usize, Host), Duration>,
    /// Pieces that the origin failed to send, and the elapsed time until which this counts.
    origin_failures: BTreeMap<usize, (Caution, Duration)>,
    /// Pace of the pieces that are held here or reported.
    pace: Pace,
    /// Number of pieces that each host reported last, and the elapsed time at which it grew.
    reported: BTreeMap<Host, (usize, Duration)>,
    speeds: Speeds,
}

impl Scheduler {
    /// Creates a scheduler that holds no pieces, `elapsed` after the version was announced.
    pub fn new(roles: &Roles, elapsed: Duration) -> Self {
        let own_host = &roles.local.host;
        let order = |step: &Step| id::score(&step.hash, own_host);
        Self {
            local: roles.local.clone(),
            origin: roles.origin.clone(),
            tiers: roles.steps.iter().map(|step| step.tier).collect(),
            successions: roles.successions(),
            sees_region: roles.sees_region(),
            order: roles.steps.iter().map(order).collect(),
            held_pieces: BTreeSet::new(),
            in_progress: BTreeMap::new(),
            rejected: BTreeMap::new(),
            origin_failures: BTreeMap::new(),
            pace: Pace::new(elapsed, Prior::default()),
            reported: BTreeMap::new(),
            speeds: Speeds::default(),
        }
    }

    /// Replaces the plan after the set of hosts has changed. If hosts have only left, the leaders that
    /// are still there keep their pieces: they may be fetching them.
    pub fn set_roles(&mut self, roles: &Roles, has_grown: bool) {
        assert_eq!(
            roles.steps.len(),
            self.tiers.len(),
            "a plan has one step per piece"
        );
        self.sees_region = roles.sees_region();
        let successions = roles.successions();
        let steps = roles.steps.iter().zip(successions).enumerate();
        for (piece, (step, succession)) in steps {
            let leader = self.successions[piece].leader.as_ref();
            let stays = leader.is_none_or(|host| roles.peers.iter().any(|p| p.host == *host));
            if has_grown || !stays {
                self.tiers[piece] = step.tier;
                self.successions[piece] = succession;
            }
        }
    }

    /// Records that the host holds a piece.
    pub fn mark_held(&mut self, piece: usize) {
        self.held_pieces.insert(piece);
    }

    /// Whether the host holds all pieces.
    pub fn is_complete(&self) -> bool {
        self.held_pieces.len() == self.tiers.len()
    }

    /// Records that the download of a piece has ended, successfully or not.
    pub fn finish_fetch(&mut self, piece: usize) {
        self.in_progress.remove(&piece);
    }

    /// Records the time that a transfer from another host took, or that it was given up after.
    pub fn record_transfer(&mut self, host: &Host, took: Duration) {
        self.speeds.record(host, took);
    }

    /// Records that a holder lacks a piece or sent other bytes, `elapsed` after the version was
    /// announced. The piece comes from other holders for a time, or from the origin if there are
    /// none.
    pub fn reject(&mut self, piece: usize, host: &Host, elapsed: Duration) {
        let until = elapsed + REJECTION_TIME;
        self.rejected.insert((piece, host.clone()), until);
    }

    /// Records that the origin failed to send a piece, `elapsed` after the version was announced. The
    /// piece comes from any holder for a time. If there is none, the origin is asked again.
    pub fn reject_origin(&mut self, piece: usize, failure: OriginFailure, elapsed: Duration) {
        let is_repeated = self.origin_failures.contains_key(&piece);
        let caution = match failure {
            OriginFailure::Corrupt if is_repeated => Caution::Closed,
            OriginFailure::Corrupt | OriginFailure::Nothing => Caution::LastResort,
        };
        let until = elapsed + REJECTION_TIME;
        self.origin_failures.insert(piece, (caution, until));
    }

    /// Chooses the next download and records it as in progress; `None` if there is none to start.
    /// `elapsed` is the time since the version was announced.
    pub fn next_fetch(
        &mut self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        self.observe(holders, elapsed);
        if self.in_progress.len() >= MAX_DOWNLOADS {
            return None;
        }
        self.rejected.retain(|_, until| elapsed < *until);
        self.origin_failures
            .retain(|_, (_, until)| elapsed < *until);
        let accepted;
        let holders = if self.rejected.is_empty() {
            holders
        } else {
            accepted = self.without_rejected(holders);
            &accepted
        };
        let fetch = self
            .select_from_origin(holders)
            .or_else(|| self.select_remote(holders, None, rng))
            .or_else(|| self.select_overdue(holders, elapsed, rng))
            .or_else(|| self.select_local(holders, rng))?;
        let previous = self.in_progress.insert(fetch.piece, fetch.source.clone());
        assert!(
            previous.is_none(),
            "a piece is fetched from one source at a time"
        );
        assert!(
            !self.held_pieces.contains(&fetch.piece),
            "a held piece is not fetched again"
        );
        Some(fetch)
    }

    /// Takes in the reports of other hosts.
    fn observe(&mut self, holders: &BTreeMap<Host, Holder>, elapsed: Duration) {
        let mut is_known = vec![false; self.tiers.len()];
        self.held_pieces
            .iter()
            .for_each(|piece| is_known[*piece] = true);
        for (host, holder) in holders {
            let pieces = holder.pieces.range(..is_known.len());
            pieces.for_each(|piece| is_known[*piece] = true);
            let count = holder.pieces.len();
            let reported = self.reported.entry(host.clone());
            let reported = reported.or_insert((count, elapsed));
            if count > reported.0 {
                *reported = (count, elapsed);
            }
        }
        let known = is_known.iter().filter(|is_known| **is_known).count();
        self.pace.observe(known, self.tiers.len(), elapsed);
    }

    /// Whether this host, the one of `rank` in the order, replaces the leader of a piece by now, and
    /// why.
    fn takeover(
        &self,
        piece: usize,
        rank: u32,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
    ) -> Option<Takeover> {
        let leader = self.successions[piece].leader.as_ref();
        let reported = leader.and_then(|leader| self.reported.get(leader));
        let grown_at = self.pace.grown_at();
        let active_at = reported.map_or(grown_at, |(_, at)| *at);
        let is_reporting = leader.is_some_and(|leader| holders.contains_key(leader));
        let (takeover, factor) = match reported {
            // While nobody has anything, a leader that is silent or slow is no reason.
            _ if self.pace.held() == 0 && !holders.is_empty() => {
                (Takeover::Overdue, REPORTING_FACTOR)
            }
            Some(_) if !is_reporting => (Takeover::Silent, 1),
            Some(_) if grown_at > active_at => (Takeover::Behind, 1),
            Some(_) => (Takeover::Overdue, REPORTING_FACTOR),
            None if self.sees_region => (Takeover::Silent, 1),
            None => (Takeover::Overdue, REPORTING_FACTOR),
        };
        let limit = self.pace.limit() * (factor + rank * RANK_FACTOR);
        (elapsed >= active_at + limit).then_some(takeover)
    }

    /// Pieces that are neither held nor being fetched.
    fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.tiers.len()).filter(|piece| {
            !self.held_pieces.contains(piece) && !self.in_progress.contains_key(piece)
        })
    }

    /// Holders without the pieces that they turned out not to have.
    fn without_rejected(&self, holders: &BTreeMap<Host, Holder>) -> BTreeMap<Host, Holder> {
        let mut accepted = holders.clone();
        for (piece, host) in self.rejected.keys() {
            if let Some(holder) = accepted.get_mut(host) {
                holder.pieces.remove(piece);
            }
        }
        accepted
    }

    fn is_rejected(&self, piece: usize) -> bool {
        self.rejected.keys().any(|(rejected, _)| *rejected == piece)
    }

    fn origin_caution(&self, piece: usize) -> Option<Caution> {
        let failure = self.origin_failures.get(&piece);
        failure.map(|(caution, _)| *caution)
    }

    fn same_data_centre(&self, holder: &Holder) -> bool {
        holder.data_centre == self.local.data_centre
    }

    fn is_held_locally(&self, holders: &BTreeMap<Host, Holder>, piece: usize) -> bool {
        let mut local = holders
            .values()
            .filter(|holder| self.same_data_centre(holder));
        local.any(|holder| holder.pieces.contains(&piece))
    }

    fn is_source_in_use(&self, host: &Host) -> bool {
        self.in_progress
            .values()
            .any(|source| matches!(source, Source::Peer(peer) if peer == host))
    }

    fn can_use_origin(&self) -> bool {
        let sources = self.in_progress.values();
        sources.filter(|source| **source == Source::Origin).count() < MAX_ORIGIN_DOWNLOADS
    }

    /// Chooses one of the candidates, from a slow source only if there is no other and only one at a
    /// time: slow sources would take up all downloads of this host.
    fn choose(
        &self,
        mut candidates: Vec<(usize, &Host, Option<Takeover>)>,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        let is_slow = |host: &Host| self.speeds.is_slow(host);
        if candidates.iter().any(|(_, host, _)| !is_slow(host)) {
            candidates.retain(|(_, host, _)| !is_slow(host));
        } else {
            let mut sources = self.in_progress.values();
            if sources.any(|source| matches!(source, Source::Peer(host) if is_slow(host))) {
                return None;
            }
        }
        if candidates.is_empty() {
            return None;
        }
        let (piece, host, takeover) = candidates[rng.random_range(0..candidates.len())];
        Some(Fetch {
            piece,
            source: Source::Peer(host.clone()),
            takeover,
        })
    }

    /// Selects a piece that this host fetches from the origin as its leader.
    fn select_from_origin(&self, holders: &BTreeMap<Host, Holder>) -> Option<Fetch> {
        if !self.can_use_origin() {
            return None;
        }
        let is_eligible = |piece: &usize| {
            self.tiers[*piece] == Tier::Origin
                && !self.is_held_locally(holders, *piece)
                && match self.origin_caution(*piece) {
                    None => true,
                    Some(Caution::LastResort) => is_held_nowhere(holders, *piece),
                    Some(Caution::Closed) => false,
                }
        };
        let piece = self
            .missing()
            .filter(is_eligible)
            .min_by_key(|piece| (self.origin_caution(*piece).is_some(), self.order[*piece]))?;
        Some(Fetch {
            piece,
            source: Source::Origin,
            takeover: None,
        })
    }

    /// Selects a piece that this host fetches as its leader, or, if the elapsed time is given, in place
    /// of its leader, from a holder outside the region or data centre; if the origin did not send the
    /// piece, from any holder.
    fn select_remote(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Option<Duration>,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        let is_remote = |holder: &Holder, tier: Tier| match tier {
            Tier::Region => holder.region != self.local.region,
            Tier::DataCentre => holder.data_centre != self.local.data_centre,
            Tier::Origin | Tier::Member => false,
        };
        let mut candidates = Vec::new();
        for piece in self.missing() {
            let tier = self.tiers[piece];
            let takeover = match elapsed {
                _ if self.origin_caution(piece).is_some() => Some(Takeover::Rejected),
                Some(elapsed) if !self.is_held_locally(holders, piece) => {
                    let rank = self.successions[piece].local_rank;
                    self.takeover(piece, rank, holders, elapsed)
                }
                _ => None,
            };
            for (host, holder) in holders {
                let eligible = takeover.is_some() || is_remote(holder, tier);
                if eligible && holder.pieces.contains(&piece) && !self.is_source_in_use(host) {
                    candidates.push((piece, host, takeover));
                }
            }
        }
        self.choose(candidates, rng)
    }

    /// Selects the rarest piece that a host of the local data centre holds.
    fn select_local(&self, holders: &BTreeMap<Host, Holder>, rng: &mut impl Rng) -> Option<Fetch> {
        let local: Vec<(&Host, &Holder)> = holders
            .iter()
            .filter(|(_, holder)| self.same_data_centre(holder))
            .collect();
        let mut rarest = usize::MAX;
        let (mut candidates, mut slow) = (Vec::new(), Vec::new());
        for piece in self.missing() {
            let holding = local
                .iter()
                .filter(|(_, holder)| holder.pieces.contains(&piece));
            let count = holding.clone().count();
            if count == 0 || count > rarest {
                continue;
            }
            let available: Vec<&Host> = holding
                .map(|(host, _)| *host)
                .filter(|host| !self.is_source_in_use(host))
                .collect();
            if available.is_empty() || available.iter().all(|host| self.speeds.is_slow(host)) {
                slow.extend(available.into_iter().map(|host| (piece, host, None)));
                continue;
            }
            if count < rarest {
                rarest = count;
                candidates.clear();
            }
            candidates.extend(available.into_iter().map(|host| (piece, host, None)));
        }
        candidates.extend(slow);
        self.choose(candidates, rng)
    }

    /// Selects a piece in place of its leader: from any holder, or from the origin if no host holds it,
    /// also at once if a holder was rejected.
    fn select_overdue(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        if let Some(fetch) = self.select_remote(holders, Some(elapsed), rng) {
            return Some(fetch);
        }
        if !self.can_use_origin() {
            return None;
        }
        // The hosts of the origin's region fetch from it for all others.
        let is_left_to_others = self.local.region != self.origin
            && holders.values().any(|holder| holder.region == self.origin);
        let takeover = |piece: &usize| {
            if self.is_rejected(*piece) {
                return Some(Takeover::Rejected);
            }
            if is_left_to_others {
                return None;
            }
            let rank = self.successions[*piece].origin_rank;
            self.takeover(*piece, rank, holders, elapsed)
        };
        let unheld: Vec<(usize, Takeover)> = self
            .missing()
            .filter(|piece| self.origin_caution(*piece) != Some(Caution::Closed))
            .filter(|piece| is_held_nowhere(holders, *piece))
            .filter_map(|piece| Some((piece, takeover(&piece)?)))
            .collect();
        if unheld.is_empty() {
            return None;
        }
        let (piece, takeover) = unheld[rng.random_range(0..unheld.len())];
        Some(Fetch {
            piece,
            source: Source::Origin,
            takeover: Some(takeover),
        })
    }
}

fn is_held_nowhere(holders: &BTreeMap<Host, Holder>, piece: usize) -> bool {
    let mut pieces = holders.values().map(|holder| &holder.pieces);
    pieces.all(|pieces| !pieces.contains(&piece))
}
