//! The entry host's process and the operators' commands.
//!
//! A caller's request goes from [`callers`] through the fair queue and the router in
//! [`dispatch`] to an agent, and its answer comes back the same way.

pub mod args;
pub mod attempt;
pub mod callers;
pub mod cmd;
pub mod dispatch;
pub mod dump;
pub mod front;
pub mod handler;
pub mod hosts;
pub mod idempotency;
pub mod log;
pub mod log_reader;
pub mod metrics;
pub mod problem;
pub mod process;
pub mod projection;
pub mod roster;
pub mod shared;
pub mod slots;

pub use process::Process;
