//! Decisions of jayspread: configuration, weight distribution, routing, admission, retries,
//! claims and membership.
//!
//! Nothing here opens a socket, reads a clock or starts a task: time is an argument, randomness
//! comes from a seeded generator of the caller, and invariants are asserted in release builds.

pub mod admission;
pub mod bundle;
pub mod call;
pub mod catalog;
pub mod chunk;
pub mod claim;
pub mod config;
pub mod engine;
pub mod fair;
pub mod id;
pub mod load;
pub mod member;
pub mod outlier;
pub mod placement;
pub mod progress;
pub mod ramp;
pub mod reader;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod schedule;
pub mod spread;
pub mod sse;
pub mod target;
pub mod window;
