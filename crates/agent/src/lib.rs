//! The process in a backend server host's slot.
//!
//! It sits before one engine or plain service. All work to the backend server and all orders to
//! it go through here; chunks of weights are fetched, verified, passed on to peers and staged.

pub mod answer;
pub mod args;
pub mod chunks;
pub mod control;
pub mod dump;
pub mod engine;
pub mod fetch;
pub mod handler;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod shared;
pub mod slot;
pub mod store;
pub mod upload;
pub mod work;

pub use process::Process;
