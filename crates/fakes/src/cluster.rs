//! A deployment in one process on loopback: platform, backend servers, agents and entry hosts.

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
    jayspread_entry::{Process as Entry, hosts::HostJson},
    jayspread_net::cert::{self, Authority, Tls},
    jayspread_schema::{
        config::{Bundle as RawBundle, change::Kind as Change},
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

/// Interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A host with a backend server and its agent.
pub struct Host {
    /// Settings of the agent.
    pub settings: settings::Agent,
    /// Fake backend server.
    pub engine: Engine,
    server: Server,
    /// The agent; `None` after it was killed or stopped.
    pub agent: Option<Agent>,
}

/// Options of a deployment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Data centres and their regions; the origin is in the region of the first.
    pub data_centres: Vec<(Box<str>, Box<str>)>,
    /// Number of entry hosts in each data centre.
    pub entries_per_data_centre: usize,
    /// Timing settings of all processes.
    pub timing: Timing,
    /// Limits of all entry hosts.
    pub limits: Limits,
    /// Weight distribution settings of all agents.
    pub spread: Spread,
    /// Bandwidth of each region's links to the others, bytes a second each way; unlimited if `None`.
    pub region_bandwidth: Option<f64>,
    /// Uplink bandwidth of the origin, bytes a second; used only with `region_bandwidth`.
    pub origin_bandwidth: f64,
    /// How entry hosts choose a backend server.
    pub routing_policy: route::Policy,
    /// How agents distribute the weights of a version.
    pub distribution_policy: chunk::Policy,
    /// Seed of the random faults of the fakes.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        let data_centre = |name: &str, region: &str| (name.into(), region.into());
        Self {
            data_centres: vec![
                data_centre("khomas-a", "khomas"),
                data_centre("erongo-a", "erongo"),
                data_centre("karas-a", "karas"),
            ],
            entries_per_data_centre: 1,
            timing: Timing {
                heartbeat_interval: Duration::from_millis(100),
                silence_timeout: Duration::from_millis(1000),
                drain_timeout: Duration::from_secs(10),
                call_timeout: Duration::from_millis(1000),
            },
            limits: Limits {
                max_body_bytes: 4 * MIB as usize,
                max_header_bytes: 16 * 1024,
                max_queued: 1024,
                max_in_flight: 4096,
                default_deadline: Duration::from_secs(10),
                read_timeout: Duration::from_secs(2),
            },
            spread: Spread {
                memory_bytes: 256 * MIB as usize,
                max_uploads: 16,
                max_downloads: 32,
                holder_timeout: Duration::from_secs(2),
            },
            region_bandwidth: None,
            origin_bandwidth: 125_000_000.0,
            routing_policy: route::Policy::TwoChoices,
            distribution_policy: chunk::Policy::Exchange,
            seed: 1,
        }
    }
}

/// A running deployment.
pub struct Cluster {
    /// Options that the deployment was built with.
    pub options: Options,
    /// Fake log service.
    pub log: Log,
    /// Fake weight store.
    pub store: Store,
    /// Fake host list.
    pub hosts: Hosts,
    /// Simulated network between the regions.
    pub network: Arc<Network>,
    /// Complete manifests that engines check their loads against.
    pub manifests: Manifests,
    /// Signing key of the operator.
    pub operator_key: SigningKey,
    /// Backend hosts by name.
    pub backend_hosts: BTreeMap<Box<str>, Host>,
    /// Entry hosts by name.
    pub entries: BTreeMap<Box<str>, Entry>,
    authority: Authority,
    log_server: Server,
    store_server: Server,
    hosts_server: Server,
}

