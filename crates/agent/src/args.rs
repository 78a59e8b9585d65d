//! Command line of the agent.

use {clap::Parser, std::path::PathBuf};

/// Process of jayspread in a backend server host's slot.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "jayspread-agent", version)]
pub struct Args {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
