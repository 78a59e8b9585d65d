//! Claims on idempotency keys, as a fold over the log.
//!
//! A key is claimed before its work starts; the first claim in log order holds it. The outcome is
//! recorded, so that a repeat of the request gets the same answer. A claim whose work provably
//! never started is voided, which frees the key.

use {
    crate::id::{Key, Request},
    jayspread_schema::config as proto,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Time for which a key is remembered, by the clocks that stamp claims.
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Largest answer body kept in the log, bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;
/// Largest difference tolerated between the clocks that stamp claims.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What is known of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyState {
    /// No one holds it.
    Free,
    /// Held by a claim whose outcome is not recorded.
    Claimed(proto::Claim),
    /// Its work has an outcome.
    Done(proto::Outcome),
}

/// Why a batch is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A key does not have 32 bytes.
    KeyLength,
    /// A request id is empty.
    EmptyRequestId,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::KeyLength => write!(f, "key must have 32 bytes"),
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

/// Switches that tests turn off to see the invariants fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The first claim in log order holds the key.
    FirstWins,
    /// Any claim holds the key.
    AnyWins,
}

/// Fold over claims, outcomes and voids in log order.
#[derive(Debug, Clone)]
pub struct Ledger {
    entries: BTreeMap<Key, Entry>,
    /// Latest stamp of any claim, milliseconds since the Unix epoch.
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

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a batch of the log; a malformed batch changes nothing.
    pub fn apply(&mut self, batch: &proto::Batch) -> Result<(), Error> {
        check(batch)?;
        for void in &batch.voids {
            self.void(void);
        }
        for claim in &batch.claims {
            self.claim(claim);
        }
        for outcome in &batch.outcomes {
            self.outcome(outcome);
        }
        Ok(())
    }

    /// What is known of a key.
    pub fn state(&self, key: &Key) -> KeyState {
        let Some(entry) = self.entries.get(key) else {
            return KeyState::Free;
        };
        match &entry.outcome {
            Some(outcome) => KeyState::Done(outcome.clone()),
            None => KeyState::Claimed(entry.claim.clone()),
        }
    }

    /// Whether the request holds the key and may start its work.
    pub fn is_held_by(&self, key: &Key, request: &str) -> bool {
        match self.state(key) {
            KeyState::Claimed(claim) => claim.request == request,
            _ => self.rule == Rule::AnyWins,
        }
    }

    /// Whether a clock that shows `now_ms` may stamp claims.
    pub fn accepts_clock(&self, now_ms: u64) -> bool {
        now_ms + MAX_CLOCK_SKEW.as_millis() as u64 >= self.latest_ms
    }

    /// Forgets keys whose claims are older than twice the window.
    pub fn prune(&mut self, now_ms: u64) {
        let keep = 2 * KEY_RETENTION.as_millis() as u64;
        let old = |e: &Entry| e.claim.claimed_at_ms + keep <= now_ms;
        self.entries.retain(|_, entry| !old(entry));
    }

    fn claim(&mut self, claim: &proto::Claim) {
        let key = array(&claim.key);
        self.latest_ms = self.latest_ms.max(claim.claimed_at_ms);
        let held = self
            .entries
            .get(&key)
            .is_some_and(|entry| !expired(entry, claim));
        if held && self.rule == Rule::FirstWins {
            return;
        }
        let entry = Entry {
            claim: claim.clone(),
            outcome: None,
        };
        self.entries.insert(key, entry);
    }

    fn outcome(&mut self, outcome: &proto::Outcome) {
        let Some(entry) = self.entries.get_mut(&array(&outcome.key)) else {
            return;
        };
        if entry.claim.request == outcome.request && entry.outcome.is_none() {
            entry.outcome = Some(outcome.clone());
        }
    }

    fn void(&mut self, void: &proto::Void) {
        let key = array(&void.key);
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if entry.claim.request == void.request && entry.outcome.is_none() {
            self.entries.remove(&key);
        }
    }
}

fn expired(entry: &Entry, claim: &proto::Claim) -> bool {
    let window = KEY_RETENTION.as_millis() as u64;
    claim.claimed_at_ms >= entry.claim.claimed_at_ms + window
}

fn check(batch: &proto::Batch) -> Result<(), Error> {
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

fn array(key: &[u8]) -> Key {
    key.try_into().expect("length was checked")
}

/// Id of the attempt at a request with this number.
pub fn attempt_id(request: &str, number: u32) -> Request {
    format!("{request}.{number}").into()
}
