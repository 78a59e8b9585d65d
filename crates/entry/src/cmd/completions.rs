//! `jayspread completions`: prints a completion script for a shell.

use {
    crate::{
        args::{Cli, Completions},
        cmd::Run,
    },
    clap::CommandFactory,
    eyre::Result,
    std::io,
};

impl Run for Completions {
    async fn run(&self) -> Result<()> {
        clap_complete::generate(
            self.shell,
            &mut Cli::command(),
            "jayspread",
            &mut io::stdout(),
        );
        Ok(())
    }
}
