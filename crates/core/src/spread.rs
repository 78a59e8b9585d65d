//! Which piece a host asks for next, and whom, while a version spreads.
//!
//! The chunk plan says who brings a piece into a region or a data centre. Inside a data centre every
//! host that holds a piece passes it on, rarest first. A host asks each other one for one piece at a
//! time, so that transfers stay short on links that carry requests as well. A piece that its leader
//! does not bring in time is fetched from wherever it is.

use {
    crate::{
        chunk::{Source, Step, Tier},
        id::{DataCentre, Host, Region},
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Transfers of one host at once.
pub const MAX_DOWNLOADS: usize = 3;
/// Transfers that wait at one host behind the running one; who asks for more is sent to others at
/// once. When a version begins to spread, all hosts ask its first holders.
pub const MAX_QUEUED_UPLOADS: usize = 4;
/// Transfers from the origin of one host at once.
const FROM_ORIGIN: usize = 1;
/// Time after which a piece that no host near holds is fetched from another region.
const TAKEOVER: Duration = Duration::from_millis(2_000);
/// Time after which a piece that no host holds is fetched from the origin by anyone.
const LAST_RESORT: Duration = Duration::from_millis(3_500);
/// Spread of these times over the hosts, so that not all of them take over at once.
const STAGGER: Duration = Duration::from_millis(1_500);

/// Reports that one host sends to a group of others in a second, counted over all of them. At this
/// rate, reports of 200 bytes take a thirtieth of a link of 9.4 Mbit/s.
const REPORTS: f64 = 200.0;

/// Least time between two reports to a group of `hosts`, `shortest` for small ones. Reports that all
/// hosts send to all others grow with the square of the fleet and would crowd out the pieces.
pub fn report_interval(shortest: Duration, hosts: usize) -> Duration {
    shortest.max(Duration::from_secs_f64(hosts as f64 / REPORTS))
}

/// What another host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Indices of its pieces.
    pub pieces: BTreeSet<usize>,
}

/// An ask: a piece and whom to ask for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Index of the piece.
    pub piece: usize,
    /// Whom.
    pub source: Source,
}

/// State of one host's share in spreading one version.
#[derive(Debug)]
pub struct Scheduler {
    data_centre: DataCentre,
    region: Region,
    /// Duty for each piece; the plan's steps in the order of the pieces.
    duties: Vec<Tier>,
    have: BTreeSet<usize>,
    asked: BTreeMap<usize, Source>,
    /// Own place in the stagger, 0 to 1.
    patience: f64,
}

impl Scheduler {
    /// Starts with nothing; `steps` are the plan's, one for each piece in order.
    pub fn new(data_centre: &str, region: &str, steps: &[Step], patience: f64) -> Self {
        assert!((0.0..=1.0).contains(&patience), "patience is a share");
        Self {
            data_centre: data_centre.into(),
            region: region.into(),
            duties: steps.iter().map(|step| step.tier).collect(),
            have: BTreeSet::new(),
            asked: BTreeMap::new(),
            patience,
        }
    }

    /// Takes a plan over other hosts than before.
    pub fn set_plan(&mut self, steps: &[Step]) {
        assert_eq!(steps.len(), self.duties.len(), "a plan has all pieces");
        self.duties = steps.iter().map(|step| step.tier).collect();
    }

    /// Notes a piece that is held.
    pub fn mark_held(&mut self, index: usize) {
        self.have.insert(index);
    }

    /// Whether all pieces are held.
    pub fn is_complete(&self) -> bool {
        self.have.len() == self.duties.len()
    }

    /// Notes that an ask has ended.
    pub fn finish_fetch(&mut self, index: usize) {
        self.asked.remove(&index);
    }

    /// Chooses the next ask, `elapsed` after the version was named; nothing when none is due.
    pub fn next_fetch(
        &mut self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        if self.asked.len() >= MAX_DOWNLOADS {
            return None;
        }
        let ask = self
            .at_origin(holders)
            .or_else(|| self.afar(holders, Duration::ZERO, rng))
            .or_else(|| self.nearby(holders, rng))
            .or_else(|| self.overdue(holders, elapsed, rng))?;
        let before = self.asked.insert(ask.piece, ask.source.clone());
        assert!(before.is_none(), "a piece is asked for once at a time");
        assert!(
            !self.have.contains(&ask.piece),
            "a held piece is not asked for"
        );
        Some(ask)
    }

    fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.duties.len())
            .filter(|index| !self.have.contains(index) && !self.asked.contains_key(index))
    }

    fn near(&self, holder: &Holder) -> bool {
        *holder.data_centre == *self.data_centre
    }

    fn busy(&self, host: &Host) -> bool {
        self.asked
            .values()
            .any(|source| matches!(source, Source::Peer(peer) if peer == host))
    }

    fn origin_free(&self) -> bool {
        let asked = self.asked.values();
        asked.filter(|s| **s == Source::Origin).count() < FROM_ORIGIN
    }

    fn at_origin(&self, holders: &BTreeMap<Host, Holder>) -> Option<Fetch> {
        if !self.origin_free() {
            return None;
        }
        let held = |index: &usize| {
            let mut near = holders.values().filter(|h| self.near(h));
            near.any(|holder| holder.pieces.contains(index))
        };
        let index = self
            .missing()
            .find(|index| self.duties[*index] == Tier::Origin && !held(index))?;
        Some(Fetch {
            piece: index,
            source: Source::Origin,
        })
    }

    /// A piece that this host brings into its region or data centre, from any host that holds it
    /// outside; after `TAKEOVER` any piece.
    fn afar(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        let takes_over = elapsed >= TAKEOVER + STAGGER.mul_f64(self.patience);
        let outside = |holder: &Holder, duty: Tier| match duty {
            Tier::Region => *holder.region != *self.region,
            Tier::DataCentre => *holder.data_centre != *self.data_centre,
            Tier::Origin | Tier::Member => false,
        };
        let mut asks = Vec::new();
        for index in self.missing() {
            let duty = self.duties[index];
            for (host, holder) in holders {
                let due = takes_over || outside(holder, duty);
                if due && holder.pieces.contains(&index) && !self.busy(host) {
                    asks.push((index, host));
                }
            }
        }
        pick(&asks, rng)
    }

    /// The rarest piece that a host of the own data centre holds.
    fn nearby(&self, holders: &BTreeMap<Host, Holder>, rng: &mut impl Rng) -> Option<Fetch> {
        let near: Vec<(&Host, &Holder)> = holders
            .iter()
            .filter(|(_, holder)| self.near(holder))
            .collect();
        let mut rarest = usize::MAX;
        let mut asks = Vec::new();
        for index in self.missing() {
            let with = near.iter().filter(|(_, h)| h.pieces.contains(&index));
            let count = with.clone().count();
            if count == 0 || count > rarest {
                continue;
            }
            let free: Vec<&Host> = with
                .map(|(host, _)| *host)
                .filter(|host| !self.busy(host))
                .collect();
            if free.is_empty() {
                continue;
            }
            if count < rarest {
                rarest = count;
                asks.clear();
            }
            asks.extend(free.into_iter().map(|host| (index, host)));
        }
        pick(&asks, rng)
    }

    /// A piece whose leader did not bring it in time.
    fn overdue(
        &self,
        holders: &BTreeMap<Host, Holder>,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Option<Fetch> {
        if let Some(ask) = self.afar(holders, elapsed, rng) {
            return Some(ask);
        }
        let due = elapsed >= LAST_RESORT + STAGGER.mul_f64(self.patience);
        if !due || !self.origin_free() {
            return None;
        }
        let unheld = |index: &usize| holders.values().all(|h| !h.pieces.contains(index));
        let missing: Vec<usize> = self.missing().filter(unheld).collect();
        if missing.is_empty() {
            return None;
        }
        Some(Fetch {
            piece: missing[rng.random_range(0..missing.len())],
            source: Source::Origin,
        })
    }
}

fn pick(asks: &[(usize, &Host)], rng: &mut impl Rng) -> Option<Fetch> {
    if asks.is_empty() {
        return None;
    }
    let (index, host) = asks[rng.random_range(0..asks.len())];
    Some(Fetch {
        piece: index,
        source: Source::Peer(host.clone()),
    })
}
