//! Binary of the agent.

use {
    clap::Parser,
    eyre::{Result, WrapErr},
    jayspread_agent::{Process, args::Args},
    jayspread_core::chunk::Policy,
    jayspread_net::{
        cert,
        signal::{Signals, Wish},
        telemetry,
    },
    jayspread_schema::settings,
    std::{process::ExitCode, sync::Arc},
};

/// Exit status for unusable settings.
const BAD_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match settings::read_agent(&args.settings) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("could not read settings: {cause}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let tls = match cert::read(&settings.tls) {
        Ok(tls) => tls,
        Err(cause) => {
            eprintln!("could not read settings: {cause}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    telemetry::start(&settings.log_level);
    match run(settings, tls).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: settings::Agent, tls: cert::Tls) -> Result<()> {
    let mut signals = Signals::install().wrap_err("could not install signal handlers")?;
    let runtime = Arc::new(quinn::TokioRuntime);
    let process = Process::open(settings, &tls, runtime, Policy::Trade)
        .await
        .wrap_err("could not start")?;
    signals.stop(&**process.shared()).await;
    let shared = Arc::clone(process.shared());
    tokio::select! {
        _ = process.close() => {}
        _ = second_stop(&mut signals) => {
            let running = shared.load().running;
            eprintln!("event=ended_at_once cut_off={running}");
        }
    }
    Ok(())
}

/// Waits for a stop signal while a stop is under way.
async fn second_stop(signals: &mut Signals) {
    while signals.next().await != Wish::Stop {}
}
