//! Scheduling of piece downloads: which piece a host fetches next, and from which source.
//!
//! The chunk plan names the leader that fetches a piece into a region or data centre. Inside a data
//! centre, hosts fetch the rarest pieces first from any local holder. A host fetches at most one
//! piece at a time from each source, so that transfers stay short on links that also carry
//! requests. If a leader does not fetch its piece in time, the other hosts fetch it from any
//! holder. A piece that the origin did not send comes from any holder at once.

use {
    crate::{
        chunk::{Source, Step, Tier},
        id::{self, DataCentre, Host, Region},
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
/// Delay after which any host, not only the leader, fetches a missing piece from other data centres
/// or regions.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_000);
/// Delay after which any host fetches from the origin a piece that no host holds.
const ORIGIN_TAKEOVER_DELAY: Duration = Duration::from_millis(3_500);
/// Maximum additional delay before a takeover; it differs between hosts, so that they do not all
/// take over at the same time.
const MAX_STAGGER: Duration = Duration::from_millis(1_500);

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
    data_centre: DataCentre,
    region: Region,
    /// Tier of this host for each piece, by piece index.
    tiers: Vec<Tier>,
    held_pieces: BTreeSet<usize>,
    in_progress: BTreeMap<usize, Source>,
    /// Holders that don't have what they report, by piece, and the elapsed time until which they are
    /// left out.
    rejected: BTreeMap<(usize, Host), Duration>,
    /// Pieces that the origin failed to send, and the elapsed time until which this counts.
    origin_failures: BTreeMap<usize, (Caution, Duration)>,
    /// Share of `MAX_STAGGER` that this host adds to the takeover delays, from 0 to 1.
    stagger: f64,
}

impl Scheduler {
    /// Creates a scheduler that holds no pieces. `steps` has one entry per piece, in piece order;
    /// `stagger` is the share of the maximum additional takeover delay, from 0 to 1.
    pub fn new(data_centre: &str, region: &str, steps: &[Step], stagger: f64) -> Self {
        assert!(
            (0.0..=1.0).contains(&stagger),
            "stagger must be from 0 to 1"
        );
        Self {
            data_centre: data_centre.into(),
            region: region.into(),
            tiers: steps.iter().map(|step| step.tier).collect(),
            held_pieces: BTreeSet::new(),
            in_progress: BTreeMap::new(),
            rejected: BTreeMap::new(),
            origin_failures: BTreeMap::new(),
            stagger,
        }
    }

    /// Replaces the plan after the set of hosts has changed.
    pub fn set_plan(&mut self, steps: &[Step]) {
        assert_eq!(
            steps.len(),
            self.tiers.len(),
            "a plan has one step per piece"
        );
        self.tiers = steps.iter().map(|step| step.tier).collect();
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
            .or_else(|| self.select_remote(holders, Duration::ZERO, rng))
            .or_else(|| self.select_local(holders, rng))
            .or_else(|| self.select_overdue(holders, elapsed, rng))?;
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
        *holder.data_centre == *self.data_centre
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

    /// Selects a piece that this host fetches from the origin as its leader.
    fn select_from_origin(&self, holders: &BTreeMap<Host, Holder>) -> Option<Fetch> {
        if !self.can_use_origin() {
            return None;
        }
        let held_locally = |piece: &usize| {
            let mut local = holders
                .values()
                .filter(|holder| self.same_data_centre(holder));
            local.any(|holder| holder.pieces.contains(piece))
        };
        let is_eligible = |piece: &usize| {
            self.tiers[*piece] == Tier::Origin
                && !held_locally(piece)
                && match self.origin_caution(*piece) {
                    None => true,
                    Some(Caution::LastResort) => is_held_nowhere(holders, *piece),
                    Some(Caution::Closed) => false,
                }
        };
        let piece = self
            .missing()
            .filter(is_eligible)
            .min_by_key(|piece| self.origin_caution(*piece).is_some())?;
        Some(Fetch {
            piece,
            source: Source::Origin,
        })
    }

    /// Selects a piece that this host fetches as its leader from a holder outside the region or
    /// data centre. After the takeover delay, or if the origin did not send the piece, selects any
    /// missing piece from any holder.
    fn select_remote(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        let take_over = elapsed >= TAKEOVER_DELAY + MAX_STAGGER.mul_f64(self.stagger);
        let is_remote = |holder: &Holder, tier: Tier| match tier {
            Tier::Region => *holder.region != *self.region,
            Tier::DataCentre => *holder.data_centre != *self.data_centre,
            Tier::Origin | Tier::Member => false,
        };
        let mut candidates = Vec::new();
        for piece in self.missing() {
            let tier = self.tiers[piece];
            let take_over = take_over || self.origin_caution(piece).is_some();
            for (host, holder) in holders {
                let eligible = take_over || is_remote(holder, tier);
                if eligible && holder.pieces.contains(&piece) && !self.is_source_in_use(host) {
                    candidates.push((piece, host));
                }
            }
        }
        choose(&candidates, rng)
    }

    /// Selects the rarest piece that a host of the local data centre holds.
    fn select_local(&self, holders: &BTreeMap<Host, Holder>, rng: &mut impl Rng) -> Option<Fetch> {
        let local: Vec<(&Host, &Holder)> = holders
            .iter()
            .filter(|(_, holder)| self.same_data_centre(holder))
            .collect();
        let mut rarest = usize::MAX;
        let mut candidates = Vec::new();
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
            if available.is_empty() {
                continue;
            }
            if count < rarest {
                rarest = count;
                candidates.clear();
            }
            candidates.extend(available.into_iter().map(|host| (piece, host)));
        }
        choose(&candidates, rng)
    }

    /// Selects a piece that its leader did not fetch in time: from any holder, or from the origin if
    /// no host holds it, after a longer delay or at once if a holder was rejected.
    fn select_overdue(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        if let Some(fetch) = self.select_remote(holders, elapsed, rng) {
            return Some(fetch);
        }
        let takeover_due = elapsed >= ORIGIN_TAKEOVER_DELAY + MAX_STAGGER.mul_f64(self.stagger);
        if !self.can_use_origin() {
            return None;
        }
        let is_eligible = |piece: &usize| {
            (takeover_due || self.is_rejected(*piece))
                && self.origin_caution(*piece) != Some(Caution::Closed)
                && is_held_nowhere(holders, *piece)
        };
        let unheld: Vec<usize> = self.missing().filter(is_eligible).collect();
        if unheld.is_empty() {
            return None;
        }
        Some(Fetch {
            piece: unheld[rng.random_range(0..unheld.len())],
            source: Source::Origin,
        })
    }
}

fn is_held_nowhere(holders: &BTreeMap<Host, Holder>, piece: usize) -> bool {
    let mut pieces = holders.values().map(|holder| &holder.pieces);
    pieces.all(|pieces| !pieces.contains(&piece))
}

fn choose(candidates: &[(usize, &Host)], rng: &mut impl Rng) -> Option<Fetch> {
    if candidates.is_empty() {
        return None;
    }
    let (piece, host) = candidates[rng.random_range(0..candidates.len())];
    Some(Fetch {
        piece,
        source: Source::Peer(host.clone()),
    })
}
