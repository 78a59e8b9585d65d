//! Bundles and weights for tests and measurements.

use {
    crate::{
        engine::{Manifest, Manifests},
        store::Store,
    },
    bytes::Bytes,
    ed25519_dalek::SigningKey,
    jayspread_core::{bundle::Bundle, config},
    jayspread_schema::config::{
        Artifact, Bundle as Raw, Change, DataCentre, Organisation, Record, Service, Signed,
        change::Kind, record,
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Weights cut into chunks and added to an origin.
pub fn artifact(store: &Store, name: &str, size: usize, chunk: usize, seed: u64) -> Artifact {
    artifact_variant(store, name, size, chunk, seed, |_| false, 0)
}

/// Weights whose chunks chosen by `differs` come from another seed.
pub fn artifact_variant(
    store: &Store,
    name: &str,
    size: usize,
    chunk: usize,
    seed: u64,
    differs: impl Fn(usize) -> bool,
    other: u64,
) -> Artifact {
    let mut hashes = Vec::new();
    for (index, start) in (0..size).step_by(chunk).enumerate() {
        let base = if differs(index) { other } else { seed };
        let mut rng = StdRng::seed_from_u64(base.wrapping_mul(1_000_003) + index as u64);
        let mut bytes = vec![0; chunk.min(size - start)];
        rng.fill(&mut bytes[..]);
        hashes.extend_from_slice(&store.add_chunk(Bytes::from(bytes)));
    }
    Artifact {
        name: name.to_owned(),
        kind: "weights".to_owned(),
        size: size as u64,
        chunk_bytes: chunk as u32,
        chunks: hashes.into(),
    }
}

/// A service and the path prefixes whose requests may be repeated.
pub fn service(name: &str, artifacts: &[&str], repeatable: &[&str], floor: u32) -> Service {
    let texts = |all: &[&str]| all.iter().map(|&t| t.to_owned()).collect();
    Service {
        name: name.to_owned(),
        artifacts: texts(artifacts),
        repeatable: texts(repeatable),
        floor_percent: floor,
    }
}

/// A bundle of these parts with some organisations.
pub fn bundle(
    version: &str,
    artifacts: Vec<Artifact>,
    services: Vec<Service>,
    data_centres: &[(&str, &str)],
) -> Raw {
    let organisation = |name: &str, standing: &str, weight| Organisation {
        name: name.to_owned(),
        standing: standing.to_owned(),
        weight,
    };
    Raw {
        version: version.to_owned(),
        artifacts,
        services,
        organisations: vec![
            organisation("large", "good", 4),
            organisation("small", "good", 1),
            organisation("late", "late", 1),
            organisation("unpaid", "unpaid", 1),
        ],
        data_centres: data_centres
            .iter()
            .map(|(name, region)| DataCentre {
                name: (*name).to_owned(),
                region: (*region).to_owned(),
            })
            .collect(),
        origin_region: data_centres[0].1.to_owned(),
    }
}

/// Tells engines what a whole version is.
pub fn register_manifests(manifests: &Manifests, raw: &Raw) {
    let bundle = Bundle::check(raw).expect("test bundles are sound");
    for service in bundle.services.keys() {
        let pieces = bundle.pieces(service).into_iter();
        let manifest: Manifest = pieces.map(|p| ((p.artifact, p.offset), p.hash)).collect();
        manifests.add(&bundle.version, manifest);
    }
}

/// A change signed by an operator.
pub fn sign_change(key: &SigningKey, base: u64, kind: Kind) -> Signed {
    let change = Change {
        id: Bytes::copy_from_slice(&rand::random::<[u8; 16]>()),
        base,
        operator: "operator".to_owned(),
        signed_at_ms: 0,
        kind: Some(kind),
    };
    config::sign(&change, key)
}

/// Encoded log record of a signed change.
pub fn encode_record(signed: Signed) -> Bytes {
    let record = Record {
        kind: Some(record::Kind::Signed(signed)),
    };
    record.encode_to_vec().into()
}
