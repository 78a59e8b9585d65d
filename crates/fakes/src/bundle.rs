//! Builds bundles, random weights and signed changes for tests and measurements.

use {
    crate::{
        engine::{Manifest, Manifests},
        store::Store,
    },
    bytes::Bytes,
    ed25519_dalek::SigningKey,
    jayspread_core::{bundle::Bundle, config},
    jayspread_schema::config::{
        Artifact, Bundle as RawBundle, Change, DataCentre, Organisation, Record, Service, Signed,
        change::Kind, record,
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Adds random weights of `size` bytes to an origin, in chunks of `chunk_bytes`.
pub fn artifact(store: &Store, name: &str, size: usize, chunk_bytes: usize, seed: u64) -> Artifact {
    artifact_variant(store, name, size, chunk_bytes, seed, |_| false, 0)
}

/// Like [`artifact`], but chunks whose index satisfies `differs` are drawn from `other_seed`.
pub fn artifact_variant(
    store: &Store,
    name: &str,
    size: usize,
    chunk_bytes: usize,
    seed: u64,
    differs: impl Fn(usize) -> bool,
    other_seed: u64,
) -> Artifact {
    let mut hashes = Vec::new();
    for (index, start) in (0..size).step_by(chunk_bytes).enumerate() {
        let base_seed = if differs(index) { other_seed } else { seed };
        let mut rng = StdRng::seed_from_u64(base_seed.wrapping_mul(1_000_003) + index as u64);
        let mut bytes = vec![0; chunk_bytes.min(size - start)];
        rng.fill(&mut bytes[..]);
        hashes.extend_from_slice(&store.add_chunk(Bytes::from(bytes)));
    }
    Artifact {
        name: name.to_owned(),
        kind: "weights".to_owned(),
        size: size as u64,
        chunk_bytes: chunk_bytes as u32,
        chunks: hashes.into(),
    }
}

/// A service. `repeatable` lists path prefixes whose requests may be retried; at least
/// `min_serving_percent` of its backend servers keep serving during a roll-out.
pub fn service(
    name: &str,
    artifacts: &[&str],
    repeatable: &[&str],
    min_serving_percent: u32,
) -> Service {
    let to_strings = |texts: &[&str]| texts.iter().map(|&text| text.to_owned()).collect();
    Service {
        name: name.to_owned(),
        artifacts: to_strings(artifacts),
        repeatable: to_strings(repeatable),
        floor_percent: min_serving_percent,
    }
}

/// A bundle with four organisations of different standing. Data centres are given as pairs of name
/// and region; the origin is in the region of the first.
pub fn bundle(
    version: &str,
    artifacts: Vec<Artifact>,
    services: Vec<Service>,
    data_centres: &[(&str, &str)],
) -> RawBundle {
    let organisation = |name: &str, standing: &str, weight| Organisation {
        name: name.to_owned(),
        standing: standing.to_owned(),
        weight,
    };
    RawBundle {
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

/// Registers the complete manifests of a bundle's services, so that engines detect partial loads.
pub fn register_manifests(manifests: &Manifests, bundle: &RawBundle) {
    let bundle = Bundle::check(bundle).expect("test bundles are valid");
    for service in bundle.services.keys() {
        let pieces = bundle.pieces(service).into_iter();
        let manifest: Manifest = pieces.map(|p| ((p.artifact, p.offset), p.hash)).collect();
        manifests.add(&bundle.version, manifest);
    }
}

/// Signs a change made from revision `base` as the operator named "operator".
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

/// Encodes a signed change as a log record.
pub fn encode_record(signed: Signed) -> Bytes {
    let record = Record {
        kind: Some(record::Kind::Signed(signed)),
    };
    record.encode_to_vec().into()
}
