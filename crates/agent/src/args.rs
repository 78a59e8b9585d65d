//! Command line of the agent.

use {clap::Parser, std::path::PathBuf};

/// Agent of jayspread for a backend server host.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "jayspread-agent", version)]
pub struct Args {
    /// Settings file, JSON with comments; optional with --platform.
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub settings: Option<PathBuf>,
    /// Run on the users' platform.
    #[arg(long)]
    pub platform: bool,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
