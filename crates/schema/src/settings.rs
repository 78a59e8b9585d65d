//! Checked settings, read from JSON with comments.
//!
//! Reading refuses unknown fields, wrong types, values out of range, unreadable keys and
//! duplicate addresses, and names the file, the path of the field and the reason.

use {
    crate::raw,
    std::{
        collections::BTreeSet,
        fmt, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Bytes in a mebibyte.
pub const MIB: u64 = 1024 * 1024;

/// Length of an Ed25519 public key, bytes.
pub const KEY_BYTES: usize = 32;

/// Error of reading settings: file, field path and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// File that was read.
    pub file: Box<str>,
    /// Path of the field, empty when the file as a whole is at fault.
    pub field: Box<str>,
    /// What is wrong.
    pub reason: Box<str>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            write!(f, "{}: {}", self.file, self.reason)
        } else {
            write!(f, "{}: {}: {}", self.file, self.field, self.reason)
        }
    }
}

impl std::error::Error for Error {}

/// Identity of a host: its name and place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Name of the host.
    pub host: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Region of the data centre.
    pub region: Box<str>,
}

/// Addresses a process listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// TCP address for callers, on entry hosts.
    pub http: Option<SocketAddr>,
    /// UDP address for other processes.
    pub peer: SocketAddr,
    /// TCP address for health, metrics and the state dump.
    pub admin: SocketAddr,
}

/// PEM files of the mutual TLS between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate authority that signs every host's certificate.
    pub authority: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// One operator whose signatures are accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: Box<str>,
    /// Ed25519 public key.
    pub key: [u8; KEY_BYTES],
}

/// Intervals and deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats on a connection.
    pub heartbeat: Duration,
    /// Silence after which a connection is dialled anew.
    pub silent: Duration,
    /// Longest wait of a planned stop for requests in flight.
    pub drain: Duration,
    /// Deadline of one call to the platform or to a backend server's control.
    pub call: Duration,
}

/// Limits of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Largest total of request headers, bytes.
    pub header_bytes: usize,
    /// Requests waiting for a backend server.
    pub queue: usize,
    /// Requests in flight through the host.
    pub in_flight: usize,
    /// Deadline of a request that brings none.
    pub default_deadline: Duration,
    /// Time for a caller to send its headers and body.
    pub slow_caller: Duration,
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine that loads versions on order.
    Engine,
    /// A service without weights.
    Plain,
}

/// The backend server of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Kind of the backend server.
    pub kind: Kind,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Requests it bears at once when warm.
    pub concurrency: usize,
    /// Requests it bears at once in cold start.
    pub cold_concurrency: usize,
    /// Time from cold to warm.
    pub warm: Duration,
}

/// Weight distribution settings of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Bytes of chunks kept in memory.
    pub memory_bytes: usize,
    /// Uploads that run at once.
    pub uploads: usize,
    /// Chunk requests outstanding at once.
    pub downloads: usize,
    /// Time after which the next holder of a chunk is asked.
    pub takeover: Duration,
}

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identity of the host.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// TLS files.
    pub tls: Tls,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Accepted operators.
    pub operators: Vec<Operator>,
    /// Limits.
    pub limits: Limits,
    /// Intervals.
    pub timing: Timing,
    /// Log level.
    pub log_level: Box<str>,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Identity of the host.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// TLS files.
    pub tls: Tls,
    /// The backend server.
    pub backend: Backend,
    /// Address of the weight store; absent for a plain service.
    pub store: Option<SocketAddr>,
    /// Accepted operators.
    pub operators: Vec<Operator>,
    /// Weight distribution.
    pub spread: Spread,
    /// Intervals.
    pub timing: Timing,
    /// Log level.
    pub log_level: Box<str>,
}

/// Reads and checks the settings of an entry host.
pub fn read_entry(path: &Path) -> Result<Entry, Error> {
    let text = read(path)?;
    parse_entry(&text, path)
}

/// Reads and checks the settings of an agent.
pub fn read_agent(path: &Path) -> Result<Agent, Error> {
    let text = read(path)?;
    parse_agent(&text, path)
}

/// Checks the text of an entry host's settings; `path` names it in errors.
pub fn parse_entry(text: &str, path: &Path) -> Result<Entry, Error> {
    let raw: raw::Entry = decode(text, path)?;
    let check = Check { path };
    let listen = check.listen(raw.listen.as_ref(), true)?;
    let log = check.address("log", &raw.log)?;
    let hosts = check.address("hosts", &raw.hosts)?;
    Ok(Entry {
        place: check.place(&raw.host, &raw.data_centre, &raw.region)?,
        listen,
        tls: check.tls(raw.tls.as_ref())?,
        log,
        hosts,
        operators: check.operators(&raw.operators)?,
        limits: check.limits(&raw.limits.unwrap_or_default())?,
        timing: check.timing(&raw.timing.unwrap_or_default())?,
        log_level: check.level(&raw.log_level)?,
    })
}

