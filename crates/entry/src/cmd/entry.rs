//! `jayspread entry`: runs the process of an entry host.

use {
    crate::{
        Process,
        args::Entry,
        cmd::{Run, UsageError, operator},
        shared::Shared,
    },
    eyre::{Result, WrapErr},
    jayspread_core::route::Policy,
    jayspread_net::{
        cert,
        signal::{Action, Signals},
        telemetry,
    },
    std::sync::{Arc, atomic::Ordering},
};

impl Run for Entry {
    async fn run(&self) -> Result<()> {
        let platform = crate::args::Platform {
            settings: self.settings.clone(),
        };
        let settings = operator::read_settings(&platform)?;
        let tls = cert::read(&settings.tls)
            .map_err(|cause| UsageError(format!("could not read settings: {cause}").into()))?;
        telemetry::start(&settings.log_level);
        let mut signals = Signals::install().wrap_err("could not install signal handlers")?;
        let runtime = Arc::new(quinn::TokioRuntime);
        let process = Process::open(settings, &tls, runtime, Policy::TwoChoices)
            .await
            .wrap_err("could not start")?;
        signals.wait_for_stop(&**process.shared()).await;
        stop(process, signals).await;
        Ok(())
    }
}

/// Shuts down gracefully. On a second signal, prints the number of requests that are cut off and
/// returns at once.
async fn stop(process: Process, mut signals: Signals) {
    let shared: Arc<Shared> = Arc::clone(process.shared());
    let second_signal = async { while signals.next().await != Action::Stop {} };
    tokio::select! {
        _ = process.close() => {}
        () = second_signal => {
            let calls = shared.active_calls.load(Ordering::Relaxed);
            eprintln!("event=ended_at_once cut_off={calls}");
        }
    }
}
