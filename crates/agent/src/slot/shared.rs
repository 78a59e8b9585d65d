//! State shared by the tasks of an agent on the platform.
//!
//! Lock order: `targets`, `engine_state`, `peer_reports`, `roster`, `entry_hosts`, `subscribers`,
//! `pieces`, `peer_transfers`, `origin_transfers`, `uploads`. A task holds at most two locks at a time, acquires them in this order, and holds none
//! across an await.

use {
    crate::{
        shared::lock,
        slot::{gossip, metrics::Metrics, pieces::Pieces, serve::UPLOAD_SHARE},
    },
    jayspread_core::{
        fetch::Count,
        holders::Reports,
        id::{DataCentre, Host},
        spread::{Holder, Transfers, Uploads},
        target::{Newest, Targets},
    },
    jayspread_net::{admin::View, clock, datagram::Socket, members::Roster, task::Health},
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

/// Location of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightSource {
    /// Name of the model.
    pub model: Box<str>,
    /// Address of the origin server, if the model has one.
    pub origin: Option<SocketAddr>,
    /// Data centre of the origin server.
    pub data_centre: DataCentre,
}

/// What an entry host has told this agent.
#[derive(Debug, Clone, Copy)]
pub struct EntryHost {
    /// Time of its last heartbeat.
    pub heard_at: Instant,
    /// Whether its region has no engine of this service that accepts requests.
    pub is_stranded: bool,
}

/// An agent that fetches pieces and gets reports on those that this host holds.
#[derive(Debug, Clone, Copy)]
pub struct Subscriber {
    /// IPv4 address of its host.
    pub address: Ipv4Addr,
    /// Time at which the subscription ends.
    pub until: Instant,
}

/// State of the local engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Last state read from the engine; `None` until the first successful read.
    pub latest: Option<State>,
    /// Whether the engine is considered responsive.
    pub responsive: bool,
    /// Whether the engine takes no new requests because a load is imminent or in progress.
    pub closed_for_load: bool,
    /// Time at which the agent plans to order the next load.
    pub load_planned_at: Option<Instant>,
}

impl EngineState {
    /// Version that is completely loaded on the engine; 0 for none.
    pub fn serving_version(&self) -> u64 {
        let loaded = self.latest.as_ref().and_then(|s| s.loaded.as_ref());
        loaded.filter(|l| l.complete).map_or(0, |l| l.version)
    }
}

/// State shared by the agent's tasks.
pub struct Shared {
    /// Settings of this host.
    pub settings: Settings,
    /// Start of this process.
    pub started: Instant,
    /// Address of the local engine.
    pub engine_address: SocketAddr,
    /// Datagram socket for entry hosts and other agents.
    pub socket: Socket,
    /// Location of the weights; `None` until an entry host announces it.
    pub weight_source: Mutex<Newest<WeightSource>>,
    /// Target versions announced by entry hosts, by model.
    pub targets: Mutex<Targets>,
    /// State of the local engine.
    pub engine_state: Mutex<EngineState>,
    /// Latest reports of other agents.
    pub peer_reports: Mutex<Reports>,
    /// Known entry hosts and agents.
    pub roster: Mutex<Roster>,
    /// Entry hosts that have sent heartbeats.
    pub entry_hosts: Mutex<BTreeMap<Host, EntryHost>>,
    /// Agents that fetch pieces.
    pub subscribers: Mutex<BTreeMap<Host, Subscriber>>,
    /// Pieces of weights held in memory.
    pub pieces: Mutex<Pieces>,
    /// Usual time of transfers from other agents.
    pub peer_transfers: Mutex<Transfers>,
    /// Usual time of transfers from the origin.
    pub origin_transfers: Mutex<Transfers>,
    /// Running and waiting uploads of pieces.
    pub uploads: Mutex<Uploads>,
    /// Wakes running fetches after a report of another agent.
    pub holders_changed: Notify,
    /// Number of target changes; wakes the control loop.
    pub target_updates: watch::Sender<u64>,
    /// Wakes the report loop after a change that entry hosts must learn of immediately.
    pub report_now: Notify,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Health of the background tasks.
    pub tasks: Arc<Health>,
}

impl Shared {
    /// Creates the initial state.
    pub fn new(settings: Settings, engine_address: SocketAddr, socket: Socket) -> Arc<Self> {
        let seeds = settings.seeds.clone();
        let now = clock::now();
        let upload_rate = settings.link_bytes_per_second * UPLOAD_SHARE;
        let transfers = Transfers::new(upload_rate);
        let roster = Roster::new(&socket.identity, settings.regions.clone(), seeds, now);
        Arc::new(Self {
            engine_address,
            socket,
            weight_source: Mutex::default(),
            targets: Mutex::default(),
            engine_state: Mutex::default(),
            peer_reports: Mutex::default(),
            roster: Mutex::new(roster),
            entry_hosts: Mutex::default(),
            subscribers: Mutex::default(),
            started: now,
            pieces: Mutex::default(),
            peer_transfers: Mutex::new(transfers),
            origin_transfers: Mutex::new(transfers),
            uploads: Mutex::new(Uploads::new(upload_rate)),
            holders_changed: Notify::new(),
            target_updates: watch::Sender::new(0),
            report_now: Notify::new(),
            metrics: Metrics::default(),
            tasks: Arc::default(),
            settings,
        })
    }