/// Checks the text of an agent's settings; `path` names it in errors.
pub fn parse_agent(text: &str, path: &Path) -> Result<Agent, Error> {
    let raw: raw::Agent = decode(text, path)?;
    let check = Check { path };
    let backend = check.backend(raw.backend.as_ref())?;
    let store = match (raw.store.as_str(), backend.kind) {
        ("", Kind::Plain) => None,
        (store, _) => Some(check.address("store", store)?),
    };
    let listen = check.listen(raw.listen.as_ref(), false)?;
    if listen.admin == backend.address {
        return Err(check.error("listen.admin", "is the same as backend.address"));
    }
    Ok(Agent {
        place: check.place(&raw.host, &raw.data_centre, &raw.region)?,
        listen,
        tls: check.tls(raw.tls.as_ref())?,
        backend,
        store,
        operators: check.operators(&raw.operators)?,
        spread: check.spread(&raw.spread.unwrap_or_default())?,
        timing: check.timing(&raw.timing.unwrap_or_default())?,
        log_level: check.level(&raw.log_level)?,
    })
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error {
        file: path.display().to_string().into(),
        field: "".into(),
        reason: error.to_string().into(),
    })
}

/// Decodes JSON with comments; an error names the file and the path of the field.
pub fn decode<T: serde::de::DeserializeOwned>(text: &str, path: &Path) -> Result<T, Error> {
    let fail = |field: String, reason: String| Error {
        file: path.display().to_string().into(),
        field: field.into(),
        reason: reason.into(),
    };
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| fail(String::new(), error.to_string()))?;
    let Some(value) = value else {
        return Err(fail(String::new(), "is empty".into()));
    };
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = match error.path().to_string() {
            root if root == "." => String::new(),
            path => path,
        };
        fail(field, error.into_inner().to_string())
    })
}

/// Checks fields of one file.
struct Check<'a> {
    path: &'a Path,
}

