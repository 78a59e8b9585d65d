//! In-process fakes of the platform, backend servers and callers, for tests and measurements only.

pub mod bundle;
pub mod caller;
pub mod cluster;
pub mod engine;
pub mod hosts;
pub mod log;
pub mod network;
pub mod port;
pub mod server;
pub mod store;
pub mod walk;