    /// Location of the weights, if known.
    pub fn weight_source(&self) -> Option<WeightSource> {
        lock(&self.weight_source).get().cloned()
    }

    /// Hosts of agents that are alive, by data centre; includes this host.
    pub fn live_hosts(&self) -> BTreeMap<DataCentre, BTreeSet<Host>> {
        let mut hosts: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
        let own = (
            self.settings.data_centre.clone(),
            self.settings.host.clone(),
        );
        hosts.entry(own.0).or_default().insert(own.1);
        for (host, contact) in lock(&self.roster).usable_members(Role::Agent) {
            let of_data_centre = hosts.entry(contact.data_centre.clone()).or_default();
            of_data_centre.insert(host.clone());
        }
        hosts
    }

    /// Other agents that hold pieces of `version`, which consists of `count` pieces.
    pub fn holders(&self, version: u64, count: usize) -> BTreeMap<Host, Holder> {
        let now = clock::now();
        let reports = lock(&self.peer_reports);
        let roster = lock(&self.roster);
        let mut holders = BTreeMap::new();
        for (host, contact) in roster.known_members(Role::Agent) {
            let incarnation = roster.incarnation(host);
            let pieces =
                incarnation.and_then(|known| reports.pieces(host, known, version, count, now));
            let Some(pieces) = pieces else {
                continue;
            };
            let holder = Holder {
                data_centre: contact.data_centre.clone(),
                region: contact.region.clone(),
                pieces,
            };
            holders.insert(host.clone(), holder);
        }
        holders
    }

    /// Number of a version's pieces held by this agent or any agent with a recent report.
    pub fn held_piece_count(&self, version: u64) -> Count {
        let manifest = lock(&self.pieces).manifest(version);
        let Some(count) = manifest.map(|m| m.digests.len()) else {
            return Count::default();
        };
        let own = lock(&self.pieces).indices(version);
        let mut held: BTreeSet<usize> = own.into_iter().collect();
        for holder in self.holders(version, count).into_values() {
            if held.len() >= count {
                break;
            }
            held.extend(holder.pieces);
        }
        Count {
            held: held.len(),
            total: count,
        }
    }

    /// Time per piece of a version that transfers from other agents take; zero while its manifest is
    /// unknown.
    pub fn piece_time(&self, version: u64) -> Duration {
        let Some(manifest) = lock(&self.pieces).manifest(version) else {
            return Duration::ZERO;
        };
        let transfers = *lock(&self.peer_transfers);
        let link = f64::from(manifest.piece_bytes) / self.settings.link_bytes_per_second.max(1.0);
        let measured = transfers.piece_time(manifest.piece_bytes);
        measured.max(Duration::from_secs_f64(link))
    }

    /// Addresses and data centres of all other known agents, by host.
    pub fn agents(&self) -> BTreeMap<Host, (Ipv4Addr, DataCentre)> {
        let roster = lock(&self.roster);
        let other_agents = roster
            .known_members(Role::Agent)
            .filter(|(host, _)| ***host != *self.settings.host);
        other_agents
            .map(|(host, contact)| (host.clone(), (contact.address, contact.data_centre.clone())))
            .collect()
    }
}

impl View for Shared {
    fn ready(&self) -> Result<(), Box<str>> {
        self.tasks.check()?;
        if lock(&self.engine_state).responsive {
            return Ok(());
        }
        Err("the engine does not answer".into())
    }

    fn dump(&self) -> Value {
        let now = clock::now();
        let engine = lock(&self.engine_state).clone();
        let targets: BTreeMap<String, Value> = lock(&self.targets)
            .iter()
            .map(|(model, target)| {
                let age = now.saturating_duration_since(target.set_at).as_millis() as u64;
                let value = json!({"version": target.version, "age_ms": age});
                (model.to_string(), value)
            })
            .collect();
        let pieces: BTreeMap<u64, usize> = lock(&self.pieces)
            .counts()
            .map(|(version, count)| (version, count.held))
            .collect();
        json!({
            "host": self.settings.host,
            "engine": self.engine_address.to_string(),
            "answers": engine.responsive,
            "closed": engine.closed_for_load,
            "serves": engine.serving_version(),
            "busy": engine.latest.as_ref().is_some_and(|s| s.loading),
            "targets": targets,
            "pieces_in_memory": pieces,
            "agents": self.agents().len(),
            "audience": gossip::audience(self).primary,
            "leaving": engine.latest.as_ref().is_some_and(|s| s.leaving),
        })
    }

    fn refresh(&self) {
        let version = lock(&self.engine_state).serving_version();
        self.metrics.serving_version.set(version as i64);
    }
}
