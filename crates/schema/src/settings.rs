//! Checked settings, read from JSON with comments.
//!
//! Reading refuses unknown fields, wrong types, values out of range, unreadable keys and
//! duplicate addresses, and names the file, the path of the field and the reason.

mod check;

use {
    crate::raw,
    check::Check,
    std::{
        fmt, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Bytes in a mebibyte.
pub const MIB: u64 = 1024 * 1024;

/// Length of an Ed25519 public key, bytes.
pub const PUBLIC_KEY_BYTES: usize = 32;

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
    pub key: [u8; PUBLIC_KEY_BYTES],
}

/// Intervals and deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats on a connection.
    pub heartbeat_interval: Duration,
    /// Silence after which a connection is dialled anew.
    pub silence_timeout: Duration,
    /// Longest wait of a planned stop for requests in flight.
    pub drain_timeout: Duration,
    /// Deadline of one call to the platform or to a backend server's control.
    pub call_timeout: Duration,
}

/// Limits of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, bytes.
    pub max_body_bytes: usize,
    /// Largest total of request headers, bytes.
    pub max_header_bytes: usize,
    /// Requests waiting for a backend server.
    pub max_queued: usize,
    /// Requests in flight through the host.
    pub max_in_flight: usize,
    /// Deadline of a request that brings none.
    pub default_deadline: Duration,
    /// Time for a caller to send its headers and body.
    pub read_timeout: Duration,
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
    pub warm_up: Duration,
}

/// Weight distribution settings of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Bytes of chunks kept in memory.
    pub memory_bytes: usize,
    /// Uploads that run at once.
    pub max_uploads: usize,
    /// Chunk requests outstanding at once.
    pub max_downloads: usize,
    /// Time after which the next holder of a chunk is asked.
    pub holder_timeout: Duration,
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
