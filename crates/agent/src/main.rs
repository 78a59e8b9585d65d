//! Entry point of the `jayspread-agent` binary.

use {
    clap::Parser,
    eyre::{Result, WrapErr},
    jayspread_agent::{Process, args::Args, slot},
    jayspread_core::chunk::Policy,
    jayspread_net::{
        cert,
        signal::{Action, Signals},
        telemetry,
    },
    jayspread_platform::settings as platform_settings,
    jayspread_schema::settings,
    std::{process::ExitCode, sync::Arc},
    tokio::runtime::Builder,
};

/// Exit status for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    let (config, mut runtime_builder) = if args.platform {
        // On the platform a process gets a fraction of one core.
        (read_platform(&args), Builder::new_current_thread())
    } else {
        (read_standalone(&args), Builder::new_multi_thread())
    };
    let config = match config {
        Ok(config) => config,
        Err(cause) => {
            eprintln!("could not read settings: {cause}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    let result = match runtime_builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(config.run()),
        Err(cause) => Err(cause.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

/// Validated settings of the agent.
enum Config {
    /// An agent that connects to entry hosts over QUIC.
    Standalone(Box<settings::Agent>, Box<cert::Tls>),
    /// An agent on the users' platform.
    Platform(Box<platform_settings::Settings>),
}

fn read_standalone(args: &Args) -> Result<Config, String> {
    let path = args.settings.as_deref().ok_or("no settings file given")?;
    let settings = settings::read_agent(path).map_err(|cause| cause.to_string())?;
    let tls = cert::read(&settings.tls).map_err(|cause| cause.to_string())?;
    Ok(Config::Standalone(Box::new(settings), Box::new(tls)))
}

fn read_platform(args: &Args) -> Result<Config, String> {
    let path = args
        .settings
        .clone()
        .map_or_else(platform_settings::path, Ok);
    let settings = path.and_then(|path| platform_settings::read(&path));
    let settings = settings.map_err(|cause| cause.to_string())?;
    Ok(Config::Platform(Box::new(settings)))
}

impl Config {
    async fn run(self) -> Result<()> {
        let signals = Signals::install().wrap_err("could not install signal handlers")?;
        match self {
            Config::Standalone(settings, tls) => run_standalone(*settings, *tls, signals).await,
            Config::Platform(settings) => run_platform(*settings, signals).await,
        }
    }
}

async fn run_platform(settings: platform_settings::Settings, mut signals: Signals) -> Result<()> {
    let log_output = telemetry::Output::start(&settings.options.log_level);
    let process = slot::Process::open(settings)
        .await
        .wrap_err("could not start")?;
    signals.wait_for_stop(&**process.shared()).await;
    process.close();
    log_output.close();
    Ok(())
}

async fn run_standalone(
    settings: settings::Agent,
    tls: cert::Tls,
    mut signals: Signals,
) -> Result<()> {
    telemetry::start(&settings.log_level);
    let runtime = Arc::new(quinn::TokioRuntime);
    let process = Process::open(settings, &tls, runtime, Policy::Exchange)
        .await
        .wrap_err("could not start")?;
    signals.wait_for_stop(&**process.shared()).await;
    let shared = Arc::clone(process.shared());
    tokio::select! {
        _ = process.close() => {}
        _ = wait_for_second_stop(&mut signals) => {
            let running = shared.load().running;
            eprintln!("event=ended_at_once cut_off={running}");
        }
    }
    Ok(())
}

/// Waits for another stop signal during shutdown.
async fn wait_for_second_stop(signals: &mut Signals) {
    while signals.next().await != Action::Stop {}
}
