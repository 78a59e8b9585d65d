//! Command line of the agent.

use {clap::Parser, std::path::PathBuf};

/// Process of jayspread in a backend server host's slot.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "jayspread-agent", version)]
pub struct Args {
    /// Settings file, JSON with comments; on the users' platform it may be left out.
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub settings: Option<PathBuf>,
    /// The host is on the users' platform.
    #[arg(long)]
    pub platform: bool,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
