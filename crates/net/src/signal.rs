//! Signals: SIGTERM and SIGINT stop, a second one ends at once, SIGUSR1 dumps the state, SIGHUP
//! reloads the settings.

use {
    crate::admin::View,
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stop, or end at once when it stops already.
    Stop,
    /// Write the state dump to standard error.
    Dump,
    /// Read the settings again.
    Reload,
}

/// Streams of the signals that the processes listen to.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    user: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a stop, writing state dumps on request meanwhile.
    pub async fn wait_for_stop(&mut self, view: &impl View) {
        loop {
            match self.next().await {
                Action::Stop => return,
                Action::Dump => eprintln!("{:#}", view.dump()),
                // The settings of these processes hold for their whole life.
                Action::Reload => {}
            }
        }
    }

    /// Waits for the next wish.
    pub async fn next(&mut self) -> Action {
        tokio::select! {
            _ = self.terminate.recv() => Action::Stop,
            _ = self.interrupt.recv() => Action::Stop,
            _ = self.user.recv() => Action::Dump,
            _ = self.hangup.recv() => Action::Reload,
        }
    }
}
