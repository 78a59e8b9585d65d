//! An agent on the users' platform: it keeps the engine beside it on the version in force and tells
//! entry hosts the engine's fresh load. Requests do not pass through it.

mod control;
mod fetch;
mod gossip;
mod metrics;
mod pieces;
mod process;
mod serve;
mod tables;

pub use process::Process;
