//! Message types and settings of jayspread.
//!
//! The example `generate` creates the modules [`config`], [`peer`], [`raw`] and [`wire`] from `proto/`.
//! Their code is committed, so that the build needs no generator. [`settings`] reads and validates
//! the settings files.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jayspread.config.rs"]
pub mod config;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jayspread.peer.rs"]
pub mod peer;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jayspread.settings.rs"]
pub mod raw;
pub mod settings;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jayspread.wire.rs"]
pub mod wire;