impl Cluster {
    /// Starts the fakes of the platform and the entry hosts.
    pub async fn open(options: Options) -> Result<Self> {
        let network = Arc::new(Network::default());
        if let Some(rate) = options.region_bandwidth {
            for (_, region) in &options.data_centres {
                network.add_region(region, rate);
            }
        }
        let log = Log::new(options.seed);
        let hosts = Hosts::default();
        let mut store = Store::new(options.seed);
        if options.region_bandwidth.is_some() {
            store = store.with_bandwidth(
                &options.data_centres[0].1,
                options.origin_bandwidth,
                &network,
            );
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
            options,
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
        let data_centres = self.options.data_centres.iter();
        let region = data_centres
            .clone()
            .find(|(name, _)| **name == *data_centre);
        Place {
            host: host.into(),
            data_centre: data_centre.into(),
            region: region.map(|(_, region)| region.clone()).unwrap_or_default(),
        }
    }

    /// TLS identity of a host, issued by the deployment's authority.
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

    /// TLS file names, which are not used: the keys are passed in memory.
    fn unused_tls_files() -> settings::Tls {
        settings::Tls {
            authority: "".into(),
            certificate: "".into(),
            key: "".into(),
        }
    }

    fn list_host(&self, place: &Place, role: &str, address: SocketAddr, service: &str) {
        self.hosts.set(HostJson {
            host: place.host.to_string(),
            role: role.to_owned(),
            data_centre: place.data_centre.to_string(),
            region: place.region.to_string(),
            address: address.to_string(),
            service: service.to_owned(),
            state: "live".to_owned(),
        });
    }

    /// Creates and starts an entry host.
    pub async fn add_entry(&mut self, host: &str, data_centre: &str) -> Result<()> {
        let settings = settings::Entry {
            place: self.place(host, data_centre),
            listen: Listen {
                http: Some(free_tcp()),
                peer: free_udp(),
                admin: free_tcp(),
            },
            tls: Self::unused_tls_files(),
            log: self.log_address(),
            hosts: self.hosts_address(),
            operators: self.operators(),
            limits: self.options.limits,
            timing: self.options.timing,
            log_level: "info".into(),
        };
        self.start_entry(settings).await
    }

    /// Starts an entry host with the given settings.
    pub async fn start_entry(&mut self, settings: settings::Entry) -> Result<()> {
        let place = settings.place.clone();
        self.list_host(&place, "entry", settings.listen.peer, "");
        let tls = self.tls(&place.host)?;
        let runtime = self.runtime(&place.region);
        let entry = Entry::open(settings, &tls, runtime, self.options.routing_policy)
            .await
            .wrap_err("failed to start an entry host")?;
        self.entries.insert(place.host, entry);
        Ok(())
    }

    /// Kills an entry host and returns settings to start it again. They have new peer and admin
    /// addresses, as tasks of the killed process may still hold the old ones.
    pub async fn kill_entry(&mut self, host: &str) -> Option<settings::Entry> {
        let entry = self.entries.remove(host)?;
        let mut settings = entry.shared().settings.clone();
        settings.listen.peer = free_udp();
        settings.listen.admin = free_tcp();
        entry.abort().await;
        Some(settings)
    }

    /// Creates a backend server and starts its agent. `change` adjusts the agent's settings.
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
            tls: Self::unused_tls_files(),
            backend: Backend {
                address: server.address(),
                kind,
                service: service.into(),
                checks_fencing: behaviour.checks_fencing,
                concurrency: 16,
                cold_concurrency: 4,
                warm_up: Duration::from_millis(500),
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

    /// Starts the agent of a host, for the first time or after it was killed.
    pub async fn start_agent(&mut self, host: &str) -> Result<()> {
        let settings = self.backend_hosts[host].settings.clone();
        let tls = self.tls(host)?;
        let runtime = self.runtime(&settings.place.region);
        let service = settings.backend.service.clone();
        self.list_host(&settings.place, "agent", settings.listen.peer, &service);
        let agent = Agent::open(settings, &tls, runtime, self.options.distribution_policy)
            .await
            .wrap_err("failed to start an agent")?;
        self.backend_hosts
            .get_mut(host)
            .expect("host is known")
            .agent = Some(agent);
        Ok(())
    }

    /// Kills the agent of a host. It restarts with new peer and admin addresses, as tasks of the
    /// killed process may still hold the old ones.
    pub async fn kill_agent(&mut self, host: &str) {
        let Some(backend_host) = self.backend_hosts.get_mut(host) else {
            return;
        };
        backend_host.settings.listen.peer = free_udp();
        backend_host.settings.listen.admin = free_tcp();
        if let Some(agent) = backend_host.agent.take() {
            agent.abort().await;
        }
    }

    /// Highest revision that any entry host has applied.
    pub fn latest_revision(&self) -> u64 {
        let revisions = self
            .entries
            .values()
            .map(|entry| entry.shared().state().revision);
        revisions.max().unwrap_or(0)
    }

    /// Signs a change to the latest revision and appends it to the log. Returns the new revision
    /// if no other change comes first.
    pub fn append_change(&self, change: Change) -> u64 {
        let base = self.latest_revision();
        let signed = bundle::sign_change(&self.operator_key, base, change);
        self.log.append(bundle::encode_record(signed));
        base + 1
    }

    /// Rolls out a bundle. Returns the new revision if no other change comes first.
    pub fn roll_out(&self, bundle: RawBundle) -> u64 {
        bundle::register_manifests(&self.manifests, &bundle);
        self.append_change(Change::Roll(bundle))
    }

    /// Whether every engine whose agent runs serves the version or one with the same content.
    pub fn all_serve(&self, version: &str) -> bool {
        let engines = self
            .backend_hosts
            .values()
            .filter(|host| host.settings.backend.kind == Kind::Engine);
        let mut loads = engines.filter_map(|host| Some(host.agent.as_ref()?.shared().load()));
        loads.all(|load| load.phase() == Phase::Serving && load.serving == version)
    }

    /// Describes, one line each, the agents whose engine does not serve the version.
    pub fn describe_lagging(&self, version: &str) -> Vec<String> {
        let agents = self
            .backend_hosts
            .iter()
            .filter_map(|(name, host)| Some((name, host.agent.as_ref()?)));
        let descriptions = agents.filter_map(|(host, agent)| {
            let shared = agent.shared();
            let load = shared.load();
            let loader_state = lock(&shared.loader).state().to_string();
            let members = lock(&shared.config).members.len();
            (load.serving != version).then(|| {
                format!(
                    "host={host} phase={:?} state={loader_state} serving={:?} wanted={:?} chunks={}/{} pause={:?} members={} revision={}",
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
        descriptions.collect()
    }

    /// Waits until `condition` holds. Returns the time it took, or `None` after `timeout`.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if condition(self) {
                return Some(started.elapsed());
            }
            time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Address at which an entry host serves callers.
    pub fn caller_address(&self, host: &str) -> SocketAddr {
        let settings = &self.entries[host].shared().settings;
        settings
            .listen
            .http
            .expect("entry hosts listen for callers")
    }

    /// Addresses at which the entry hosts serve callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .keys()
            .map(|host| self.caller_address(host))
            .collect()
    }

    /// Aborts all processes and stops the fakes of the platform.
    pub async fn close(self) {
        let mut tasks = JoinSet::new();
        for entry in self.entries.into_values() {
            tasks.spawn(entry.abort());
        }
        for host in self.backend_hosts.into_values() {
            if let Some(agent) = host.agent {
                tasks.spawn(agent.abort());
            }
            host.server.close();
        }
        while tasks.join_next().await.is_some() {}
        self.log_server.close();
        self.store_server.close();
        self.hosts_server.close();
    }
}

/// QUIC runtime that neither delays nor drops datagrams.
pub fn direct_runtime() -> Arc<dyn Runtime> {
    Arc::new(TokioRuntime)
}
