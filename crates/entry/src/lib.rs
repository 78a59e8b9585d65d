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
pub mod journal;
pub mod log;
pub mod metrics;
pub mod once;
pub mod problem;
pub mod process;
pub mod roster;
pub mod shared;
pub mod slots;
pub mod tail;

pub use process::Process;
