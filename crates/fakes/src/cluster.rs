//! A deployment on loopback in one process: platform, backend servers, agents and entry hosts.

use {
    crate::{
        bundle,
        engine::{Behaviour, Engine, Manifests},
        hosts::Hosts,
        log::Log,
        network::{HostRuntime, Network},
        port::{free_tcp, free_udp},
        server::{self, Server},
        store::Store,
    },
    ed25519_dalek::SigningKey,
    eyre::{Result, WrapErr},
    jayspread_agent::{Process as Agent, shared::lock},
    jayspread_core::{chunk, route},
    jayspread_entry::{Process as Entry, hosts::Line},
    jayspread_net::cert::{self, Authority, Tls},
    jayspread_schema::{
        config::{Bundle as Raw, change::Kind as Change},
        settings::{self, Backend, Kind, Limits, Listen, MIB, Operator, Place, Spread, Timing},
        wire::Phase,
    },
    quinn::{Runtime, TokioRuntime},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// Interval of looking whether something awaited has come.
const POLL: Duration = Duration::from_millis(10);

/// One agent and its backend server.
pub struct Host {
    /// Settings of the agent.
    pub settings: settings::Agent,
    /// The backend server.
    pub engine: Engine,
    server: Server,
    /// The agent, unless it was killed.
    pub agent: Option<Agent>,
}

/// How a deployment is built.
#[derive(Debug, Clone)]
pub struct Options {
    /// Data centres and their regions; the origin is in the first.
    pub data_centres: Vec<(Box<str>, Box<str>)>,
    /// Entry hosts in each data centre.
    pub entries_per_data_centre: usize,
    /// Timing of all processes.
    pub timing: Timing,
    /// Limits of the entry hosts.
    pub limits: Limits,
    /// Weight distribution of the agents.
    pub spread: Spread,
    /// Link rate between regions, bytes a second; none leaves the links alone.
    pub region_bandwidth: Option<f64>,
    /// Uplink of the origin, bytes a second.
    pub origin_bandwidth: f64,
    /// How entry hosts choose.
    pub routing_policy: route::Policy,
    /// How agents distribute versions.
    pub distribution_policy: chunk::Policy,
    /// Seed of the stand-ins' faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        let region = |dc: &str, region: &str| (dc.into(), region.into());
        Self {
            data_centres: vec![
                region("khomas-a", "khomas"),
                region("erongo-a", "erongo"),
                region("karas-a", "karas"),
            ],
            entries_per_data_centre: 1,
            timing: Timing {
                heartbeat: Duration::from_millis(100),
                silent: Duration::from_millis(1000),
                drain: Duration::from_secs(10),
                call: Duration::from_millis(1000),
            },
            limits: Limits {
                body_bytes: 4 * MIB as usize,
                header_bytes: 16 * 1024,
                queue: 1024,
                in_flight: 4096,
                default_deadline: Duration::from_secs(10),
                slow_caller: Duration::from_secs(2),
            },
            spread: Spread {
                memory_bytes: 256 * MIB as usize,
                uploads: 16,
                downloads: 32,
                takeover: Duration::from_secs(2),
            },
            region_bandwidth: None,
            origin_bandwidth: 125_000_000.0,
            routing_policy: route::Policy::TwoChoices,
            distribution_policy: chunk::Policy::Exchange,
            seed: 1,
        }
    }
}

/// The deployment.
pub struct Cluster {
    /// How it was built.
    pub options: Options,
    /// Log service.
    pub log: Log,
    /// Weight store.
    pub store: Store,
    /// Host list.
    pub hosts: Hosts,
    /// Paced links.
    pub network: Arc<Network>,
    /// What engines must load.
    pub manifests: Manifests,
    /// Operator's key.
    pub operator_key: SigningKey,
    /// Agents by host.
    pub backend_hosts: BTreeMap<Box<str>, Host>,
    /// Entry hosts by host.
    pub entries: BTreeMap<Box<str>, Entry>,
    authority: Authority,
    log_server: Server,
    store_server: Server,
    hosts_server: Server,
}

impl Cluster {
    /// Starts the platform's stand-ins and the entry hosts.
    pub async fn open(plan: Options) -> Result<Self> {
        let network = Arc::new(Network::default());
        if let Some(rate) = plan.region_bandwidth {
            for (_, region) in &plan.data_centres {
                network.add_region(region, rate);
            }
        }
        let log = Log::new(plan.seed);
        let hosts = Hosts::default();
        let mut store = Store::new(plan.seed);
        if plan.region_bandwidth.is_some() {
            store = store.with_bandwidth(&plan.data_centres[0].1, plan.origin_bandwidth, &network);
        }
        let log_server = log.serve(server::any_port()).await?;
        let store_server = store.serve(server::any_port()).await?;
        let hosts_server = hosts.serve(server::any_port()).await?;
        let mut cluster = Self {
            operator_key: SigningKey::from_bytes(&[7; 32]),
            authority: Authority::create()?,
            manifests: Manifests::default(),
            backend_hosts: BTreeMap::new(),
            entries: BTreeMap::new(),
            options: plan,
            log,
            store,
            hosts,
            network,
            log_server,
            store_server,
            hosts_server,
        };
        for (data_centre, _) in cluster.options.data_centres.clone() {
            for number in 0..cluster.options.entries_per_data_centre {
                cluster
                    .add_entry(&format!("{data_centre}-entry-{number}"), &data_centre)
                    .await?;
            }
        }
        Ok(cluster)
    }

