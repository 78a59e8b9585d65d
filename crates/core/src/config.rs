//! Configuration as a fold over signed records in log order.
//!
//! A change names the revision that it was made from. The fold accepts the first change that
//! matches and refuses the others, so that the log's order alone decides races. The revision of
//! a fold never goes down.

use {
    crate::{
        bundle::{self, Bundle},
        id::{DataCentre, Revision, Version},
    },
    ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey},
    jayspread_schema::config as proto,
    prost::Message,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt,
        sync::Arc,
    },
};

/// Prefix of the signed bytes, so that a signature is of use for changes only.
const DOMAIN: &[u8] = b"jayspread change v1\n";
/// Rolled bundles kept for rolling back.
pub const RETAINED_BUNDLES: usize = 4;
/// Accepted changes kept for sending deltas to peers.
pub const RETAINED_CHANGES: usize = 256;
/// Length of a change id, bytes.
pub const ID_BYTES: usize = 16;
/// Largest encoded change, bytes.
pub const MAX_CHANGE_BYTES: usize = 8 * 1024 * 1024;

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// The change cannot be decoded.
    Malformed(Box<str>),
    /// The signer is none of the accepted operators.
    UnknownKey,
    /// The signature does not fit the bytes.
    BadSignature,
    /// The change was made from another revision than the current one.
    StaleBase {
        /// Revision that the change names.
        base: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The bundle breaks a rule.
    InvalidBundle(bundle::Error),
    /// The version name already belongs to another bundle.
    VersionReused(Version),
    /// No kept bundle has this version.
    UnknownVersion(Version),
    /// The bundle in force names no such data centre.
    UnknownDataCentre(DataCentre),
    /// The data centre is already in the wanted state.
    Unchanged(DataCentre),
    /// A checkpoint contradicts itself.
    InvalidCheckpoint(Box<str>),
    /// Changes before this one are missing.
    Gap {
        /// Revision of the change.
        revision: Revision,
        /// Current revision.
        current: Revision,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Malformed(reason) => write!(f, "malformed change: {reason}"),
            Rejection::UnknownKey => write!(f, "signed by an unknown key"),
            Rejection::BadSignature => write!(f, "signature does not match"),
            Rejection::StaleBase { base, current } => {
                write!(f, "made from revision {base}, but {current} is in force")
            }
            Rejection::InvalidBundle(error) => write!(f, "bundle: {error}"),
            Rejection::VersionReused(version) => {
                write!(f, "version '{version}' belongs to another bundle")
            }
            Rejection::UnknownVersion(version) => write!(f, "unknown version '{version}'"),
            Rejection::UnknownDataCentre(name) => write!(f, "unknown data centre '{name}'"),
            Rejection::Unchanged(name) => {
                write!(f, "data centre '{name}' is in that state already")
            }
            Rejection::InvalidCheckpoint(reason) => write!(f, "checkpoint: {reason}"),
            Rejection::Gap { revision, current } => {
                write!(f, "revision {revision} does not follow {current}")
            }
        }
    }
}

impl std::error::Error for Rejection {}

/// Signs a change with an operator's key.
pub fn sign(change: &proto::Change, key: &SigningKey) -> proto::Signed {
    let bytes = change.encode_to_vec();
    let signature = key.sign(&signed_bytes(&bytes));
    proto::Signed {
        change: bytes.into(),
        key: key.verifying_key().to_bytes().to_vec().into(),
        signature: signature.to_bytes().to_vec().into(),
    }
}

fn signed_bytes(change: &[u8]) -> Vec<u8> {
    [DOMAIN, change].concat()
}

/// Configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Revision of the last accepted change; 0 before the first.
    pub revision: Revision,
    /// Bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// Revision that put the bundle in force; fences load orders.
    pub fence: Revision,
    /// Data centres taken out.
    pub drained: BTreeSet<DataCentre>,
}

impl State {
    /// Whether the data centre may receive new work.
    pub fn accepts_work(&self, data_centre: &str) -> bool {
        !self.drained.contains(data_centre)
    }
}

/// What a change does, for history and logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A bundle came into force.
    Roll(Version),
    /// An earlier bundle came back into force.
    RollBack(Version),
    /// A data centre was taken out.
    DataCentreOut(DataCentre),
    /// A data centre was brought back.
    DataCentreIn(DataCentre),
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::Roll(version) => write!(f, "roll {version}"),
            Effect::RollBack(version) => write!(f, "roll-back {version}"),
            Effect::DataCentreOut(name) => write!(f, "out {name}"),
            Effect::DataCentreIn(name) => write!(f, "in {name}"),
        }
    }
}

/// A change whose signature and encoding were checked.
struct Verified {
    change: proto::Change,
    signed: proto::Signed,
}

/// Fold over the records of the log.
#[derive(Debug, Clone)]
pub struct Replica {
    operators: BTreeSet<[u8; 32]>,
    state: Arc<State>,
    /// Changes that the state follows from, by revision.
    base: BTreeMap<Revision, proto::Signed>,
    /// Bundles that a roll-back may name, with the revision of their roll.
    rolled: BTreeMap<Revision, Arc<Bundle>>,
    /// Latest accepted changes without a gap, for deltas.
    recent: VecDeque<proto::Accepted>,
}

