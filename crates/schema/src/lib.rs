//! Messages and settings of jayspread.
//!
//! The modules [`config`], [`peer`] and [`wire`] are generated from `proto/` by the example `generate`
//! and committed, so that the build needs no generator. [`settings`] checks what was read.

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
