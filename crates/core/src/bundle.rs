//! Checked form of a versioned bundle.

use {
    crate::id::{
        ChunkHash, DataCentre, Host, Organisation, Region, Service as ServiceName, Version,
    },
    jayspread_schema::config as proto,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Smallest chunk size, bytes.
pub const MIN_CHUNK_BYTES: u32 = 1024;
/// Largest chunk size, bytes.
pub const MAX_CHUNK_BYTES: u32 = 16 * 1024 * 1024;
/// Length of one chunk hash, bytes.
pub const HASH_BYTES: usize = 32;
/// Longest name in a bundle, bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error of checking a bundle: field path and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the field.
    pub field: Box<str>,
    /// What is wrong.
    pub reason: Box<str>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for Error {}

fn error(field: impl Into<Box<str>>, reason: impl Into<Box<str>>) -> Error {
    Error {
        field: field.into(),
        reason: reason.into(),
    }
}

/// Account standing of an organisation.
///
/// Standing weighs an organisation's share under contention; it never takes away its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Pays on time.
    Good,
    /// Pays late.
    Late,
    /// Has unpaid accounts.
    Unpaid,
}

impl Standing {
    /// Percentage of its weight that an organisation of this standing has under contention.
    pub fn weight_percent(self) -> u32 {
        match self {
            Standing::Good => 100,
            Standing::Late => 70,
            Standing::Unpaid => 50,
        }
    }
}

/// Kind of an artifact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Base model weights.
    Weights,
    /// An adapter over base weights.
    Adapter,
}

/// Weights or an adapter, cut into chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Artifact {
    /// Name of the artifact.
    pub name: Box<str>,
    /// Kind of the artifact.
    pub kind: Kind,
    /// Size, bytes.
    pub size: u64,
    /// Chunk size, bytes; the last chunk may be shorter.
    pub chunk_bytes: u32,
    /// Hash of each chunk, in order.
    pub chunks: Vec<ChunkHash>,
}

impl Artifact {
    /// Offset and length of the chunk at `index`, bytes.
    pub fn chunk_range(&self, index: usize) -> (u64, u32) {
        let offset = index as u64 * u64::from(self.chunk_bytes);
        assert!(offset < self.size, "chunk index beyond the artifact");
        let length = (self.size - offset).min(self.chunk_bytes.into());
        (offset, length as u32)
    }
}

/// A service and what its backend servers load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Names of the artifacts loaded together.
    pub artifacts: Vec<Box<str>>,
    /// Path prefixes whose requests may be repeated.
    pub repeatable: Vec<Box<str>>,
    /// Smallest share of backend servers serving in each data centre, percent.
    pub floor_percent: u32,
}

impl Service {
    /// Whether requests to `path` may be repeated; undeclared paths may not.
    pub fn is_repeatable(&self, path: &str) -> bool {
        self.repeatable.iter().any(|prefix| covers(prefix, path))
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// An organisation's standing and weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Account {
    /// Account standing.
    pub standing: Standing,
    /// Share of capacity under contention, at least 1.
    pub weight: u32,
}

/// A checked bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// Version name.
    pub version: Version,
    /// Artifacts by name.
    pub artifacts: BTreeMap<Box<str>, Artifact>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Organisations by name.
    pub organisations: BTreeMap<Organisation, Account>,
    /// Region of each data centre.
    pub data_centres: BTreeMap<DataCentre, Region>,
    /// Region of the weight store's origin.
    pub origin_region: Region,
}

/// One chunk of a version: where its bytes belong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// Artifact name.
    pub artifact: Box<str>,
    /// Offset in the artifact, bytes.
    pub offset: u64,
    /// Length, bytes.
    pub length: u32,
    /// Hash of the bytes.
    pub hash: ChunkHash,
}

impl Bundle {
    /// Checks a decoded bundle.
    pub fn check(raw: &proto::Bundle) -> Result<Self, Error> {
        let version = check_name("version", &raw.version)?;
        let artifacts = unique("artifacts", &raw.artifacts, |a| &a.name, artifact)?;
        let services = unique("services", &raw.services, |s| &s.name, service)?;
        let organisations = unique("organisations", &raw.organisations, |o| &o.name, account)?;
        let data_centres = unique("data_centres", &raw.data_centres, |d| &d.name, region)?;
        for (service, body) in &services {
            for (index, wanted) in body.artifacts.iter().enumerate() {
                if !artifacts.contains_key(wanted) {
                    let field = format!("services.{service}.artifacts[{index}]");
                    return Err(error(field, format!("unknown artifact '{wanted}'")));
                }
            }
        }
        if data_centres.is_empty() {
            return Err(error("data_centres", "must name at least one data centre"));
        }
        let origin_region = check_name("origin_region", &raw.origin_region)?;
        Ok(Self {
            version,
            artifacts,
            services,
            organisations,
            data_centres,
            origin_region,
        })
    }

