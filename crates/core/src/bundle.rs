//! Validated form of a bundle: one version of the artifacts, services, organisations and data
//! centres.

use {
    crate::id::{ChunkHash, DataCentre, Organisation, Region, Service as ServiceName, Version},
    jayspread_schema::config as proto,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Smallest permitted chunk size in bytes.
pub const MIN_CHUNK_BYTES: u32 = 1024;
/// Largest permitted chunk size in bytes.
pub const MAX_CHUNK_BYTES: u32 = 16 * 1024 * 1024;
/// Length of one chunk hash in bytes.
pub const HASH_BYTES: usize = 32;
/// Maximum length of a name in a bundle, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Validation error of one bundle field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the field, such as `services[0].floor_percent`.
    pub field: Box<str>,
    /// Violated rule, phrased to follow the path.
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

/// Payment standing of an organisation.
///
/// A poor standing reduces the organisation's share of capacity under contention, but never to
/// zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Pays its invoices on time.
    Good,
    /// Pays its invoices late.
    Late,
    /// Has unpaid invoices.
    Unpaid,
}

impl Standing {
    /// Percentage of the configured weight that counts under contention.
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
    /// Weights of a base model.
    Weights,
    /// Adapter for base model weights.
    Adapter,
}

/// File of weights or of an adapter, divided into chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Artifact {
    /// Name of the artifact.
    pub name: Box<str>,
    /// Kind of the artifact.
    pub kind: Kind,
    /// Size in bytes.
    pub size: u64,
    /// Chunk size in bytes; the last chunk may be shorter.
    pub chunk_bytes: u32,
    /// Hashes of the chunks, by index.
    pub chunks: Vec<ChunkHash>,
}

impl Artifact {
    /// Offset and length in bytes of the chunk at `index`.
    pub fn chunk_range(&self, index: usize) -> (u64, u32) {
        let offset = index as u64 * u64::from(self.chunk_bytes);
        assert!(offset < self.size, "chunk index is out of range");
        let length = (self.size - offset).min(self.chunk_bytes.into());
        (offset, length as u32)
    }
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Names of the artifacts that each backend server of the service loads.
    pub artifacts: Vec<Box<str>>,
    /// Path prefixes whose requests may be executed more than once.
    pub repeatable: Vec<Box<str>>,
    /// Minimum percentage of backend servers that serve in each data centre during a roll-out.
    pub floor_percent: u32,
}

impl Service {
    /// Whether requests to `path` may be executed more than once; `false` for undeclared paths.
    pub fn is_repeatable(&self, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|prefix| matches_prefix(prefix, path))
    }
}

/// Whether `prefix` matches whole segments of `path`, ignoring the query.
fn matches_prefix(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Share of capacity of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Account {
    /// Payment standing.
    pub standing: Standing,
    /// Relative share of capacity under contention, from 1 to 1000000.
    pub weight: u32,
}

/// A validated bundle.
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
    /// Region of the weight store's origin server.
    pub origin_region: Region,
}

/// Location of one chunk in an artifact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// Name of the artifact.
    pub artifact: Box<str>,
    /// Offset in the artifact in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// Hash of the chunk.
    pub hash: ChunkHash,
}

impl Bundle {
    /// Validates a decoded bundle. Fails on the first field that violates a rule.
    pub fn check(raw: &proto::Bundle) -> Result<Self, Error> {
        let version = check_name("version", &raw.version)?;
        let artifacts = unique_by_name("artifacts", &raw.artifacts, |a| &a.name, check_artifact)?;
        let services = unique_by_name("services", &raw.services, |s| &s.name, check_service)?;
        let organisations = unique_by_name(
            "organisations",
            &raw.organisations,
            |o| &o.name,
            check_account,
        )?;
        let data_centres =
            unique_by_name("data_centres", &raw.data_centres, |d| &d.name, check_region)?;
        for (name, service) in &services {
            for (index, artifact) in service.artifacts.iter().enumerate() {
                if !artifacts.contains_key(artifact) {
                    let field = format!("services.{name}.artifacts[{index}]");
                    return Err(error(field, format!("unknown artifact '{artifact}'")));
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

    /// Pieces that a backend server of `service` loads, ordered by artifact name and offset.
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

    /// Names of the services with the same artifacts as `service`, including itself.
    pub fn services_sharing_weights(&self, service: &str) -> BTreeSet<ServiceName> {
        let Some(service) = self.services.get(service) else {
            return BTreeSet::new();
        };
        let same_artifacts = |other: &Service| other.artifacts == service.artifacts;
        self.services
            .iter()
            .filter(|(_, other)| same_artifacts(other))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Digest of the pieces that a backend server of `service` loads. Bundles with equal digests
    /// need no reload.
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

/// Validates a name: 1 to `MAX_NAME_BYTES` ASCII letters, digits, `-`, `_` and `.`. Fails with
/// `field` as the path if the name breaks this rule.
pub fn check_name(field: &str, value: &str) -> Result<Box<str>, Error> {
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
            "may only contain letters, digits, '-', '_' and '.'",
        ));
    }
    Ok(value.into())
}

/// Validates items with unique names and returns them by name.
fn unique_by_name<T, U>(
    field: &str,
    items: &[T],
    item_name: impl Fn(&T) -> &str,
    check: impl Fn(&str, &T) -> Result<U, Error>,
) -> Result<BTreeMap<Box<str>, U>, Error> {
    let mut checked = BTreeMap::new();
    for (index, item) in items.iter().enumerate() {
        let path = format!("{field}[{index}]");
        let name = check_name(&format!("{path}.name"), item_name(item))?;
        let value = check(&path, item)?;
        if checked.insert(name, value).is_some() {
            return Err(error(format!("{path}.name"), "occurs twice"));
        }
    }
    Ok(checked)
}

fn check_artifact(field: &str, raw: &proto::Artifact) -> Result<Artifact, Error> {
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
    let (hashes, remainder) = raw.chunks.as_chunks::<HASH_BYTES>();
    if !remainder.is_empty() || hashes.len() as u64 != count {
        let reason = format!("must contain {count} hashes of {HASH_BYTES} bytes");
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

fn check_service(field: &str, raw: &proto::Service) -> Result<Service, Error> {
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
        artifacts: boxed_strings(&raw.artifacts),
        repeatable: boxed_strings(&raw.repeatable),
        floor_percent: raw.floor_percent,
    })
}

fn boxed_strings(raw: &[String]) -> Vec<Box<str>> {
    raw.iter().map(|value| value.as_str().into()).collect()
}

fn check_account(field: &str, raw: &proto::Organisation) -> Result<Account, Error> {
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

fn check_region(field: &str, raw: &proto::DataCentre) -> Result<Region, Error> {
    check_name(&format!("{field}.region"), &raw.region)
}
