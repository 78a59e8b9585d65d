//! Binary of the entry host and of the operators' commands.

use {
    clap::Parser,
    jayspread_entry::{
        args::Cli,
        cmd::{Run, Usage},
    },
    std::process::ExitCode,
};

/// Exit status for input that cannot be used.
const BAD_INPUT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    match Cli::parse().command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            let usage = cause.downcast_ref::<Usage>().is_some();
            ExitCode::from(if usage { BAD_INPUT } else { 1 })
        }
    }
}
