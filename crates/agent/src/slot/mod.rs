//! Agent for the users' platform: keeps the local engine on the current version of the weights and
//! reports the engine's load to entry hosts. Requests do not pass through it.

mod control;
mod fetch;
mod gossip;
mod manifest;
mod metrics;
mod pieces;
mod process;
mod serve;
mod shared;

pub use process::Process;
