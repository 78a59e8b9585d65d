//! Tests of bundle validation, signed changes, checkpoints and claims on idempotency keys.

use {
    ed25519_dalek::SigningKey,
    jayspread_core::{
        bundle::Bundle,
        claim::{KEY_RETENTION, KeyState, Ledger},
        config::{Rejection, Replica, sign},
    },
    jayspread_schema::config::{
        Accepted, Artifact, Batch, Bundle as RawBundle, Change, Checkpoint, Claim, DataCentre,
        Organisation, Outcome, Service, Signed, Void, change::Kind,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    prost::Message,
    rstest::rstest,
};

fn operator_key() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

fn replica() -> Replica {
    Replica::new([operator_key().verifying_key().to_bytes()])
}

fn valid_bundle(version: &str) -> RawBundle {
    RawBundle {
        version: version.to_owned(),
        artifacts: vec![Artifact {
            name: "base".to_owned(),
            kind: "weights".to_owned(),
            size: 1500,
            chunk_bytes: 1024,
            chunks: vec![0; 64].into(),
        }],
        services: vec![Service {
            name: "drafting".to_owned(),
            artifacts: vec!["base".to_owned()],
            repeatable: vec!["/generate".to_owned()],
            floor_percent: 50,
        }],
        organisations: vec![Organisation {
            name: "small".to_owned(),
            standing: "late".to_owned(),
            weight: 1,
        }],
        data_centres: vec![DataCentre {
            name: "khomas-a".to_owned(),
            region: "khomas".to_owned(),
        }],
        origin_region: "khomas".to_owned(),
    }
}

fn change(base: u64, kind: Kind) -> Change {
    Change {
        id: vec![base as u8; 16].into(),
        base,
        operator: "operator".to_owned(),
        signed_at_ms: 0,
        kind: Some(kind),
    }
}

fn roll(base: u64, version: &str) -> Signed {
    sign(
        &change(base, Kind::Roll(valid_bundle(version))),
        &operator_key(),
    )
}

#[rstest]
#[case::version(|b: &mut RawBundle| b.version.clear(), "version: is required")]
#[case::kind(|b: &mut RawBundle| b.artifacts[0].kind = "x".into(), "artifacts[0].kind: 'x' is neither")]
#[case::size(|b: &mut RawBundle| b.artifacts[0].size = 0, "artifacts[0].size: must be at least 1")]
#[case::chunks(|b: &mut RawBundle| b.artifacts[0].chunks = vec![0; 33].into(), "artifacts[0].chunks")]
#[case::chunk_bytes(|b: &mut RawBundle| b.artifacts[0].chunk_bytes = 1, "artifacts[0].chunk_bytes")]
#[case::unknown_artifact(|b: &mut RawBundle| b.services[0].artifacts[0] = "y".into(), "unknown artifact 'y'")]
#[case::floor(|b: &mut RawBundle| b.services[0].floor_percent = 100, "must be below 100")]
#[case::prefix(|b: &mut RawBundle| b.services[0].repeatable[0] = "g".into(), "must start with '/'")]
#[case::standing(|b: &mut RawBundle| b.organisations[0].standing = "z".into(), "standing: 'z'")]
#[case::weight(|b: &mut RawBundle| b.organisations[0].weight = 0, "weight: must be from 1")]
#[case::no_data_centre(|b: &mut RawBundle| b.data_centres.clear(), "at least one data centre")]
#[case::duplicate_name(|b: &mut RawBundle| { let d = b.data_centres[0].clone(); b.data_centres.push(d) }, "twice")]
fn rejects_invalid_bundle(#[case] corrupt: fn(&mut RawBundle), #[case] reason: &str) {
    let mut bundle = valid_bundle("v1");
    corrupt(&mut bundle);
    let error = Bundle::check(&bundle)
        .expect_err("the bundle is invalid")
        .to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn accepts_only_the_first_of_concurrent_changes() {
    let mut replica = replica();
    assert!(replica.apply(&roll(0, "v1")).is_ok());
    let rejected = replica.apply(&roll(0, "v2"));
    assert_eq!(
        rejected,
        Err(Rejection::StaleBase {
            base: 0,
            current: 1
        })
    );
    assert_eq!(
        replica.apply(&roll(0, "v1")),
        Err(Rejection::StaleBase {
            base: 0,
            current: 1
        })
    );
    assert_eq!(replica.revision(), 1);
}

#[test]
fn rejects_unknown_key_and_altered_bytes() {
    let mut replica = replica();
    let unknown_key = SigningKey::from_bytes(&[2; 32]);
    let forged = sign(&change(0, Kind::Roll(valid_bundle("v1"))), &unknown_key);
    assert_eq!(replica.apply(&forged), Err(Rejection::UnknownKey));
    let mut altered = roll(0, "v1");
    let mut bytes = altered.change.to_vec();
    bytes[5] ^= 1;
    altered.change = bytes.into();
    assert_eq!(replica.apply(&altered), Err(Rejection::BadSignature));
    assert_eq!(replica.revision(), 0);
}

#[rstest]
#[case::unknown_data_centre(Kind::DataCentreOut("nowhere".into()), "unknown data centre")]
#[case::unchanged_data_centre(Kind::DataCentreIn("khomas-a".into()), "already in that state")]
#[case::unknown_version(Kind::RollBack("v9".into()), "unknown version")]
#[case::reused_version(Kind::Roll(RawBundle { origin_region: "other".into(), ..valid_bundle("v1") }), "another bundle")]
fn rejects_invalid_change(#[case] kind: Kind, #[case] reason: &str) {
    let mut replica = replica();
    replica
        .apply(&roll(0, "v1"))
        .expect("the first roll-out is valid");
    let rejection = replica
        .apply(&sign(&change(1, kind), &operator_key()))
        .expect_err("the change is invalid")
        .to_string();
    assert!(rejection.contains(reason), "{rejection}");
    assert_eq!(replica.revision(), 1);
}

#[test]
fn checkpoint_restores_the_state_and_is_reproducible() {
    let mut replica = replica();
    for base in 0..40 {
        let kind = match base % 4 {
            0 => Kind::Roll(valid_bundle(&format!("v{base}"))),
            1 => Kind::DataCentreOut("khomas-a".into()),
            2 => Kind::DataCentreIn("khomas-a".into()),
            _ => Kind::RollBack(format!("v{}", (base - 3 - 4 * i64::from(base > 10) as u64))),
        };
        replica
            .apply(&sign(&change(base, kind), &operator_key()))
            .expect("the change is valid");
        let checkpoint = replica.checkpoint();
        let mut restored = self::replica();
        assert!(
            restored
                .apply_checkpoint(&checkpoint)
                .expect("the checkpoint is valid")
        );
        assert_eq!(restored.state(), replica.state());
        assert_eq!(
            restored.checkpoint().encode_to_vec(),
            checkpoint.encode_to_vec()
        );
        assert!(
            !replica
                .apply_checkpoint(&checkpoint)
                .expect("the checkpoint is valid")
        );
    }
}

fn claim(request: &str, at_ms: u64) -> Batch {
    Batch {
        claims: vec![Claim {
            key: vec![9; 32].into(),
            request: request.to_owned(),
            agent: "a".to_owned(),
            incarnation: 1,
            claimed_at_ms: at_ms,
        }],
        ..Batch::default()
    }
}

#[test]
fn first_claim_holds_the_key_until_voided_or_expired() {
    let key = [9; 32];
    let mut ledger = Ledger::default();
    ledger
        .apply(&claim("a", 1))
        .expect("the batch is well-formed");
    ledger
        .apply(&claim("b", 2))
        .expect("the batch is well-formed");
    assert!(ledger.is_held_by(&key, "a") && !ledger.is_held_by(&key, "b"));
    let void = Batch {
        voids: vec![Void {
            key: vec![9; 32].into(),
            request: "a".to_owned(),
        }],
        ..Batch::default()
    };
    ledger.apply(&void).expect("the batch is well-formed");
    assert_eq!(ledger.state(&key), KeyState::Free);
    ledger
        .apply(&claim("b", 3))
        .expect("the batch is well-formed");
    let outcome = Outcome {
        key: vec![9; 32].into(),
        request: "b".to_owned(),
        status: 200,
        ..Outcome::default()
    };
    let outcomes = Batch {
        outcomes: vec![outcome],
        ..Batch::default()
    };
    ledger.apply(&outcomes).expect("the batch is well-formed");
    ledger
        .apply(&void)
        .expect("a void of another request has no effect");
    assert!(matches!(ledger.state(&key), KeyState::Done(_)));
    ledger
        .apply(&claim("c", 3 + KEY_RETENTION.as_millis() as u64))
        .expect("the batch is well-formed");
    assert!(ledger.is_held_by(&key, "c"));
}

/// Guards against a key that a second request takes because the time of the first claim is so large
/// that the end of its retention overflows.
#[test]
fn claim_with_the_largest_time_is_held() {
    let mut ledger = Ledger::default();
    for (request, at_ms) in [("a", u64::MAX), ("b", 1)] {
        ledger
            .apply(&claim(request, at_ms))
            .expect("the batch is well-formed");
    }
    assert!(ledger.is_held_by(&[9; 32], "a"));
    ledger.prune(1);
    assert!(ledger.is_held_by(&[9; 32], "a"));
    assert!(ledger.accepts_clock(u64::MAX) && !ledger.accepts_clock(1));
}

/// Guards against an overflow while a checkpoint or a change is applied whose base is the largest
/// revision.
#[test]
fn change_of_the_largest_revision_is_rejected() {
    let signed = roll(u64::MAX, "v1");
    let checkpoint = Checkpoint {
        revision: u64::MAX,
        changes: vec![Accepted {
            revision: 0,
            signed: Some(signed.clone()),
        }],
        through: 0,
    };
    let mut replica = replica();
    assert!(replica.apply_checkpoint(&checkpoint).is_err());
    let empty = Checkpoint {
        changes: Vec::new(),
        ..checkpoint
    };
    assert_eq!(replica.apply_checkpoint(&empty), Ok(true));
    assert!(replica.apply(&signed).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut replica = replica();
        let signed = Signed {
            change: bytes.clone().into(),
            key: operator_key().verifying_key().to_bytes().to_vec().into(),
            signature: vec![0; 64].into(),
        };
        prop_assert!(replica.apply(&signed).is_err());
        if let Ok(raw) = RawBundle::decode(&bytes[..]) {
            let _ = Bundle::check(&raw);
        }
        prop_assert_eq!(replica.revision(), 0);
    }
}