    /// Address of the log service.
    pub fn log_address(&self) -> SocketAddr {
        self.log_server.address()
    }

    /// Address of the host list.
    pub fn hosts_address(&self) -> SocketAddr {
        self.hosts_server.address()
    }

    /// Address of the weight store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    fn place(&self, host: &str, data_centre: &str) -> Place {
        let known = self.options.data_centres.iter();
        let region = known.clone().find(|(name, _)| **name == *data_centre);
        Place {
            host: host.into(),
            data_centre: data_centre.into(),
            region: region.map(|(_, region)| region.clone()).unwrap_or_default(),
        }
    }

    /// TLS keys of a host.
    pub fn tls(&self, host: &str) -> Result<Tls> {
        let pair = self.authority.issue(host)?;
        Ok(cert::from_pem(
            &self.authority.certificate,
            &pair.certificate,
            &pair.key,
        )?)
    }

    fn runtime(&self, region: &str) -> Arc<dyn Runtime> {
        HostRuntime::new(&self.network, region)
    }

    fn operators(&self) -> Vec<Operator> {
        vec![Operator {
            name: "operator".into(),
            key: self.operator_key.verifying_key().to_bytes(),
        }]
    }

    fn files() -> settings::Tls {
        settings::Tls {
            authority: "".into(),
            certificate: "".into(),
            key: "".into(),
        }
    }

    fn list(&self, place: &Place, role: &str, address: SocketAddr, service: &str) {
        self.hosts.set(Line {
            host: place.host.to_string(),
            role: role.to_owned(),
            data_centre: place.data_centre.to_string(),
            region: place.region.to_string(),
            address: address.to_string(),
            service: service.to_owned(),
            state: "live".to_owned(),
        });
    }

    /// Adds and starts an entry host.
    pub async fn add_entry(&mut self, host: &str, data_centre: &str) -> Result<()> {
        let settings = settings::Entry {
            place: self.place(host, data_centre),
            listen: Listen {
                http: Some(free_tcp()),
                peer: free_udp(),
                admin: free_tcp(),
            },
            tls: Self::files(),
            log: self.log_address(),
            hosts: self.hosts_address(),
            operators: self.operators(),
            limits: self.options.limits,
            timing: self.options.timing,
            log_level: "info".into(),
        };
        self.start_entry(settings).await
    }

    /// Starts an entry host with these settings.
    pub async fn start_entry(&mut self, settings: settings::Entry) -> Result<()> {
        let place = settings.place.clone();
        self.list(&place, "entry", settings.listen.peer, "");
        let tls = self.tls(&place.host)?;
        let runtime = self.runtime(&place.region);
        let entry = Entry::open(settings, &tls, runtime, self.options.routing_policy)
            .await
            .wrap_err("could not start an entry host")?;
        self.entries.insert(place.host, entry);
        Ok(())
    }

    /// Kills an entry host and returns its settings, with another peer address, for starting it
    /// again while tasks of the killed one may still hold the old address.
    pub async fn kill_entry(&mut self, host: &str) -> Option<settings::Entry> {
        let entry = self.entries.remove(host)?;
        let mut settings = entry.shared().settings.clone();
        settings.listen.peer = free_udp();
        settings.listen.admin = free_tcp();
        entry.abort().await;
        Some(settings)
    }

    /// Adds a backend server and its agent.
    pub async fn add_backend_host(
        &mut self,
        host: &str,
        data_centre: &str,
        service: &str,
        kind: Kind,
        behaviour: Behaviour,
        change: impl FnOnce(&mut settings::Agent),
    ) -> Result<()> {
        let engine = match kind {
            Kind::Engine => Engine::new(&self.manifests, behaviour),
            Kind::Plain => Engine::plain(behaviour),
        };
        let server = engine.serve(server::any_port()).await?;
        let mut settings = settings::Agent {
            place: self.place(host, data_centre),
            listen: Listen {
                http: None,
                peer: free_udp(),
                admin: free_tcp(),
            },
            tls: Self::files(),
            backend: Backend {
                address: server.address(),
                kind,
                service: service.into(),
                checks_fencing: behaviour.checks_fencing,
                concurrency: 16,
                cold_concurrency: 4,
                warm: Duration::from_millis(500),
            },
            store: Some(self.store_address()),
            operators: self.operators(),
            spread: self.options.spread,
            timing: self.options.timing,
            log_level: "info".into(),
        };
        change(&mut settings);
        let host: Box<str> = host.into();
        self.backend_hosts.insert(
            host.clone(),
            Host {
                settings,
                engine,
                server,
                agent: None,
            },
        );
        self.start_agent(&host).await
    }

    /// Starts a host's agent, or starts it again after it was killed.
    pub async fn start_agent(&mut self, host: &str) -> Result<()> {
        let settings = self.backend_hosts[host].settings.clone();
        let tls = self.tls(host)?;
        let runtime = self.runtime(&settings.place.region);
        let service = settings.backend.service.clone();
        self.list(&settings.place, "agent", settings.listen.peer, &service);
        let agent = Agent::open(settings, &tls, runtime, self.options.distribution_policy)
            .await
            .wrap_err("could not start an agent")?;
        self.backend_hosts
            .get_mut(host)
            .expect("host is known")
            .agent = Some(agent);
        Ok(())
    }

    /// Kills a host's agent; it can be started again at another peer address, since tasks of the
    /// killed one may still hold the old one.
    pub async fn kill_agent(&mut self, host: &str) {
        let Some(found) = self.backend_hosts.get_mut(host) else {
            return;
        };
        found.settings.listen.peer = free_udp();
        found.settings.listen.admin = free_tcp();
        if let Some(agent) = found.agent.take() {
            agent.abort().await;
        }
    }

    /// Revision that some entry host has in force.
    pub fn latest_revision(&self) -> u64 {
        let revisions = self.entries.values().map(|e| e.shared().state().revision);
        revisions.max().unwrap_or(0)
    }

    /// Signs a change made from the present revision and appends it to the log.
    pub fn append_change(&self, kind: Change) -> u64 {
        let base = self.latest_revision();
        let signed = bundle::sign_change(&self.operator_key, base, kind);
        self.log.append(bundle::encode_record(signed));
        base + 1
    }

    /// Rolls a bundle.
    pub fn roll_out(&self, raw: Raw) -> u64 {
        bundle::register_manifests(&self.manifests, &raw);
        self.append_change(Change::Roll(raw))
    }

    /// Whether every engine serves the version, or another one of the same chunks.
    pub fn all_serve(&self, version: &str) -> bool {
        let engines = self
            .backend_hosts
            .values()
            .filter(|h| h.settings.backend.kind == Kind::Engine);
        let mut loads = engines.filter_map(|h| Some(h.agent.as_ref()?.shared().load()));
        loads.all(|load| load.phase() == Phase::Serving && load.serving == version)
    }

    /// One line for each agent whose engine does not serve the version.
    pub fn describe_lagging(&self, version: &str) -> Vec<String> {
        let agents = self
            .backend_hosts
            .iter()
            .filter_map(|(host, h)| Some((host, h.agent.as_ref()?)));
        let lines = agents.filter_map(|(host, agent)| {
            let shared = agent.shared();
            let load = shared.load();
            let machine = lock(&shared.loader).state().to_string();
            let members = lock(&shared.config).members.len();
            (load.serving != version).then(|| {
                format!(
                    "host={host} phase={:?} machine={machine} serving={:?} wanted={:?} chunks={}/{} pause={:?} members={} revision={}",
                    load.phase(),
                    load.serving,
                    load.wanted,
                    load.chunks,
                    load.chunks_wanted,
                    load.pause,
                    members,
                    shared.state().revision,
                )
            })
        });
        lines.collect()
    }

    /// Waits until `done`, at most for `limit`; gives the time it took.
    pub async fn wait_until(
        &self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if done(self) {
                return Some(began.elapsed());
            }
            time::sleep(POLL).await;
        }
        None
    }

    /// Callers' address of an entry host.
    pub fn caller_address(&self, host: &str) -> SocketAddr {
        let settings = &self.entries[host].shared().settings;
        settings
            .listen
            .http
            .expect("entry hosts have a callers' address")
    }

    /// Callers' addresses of all entry hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .keys()
            .map(|host| self.caller_address(host))
            .collect()
    }

    /// Stops everything.
    pub async fn close(self) {
        let mut ends = JoinSet::new();
        for entry in self.entries.into_values() {
            ends.spawn(entry.abort());
        }
        for host in self.backend_hosts.into_values() {
            if let Some(agent) = host.agent {
                ends.spawn(agent.abort());
            }
            host.server.close();
        }
        while ends.join_next().await.is_some() {}
        self.log_server.close();
        self.store_server.close();
        self.hosts_server.close();
    }
}

/// QUIC runtime without paced links.
pub fn direct_runtime() -> Arc<dyn Runtime> {
    Arc::new(TokioRuntime)
}
