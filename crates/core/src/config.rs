//! Replicated configuration, built by applying signed changes in log order.
//!
//! A change names its base revision. A replica accepts the first change whose base is the current
//! revision and rejects the others, so that the log order alone decides between concurrent changes.
//! The revision of a replica never decreases.

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

/// Prefix of the signed bytes, so that a signature of a change is not valid for anything else.
const SIGNATURE_PREFIX: &[u8] = b"jayspread change v1\n";
/// Number of rolled-out bundles retained for roll-backs.
pub const RETAINED_BUNDLES: usize = 4;
/// Number of accepted changes retained to send them to peers instead of a checkpoint.
pub const RETAINED_CHANGES: usize = 256;
/// Length of a change id in bytes.
pub const ID_BYTES: usize = 16;
/// Maximum size of an encoded change in bytes.
pub const MAX_CHANGE_BYTES: usize = 8 * 1024 * 1024;

/// Reason why a change or checkpoint is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// The change cannot be decoded.
    Malformed(Box<str>),
    /// The signing key is not that of an operator.
    UnknownKey,
    /// The signature is not valid for the change.
    BadSignature,
    /// The base revision of the change is not the current revision.
    StaleBase {
        /// Base revision of the change.
        base: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The bundle is not valid.
    InvalidBundle(bundle::Error),
    /// Another bundle has the same version name.
    VersionReused(Version),
    /// No retained bundle has this version.
    UnknownVersion(Version),
    /// The bundle in force does not contain this data centre.
    UnknownDataCentre(DataCentre),
    /// The data centre is already in the requested state.
    Unchanged(DataCentre),
    /// The checkpoint is inconsistent.
    InvalidCheckpoint(Box<str>),
    /// Changes between the current revision and this one are missing.
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
                write!(f, "data centre '{name}' is already in that state")
            }
            Rejection::InvalidCheckpoint(reason) => write!(f, "checkpoint: {reason}"),
            Rejection::Gap { revision, current } => {
                write!(f, "revision {revision} does not follow {current}")
            }
        }
    }
}

impl std::error::Error for Rejection {}

/// Signs a change with the key of an operator.
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
    [SIGNATURE_PREFIX, change].concat()
}

/// Configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Revision of the last accepted change; 0 before the first.
    pub revision: Revision,
    /// Bundle in force; `None` before the first roll-out.
    pub bundle: Option<Arc<Bundle>>,
    /// Revision that put the bundle in force, used as the fencing token of load orders.
    pub fence: Revision,
    /// Data centres that receive no new work.
    pub drained: BTreeSet<DataCentre>,
}

impl State {
    /// Whether the data centre may receive new work.
    pub fn accepts_work(&self, data_centre: &str) -> bool {
        !self.drained.contains(data_centre)
    }
}

/// Effect of a change, for history and logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A new bundle was put in force.
    Roll(Version),
    /// An earlier bundle was put in force again.
    RollBack(Version),
    /// A data centre was taken out of service.
    DataCentreOut(DataCentre),
    /// A data centre was put back into service.
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

/// A change with a valid signature and encoding.
struct Verified {
    change: proto::Change,
    signed: proto::Signed,
}

/// Replica of the configuration, built from the changes in the log.
#[derive(Debug, Clone)]
pub struct Replica {
    operator_keys: BTreeSet<[u8; 32]>,
    state: Arc<State>,
    /// Changes that the state depends on, by revision.
    changes: BTreeMap<Revision, proto::Signed>,
    /// Bundles available for a roll-back, by the revision of their roll-out.
    bundles: BTreeMap<Revision, Arc<Bundle>>,
    /// Latest accepted changes without a gap, sent to peers that lag behind.
    recent_changes: VecDeque<proto::Accepted>,
}

impl Replica {
    /// Creates an empty replica that accepts changes signed by these operator keys.
    pub fn new(operator_keys: impl IntoIterator<Item = [u8; 32]>) -> Self {
        Self {
            operator_keys: operator_keys.into_iter().collect(),
            state: Arc::default(),
            changes: BTreeMap::new(),
            bundles: BTreeMap::new(),
            recent_changes: VecDeque::new(),
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

    /// Bundles available for a roll-back, oldest first.
    pub fn bundles(&self) -> impl Iterator<Item = &Arc<Bundle>> {
        self.bundles.values()
    }

    /// Applies a signed change from the log. Returns the new revision and the effect of the change.
    pub fn apply(&mut self, signed: &proto::Signed) -> Result<(Revision, Effect), Rejection> {
        let verified = self.verify(signed)?;
        let previous = self.revision();
        if verified.change.base != previous {
            return Err(Rejection::StaleBase {
                base: verified.change.base,
                current: previous,
            });
        }
        let effect = self.apply_verified(verified)?;
        assert_eq!(
            self.revision(),
            previous + 1,
            "an accepted change must increase the revision by one"
        );
        Ok((self.revision(), effect))
    }

    /// Applies a change that a peer has accepted. Returns `false` if the change is known already.
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
            return Err(Rejection::Malformed("the change is missing".into()));
        };
        self.apply(signed)?;
        Ok(true)
    }

