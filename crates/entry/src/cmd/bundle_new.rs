//! `jayspread bundle new`: creates a bundle and uploads the chunks of its weight files.

use {
    crate::{
        args::BundleNew,
        cmd::{Run, UsageError},
    },
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http::Method,
    jayspread_core::bundle::{Bundle, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES},
    jayspread_net::http::Client,
    jayspread_schema::{
        config::{Artifact, Bundle as Raw, DataCentre, Organisation, Service},
        settings,
    },
    prost::Message,
    serde::Deserialize,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Chunk size where the description gives none.
const DEFAULT_CHUNK_BYTES: u32 = 4 * 1024 * 1024;
/// Longest time for the upload of one chunk.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest response to an upload.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Description of a bundle, JSON with comments.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Description {
    version: String,
    origin_region: String,
    #[serde(default)]
    artifacts: Vec<ArtifactEntry>,
    services: Vec<ServiceEntry>,
    #[serde(default)]
    organisations: Vec<OrganisationEntry>,
    data_centres: Vec<DataCentreEntry>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ArtifactEntry {
    name: String,
    /// "weights" or "adapter".
    kind: String,
    /// Path of the content, relative to the description's folder.
    file: PathBuf,
    /// Chunk size in bytes; 0 selects the default.
    #[serde(default)]
    chunk_bytes: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceEntry {
    name: String,
    #[serde(default)]
    artifacts: Vec<String>,
    #[serde(default)]
    repeatable: Vec<String>,
    #[serde(default)]
    floor_percent: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrganisationEntry {
    name: String,
    standing: String,
    weight: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DataCentreEntry {
    name: String,
    region: String,
}

impl Run for BundleNew {
    async fn run(&self) -> Result<()> {
        let path = &self.description;
        let text = fs::read_to_string(path)
            .map_err(|cause| UsageError(format!("{}: {cause}", path.display()).into()))?;
        let description: Description =
            settings::decode(&text, path).map_err(|cause| UsageError(cause.to_string().into()))?;
        let store = self
            .store
            .map(|address| Client::new(address, UPLOAD_TIMEOUT));
        let base_folder = path.parent().unwrap_or(Path::new(""));
        let mut artifacts = Vec::new();
        for (index, artifact) in description.artifacts.iter().enumerate() {
            artifacts
                .push(build_artifact(artifact, index, base_folder, path, store.as_ref()).await?);
        }
        let raw = raw_bundle(description, artifacts);
        let bundle = Bundle::check(&raw)
            .map_err(|cause| UsageError(format!("{}: {cause}", path.display()).into()))?;
        fs::write(&self.output, raw.encode_to_vec())
            .wrap_err_with(|| format!("could not write {}", self.output.display()))?;
        let chunks: usize = bundle.artifacts.values().map(|a| a.chunks.len()).sum();
        println!("bundle version={} chunks={chunks}", bundle.version);
        Ok(())
    }
}

/// Reads a weight file, hashes its chunks and uploads them if a store is given.
async fn build_artifact(
    artifact: &ArtifactEntry,
    index: usize,
    base_folder: &Path,
    description: &Path,
    store: Option<&Client>,
) -> Result<Artifact> {
    let file = base_folder.join(&artifact.file);
    let usage_error = |field: &str, reason: String| {
        let name = description.display();
        UsageError(format!("{name}: artifacts[{index}].{field}: {reason}").into())
    };
    let bytes = fs::read(&file)
        .map_err(|cause| usage_error("file", format!("{}: {cause}", file.display())))?;
    let chunk_bytes = match artifact.chunk_bytes {
        0 => DEFAULT_CHUNK_BYTES,
        size => size,
    };
    if !(MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&chunk_bytes) {
        let reason = format!("must be from {MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES}");
        return Err(usage_error("chunk_bytes", reason).into());
    }
    let bytes = Bytes::from(bytes);
    let mut hashes = Vec::new();
    let mut start = 0;
    while start < bytes.len() {
        let end = bytes.len().min(start + chunk_bytes as usize);
        let chunk = bytes.slice(start..end);
        let hash = blake3::hash(&chunk);
        hashes.extend_from_slice(hash.as_bytes());
        if let Some(store) = store {
            let path = format!("/chunks/{}", hash.to_hex());
            let upload = store.fetch(Method::PUT, &path, chunk, MAX_RESPONSE_BYTES);
            upload.await.wrap_err("could not upload a chunk")?;
        }
        start = end;
    }
    Ok(Artifact {
        name: artifact.name.clone(),
        kind: artifact.kind.clone(),
        size: bytes.len() as u64,
        chunk_bytes,
        chunks: hashes.into(),
    })
}

fn raw_bundle(description: Description, artifacts: Vec<Artifact>) -> Raw {
    let services = description.services.into_iter().map(|entry| Service {
        name: entry.name,
        artifacts: entry.artifacts,
        repeatable: entry.repeatable,
        floor_percent: entry.floor_percent,
    });
    let organisations = description
        .organisations
        .into_iter()
        .map(|entry| Organisation {
            name: entry.name,
            standing: entry.standing,
            weight: entry.weight,
        });
    let data_centres = description
        .data_centres
        .into_iter()
        .map(|entry| DataCentre {
            name: entry.name,
            region: entry.region,
        });
    Raw {
        version: description.version,
        artifacts,
        services: services.collect(),
        organisations: organisations.collect(),
        data_centres: data_centres.collect(),
        origin_region: description.origin_region,
    }
}
