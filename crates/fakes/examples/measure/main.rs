//! Measures jayspread on one machine. A scenario with a baseline measures it in the same run.
//!
//! Each scenario prints lines of key=value pairs. The last line starts with `result`.

mod cold;
mod control;
mod deployment;
mod load;
mod moves;
mod once;
mod overhead;
mod planner;
mod plot;
mod rollout;
mod sample;
mod walk;

use {
    clap::{Parser, Subcommand},
    eyre::Result,
    jayspread_net::telemetry,
    std::process::ExitCode,
};

/// Measures jayspread on one machine.
#[derive(Debug)]
#[derive(Parser)]
struct Cli {
    /// Log level of the processes.
    #[arg(long, default_value = "error", global = true)]
    log_level: String,
    /// Scenario to measure.
    #[command(subcommand)]
    scenario: Scenario,
}

/// The scenarios.
#[derive(Debug)]
#[derive(Subcommand)]
enum Scenario {
    /// Time to roll out a version to N replicas, and bytes over each link.
    Rollout(rollout::Rollout),
    /// Latency that jayspread adds to a request and to a streamed token.
    Overhead(overhead::Overhead),
    /// Non-repeatable calls under faults: each must run at most once.
    Once(once::Once),
    /// Load on a cold backend server that many entry hosts use.
    Cold(cold::Cold),
    /// CPU time, memory and traffic as a function of the number of peers.
    Control(control::Control),
    /// Time until configuration changes are applied everywhere, with racing operators and a slow log.
    Config(cold::Config),
    /// Requests answered in time while a data centre is drained and put back into service.
    Move(moves::Move),
    /// The chunk planner alone, with more hosts than one machine can run.
    Planner(planner::Planner),
    /// Random walks with asserted invariants.
    Walk(walk::Walk),
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    telemetry::start(&cli.log_level);
    match run(&cli.scenario).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("failed {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(scenario: &Scenario) -> Result<()> {
    match scenario {
        Scenario::Rollout(rollout) => rollout.run().await,
        Scenario::Overhead(overhead) => overhead.run().await,
        Scenario::Cold(cold) => cold.run().await,
        Scenario::Control(control) => control.run().await,
        Scenario::Config(config) => config.run().await,
        Scenario::Once(once) => once.run().await,
        Scenario::Move(moves) => moves.run().await,
        Scenario::Planner(planner) => planner.run().await,
        Scenario::Walk(walk) => walk.run().await,
    }
}
