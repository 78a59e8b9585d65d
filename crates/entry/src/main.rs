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

/// Exit status for input that cannot be used.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let mut builder = match command {
        // The platform gives a process a part of one core; a second thread would only cost memory.
        Command::Serve(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let ended = match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(command.run()),
        Err(cause) => Err(cause.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            let usage = cause.downcast_ref::<UsageError>().is_some();
            ExitCode::from(if usage { BAD_INPUT } else { 1 })
        }
    }
}