    /// Pieces that a backend server of `service` loads, in artifact and offset order.
    pub fn pieces(&self, service: &str) -> Vec<Piece> {
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        let names: BTreeSet<_> = service.artifacts.iter().collect();
        let mut pieces = Vec::new();
        for artifact in names
            .into_iter()
            .filter_map(|name| self.artifacts.get(name))
        {
            for (index, hash) in artifact.chunks.iter().enumerate() {
                let (offset, length) = artifact.chunk_range(index);
                pieces.push(Piece {
                    artifact: artifact.name.clone(),
                    offset,
                    length,
                    hash: *hash,
                });
            }
        }
        pieces
    }

    /// Names of the services that share the weights of `service`, itself included.
    pub fn services_sharing_weights(&self, service: &str) -> BTreeSet<ServiceName> {
        let Some(wanted) = self.services.get(service) else {
            return BTreeSet::new();
        };
        let same = |other: &Service| other.artifacts == wanted.artifacts;
        self.services
            .iter()
            .filter(|(_, other)| same(other))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Digest of what a backend server of `service` loads; equal digests need no new load.
    pub fn content_digest(&self, service: &str) -> ChunkHash {
        let mut hasher = blake3::Hasher::new();
        for piece in self.pieces(service) {
            hasher.update(&(piece.artifact.len() as u64).to_le_bytes());
            hasher.update(piece.artifact.as_bytes());
            hasher.update(&piece.offset.to_le_bytes());
            hasher.update(&piece.hash);
        }
        *hasher.finalize().as_bytes()
    }
}

/// Checks a name: not empty, short, and of letters, digits, '-', '_' and '.'.
pub fn check_name(field: &str, value: &str) -> Result<Host, Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() {
        return Err(error(field, "is required"));
    }
    if value.len() > MAX_NAME_BYTES {
        return Err(error(
            field,
            format!("is longer than {MAX_NAME_BYTES} bytes"),
        ));
    }
    if !value.chars().all(allowed) {
        return Err(error(
            field,
            "may hold letters, digits, '-', '_' and '.' only",
        ));
    }
    Ok(value.into())
}

fn unique<T, U>(
    field: &str,
    items: &[T],
    named: impl Fn(&T) -> &str,
    check: impl Fn(&str, &T) -> Result<U, Error>,
) -> Result<BTreeMap<Box<str>, U>, Error> {
    let mut checked = BTreeMap::new();
    for (index, item) in items.iter().enumerate() {
        let path = format!("{field}[{index}]");
        let name = check_name(&format!("{path}.name"), named(item))?;
        let value = check(&path, item)?;
        if checked.insert(name, value).is_some() {
            return Err(error(format!("{path}.name"), "is named twice"));
        }
    }
    Ok(checked)
}

fn artifact(field: &str, raw: &proto::Artifact) -> Result<Artifact, Error> {
    let kind = match raw.kind.as_str() {
        "weights" => Kind::Weights,
        "adapter" => Kind::Adapter,
        other => {
            let reason = format!("'{other}' is neither 'weights' nor 'adapter'");
            return Err(error(format!("{field}.kind"), reason));
        }
    };
    if raw.size == 0 {
        return Err(error(format!("{field}.size"), "must be at least 1"));
    }
    if !(MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&raw.chunk_bytes) {
        let reason = format!("must be from {MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES}");
        return Err(error(format!("{field}.chunk_bytes"), reason));
    }
    let count = raw.size.div_ceil(raw.chunk_bytes.into());
    let (hashes, rest) = raw.chunks.as_chunks::<HASH_BYTES>();
    if !rest.is_empty() || hashes.len() as u64 != count {
        let reason = format!("must hold {count} hashes of {HASH_BYTES} bytes");
        return Err(error(format!("{field}.chunks"), reason));
    }
    Ok(Artifact {
        name: raw.name.as_str().into(),
        kind,
        size: raw.size,
        chunk_bytes: raw.chunk_bytes,
        chunks: hashes.to_vec(),
    })
}

fn service(field: &str, raw: &proto::Service) -> Result<Service, Error> {
    if raw.floor_percent >= 100 {
        return Err(error(format!("{field}.floor_percent"), "must be below 100"));
    }
    for (index, prefix) in raw.repeatable.iter().enumerate() {
        if !prefix.starts_with('/') {
            return Err(error(
                format!("{field}.repeatable[{index}]"),
                "must start with '/'",
            ));
        }
    }
    Ok(Service {
        artifacts: texts(&raw.artifacts),
        repeatable: texts(&raw.repeatable),
        floor_percent: raw.floor_percent,
    })
}

fn texts(raw: &[String]) -> Vec<Box<str>> {
    raw.iter().map(|text| text.as_str().into()).collect()
}

fn account(field: &str, raw: &proto::Organisation) -> Result<Account, Error> {
    let standing = match raw.standing.as_str() {
        "good" => Standing::Good,
        "late" => Standing::Late,
        "unpaid" => Standing::Unpaid,
        other => {
            let reason = format!("'{other}' is not 'good', 'late' or 'unpaid'");
            return Err(error(format!("{field}.standing"), reason));
        }
    };
    if !(1..=1_000_000).contains(&raw.weight) {
        return Err(error(
            format!("{field}.weight"),
            "must be from 1 to 1000000",
        ));
    }
    Ok(Account {
        standing,
        weight: raw.weight,
    })
}

fn region(field: &str, raw: &proto::DataCentre) -> Result<Region, Error> {
    check_name(&format!("{field}.region"), &raw.region)
}
