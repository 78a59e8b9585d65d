//! Claims on idempotency keys, replayed from the log.
//!
//! A request claims its key before its work starts; the first claim in log order holds the key. The
//! outcome is recorded, so that a repeated request gets the same answer. A claim whose work
//! provably never started is voided, which frees the key.

use {
    crate::id::{Key, Request},
    jayspread_schema::config as proto,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Time for which a claim holds its key, measured by the timestamps of the claims.
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Maximum size of an answer body stored in the log, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;
/// Maximum tolerated difference between the clocks that timestamp claims.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// State of an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyState {
    /// Not claimed.
    Free,
    /// Held by a claim without a recorded outcome.
    Claimed(proto::Claim),
    /// The work is done; its outcome is recorded.
    Done(proto::Outcome),
}

/// Reason why a batch is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A key is not 32 bytes long.
    KeyLength,
    /// A request id is empty.
    EmptyRequestId,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::KeyLength => write!(f, "key must be 32 bytes long"),
            Error::EmptyRequestId => write!(f, "request id is empty"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Debug, Clone)]
struct Entry {
    claim: proto::Claim,
    outcome: Option<proto::Outcome>,
}

/// Rule that decides which claim holds a key. Tests use `AnyWins` to verify that the invariants
/// then fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The first claim in log order holds the key.
    FirstWins,
    /// Any claim holds the key, even if another one held it before.
    AnyWins,
}

/// Keys and their claims, built from claims, outcomes and voids in log order.
#[derive(Debug, Clone)]
pub struct Ledger {
    entries: BTreeMap<Key, Entry>,
    /// Latest timestamp of any claim, in milliseconds since the Unix epoch.
    latest_ms: u64,
    rule: Rule,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Rule::FirstWins)
    }
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(rule: Rule) -> Self {
        Self {
            entries: BTreeMap::new(),
            latest_ms: 0,
            rule,
        }
    }

    /// Number of retained keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a batch from the log. A malformed batch fails and has no effect.
    pub fn apply(&mut self, batch: &proto::Batch) -> Result<(), Error> {
        validate(batch)?;
        for void in &batch.voids {
            self.apply_void(void);
        }
        for claim in &batch.claims {
            self.apply_claim(claim);
        }
        for outcome in &batch.outcomes {
            self.apply_outcome(outcome);
        }
        Ok(())
    }

    /// State of an idempotency key.
    pub fn state(&self, key: &Key) -> KeyState {
        let Some(entry) = self.entries.get(key) else {
            return KeyState::Free;
        };
        match &entry.outcome {
            Some(outcome) => KeyState::Done(outcome.clone()),
            None => KeyState::Claimed(entry.claim.clone()),
        }
    }

    /// Whether `request` holds the key and may start its work.
    pub fn is_held_by(&self, key: &Key, request: &str) -> bool {
        match self.state(key) {
            KeyState::Claimed(claim) => claim.request == request,
            _ => self.rule == Rule::AnyWins,
        }
    }

    /// Whether a clock that reads `now_ms` may timestamp claims: it must not lag the latest claim
    /// by more than `MAX_CLOCK_SKEW`.
    pub fn accepts_clock(&self, now_ms: u64) -> bool {
        now_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64) >= self.latest_ms
    }

    /// Removes keys whose claims are older than twice the retention time.
    pub fn prune(&mut self, now_ms: u64) {
        let retention_ms = 2 * KEY_RETENTION.as_millis() as u64;
        let end_ms = |entry: &Entry| entry.claim.claimed_at_ms.saturating_add(retention_ms);
        let is_old = |entry: &Entry| end_ms(entry) <= now_ms;
        self.entries.retain(|_, entry| !is_old(entry));
    }

    fn apply_claim(&mut self, claim: &proto::Claim) {
        let key = key_array(&claim.key);
        self.latest_ms = self.latest_ms.max(claim.claimed_at_ms);
        let held = self
            .entries
            .get(&key)
            .is_some_and(|entry| !is_expired(entry, claim));
        if held && self.rule == Rule::FirstWins {
            return;
        }
        let entry = Entry {
            claim: claim.clone(),
            outcome: None,
        };
        self.entries.insert(key, entry);
    }

    fn apply_outcome(&mut self, outcome: &proto::Outcome) {
        let Some(entry) = self.entries.get_mut(&key_array(&outcome.key)) else {
            return;
        };
        if entry.claim.request == outcome.request && entry.outcome.is_none() {
            entry.outcome = Some(outcome.clone());
        }
    }

    fn apply_void(&mut self, void: &proto::Void) {
        let key = key_array(&void.key);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if entry.claim.request == void.request && entry.outcome.is_none() {
            self.entries.remove(&key);
        }
    }
}

/// Whether the retention time of an entry had passed when `claim` was made.
fn is_expired(entry: &Entry, claim: &proto::Claim) -> bool {
    let retention_ms = KEY_RETENTION.as_millis() as u64;
    let end_ms = entry.claim.claimed_at_ms.saturating_add(retention_ms);
    claim.claimed_at_ms >= end_ms
}

fn validate(batch: &proto::Batch) -> Result<(), Error> {
    let claims = batch.claims.iter().map(|c| (&c.key, &c.request));
    let outcomes = batch.outcomes.iter().map(|o| (&o.key, &o.request));
    let voids = batch.voids.iter().map(|v| (&v.key, &v.request));
    for (key, request) in claims.chain(outcomes).chain(voids) {
        if key.len() != size_of::<Key>() {
            return Err(Error::KeyLength);
        }
        if request.is_empty() {
            return Err(Error::EmptyRequestId);
        }
    }
    Ok(())
}

fn key_array(key: &[u8]) -> Key {
    key.try_into().expect("key length is validated before")
}

/// Id of attempt `number` of a request.
pub fn attempt_id(request: &str, number: u32) -> Request {
    format!("{request}.{number}").into()
}
