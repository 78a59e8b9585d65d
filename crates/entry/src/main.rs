//! Binary of the entry host and of the operators' commands.

use {
    clap::Parser,
    jayspread_entry::{
        args::{Cli, Command},
        cmd::{Run, UsageError},
    },
    std::process::ExitCode,
    tokio::runtime::Builder,
};

/// Exit status for invalid input.
const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let mut builder = match command {
        // The platform grants a process less than one core, so more threads would only cost memory.
        Command::Serve(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let result = match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(command.run()),
        Err(cause) => Err(cause.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            let is_usage_error = cause.downcast_ref::<UsageError>().is_some();
            ExitCode::from(if is_usage_error { USAGE_STATUS } else { 1 })
        }
    }
}