    /// Replaces the replica by a checkpoint of a higher revision. Returns `false` and ignores the
    /// checkpoint if its revision is not higher.
    pub fn apply_checkpoint(&mut self, checkpoint: &proto::Checkpoint) -> Result<bool, Rejection> {
        if checkpoint.revision <= self.revision() {
            return Ok(false);
        }
        let mut next = Self::new(self.operator_keys.iter().copied());
        for accepted in &checkpoint.changes {
            next.restore_change(accepted, checkpoint.revision)?;
        }
        next.set_revision(checkpoint.revision);
        assert!(
            next.revision() > self.revision(),
            "a checkpoint must increase the revision"
        );
        *self = next;
        Ok(true)
    }

    /// Checkpoint of the current state. Replicas that have applied the same log prefix produce the
    /// same bytes.
    pub fn checkpoint(&self) -> proto::Checkpoint {
        let changes = self
            .changes
            .iter()
            .map(|(revision, signed)| proto::Accepted {
                revision: *revision,
                signed: Some(signed.clone()),
            });
        proto::Checkpoint {
            revision: self.revision(),
            changes: changes.collect(),
            through: 0,
        }
    }

    /// Accepted changes after `revision`; `None` if some of them are no longer retained.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<proto::Accepted>> {
        if revision >= self.revision() {
            return Some(Vec::new());
        }
        let first = self.recent_changes.front()?.revision;
        if first > revision + 1 {
            return None;
        }
        let newer = self
            .recent_changes
            .iter()
            .filter(|accepted| accepted.revision > revision);
        Some(newer.cloned().collect())
    }

    fn verify(&self, signed: &proto::Signed) -> Result<Verified, Rejection> {
        if signed.change.len() > MAX_CHANGE_BYTES {
            return Err(Rejection::Malformed("exceeds the maximum size".into()));
        }
        let Ok(key) = <[u8; 32]>::try_from(&signed.key[..]) else {
            return Err(Rejection::UnknownKey);
        };
        if !self.operator_keys.contains(&key) {
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
            return Err(Rejection::Malformed("id must be 16 bytes long".into()));
        }
        if change.base == Revision::MAX {
            return Err(Rejection::Malformed("base has no next revision".into()));
        }
        Ok(Verified {
            change,
            signed: signed.clone(),
        })
    }

    /// Applies a verified change on top of the current state.
    fn apply_verified(&mut self, verified: Verified) -> Result<Effect, Rejection> {
        let revision = verified.change.base + 1;
        let effect = self.apply_kind(revision, &verified.change)?;
        self.changes.insert(revision, verified.signed.clone());
        self.recent_changes.push_back(proto::Accepted {
            revision,
            signed: Some(verified.signed),
        });
        if self.recent_changes.len() > RETAINED_CHANGES {
            self.recent_changes.pop_front();
        }
        self.set_revision(revision);
        self.prune();
        Ok(effect)
    }

    /// Applies a change from a checkpoint; earlier changes may have been pruned.
    fn restore_change(
        &mut self,
        accepted: &proto::Accepted,
        last: Revision,
    ) -> Result<(), Rejection> {
        let invalid = |reason: &str| Rejection::InvalidCheckpoint(reason.into());
        let signed = accepted
            .signed
            .as_ref()
            .ok_or(invalid("a change is missing"))?;
        let verified = self.verify(signed)?;
        let revision = verified.change.base + 1;
        if revision != accepted.revision {
            return Err(invalid("revision does not match the signed change"));
        }
        if revision <= self.revision() || revision > last {
            return Err(invalid("revisions are out of order"));
        }
        match &verified.change.kind {
            // The bundle that contained the data centre may have been pruned.
            Some(proto::change::Kind::DataCentreOut(name)) => {
                Arc::make_mut(&mut self.state)
                    .drained
                    .insert(name.as_str().into());
            }
            _ => {
                self.apply_kind(revision, &verified.change)?;
            }
        }
        self.changes.insert(revision, verified.signed);
        self.set_revision(revision);
        Ok(())
    }

    fn apply_kind(
        &mut self,
        revision: Revision,
        change: &proto::Change,
    ) -> Result<Effect, Rejection> {
        use proto::change::Kind;
        let Some(kind) = &change.kind else {
            return Err(Rejection::Malformed("kind is missing".into()));
        };
        match kind {
            Kind::Roll(raw) => {
                let bundle = Bundle::check(raw).map_err(Rejection::InvalidBundle)?;
                self.roll_out(revision, bundle)
            }
            Kind::RollBack(version) => self.roll_back(revision, version),
            Kind::DataCentreOut(name) => self.drain_data_centre(name),
            Kind::DataCentreIn(name) => self.restore_data_centre(name),
        }
    }

    fn roll_out(&mut self, revision: Revision, bundle: Bundle) -> Result<Effect, Rejection> {
        let version = bundle.version.clone();
        let existing = self.bundles.values().find(|b| b.version == version);
        if existing.is_some_and(|existing| **existing != bundle) {
            return Err(Rejection::VersionReused(version));
        }
        let bundle = Arc::new(bundle);
        self.bundles.insert(revision, Arc::clone(&bundle));
        let state = Arc::make_mut(&mut self.state);
        state.bundle = Some(bundle);
        state.fence = revision;
        Ok(Effect::Roll(version))
    }

    fn roll_back(&mut self, revision: Revision, version: &str) -> Result<Effect, Rejection> {
        let found = self.bundles.values().rfind(|b| &*b.version == version);
        let Some(bundle) = found.cloned() else {
            return Err(Rejection::UnknownVersion(version.into()));
        };
        let state = Arc::make_mut(&mut self.state);
        state.bundle = Some(bundle);
        state.fence = revision;
        Ok(Effect::RollBack(version.into()))
    }

    fn drain_data_centre(&mut self, name: &str) -> Result<Effect, Rejection> {
        let bundle = self.state.bundle.as_ref();
        if !bundle.is_some_and(|b| b.data_centres.contains_key(name)) {
            return Err(Rejection::UnknownDataCentre(name.into()));
        }
        if !Arc::make_mut(&mut self.state).drained.insert(name.into()) {
            return Err(Rejection::Unchanged(name.into()));
        }
        Ok(Effect::DataCentreOut(name.into()))
    }

    fn restore_data_centre(&mut self, name: &str) -> Result<Effect, Rejection> {
        if !Arc::make_mut(&mut self.state).drained.remove(name) {
            return Err(Rejection::Unchanged(name.into()));
        }
        Ok(Effect::DataCentreIn(name.into()))
    }

    fn set_revision(&mut self, revision: Revision) {
        assert!(
            revision >= self.state.revision,
            "the revision must not decrease"
        );
        Arc::make_mut(&mut self.state).revision = revision;
    }

    /// Removes bundles and changes that the state no longer depends on.
    fn prune(&mut self) {
        let in_force = self.state.bundle.as_ref().map(|b| b.version.clone());
        while self.bundles.len() > RETAINED_BUNDLES {
            let mut oldest_first = self.bundles.iter();
            let oldest = oldest_first.find(|(_, b)| Some(&b.version) != in_force.as_ref());
            let Some(revision) = oldest.map(|(revision, _)| *revision) else {
                break;
            };
            self.bundles.remove(&revision);
        }
        let retained: BTreeSet<Revision> = self.retained_revisions();
        self.changes
            .retain(|revision, _| retained.contains(revision));
    }

    /// Revisions that the state depends on: the roll-outs of the retained bundles, the change that
    /// put the current bundle in force, and the last change that took out each data centre that is
    /// still out.
    fn retained_revisions(&self) -> BTreeSet<Revision> {
        let mut retained: BTreeSet<Revision> = self.bundles.keys().copied().collect();
        retained.insert(self.state.fence);
        let mut drain_revisions: BTreeMap<String, Revision> = BTreeMap::new();
        for (revision, signed) in &self.changes {
            let Ok(change) = proto::Change::decode(&signed.change[..]) else {
                continue;
            };
            if let Some(proto::change::Kind::DataCentreOut(name)) = change.kind
                && self.state.drained.contains(name.as_str())
            {
                drain_revisions.insert(name, *revision);
            }
        }
        retained.extend(drain_revisions.into_values());
        retained
    }
}
