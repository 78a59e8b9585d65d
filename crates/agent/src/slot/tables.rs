//! Tables shared by the tasks of an agent on the platform.
//!
//! Lock order: `targets`, `seen`, `fleet`, `roster`, `pieces`. A task takes at most two at once, in
//! this order, and holds none across an await.

use {
    crate::{
        shared::lock,
        slot::{metrics::Metrics, pieces::Pieces},
    },
    jayspread_core::{
        id::{DataCentre, Host},
        spread::Holder,
        target::Targets,
    },
    jayspread_net::{admin::View, clock, datagram::Socket, members::Roster},
    jayspread_platform::{engine::State, settings::Settings},
    jayspread_schema::peer::Role,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, watch},
};

/// Age from which another agent's word on its engine does not count.
const STALE: Duration = Duration::from_millis(3_000);

/// Where weights come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Name of the model.
    pub model: Box<str>,
    /// Address of the origin, if there is one.
    pub origin: Option<SocketAddr>,
    /// Data centre of the origin.
    pub data_centre: DataCentre,
}

/// What another agent says of the engine beside it.
#[derive(Debug, Clone)]
pub struct Other {
    /// Version that its engine serves, 0 for none.
    pub version: u64,
    /// Pieces that it holds in memory, by version.
    pub spreads: BTreeMap<u64, BTreeSet<usize>>,
    /// Time of its word.
    pub at: Instant,
}

/// State of the engine as read last.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// The state, if the engine ever answered.
    pub state: Option<State>,
    /// Whether it answered the last time.
    pub answers: bool,
    /// The agent is about to order a load, or has.
    pub closed: bool,
    /// Time at which the agent plans to order a load.
    pub closes: Option<Instant>,
}

impl Seen {
    /// Version that the engine serves whole, 0 for none.
    pub fn version(&self) -> u64 {
        let loaded = self.state.as_ref().and_then(|s| s.loaded.as_ref());
        loaded.filter(|l| l.complete).map_or(0, |l| l.version)
    }
}

/// Shared state of an agent.
pub struct Slot {
    /// Settings.
    pub settings: Settings,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Socket towards the other processes.
    pub socket: Socket,
    /// Where weights come from, once an entry host has said so.
    pub source: Mutex<Option<Source>>,
    /// Versions named.
    pub targets: Mutex<Targets>,
    /// State of the engine.
    pub seen: Mutex<Seen>,
    /// Other agents' engines.
    pub fleet: Mutex<BTreeMap<Host, Other>>,
    /// Other processes.
    pub roster: Mutex<Roster>,
    /// Pieces in memory.
    pub pieces: Mutex<Pieces>,
    /// Wakes the fetch: another agent holds more than before.
    pub holders_changed: Notify,
    /// Goes up when a version is named.
    pub named: watch::Sender<u64>,
    /// Wakes the report: something that entry hosts should know at once has changed.
    pub news: Notify,
    /// Metrics.
    pub metrics: Metrics,
}

impl Slot {
    /// Creates the state of an agent that has just started.
    pub fn new(settings: Settings, engine: SocketAddr, socket: Socket) -> Arc<Self> {
        let seeds = settings.seeds.clone();
        Arc::new(Self {
            engine,
            socket,
            source: Mutex::default(),
            targets: Mutex::default(),
            seen: Mutex::default(),
            fleet: Mutex::default(),
            roster: Mutex::new(Roster::new(seeds)),
            pieces: Mutex::default(),
            holders_changed: Notify::new(),
            named: watch::Sender::new(0),
            news: Notify::new(),
            metrics: Metrics::default(),
            settings,
        })
    }

    /// Where weights come from.
    pub fn source(&self) -> Option<Source> {
        lock(&self.source).clone()
    }

    /// Agents whose engines serve, this one included, by data centre.
    pub fn pool(&self) -> BTreeMap<DataCentre, BTreeSet<Host>> {
        let agents = self.agents();
        let now = clock::now();
        let fleet = lock(&self.fleet);
        let mut pool: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
        let own = (
            self.settings.data_centre.clone(),
            self.settings.host.clone(),
        );
        pool.entry(own.0).or_default().insert(own.1);
        for (host, (_, data_centre)) in agents {
            let heard = fleet.get(&host);
            if heard.is_some_and(|other| now.saturating_duration_since(other.at) < STALE) {
                pool.entry(data_centre).or_default().insert(host);
            }
        }
        pool
    }

    /// Other agents that hold pieces of `version`, which has `count` of them.
    pub fn holders(&self, version: u64, count: usize) -> BTreeMap<Host, Holder> {
        let agents = self.agents();
        let now = clock::now();
        let fleet = lock(&self.fleet);
        let mut holders = BTreeMap::new();
        for (host, (_, data_centre)) in agents {
            let Some(other) = fleet.get(&host) else {
                continue;
            };
            if now.saturating_duration_since(other.at) >= STALE {
                continue;
            }
            let pieces = if let Some(pieces) = other.spreads.get(&version) {
                pieces.clone()
            } else if other.version == version {
                // The engine that serves it has all its pieces staged.
                (0..count).collect()
            } else {
                continue;
            };
            let region = self.settings.region(&data_centre).into();
            let holder = Holder {
                data_centre,
                region,
                pieces,
            };
            holders.insert(host, holder);
        }
        holders
    }

    /// How many of a version's pieces this agent or another one that is heard from holds, and how
    /// many there are; 0 while the manifest is not known.
    pub fn held(&self, version: u64) -> (usize, usize) {
        let manifest = lock(&self.pieces).manifest(version);
        let Some(count) = manifest.map(|m| m.digests.len()) else {
            return (0, 0);
        };
        let own = lock(&self.pieces).indices(version);
        let mut held: BTreeSet<usize> = own.into_iter().collect();
        for holder in self.holders(version, count).into_values() {
            if held.len() >= count {
                break;
            }
            held.extend(holder.pieces);
        }
        (held.len(), count)
    }

    /// Addresses and data centres of the other agents that are heard from or that others name.
    pub fn agents(&self) -> BTreeMap<Host, (Ipv4Addr, DataCentre)> {
        let roster = lock(&self.roster);
        let others = roster
            .known_members(Role::Agent)
            .filter(|(host, _)| ***host != *self.settings.host);
        others
            .map(|(host, c)| (host.clone(), (c.address, c.data_centre.clone())))
            .collect()
    }
}

impl View for Slot {
    fn ready(&self) -> Result<(), Box<str>> {
        if lock(&self.seen).answers {
            return Ok(());
        }
        Err("the engine does not answer".into())
    }

    fn dump(&self) -> Value {
        let now = clock::now();
        let seen = lock(&self.seen).clone();
        let targets: BTreeMap<String, Value> = lock(&self.targets)
            .iter()
            .map(|(model, named)| {
                let age = now.saturating_duration_since(named.set_at).as_millis() as u64;
                let value = json!({"version": named.version, "age_ms": age});
                (model.to_string(), value)
            })
            .collect();
        let pieces: BTreeMap<u64, usize> = lock(&self.pieces).iter().collect();
        json!({
            "host": self.settings.host,
            "engine": self.engine.to_string(),
            "answers": seen.answers,
            "closed": seen.closed,
            "serves": seen.version(),
            "busy": seen.state.as_ref().is_some_and(|s| s.loading),
            "targets": targets,
            "pieces_in_memory": pieces,
            "agents": self.agents().keys().collect::<Vec<_>>(),
        })
    }

    fn refresh(&self) {
        let version = lock(&self.seen).version();
        self.metrics.version.set(version as i64);
    }
}
