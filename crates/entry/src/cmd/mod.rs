//! Implementation of the commands.

mod bundle_check;
mod bundle_history;
mod bundle_new;
mod bundle_roll;
mod bundle_sign;
mod bundle_status;
mod completions;
mod data_centre;
mod dump;
mod entry;
mod explain;
mod key;
mod operator;
mod serve;
mod settings;

use {
    crate::args::{Bundle, Command, DataCentre, Key, Settings},
    eyre::Result,
    std::fmt,
};

/// A command that can be run.
pub trait Run {
    /// Runs the command to its end.
    fn run(&self) -> impl Future<Output = Result<()>>;
}

/// Error in the arguments or in a file that they name; the process exits with status 2.
#[derive(Debug)]
pub struct UsageError(pub Box<str>);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

impl Run for Command {
    async fn run(&self) -> Result<()> {
        match self {
            Command::Entry(command) => command.run().await,
            Command::Serve(command) => command.run().await,
            Command::Bundle(Bundle::New(command)) => command.run().await,
            Command::Bundle(Bundle::Check(command)) => command.run().await,
            Command::Bundle(Bundle::Sign(command)) => command.run().await,
            Command::Bundle(Bundle::Roll(command)) => command.run().await,
            Command::Bundle(Bundle::Status(command)) => command.run().await,
            Command::Bundle(Bundle::History(command)) => command.run().await,
            Command::DataCentre(DataCentre::Out(command)) => command.drain().await,
            Command::DataCentre(DataCentre::In(command)) => command.restore().await,
            Command::DataCentre(DataCentre::List(command)) => command.list().await,
            Command::Key(Key::New(command)) => command.run().await,
            Command::Key(Key::Authority(command)) => command.run().await,
            Command::Key(Key::Host(command)) => command.run().await,
            Command::Dump(command) => command.run().await,
            Command::Explain(command) => command.run().await,
            Command::Settings(Settings::Check(command)) => command.run().await,
            Command::Completions(command) => command.run().await,
        }
    }
}
