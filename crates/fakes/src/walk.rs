//! Random walks through the core's state machines under faults, with asserted invariants.
//!
//! The seed determines a walk. Each safeguard can be disabled to check that the assertions detect
//! its absence.

pub mod attempts;
pub mod orders;
pub mod revisions;

use std::panic::{self, AssertUnwindSafe};

/// Safeguards enabled during a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Agents keep tombstones of rejected attempts, so that a late duplicate cannot start.
    pub tombstones: bool,
    /// The first claim of a key in the log wins; otherwise every claim does.
    pub claims: bool,
    /// The warm-up ramp limits concurrent attempts.
    pub ramp: bool,
    /// Agents wait until load orders that may still be in flight have expired.
    pub order_timeout: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            tombstones: true,
            claims: true,
            ramp: true,
            order_timeout: true,
        }
    }
}

/// Runs a walk and returns the message of the failed assertion, if any.
pub fn panic_message(walk: impl FnOnce()) -> Option<String> {
    let payload = panic::catch_unwind(AssertUnwindSafe(walk)).err()?;
    let formatted = payload.downcast_ref::<String>().cloned();
    let literal = payload.downcast_ref::<&str>().map(|t| (*t).to_owned());
    Some(formatted.or(literal).unwrap_or_default())
}
