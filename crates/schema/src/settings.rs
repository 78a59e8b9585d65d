//! Validated settings of both processes, read from JSON with comments.
//!
//! Unknown fields, wrong types, values out of range, malformed keys and conflicting addresses are
//! errors, which name the file, the path of the field and the reason.

mod check;

use {
    crate::raw,
    check::Validator,
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

/// Error of reading or validating settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the settings file.
    pub file: Box<str>,
    /// Path of the field; empty if the error concerns the whole file.
    pub field: Box<str>,
    /// Description of the error.
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

/// Name and location of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Name of the host.
    pub host: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Region of the data centre.
    pub region: Box<str>,
}

/// Addresses that a process listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// TCP address for callers; set only on entry hosts.
    pub http: Option<SocketAddr>,
    /// UDP address for other processes.
    pub peer: SocketAddr,
    /// TCP address for health, metrics and the state dump.
    pub admin: SocketAddr,
}

/// PEM files for mutual TLS between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate of the authority that issues the certificates of all hosts.
    pub authority: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// Operator whose signatures on configuration changes are accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: Box<str>,
    /// Ed25519 public key.
    pub key: [u8; PUBLIC_KEY_BYTES],
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats on a connection.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a connection is replaced by a new one.
    pub silence_timeout: Duration,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub drain_timeout: Duration,
    /// Timeout of one call to the platform or to the control interface of a backend server.
    pub call_timeout: Duration,
}

/// Limits of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of the request headers, bytes.
    pub max_header_bytes: usize,
    /// Maximum number of requests waiting for a backend server.
    pub max_queued: usize,
    /// Maximum number of requests in flight through the host.
    pub max_in_flight: usize,
    /// Deadline of a request that specifies none.
    pub default_deadline: Duration,
    /// Time within which a caller must send its headers, and again its body.
    pub read_timeout: Duration,
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engine that loads versions of weights when ordered to.
    Engine,
    /// Server of a service without weights.
    Plain,
}

/// Backend server that an agent manages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub kind: Kind,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Whether it rejects load orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Maximum number of concurrent requests when warm.
    pub concurrency: usize,
    /// Maximum number of concurrent requests during a cold start.
    pub cold_concurrency: usize,
    /// Time from a cold start until the server is warm.
    pub warm_up: Duration,
}

/// Weight distribution settings of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Maximum size of the chunks kept in memory, bytes.
    pub memory_bytes: usize,
    /// Maximum number of concurrent uploads.
    pub max_uploads: usize,
    /// Maximum number of concurrent chunk downloads.
    pub max_downloads: usize,
    /// Time after which a chunk is requested from another host that holds it.
    pub holder_timeout: Duration,
}

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name and location of the host.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Files for mutual TLS.
    pub tls: Tls,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the service that lists the hosts.
    pub hosts: SocketAddr,
    /// Operators whose signatures are accepted.
    pub operators: Vec<Operator>,
    /// Limits on callers and requests.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Log level: error, warn, info, debug or trace.
    pub log_level: Box<str>,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Name and location of the host.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Files for mutual TLS.
    pub tls: Tls,
    /// Backend server of this host.
    pub backend: Backend,
    /// Address of the weight store; may be absent for a plain service.
    pub store: Option<SocketAddr>,
    /// Operators whose signatures are accepted.
    pub operators: Vec<Operator>,
    /// Weight distribution settings.
    pub spread: Spread,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Log level: error, warn, info, debug or trace.
    pub log_level: Box<str>,
}

/// Reads and validates the settings file of an entry host.
pub fn read_entry(path: &Path) -> Result<Entry, Error> {
    let text = read_file(path)?;
    parse_entry(&text, path)
}

/// Reads and validates the settings file of an agent.
pub fn read_agent(path: &Path) -> Result<Agent, Error> {
    let text = read_file(path)?;
    parse_agent(&text, path)
}

/// Parses and validates the settings of an entry host; errors name `path` as the file.
pub fn parse_entry(text: &str, path: &Path) -> Result<Entry, Error> {
    let raw: raw::Entry = decode(text, path)?;
    let validator = Validator { path };
    let listen = validator.listen(raw.listen.as_ref(), true)?;
    let log = validator.address("log", &raw.log)?;
    let hosts = validator.address("hosts", &raw.hosts)?;
    Ok(Entry {
        place: validator.place(&raw.host, &raw.data_centre, &raw.region)?,
        listen,
        tls: validator.tls(raw.tls.as_ref())?,
        log,
        hosts,
        operators: validator.operators(&raw.operators)?,
        limits: validator.limits(&raw.limits.unwrap_or_default())?,
        timing: validator.timing(&raw.timing.unwrap_or_default())?,
        log_level: validator.log_level(&raw.log_level)?,
    })
}

/// Parses and validates the settings of an agent; errors name `path` as the file.
pub fn parse_agent(text: &str, path: &Path) -> Result<Agent, Error> {
    let raw: raw::Agent = decode(text, path)?;
    let validator = Validator { path };
    let backend = validator.backend(raw.backend.as_ref())?;
    let store = match (raw.store.as_str(), backend.kind) {
        ("", Kind::Plain) => None,
        (store, _) => Some(validator.address("store", store)?),
    };
    let listen = validator.listen(raw.listen.as_ref(), false)?;
    if listen.admin == backend.address {
        return Err(validator.error("listen.admin", "is the same as backend.address"));
    }
    Ok(Agent {
        place: validator.place(&raw.host, &raw.data_centre, &raw.region)?,
        listen,
        tls: validator.tls(raw.tls.as_ref())?,
        backend,
        store,
        operators: validator.operators(&raw.operators)?,
        spread: validator.spread(&raw.spread.unwrap_or_default())?,
        timing: validator.timing(&raw.timing.unwrap_or_default())?,
        log_level: validator.log_level(&raw.log_level)?,
    })
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error {
        file: path.display().to_string().into(),
        field: "".into(),
        reason: error.to_string().into(),
    })
}

/// Decodes JSON with comments; errors name `path` as the file and the path of the field.
pub fn decode<T: serde::de::DeserializeOwned>(text: &str, path: &Path) -> Result<T, Error> {
    let decode_error = |field: String, reason: String| Error {
        file: path.display().to_string().into(),
        field: field.into(),
        reason: reason.into(),
    };
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| decode_error(String::new(), error.to_string()))?;
    let Some(value) = value else {
        return Err(decode_error(String::new(), "is empty".into()));
    };
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = match error.path().to_string() {
            path if path == "." => String::new(),
            path => path,
        };
        decode_error(field, error.into_inner().to_string())
    })
}
