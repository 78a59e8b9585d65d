//! Signed changes, checkpoints and claims: what is accepted, refused and remembered.

use {
    ed25519_dalek::SigningKey,
    jayspread_core::{
        bundle::Bundle,
        claim::{KEY_RETENTION, KeyState, Ledger},
        config::{Rejection, Replica, sign},
    },
    jayspread_schema::config::{
        Artifact, Batch, Bundle as Raw, Change, Claim, DataCentre, Organisation, Outcome, Service,
        Signed, Void, change::Kind,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    prost::Message,
    rstest::rstest,
};

fn key() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

fn fold() -> Replica {
    Replica::new([key().verifying_key().to_bytes()])
}

fn raw(version: &str) -> Raw {
    Raw {
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
    sign(&change(base, Kind::Roll(raw(version))), &key())
}

#[rstest]
#[case::version(|b: &mut Raw| b.version.clear(), "version: is required")]
#[case::kind(|b: &mut Raw| b.artifacts[0].kind = "x".into(), "artifacts[0].kind: 'x' is neither")]
#[case::size(|b: &mut Raw| b.artifacts[0].size = 0, "artifacts[0].size: must be at least 1")]
#[case::chunks(|b: &mut Raw| b.artifacts[0].chunks = vec![0; 33].into(), "artifacts[0].chunks")]
#[case::chunk(|b: &mut Raw| b.artifacts[0].chunk_bytes = 1, "artifacts[0].chunk_bytes")]
#[case::unknown(|b: &mut Raw| b.services[0].artifacts[0] = "y".into(), "unknown artifact 'y'")]
#[case::floor(|b: &mut Raw| b.services[0].floor_percent = 100, "must be below 100")]
#[case::prefix(|b: &mut Raw| b.services[0].repeatable[0] = "g".into(), "must start with '/'")]
#[case::standing(|b: &mut Raw| b.organisations[0].standing = "z".into(), "standing: 'z'")]
#[case::weight(|b: &mut Raw| b.organisations[0].weight = 0, "weight: must be from 1")]
#[case::nowhere(|b: &mut Raw| b.data_centres.clear(), "at least one data centre")]
#[case::twice(|b: &mut Raw| { let d = b.data_centres[0].clone(); b.data_centres.push(d) }, "twice")]
fn refuses_bundle(#[case] spoil: fn(&mut Raw), #[case] reason: &str) {
    let mut bundle = raw("v1");
    spoil(&mut bundle);
    let error = Bundle::check(&bundle)
        .expect_err("the bundle is spoilt")
        .to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn first_of_two_racing_changes_wins() {
    let mut fold = fold();
    assert!(fold.apply(&roll(0, "v1")).is_ok());
    let refused = fold.apply(&roll(0, "v2"));
    assert_eq!(
        refused,
        Err(Rejection::StaleBase {
            base: 0,
            current: 1
        })
    );
    assert_eq!(
        fold.apply(&roll(0, "v1")),
        Err(Rejection::StaleBase {
            base: 0,
            current: 1
        })
    );
    assert_eq!(fold.revision(), 1);
}

#[test]
fn refuses_unknown_key_and_altered_bytes() {
    let mut fold = fold();
    let other = SigningKey::from_bytes(&[2; 32]);
    let forged = sign(&change(0, Kind::Roll(raw("v1"))), &other);
    assert_eq!(fold.apply(&forged), Err(Rejection::UnknownKey));
    let mut altered = roll(0, "v1");
    let mut bytes = altered.change.to_vec();
    bytes[5] ^= 1;
    altered.change = bytes.into();
    assert_eq!(fold.apply(&altered), Err(Rejection::BadSignature));
    assert_eq!(fold.revision(), 0);
}

#[rstest]
#[case::out(Kind::DataCentreOut("nowhere".into()), "unknown data centre")]
#[case::not_out(Kind::DataCentreIn("khomas-a".into()), "in that state already")]
#[case::back(Kind::RollBack("v9".into()), "unknown version")]
#[case::reused(Kind::Roll(Raw { origin_region: "other".into(), ..raw("v1") }), "another bundle")]
fn refuses_change(#[case] kind: Kind, #[case] reason: &str) {
    let mut fold = fold();
    fold.apply(&roll(0, "v1")).expect("the first roll is sound");
    let refused = fold
        .apply(&sign(&change(1, kind), &key()))
        .expect_err("refused")
        .to_string();
    assert!(refused.contains(reason), "{refused}");
    assert_eq!(fold.revision(), 1);
}

#[test]
fn checkpoint_gives_the_same_state_and_bytes() {
    let mut fold = fold();
    for base in 0..40 {
        let kind = match base % 4 {
            0 => Kind::Roll(raw(&format!("v{base}"))),
            1 => Kind::DataCentreOut("khomas-a".into()),
            2 => Kind::DataCentreIn("khomas-a".into()),
            _ => Kind::RollBack(format!("v{}", (base - 3 - 4 * i64::from(base > 10) as u64))),
        };
        fold.apply(&sign(&change(base, kind), &key()))
            .expect("changes are sound");
        let checkpoint = fold.checkpoint();
        let mut fresh = self::fold();
        assert!(
            fresh
                .apply_checkpoint(&checkpoint)
                .expect("checkpoints are sound")
        );
        assert_eq!(fresh.state(), fold.state());
        assert_eq!(
            fresh.checkpoint().encode_to_vec(),
            checkpoint.encode_to_vec()
        );
        assert!(
            !fold
                .apply_checkpoint(&checkpoint)
                .expect("its own checkpoint changes nothing")
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
fn first_claim_holds_until_voided_or_expired() {
    let key = [9; 32];
    let mut ledger = Ledger::default();
    ledger.apply(&claim("a", 1)).expect("well-formed");
    ledger.apply(&claim("b", 2)).expect("well-formed");
    assert!(ledger.is_held_by(&key, "a") && !ledger.is_held_by(&key, "b"));
    let void = Batch {
        voids: vec![Void {
            key: vec![9; 32].into(),
            request: "a".to_owned(),
        }],
        ..Batch::default()
    };
    ledger.apply(&void).expect("well-formed");
    assert_eq!(ledger.state(&key), KeyState::Free);
    ledger.apply(&claim("b", 3)).expect("well-formed");
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
    ledger.apply(&outcomes).expect("well-formed");
    ledger
        .apply(&void)
        .expect("a void of another request changes nothing");
    assert!(matches!(ledger.state(&key), KeyState::Done(_)));
    ledger
        .apply(&claim("c", 3 + KEY_RETENTION.as_millis() as u64))
        .expect("well-formed");
    assert!(ledger.is_held_by(&key, "c"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_change_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut fold = fold();
        let signed = Signed {
            change: bytes.clone().into(),
            key: key().verifying_key().to_bytes().to_vec().into(),
            signature: vec![0; 64].into(),
        };
        prop_assert!(fold.apply(&signed).is_err());
        if let Ok(raw) = Raw::decode(&bytes[..]) {
            let _ = Bundle::check(&raw);
        }
        prop_assert_eq!(fold.revision(), 0);
    }
}
