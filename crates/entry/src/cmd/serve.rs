//! `jayspread serve`: runs the process of an entry host on the users' platform.

use {
    crate::{
        args::Serve,
        cmd::{Run, UsageError},
        front::Process,
    },
    eyre::{Result, WrapErr},
    jayspread_net::{
        event,
        signal::{Action, Signals},
        telemetry::Output,
    },
    jayspread_platform::settings::{self, Settings},
    std::sync::Arc,
};

impl Run for Serve {
    async fn run(&self) -> Result<()> {
        let settings = self
            .read()
            .map_err(|cause| UsageError(format!("could not read settings: {cause}").into()))?;
        if self.check {
            println!("settings ok");
            return Ok(());
        }
        let output = Output::start(&settings.options.log_level);
        let mut signals = Signals::install().wrap_err("could not install signal handlers")?;
        let process = Process::open(settings, &output)
            .await
            .wrap_err("could not start")?;
        self.wait(&process, &mut signals).await;
        process.close().await;
        output.close();
        Ok(())
    }
}

impl Serve {
    fn read(&self) -> Result<Settings, settings::Error> {
        let path = match &self.settings {
            Some(path) => path.clone(),
            None => settings::path()?,
        };
        settings::read(&path)
    }

    /// Waits for the signal to stop. A reload only checks the settings file: changes require a
    /// restart, since addresses and limits are fixed while the process runs.
    async fn wait(&self, process: &Process, signals: &mut Signals) {
        let state = Arc::clone(process.state());
        loop {
            match signals.next().await {
                Action::Stop => return,
                Action::Dump => event!(
                    Info,
                    "dump",
                    state = jayspread_net::admin::View::dump(&*state)
                ),
                Action::Reload => match self.read() {
                    Ok(settings) if settings == state.settings => {
                        event!(Info, "reloaded", changed = false);
                    }
                    Ok(_) => event!(Warn, "reloaded", changed = true, effect = "at next start"),
                    Err(cause) => event!(Error, "reload_failed", reason = cause),
                },
            }
        }
    }
}
