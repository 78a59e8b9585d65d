//! Measurements of jayspread on one machine, each with its baseline in the same run.
//!
//! Each scenario prints lines of key=value pairs, the last one starting with `result`.

mod cold;
mod control;
mod load;
mod moves;
mod once;
mod overhead;
mod planner;
mod plot;
mod rollout;
mod sample;
mod site;
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
    /// What to measure.
    #[command(subcommand)]
    scenario: Scenario,
}

/// Scenarios.
#[derive(Debug)]
#[derive(Subcommand)]
enum Scenario {
    /// Time to N replicas and bytes over each link.
    Rollout(rollout::Rollout),
    /// What the path adds to a request and to a token.
    Overhead(overhead::Overhead),
    /// Non-repeatable calls under faults.
    Once(once::Once),
    /// Load on a cold backend server before many entry hosts.
    Cold(cold::Cold),
    /// Slopes of processor time, memory and bytes against the number of peers.
    Control(control::Control),
    /// Time until changes are in force, with racing operators and a log outage.
    Config(cold::Config),
    /// Service while a data centre leaves and returns.
    Move(moves::Move),
    /// The chunk plan alone, at sizes beyond one machine.
    Planner(planner::Planner),
    /// Random walks with the invariants asserted.
    Walk(walk::Walk),
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    telemetry::start(&cli.log_level);
    match run(&cli.scenario).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            println!("failed {cause:#}");
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
