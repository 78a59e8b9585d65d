//! Entry host on the users' platform: an HTTP proxy that sends callers' requests to engines.
//!
//! `listener` accepts connections, `connection` serves them over a `socket` that records what is in
//! hand, `relay` handles requests, and `exchange` sends them to engines that `acquire` chooses if
//! `admission` lets them, through `flight` and `upstream`; `stopping` tells what it may still do during a shutdown. `attempt` finds
//! out whether an engine crashed on a request, and `proof` whether an answer is whole; `held` counts
//! answers that callers have not taken. `watch` follows the platform's store, and `records` applies
//! what it says; `gossip` and `peers` communicate with the other processes. `quarantine` keeps requests
//! from engines that their prompts would crash. `disruption` finds out whether the store is disrupted.

mod acquire;
mod admission;
mod attempt;
pub mod body;
pub mod connection;
mod disruption;
mod exchange;
mod flight;
mod gossip;
mod held;
mod listener;
mod metrics;
mod peers;
mod pool;
pub mod problem;
mod process;
mod proof;
mod quarantine;
mod records;
mod relay;
mod retries;
pub mod socket;
mod state;
mod stopping;
mod stream;
mod trace;
mod upstream;
mod watch;

pub use process::Process;
