//! Agent that runs on every backend server host, next to one engine or plain service.
//!
//! All requests and load orders to the backend server pass through the agent; on the users'
//! platform, only load orders do (see `slot`). The agent fetches chunks of weights, verifies them,
//! shares them with other agents and stages them at the engine.

pub mod args;
pub mod attempt;
pub mod chunks;
pub mod control;
pub mod dump;
pub mod engine;
pub mod fetch;
pub mod handler;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod response;
pub mod shared;
pub mod slot;
pub mod store;
pub mod upload;

pub use process::Process;
