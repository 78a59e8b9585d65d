//! Decision logic of jayspread: configuration, weight distribution, routing, admission, retries,
//! idempotency claims and membership.
//!
//! Nothing here opens a socket, reads a clock or starts a task. Time is an argument, randomness comes
//! from a generator that the caller passes, and invariants are asserted in release builds too.

pub mod admission;
pub mod answer;
pub mod audience;
pub mod backlog;
pub mod bundle;
pub mod call;
pub mod catalog;
pub mod census;
pub mod chunk;
pub mod claim;
pub mod clamp;
pub mod comeback;
pub mod config;
pub mod connection;
pub mod delay;
pub mod delivery;
pub mod disruption;
pub mod engine;
pub mod fair;
pub mod fetch;
pub mod framing;
pub mod holders;
pub mod id;
pub mod load;
pub mod member;
pub mod mirror;
pub mod outlier;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod progress;
pub mod proof;
pub mod quarantine;
pub mod ramp;
pub mod reader;
pub mod restart;
pub mod resume;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod schedule;
pub mod shedding;
pub mod shutdown;
pub mod silence;
pub mod spread;
pub mod sse;
pub mod swim;
pub mod target;
pub mod window;
