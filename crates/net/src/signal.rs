//! Signals: SIGTERM and SIGINT request a shutdown (the second one exits at once), SIGUSR1 a state
//! dump, SIGHUP a reload of the settings.

use {
    crate::admin::View,
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Shut down; exit at once if the shutdown has already begun.
    Stop,
    /// Print the state dump.
    Dump,
    /// Reload the settings.
    Reload,
}

/// Installed signal handlers.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    user1: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user1: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a shutdown request; prints state dumps to standard error on request meanwhile.
    pub async fn wait_for_stop(&mut self, view: &impl View) {
        loop {
            match self.next().await {
                Action::Stop => return,
                Action::Dump => eprintln!("{:#}", view.dump()),
                // Callers of this function read their settings only at start.
                Action::Reload => {}
            }
        }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Action {
        tokio::select! {
            _ = self.terminate.recv() => Action::Stop,
            _ = self.interrupt.recv() => Action::Stop,
            _ = self.user1.recv() => Action::Dump,
            _ = self.hangup.recv() => Action::Reload,
        }
    }
}
