//! Binary of the agent.

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
    jayspread_platform::settings as filled,
    jayspread_schema::settings,
    std::{process::ExitCode, sync::Arc},
    tokio::runtime::Builder,
};

/// Exit status for unusable settings.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    let (prepared, mut builder) = if args.platform {
        // The platform gives a process a part of one core.
        (platform(&args), Builder::new_current_thread())
    } else {
        (own(&args), Builder::new_multi_thread())
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(cause) => {
            eprintln!("could not read settings: {cause}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    let ended = match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(prepared.run()),
        Err(cause) => Err(cause.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

/// What the settings ask for.
enum Prepared {
    /// An agent on the project's own interface.
    Own(Box<settings::Agent>, Box<cert::Tls>),
    /// An agent on the users' platform.
    Platform(Box<filled::Settings>),
}

fn own(args: &Args) -> Result<Prepared, String> {
    let path = args.settings.as_deref().ok_or("no file is given")?;
    let settings = settings::read_agent(path).map_err(|cause| cause.to_string())?;
    let tls = cert::read(&settings.tls).map_err(|cause| cause.to_string())?;
    Ok(Prepared::Own(Box::new(settings), Box::new(tls)))
}

fn platform(args: &Args) -> Result<Prepared, String> {
    let path = args.settings.clone().map_or_else(filled::path, Ok);
    let settings = path.and_then(|path| filled::read(&path));
    let settings = settings.map_err(|cause| cause.to_string())?;
    Ok(Prepared::Platform(Box::new(settings)))
}

impl Prepared {
    async fn run(self) -> Result<()> {
        let signals = Signals::install().wrap_err("could not install signal handlers")?;
        match self {
            Prepared::Own(settings, tls) => run(*settings, *tls, signals).await,
            Prepared::Platform(settings) => slot(*settings, signals).await,
        }
    }
}

async fn slot(settings: filled::Settings, mut signals: Signals) -> Result<()> {
    let output = telemetry::Output::start(&settings.options.log_level);
    let process = slot::Process::open(settings)
        .await
        .wrap_err("could not start")?;
    signals.wait_for_stop(&**process.slot()).await;
    process.close();
    output.close();
    Ok(())
}

async fn run(settings: settings::Agent, tls: cert::Tls, mut signals: Signals) -> Result<()> {
    telemetry::start(&settings.log_level);
    let runtime = Arc::new(quinn::TokioRuntime);
    let process = Process::open(settings, &tls, runtime, Policy::Exchange)
        .await
        .wrap_err("could not start")?;
    signals.wait_for_stop(&**process.shared()).await;
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
    while signals.next().await != Action::Stop {}
}
