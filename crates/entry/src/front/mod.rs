//! An entry host on the users' platform: callers are relayed straight to the engines.
//!
//! A request goes from `callers` to `relay`, which asks the table of engines in the core for a
//! place and sends the request through the `pool`. `watch` follows the platform's store and
//! `gossip` the other processes of the site.

mod answer;
mod body;
mod callers;
mod gossip;
mod job;
mod metrics;
mod mirror;
mod offer;
mod peers;
mod pool;
mod process;
mod relay;
mod site;
mod stream;
mod trace;
mod watch;

pub use process::Process;
