//! Process of an entry host, and the operators' commands.
//!
//! The HTTP server in [`callers`] hands a request to [`dispatch`], which queues it, picks a backend
//! server, and relays the response of that server's agent.

pub mod args;
pub mod attempt;
pub mod callers;
pub mod cmd;
pub mod dispatch;
pub mod dump;
pub mod explain;
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