impl Replica {
    /// Creates an empty fold that accepts changes of these operators' keys.
    pub fn new(operators: impl IntoIterator<Item = [u8; 32]>) -> Self {
        Self {
            operators: operators.into_iter().collect(),
            state: Arc::default(),
            base: BTreeMap::new(),
            rolled: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Configuration in force.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.state.revision
    }

    /// Bundles that a roll-back may name, oldest first.
    pub fn bundles(&self) -> impl Iterator<Item = &Arc<Bundle>> {
        self.rolled.values()
    }

    /// Applies a signed change from the log.
    pub fn apply(&mut self, signed: &proto::Signed) -> Result<(Revision, Effect), Rejection> {
        let verified = self.verify(signed)?;
        let before = self.revision();
        if verified.change.base != before {
            return Err(Rejection::StaleBase {
                base: verified.change.base,
                current: before,
            });
        }
        let effect = self.fold(verified)?;
        assert_eq!(
            self.revision(),
            before + 1,
            "an accepted change adds one revision"
        );
        Ok((self.revision(), effect))
    }

    /// Applies a change that a peer has accepted; repeats of known changes are ignored.
    pub fn apply_accepted(&mut self, accepted: &proto::Accepted) -> Result<bool, Rejection> {
        let current = self.revision();
        if accepted.revision <= current {
            return Ok(false);
        }
        if accepted.revision != current + 1 {
            return Err(Rejection::Gap {
                revision: accepted.revision,
                current,
            });
        }
        let Some(signed) = &accepted.signed else {
            return Err(Rejection::Malformed("no change".into()));
        };
        self.apply(signed)?;
        Ok(true)
    }

    /// Replaces the fold by a checkpoint of a higher revision; lower ones are ignored.
    pub fn apply_checkpoint(&mut self, checkpoint: &proto::Checkpoint) -> Result<bool, Rejection> {
        if checkpoint.revision <= self.revision() {
            return Ok(false);
        }
        let mut next = Self::new(self.operators.iter().copied());
        for accepted in &checkpoint.changes {
            next.restore(accepted, checkpoint.revision)?;
        }
        next.set_revision(checkpoint.revision);
        assert!(next.revision() > self.revision(), "a fold never goes back");
        *self = next;
        Ok(true)
    }

    /// Checkpoint of the current state; folds of the same prefix give the same bytes.
    pub fn checkpoint(&self) -> proto::Checkpoint {
        let changes = self.base.iter().map(|(revision, signed)| proto::Accepted {
            revision: *revision,
            signed: Some(signed.clone()),
        });
        proto::Checkpoint {
            revision: self.revision(),
            changes: changes.collect(),
            through: 0,
        }
    }

    /// Accepted changes after `revision`, or nothing when some are no longer kept.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<proto::Accepted>> {
        if revision >= self.revision() {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        if first > revision + 1 {
            return None;
        }
        let newer = self.recent.iter().filter(|a| a.revision > revision);
        Some(newer.cloned().collect())
    }

    fn verify(&self, signed: &proto::Signed) -> Result<Verified, Rejection> {
        if signed.change.len() > MAX_CHANGE_BYTES {
            return Err(Rejection::Malformed("too large".into()));
        }
        let Ok(key) = <[u8; 32]>::try_from(&signed.key[..]) else {
            return Err(Rejection::UnknownKey);
        };
        if !self.operators.contains(&key) {
            return Err(Rejection::UnknownKey);
        }
        let key = VerifyingKey::from_bytes(&key).map_err(|_| Rejection::UnknownKey)?;
        let signature =
            Signature::from_slice(&signed.signature).map_err(|_| Rejection::BadSignature)?;
        key.verify_strict(&signed_bytes(&signed.change), &signature)
            .map_err(|_| Rejection::BadSignature)?;
        let change = proto::Change::decode(&signed.change[..])
            .map_err(|error| Rejection::Malformed(error.to_string().into()))?;
        if change.id.len() != ID_BYTES {
            return Err(Rejection::Malformed("id must have 16 bytes".into()));
        }
        Ok(Verified {
            change,
            signed: signed.clone(),
        })
    }

    /// Applies a verified change on top of the current state.
    fn fold(&mut self, verified: Verified) -> Result<Effect, Rejection> {
        let revision = verified.change.base + 1;
        let effect = self.effect(revision, &verified.change)?;
        self.base.insert(revision, verified.signed.clone());
        self.recent.push_back(proto::Accepted {
            revision,
            signed: Some(verified.signed),
        });
        if self.recent.len() > RETAINED_CHANGES {
            self.recent.pop_front();
        }
        self.set_revision(revision);
        self.prune();
        Ok(effect)
    }

    /// Applies a change of a checkpoint, whose predecessors may have been pruned.
    fn restore(&mut self, accepted: &proto::Accepted, last: Revision) -> Result<(), Rejection> {
        let fail = |reason: &str| Rejection::InvalidCheckpoint(reason.into());
        let signed = accepted.signed.as_ref().ok_or(fail("no change"))?;
        let verified = self.verify(signed)?;
        let revision = verified.change.base + 1;
        if revision != accepted.revision {
            return Err(fail("revision does not fit the signed change"));
        }
        if revision <= self.revision() || revision > last {
            return Err(fail("revisions out of order"));
        }
        match &verified.change.kind {
            // The bundle that named the data centre may have been pruned since.
            Some(proto::change::Kind::DataCentreOut(name)) => {
                Arc::make_mut(&mut self.state)
                    .drained
                    .insert(name.as_str().into());
            }
            _ => {
                self.effect(revision, &verified.change)?;
            }
        }
        self.base.insert(revision, verified.signed);
        self.set_revision(revision);
        Ok(())
    }

    fn effect(&mut self, revision: Revision, change: &proto::Change) -> Result<Effect, Rejection> {
        use proto::change::Kind;
        let Some(kind) = &change.kind else {
            return Err(Rejection::Malformed("no kind".into()));
        };
        match kind {
            Kind::Roll(raw) => {
                let bundle = Bundle::check(raw).map_err(Rejection::InvalidBundle)?;
                self.roll(revision, bundle)
            }
            Kind::RollBack(version) => self.roll_back(revision, version),
            Kind::DataCentreOut(name) => self.take_out(name),
            Kind::DataCentreIn(name) => self.bring_in(name),
        }
    }

    fn roll(&mut self, revision: Revision, bundle: Bundle) -> Result<Effect, Rejection> {
        let version = bundle.version.clone();
        let known = self.rolled.values().find(|b| b.version == version);
        if known.is_some_and(|known| **known != bundle) {
            return Err(Rejection::VersionReused(version));
        }
        let bundle = Arc::new(bundle);
        self.rolled.insert(revision, Arc::clone(&bundle));
        let state = Arc::make_mut(&mut self.state);
        state.bundle = Some(bundle);
        state.fence = revision;
        Ok(Effect::Roll(version))
    }

    fn roll_back(&mut self, revision: Revision, version: &str) -> Result<Effect, Rejection> {
        let known = self.rolled.values().rfind(|b| &*b.version == version);
        let Some(bundle) = known.cloned() else {
            return Err(Rejection::UnknownVersion(version.into()));
        };
        let state = Arc::make_mut(&mut self.state);
        state.bundle = Some(bundle);
        state.fence = revision;
        Ok(Effect::RollBack(version.into()))
    }

    fn take_out(&mut self, name: &str) -> Result<Effect, Rejection> {
        let known = self.state.bundle.as_ref();
        if !known.is_some_and(|b| b.data_centres.contains_key(name)) {
            return Err(Rejection::UnknownDataCentre(name.into()));
        }
        if !Arc::make_mut(&mut self.state).drained.insert(name.into()) {
            return Err(Rejection::Unchanged(name.into()));
        }
        Ok(Effect::DataCentreOut(name.into()))
    }

    fn bring_in(&mut self, name: &str) -> Result<Effect, Rejection> {
        if !Arc::make_mut(&mut self.state).drained.remove(name) {
            return Err(Rejection::Unchanged(name.into()));
        }
        Ok(Effect::DataCentreIn(name.into()))
    }

    fn set_revision(&mut self, revision: Revision) {
        assert!(
            revision >= self.state.revision,
            "a revision never goes down"
        );
        Arc::make_mut(&mut self.state).revision = revision;
    }

    /// Drops changes that no longer bear on the state.
    fn prune(&mut self) {
        let in_force = self.state.bundle.as_ref().map(|b| b.version.clone());
        while self.rolled.len() > RETAINED_BUNDLES {
            let mut by_age = self.rolled.iter();
            let oldest = by_age.find(|(_, b)| Some(&b.version) != in_force.as_ref());
            let Some(revision) = oldest.map(|(revision, _)| *revision) else {
                break;
            };
            self.rolled.remove(&revision);
        }
        let kept: BTreeSet<Revision> = self.kept_revisions();
        self.base.retain(|revision, _| kept.contains(revision));
    }

    /// Revisions that the state follows from: kept rolls, the last change of the bundle in
    /// force, and the outs of data centres that are still out.
    fn kept_revisions(&self) -> BTreeSet<Revision> {
        let mut kept: BTreeSet<Revision> = self.rolled.keys().copied().collect();
        kept.insert(self.state.fence);
        let mut outs: BTreeMap<String, Revision> = BTreeMap::new();
        for (revision, signed) in &self.base {
            let Ok(change) = proto::Change::decode(&signed.change[..]) else {
                continue;
            };
            if let Some(proto::change::Kind::DataCentreOut(name)) = change.kind
                && self.state.drained.contains(name.as_str())
            {
                outs.insert(name, *revision);
            }
        }
        kept.extend(outs.into_values());
        kept
    }
}
