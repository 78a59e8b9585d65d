//! Processor time, memory and bytes of one process against the number of its peers.

use {
    crate::sample,
    clap::Args,
    eyre::{Result, WrapErr, ensure},
    jayspread_entry::hosts::Line,
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

/// Longest wait for all connections to open.
const CONNECT_MAX: Duration = Duration::from_secs(30);

/// Processor time, memory and bytes of one process against the number of its peers.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Control {
    /// Numbers of peers.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 50, 200])]
    peers: Vec<usize>,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Interval between heartbeats, milliseconds.
    #[arg(long, default_value_t = 1000)]
    heartbeat_ms: u64,
}

/// Figures with one number of peers.
#[derive(Debug, Clone, Copy)]
struct Figures {
    peers: f64,
    cpu_percent: f64,
    resident: f64,
    bytes_per_second: f64,
}

/// A peer that only sends heartbeats.
struct Quiet {
    role: Role,
    service: &'static str,
    open: AtomicUsize,
    sessions: Mutex<Vec<Session>>,
}

impl Handler for Quiet {
    fn beat(&self, _peer: &Hello) -> Beat {
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

    fn heard(&self, _session: &Session, _beat: &Beat) {}

    async fn answer(
        self: Arc<Self>,
        _session: Session,
        _ask: ask::Kind,
        _writer: Writer,
        _rest: RecvStream,
    ) {
    }

    fn changed(&self, session: &Session, open: bool) {
        if open {
            self.open.fetch_add(1, Ordering::Relaxed);
            self.sessions
                .lock()
                .expect("no panic holds the lock")
                .push(session.clone());
        }
    }

    fn nonsense(&self, _peer: &str, _what: &str) {}
}

impl Control {
    /// Measures both processes.
    pub async fn run(&self) -> Result<()> {
        for role in ["entry", "agent"] {
            let mut all = Vec::new();
            for peers in &self.peers {
                let figures = self.once(role, *peers).await?;
                println!(
                    "role={role} peers={peers} cpu_percent={:.2} resident_mb={:.1} bytes_per_second={:.0}",
                    figures.cpu_percent,
                    figures.resident / 1e6,
                    figures.bytes_per_second
                );
                all.push(figures);
            }
            let (cpu, cpu_base) = fit(&all, |f| f.cpu_percent);
            let (resident, resident_base) = fit(&all, |f| f.resident);
            let (bytes, _) = fit(&all, |f| f.bytes_per_second);
            println!(
                "result scenario=control role={role} heartbeat_ms={} cpu_percent_per_peer={cpu:.4} \
                 cpu_percent_base={cpu_base:.2} resident_kb_per_peer={:.1} resident_mb_base={:.1} \
                 bytes_per_second_per_peer={bytes:.0}",
                self.heartbeat_ms,
                resident / 1e3,
                resident_base / 1e6
            );
        }
        Ok(())
    }

    fn timing(&self) -> Timing {
        Timing {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            silent: Duration::from_millis(self.heartbeat_ms * 6),
            drain: Duration::from_secs(1),
            call: Duration::from_secs(1),
        }
    }