impl Check<'_> {
    fn error(&self, field: &str, reason: impl Into<Box<str>>) -> Error {
        Error {
            file: self.path.display().to_string().into(),
            field: field.into(),
            reason: reason.into(),
        }
    }

    fn text(&self, field: &str, value: &str) -> Result<Box<str>, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        if !value.chars().all(allowed) {
            return Err(self.error(field, "may hold letters, digits, '-' and '.' only"));
        }
        Ok(value.into())
    }

    fn address(&self, field: &str, value: &str) -> Result<SocketAddr, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let address: SocketAddr = value
            .parse()
            .map_err(|_| self.error(field, format!("'{value}' is not ip:port")))?;
        if address.port() == 0 {
            return Err(self.error(field, "port must be at least 1"));
        }
        Ok(address)
    }

    fn range(
        &self,
        field: &str,
        value: u64,
        default: u64,
        range: (u64, u64),
    ) -> Result<u64, Error> {
        let value = if value == 0 { default } else { value };
        if value < range.0 {
            return Err(self.error(field, format!("must be at least {}", range.0)));
        }
        if value > range.1 {
            return Err(self.error(field, format!("must be at most {}", range.1)));
        }
        Ok(value)
    }

    fn millis(
        &self,
        field: &str,
        value: u32,
        default: u64,
        range: (u64, u64),
    ) -> Result<Duration, Error> {
        let value = self.range(field, value.into(), default, range)?;
        Ok(Duration::from_millis(value))
    }

    fn place(&self, host: &str, data_centre: &str, region: &str) -> Result<Place, Error> {
        Ok(Place {
            host: self.text("host", host)?,
            data_centre: self.text("data_centre", data_centre)?,
            region: self.text("region", region)?,
        })
    }

    fn listen(&self, raw: Option<&raw::Listen>, callers: bool) -> Result<Listen, Error> {
        let Some(raw) = raw else {
            return Err(self.error("listen", "is required"));
        };
        let http = match (raw.http.as_str(), callers) {
            (http, true) => Some(self.address("listen.http", http)?),
            ("", false) => None,
            (_, false) => return Err(self.error("listen.http", "is for entry hosts only")),
        };
        let admin = self.address("listen.admin", &raw.admin)?;
        if http == Some(admin) {
            return Err(self.error("listen.admin", "is the same as listen.http"));
        }
        Ok(Listen {
            http,
            peer: self.address("listen.peer", &raw.peer)?,
            admin,
        })
    }

    fn tls(&self, raw: Option<&raw::Tls>) -> Result<Tls, Error> {
        let Some(raw) = raw else {
            return Err(self.error("tls", "is required"));
        };
        Ok(Tls {
            authority: self.file("tls.authority", &raw.authority)?,
            certificate: self.file("tls.certificate", &raw.certificate)?,
            key: self.file("tls.key", &raw.key)?,
        })
    }

    fn file(&self, field: &str, value: &str) -> Result<PathBuf, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let base = self.path.parent().unwrap_or(Path::new(""));
        Ok(base.join(value))
    }

    fn operators(&self, raw: &[raw::Operator]) -> Result<Vec<Operator>, Error> {
        if raw.is_empty() {
            return Err(self.error("operators", "must name at least one operator"));
        }
        let mut names = BTreeSet::new();
        let mut operators = Vec::with_capacity(raw.len());
        for (index, operator) in raw.iter().enumerate() {
            let field = format!("operators[{index}].name");
            let name = self.text(&field, &operator.name)?;
            if !names.insert(name.clone()) {
                return Err(self.error(&field, "is named twice"));
            }
            let field = format!("operators[{index}].key");
            let mut key = [0; KEY_BYTES];
            hex::decode_to_slice(&operator.key, &mut key)
                .map_err(|error| self.error(&field, format!("is not a public key: {error}")))?;
            operators.push(Operator { name, key });
        }
        Ok(operators)
    }

    fn limits(&self, raw: &raw::Limits) -> Result<Limits, Error> {
        let field = |name: &str| format!("limits.{name}");
        let size = |name, value, default, range| -> Result<usize, Error> {
            Ok(self.range(&field(name), value, default, range)? as usize)
        };
        Ok(Limits {
            body_bytes: size("body_bytes", raw.body_bytes, 4 * MIB, (1, 64 * MIB))?,
            header_bytes: size("header_bytes", raw.header_bytes.into(), 16_384, (1024, MIB))?,
            queue: size("queue", raw.queue.into(), 1024, (1, 1_000_000))?,
            in_flight: size("in_flight", raw.in_flight.into(), 4096, (1, 1_000_000))?,
            default_deadline: self.millis(
                "limits.default_deadline_ms",
                raw.default_deadline_ms,
                30_000,
                (10, 3_600_000),
            )?,
            slow_caller: self.millis(
                "limits.slow_caller_ms",
                raw.slow_caller_ms,
                10_000,
                (100, 600_000),
            )?,
        })
    }

    fn timing(&self, raw: &raw::Timing) -> Result<Timing, Error> {
        let heartbeat = self.millis("timing.heartbeat_ms", raw.heartbeat_ms, 500, (10, 60_000))?;
        let silent = self.millis("timing.silent_ms", raw.silent_ms, 2_000, (30, 600_000))?;
        if silent < heartbeat * 2 {
            return Err(self.error("timing.silent_ms", "must be at least twice heartbeat_ms"));
        }
        Ok(Timing {
            heartbeat,
            silent,
            drain: self.millis("timing.drain_ms", raw.drain_ms, 60_000, (100, 3_600_000))?,
            call: self.millis("timing.call_ms", raw.call_ms, 2_000, (10, 60_000))?,
        })
    }

    fn backend(&self, raw: Option<&raw::Backend>) -> Result<Backend, Error> {
        let Some(raw) = raw else {
            return Err(self.error("backend", "is required"));
        };
        let kind = match raw.kind.as_str() {
            "engine" => Kind::Engine,
            "plain" => Kind::Plain,
            other => {
                let reason = format!("'{other}' is neither 'engine' nor 'plain'");
                return Err(self.error("backend.kind", reason));
            }
        };
        let concurrency = self.range(
            "backend.concurrency",
            raw.concurrency.into(),
            16,
            (1, 65_536),
        )?;
        let cold = self.range(
            "backend.cold_concurrency",
            raw.cold_concurrency.into(),
            1,
            (1, concurrency),
        )?;
        Ok(Backend {
            address: self.address("backend.address", &raw.address)?,
            kind,
            service: self.text("backend.service", &raw.service)?,
            checks_fencing: raw.checks_fencing,
            concurrency: concurrency as usize,
            cold_concurrency: cold as usize,
            warm: self.millis("backend.warm_ms", raw.warm_ms, 10_000, (10, 3_600_000))?,
        })
    }

    fn spread(&self, raw: &raw::Spread) -> Result<Spread, Error> {
        let memory = self.range(
            "spread.memory_bytes",
            raw.memory_bytes,
            256 * MIB,
            (MIB, 1 << 40),
        )?;
        let uploads = self.range("spread.uploads", raw.uploads.into(), 16, (1, 1024))?;
        let downloads = self.range("spread.downloads", raw.downloads.into(), 32, (1, 1024))?;
        Ok(Spread {
            memory_bytes: memory as usize,
            uploads: uploads as usize,
            downloads: downloads as usize,
            takeover: self.millis("spread.takeover_ms", raw.takeover_ms, 5_000, (50, 600_000))?,
        })
    }

    fn level(&self, value: &str) -> Result<Box<str>, Error> {
        match value {
            "" => Ok("info".into()),
            "error" | "warn" | "info" | "debug" | "trace" => Ok(value.into()),
            other => {
                let reason = format!("'{other}' is not error, warn, info, debug or trace");
                Err(self.error("log_level", reason))
            }
        }
    }
}
