//! Random walks through the core's state machines under faults, with the invariants asserted.
//!
//! A walk is told by its seed. Each safeguard can be switched off, to see that the assertions
//! notice it.

pub mod attempts;
pub mod orders;
pub mod revisions;

use std::panic::{self, AssertUnwindSafe};

/// Safeguards in force during a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Refused attempts leave tombstones.
    pub tombstones: bool,
    /// The first claim of a key in the log holds it.
    pub claims: bool,
    /// The ramp bounds running attempts.
    pub ramp: bool,
    /// Orders that may be in flight are waited out.
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

/// Runs a walk and gives the message of the assertion that failed, if one did.
pub fn panic_message(walk: impl FnOnce()) -> Option<String> {
    let failed = panic::catch_unwind(AssertUnwindSafe(walk)).err()?;
    let text = failed.downcast_ref::<String>().cloned();
    let literal = failed.downcast_ref::<&str>().map(|t| (*t).to_owned());
    Some(text.or(literal).unwrap_or_default())
}
