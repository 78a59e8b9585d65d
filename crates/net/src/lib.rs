//! Networking and process support shared by entry hosts and agents: QUIC with mutual TLS, datagrams,
//! HTTP clients with deadlines, the administration port, logs and signals.

pub mod admin;
pub mod body;
pub mod caller;
pub mod cert;
pub mod channel;
pub mod client;
pub mod clock;
pub mod crowd;
pub mod datagram;
pub mod frame;
pub mod http;
pub mod inspection;
pub mod link;
pub mod members;
pub mod node;
pub mod panic;
pub mod reports;
pub mod session;
pub mod signal;
pub mod sync;
pub mod targets;
pub mod task;
pub mod telemetry;
