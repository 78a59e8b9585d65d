//! CPU time, memory and traffic of one process as a function of the number of its peers.

use {
    crate::sample,
    clap::Args,
    eyre::{Result, WrapErr, ensure},
    jayspread_entry::hosts::HostJson,
    jayspread_fakes::{
        cluster::direct_runtime,
        engine::{Behaviour, Engine, Manifests},
        hosts::Hosts,
        log::Log,
        port::{free_tcp, free_udp},
        server::any_port,
        store::Store,
    },
    jayspread_net::{
        cert::{self, Authority},
        link::{self, Handler, Link},
        node::{Identity, Node},
        session::{Session, Writer},
    },
    jayspread_schema::{
        settings::{Place, Timing},
        wire::{Beat, Hello, Load, Phase, Role, ask},
    },
    quinn::RecvStream,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time,
};

/// Timeout for all connections to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// CPU time, memory and traffic of one process as a function of the number of its peers.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Control {
    /// Numbers of peers to measure with.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 50, 200])]
    peers: Vec<usize>,
    /// Duration of each measurement, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Interval between heartbeats, milliseconds.
    #[arg(long, default_value_t = 1000)]
    heartbeat_ms: u64,
}

/// Measurement of a process with one number of peers.
#[derive(Debug, Clone, Copy)]
struct Sample {
    peers: f64,
    cpu_percent: f64,
    resident_bytes: f64,
    bytes_per_second: f64,
}

/// A peer that only sends heartbeats.
struct IdlePeer {
    role: Role,
    service: &'static str,
    connections: AtomicUsize,
    sessions: Mutex<Vec<Session>>,
}

impl Handler for IdlePeer {
    fn heartbeat(&self, _peer: &Hello) -> Beat {
        let load = Load {
            service: self.service.to_owned(),
            phase: Phase::Serving.into(),
            serving: "v1".to_owned(),
            wanted: "v1".to_owned(),
            limit: 16,
            ..Load::default()
        };
        Beat {
            load: (self.role == Role::Agent).then_some(load),
            ..Beat::default()
        }
    }

    fn on_heartbeat(&self, _session: &Session, _heartbeat: &Beat) {}

    async fn handle_request(
        self: Arc<Self>,
        _session: Session,
        _request: ask::Kind,
        _writer: Writer,
        _rest: RecvStream,
    ) {
    }

    fn on_connection_change(&self, session: &Session, open: bool) {
        if open {
            self.connections.fetch_add(1, Ordering::Relaxed);
            self.sessions
                .lock()
                .expect("lock is not poisoned")
                .push(session.clone());
        }
    }

    fn record_malformed(&self, _peer: &str, _kind: &str) {}
}

impl Control {
    /// Measures an entry host, then an agent.
    pub async fn run(&self) -> Result<()> {
        for role in ["entry", "agent"] {
            let mut samples = Vec::new();
            for peers in &self.peers {
                let sample = self.measure(role, *peers).await?;
                println!(
                    "role={role} peers={peers} cpu_percent={:.2} resident_mb={:.1} bytes_per_second={:.0}",
                    sample.cpu_percent,
                    sample.resident_bytes / 1e6,
                    sample.bytes_per_second
                );
                samples.push(sample);
            }
            let (cpu_slope, cpu_base) = fit(&samples, |sample| sample.cpu_percent);
            let (resident_slope, resident_base) = fit(&samples, |sample| sample.resident_bytes);
            let (bytes_slope, _) = fit(&samples, |sample| sample.bytes_per_second);
            println!(
                "result scenario=control role={role} heartbeat_ms={} cpu_percent_per_peer={cpu_slope:.4} \
                 cpu_percent_base={cpu_base:.2} resident_kb_per_peer={:.1} resident_mb_base={:.1} \
                 bytes_per_second_per_peer={bytes_slope:.0}",
                self.heartbeat_ms,
                resident_slope / 1e3,
                resident_base / 1e6
            );
        }
        Ok(())
    }