    async fn once(&self, role: &str, peers: usize) -> Result<Figures> {
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
        let list = hosts.serve(any_port()).await?;
        let store = Store::new(1).serve(any_port()).await?;
        let engine = Engine::new(&Manifests::default(), Behaviour::default())
            .serve(any_port())
            .await?;
        let subject = free_udp();
        let special = match role {
            "entry" => format!(
                "\"log\": \"{}\", \"hosts\": \"{}\"",
                log.address(),
                list.address()
            ),
            _ => format!(
                r#""store": "{}", "backend": {{ "address": "{}", "kind": "engine",
                   "service": "drafting", "checks_fencing": true }}"#,
                store.address(),
                engine.address()
            ),
        };
        let file = self.settings(&folder, role, subject, &special)?;
        let mut child = start(role, &file)?;
        let quiet = Arc::new(Quiet {
            role: if role == "entry" {
                Role::Agent
            } else {
                Role::Entry
            },
            service: "drafting",
            open: AtomicUsize::new(0),
            sessions: Mutex::default(),
        });
        time::sleep(Duration::from_millis(500)).await;
        let (nodes, links) = self
            .connect(&authority, &quiet, &hosts, subject, peers)
            .await?;
        let figures = self.sample(child.id(), &quiet, peers).await;
        child.kill()?;
        child.wait()?;
        drop(links);
        for node in nodes {
            node.close().await;
        }
        let _ = fs::remove_dir_all(&folder);
        figures
    }

    fn settings(
        &self,
        folder: &Path,
        role: &str,
        peer: SocketAddr,
        special: &str,
    ) -> Result<PathBuf> {
        let http = match role {
            "entry" => format!("\"http\": \"{}\",", free_tcp()),
            _ => String::new(),
        };
        let json = format!(
            r#"{{ "host": "subject", "data_centre": "khomas-a", "region": "khomas",
            "listen": {{ {http} "peer": "{peer}", "admin": "{}" }},
            "tls": {{ "authority": "authority.pem", "certificate": "subject.pem", "key": "subject.key" }},
            "operators": [{{ "name": "o", "key": "{}" }}],
            "timing": {{ "heartbeat_ms": {}, "silent_ms": {} }}, "log_level": "error", {special} }}"#,
            free_tcp(),
            "00".repeat(32),
            self.heartbeat_ms,
            self.heartbeat_ms * 6
        );
        let file = folder.join("subject.jsonc");
        fs::write(&file, json)?;
        Ok(file)
    }

    /// Starts the peers: agents that the entry host dials, or entry hosts that dial the agent.
    async fn connect(
        &self,
        authority: &Authority,
        quiet: &Arc<Quiet>,
        hosts: &Hosts,
        subject: SocketAddr,
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
            let identity = Identity::new(place, quiet.role);
            let address = free_udp();
            let node = Node::bind(address, identity, &tls, self.timing(), direct_runtime())?;
            if quiet.role == Role::Agent {
                tokio::spawn(link::accept(node.clone(), Arc::clone(quiet)));
                hosts.set(Line {
                    host,
                    role: "agent".to_owned(),
                    data_centre: "khomas-a".to_owned(),
                    region: "khomas".to_owned(),
                    address: address.to_string(),
                    service: "drafting".to_owned(),
                    state: "live".to_owned(),
                });
            } else {
                let handler = Arc::clone(quiet);
                links.push(Link::open(node.clone(), subject, "subject".into(), handler));
            }
            nodes.push(node);
        }
        let began = std::time::Instant::now();
        while quiet.open.load(Ordering::Relaxed) < peers {
            ensure!(began.elapsed() < CONNECT_MAX, "not all peers are connected");
            time::sleep(Duration::from_millis(50)).await;
        }
        time::sleep(Duration::from_secs(2)).await;
        Ok((nodes, links))
    }

    async fn sample(&self, pid: u32, quiet: &Quiet, peers: usize) -> Result<Figures> {
        let bytes = || {
            let sessions = quiet.sessions.lock().expect("no panic holds the lock");
            let sums = sessions.iter().map(|s| s.bytes().0 + s.bytes().1);
            sums.sum::<u64>()
        };
        let (cpu, sent) = (sample::cpu_of(&pid.to_string()), bytes());
        time::sleep(Duration::from_secs(self.seconds)).await;
        let spent = (sample::cpu_of(&pid.to_string()) - cpu).as_secs_f64();
        Ok(Figures {
            peers: peers as f64,
            cpu_percent: 100.0 * spent / self.seconds as f64,
            resident: sample::resident_of(&pid.to_string()) as f64,
            bytes_per_second: (bytes() - sent) as f64 / self.seconds as f64,
        })
    }
}

/// Starts one of the built binaries.
fn start(role: &str, settings: &Path) -> Result<Child> {
    let own = std::env::current_exe()?;
    let folder = own
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
        .wrap_err("could not start the binary; build it first with the same profile")
}

/// Slope and base of the line that fits best.
fn fit(all: &[Figures], value: impl Fn(&Figures) -> f64) -> (f64, f64) {
    let count = all.len() as f64;
    let mean_x = all.iter().map(|f| f.peers).sum::<f64>() / count;
    let mean_y = all.iter().map(&value).sum::<f64>() / count;
    let spread: f64 = all.iter().map(|f| (f.peers - mean_x).powi(2)).sum();
    let shared: f64 = all
        .iter()
        .map(|f| (f.peers - mean_x) * (value(f) - mean_y))
        .sum();
    let slope = if spread > 0.0 { shared / spread } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}