    fn timing(&self) -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(self.heartbeat_ms),
            silence_timeout: Duration::from_millis(self.heartbeat_ms * 6),
            drain_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
        }
    }

    /// Starts a process, connects peers to it and takes a sample.
    async fn measure(&self, role: &str, peers: usize) -> Result<Sample> {
        let folder = std::env::temp_dir().join(format!("jayspread-control-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder)?;
        let authority = Authority::create()?;
        fs::write(folder.join("authority.pem"), &*authority.certificate)?;
        let pair = authority.issue("subject")?;
        fs::write(folder.join("subject.pem"), &*pair.certificate)?;
        fs::write(folder.join("subject.key"), &*pair.key)?;
        let hosts = Hosts::default();
        let log = Log::new(1).serve(any_port()).await?;
        let host_list = hosts.serve(any_port()).await?;
        let store = Store::new(1).serve(any_port()).await?;
        let engine = Engine::new(&Manifests::default(), Behaviour::default())
            .serve(any_port())
            .await?;
        let subject_address = free_udp();
        let role_settings = match role {
            "entry" => format!(
                "\"log\": \"{}\", \"hosts\": \"{}\"",
                log.address(),
                host_list.address()
            ),
            _ => format!(
                r#""store": "{}", "backend": {{ "address": "{}", "kind": "engine",
                   "service": "drafting", "checks_fencing": true }}"#,
                store.address(),
                engine.address()
            ),
        };
        let file = self.write_settings(&folder, role, subject_address, &role_settings)?;
        let mut process = start(role, &file)?;
        let peer_handler = Arc::new(IdlePeer {
            role: if role == "entry" {
                Role::Agent
            } else {
                Role::Entry
            },
            service: "drafting",
            connections: AtomicUsize::new(0),
            sessions: Mutex::default(),
        });
        time::sleep(Duration::from_millis(500)).await;
        let (nodes, links) = self
            .connect(&authority, &peer_handler, &hosts, subject_address, peers)
            .await?;
        let sample = self.sample(process.id(), &peer_handler, peers).await;
        process.kill()?;
        process.wait()?;
        drop(links);
        for node in nodes {
            node.close().await;
        }
        let _ = fs::remove_dir_all(&folder);
        sample
    }

    fn write_settings(
        &self,
        folder: &Path,
        role: &str,
        peer_address: SocketAddr,
        role_settings: &str,
    ) -> Result<PathBuf> {
        let http = match role {
            "entry" => format!("\"http\": \"{}\",", free_tcp()),
            _ => String::new(),
        };
        let json = format!(
            r#"{{ "host": "subject", "data_centre": "khomas-a", "region": "khomas",
            "listen": {{ {http} "peer": "{peer_address}", "admin": "{}" }},
            "tls": {{ "authority": "authority.pem", "certificate": "subject.pem", "key": "subject.key" }},
            "operators": [{{ "name": "o", "key": "{}" }}],
            "timing": {{ "heartbeat_ms": {}, "silent_ms": {} }}, "log_level": "error", {role_settings} }}"#,
            free_tcp(),
            "00".repeat(32),
            self.heartbeat_ms,
            self.heartbeat_ms * 6
        );
        let file = folder.join("subject.jsonc");
        fs::write(&file, json)?;
        Ok(file)
    }

    /// Starts the peers: agents that the entry host connects to, or entry hosts that connect to the
    /// agent.
    async fn connect(
        &self,
        authority: &Authority,
        peer_handler: &Arc<IdlePeer>,
        hosts: &Hosts,
        subject_address: SocketAddr,
        peers: usize,
    ) -> Result<(Vec<Node>, Vec<Link>)> {
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        for number in 0..peers {
            let host = format!("peer-{number:04}");
            let pair = authority.issue(&host)?;
            let tls = cert::from_pem(&authority.certificate, &pair.certificate, &pair.key)?;
            let place = Place {
                host: host.as_str().into(),
                data_centre: "khomas-a".into(),
                region: "khomas".into(),
            };
            let identity = Identity::new(place, peer_handler.role);
            let address = free_udp();
            let node = Node::bind(address, identity, &tls, self.timing(), direct_runtime())?;
            if peer_handler.role == Role::Agent {
                tokio::spawn(link::accept(node.clone(), Arc::clone(peer_handler)));
                hosts.set(HostJson {
                    host,
                    role: "agent".to_owned(),
                    data_centre: "khomas-a".to_owned(),
                    region: "khomas".to_owned(),
                    address: address.to_string(),
                    service: "drafting".to_owned(),
                    state: "live".to_owned(),
                });
            } else {
                let handler = Arc::clone(peer_handler);
                links.push(Link::open(
                    node.clone(),
                    subject_address,
                    "subject".into(),
                    handler,
                ));
            }
            nodes.push(node);
        }
        let started_at = std::time::Instant::now();
        while peer_handler.connections.load(Ordering::Relaxed) < peers {
            ensure!(
                started_at.elapsed() < CONNECT_TIMEOUT,
                "not all peers are connected"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        time::sleep(Duration::from_secs(2)).await;
        Ok((nodes, links))
    }

    /// Measures the process for the configured time.
    async fn sample(&self, pid: u32, peer_handler: &IdlePeer, peers: usize) -> Result<Sample> {
        let total_bytes = || {
            let sessions = peer_handler.sessions.lock().expect("lock is not poisoned");
            let bytes = sessions
                .iter()
                .map(|s| s.byte_counts().0 + s.byte_counts().1);
            bytes.sum::<u64>()
        };
        let (cpu_before, bytes_before) = (sample::cpu_of(&pid.to_string()), total_bytes());
        time::sleep(Duration::from_secs(self.seconds)).await;
        let cpu_seconds = (sample::cpu_of(&pid.to_string()) - cpu_before).as_secs_f64();
        Ok(Sample {
            peers: peers as f64,
            cpu_percent: 100.0 * cpu_seconds / self.seconds as f64,
            resident_bytes: sample::resident_of(&pid.to_string()) as f64,
            bytes_per_second: (total_bytes() - bytes_before) as f64 / self.seconds as f64,
        })
    }
}

/// Starts the binary for a role, which must have been built with the same profile.
fn start(role: &str, settings: &Path) -> Result<Child> {
    let example = std::env::current_exe()?;
    let folder = example
        .parent()
        .and_then(Path::parent)
        .unwrap_or(Path::new("."));
    let mut command = match role {
        "entry" => {
            let mut command = Command::new(folder.join("jayspread"));
            command.arg("entry");
            command
        }
        _ => Command::new(folder.join("jayspread-agent")),
    };
    command
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::null())
        .spawn()
        .wrap_err("failed to start the binary; build it first with the same profile")
}

/// Least-squares fit of a line through the values over the number of peers: slope and intercept.
fn fit(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> (f64, f64) {
    let count = samples.len() as f64;
    let mean_x = samples.iter().map(|sample| sample.peers).sum::<f64>() / count;
    let mean_y = samples.iter().map(&value).sum::<f64>() / count;
    let variance: f64 = samples
        .iter()
        .map(|sample| (sample.peers - mean_x).powi(2))
        .sum();
    let covariance: f64 = samples
        .iter()
        .map(|sample| (sample.peers - mean_x) * (value(sample) - mean_y))
        .sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (slope, mean_y - slope * mean_x)
}
