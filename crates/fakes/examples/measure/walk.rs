//! Random walks through the core's state machines, with asserted invariants.

use {
    clap::Args,
    eyre::Result,
    jayspread_fakes::walk::{Safeguards, attempts, orders, revisions},
    std::time::Instant,
};

/// Random walks through the core's state machines, with asserted invariants.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Walk {
    /// Seed of the walks.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Steps of each walk; the walk through revisions takes a hundredth of them.
    #[arg(long, default_value_t = 1_000_000)]
    steps: u64,
}

impl Walk {
    /// Runs all walks; panics if an invariant is violated.
    pub async fn run(&self) -> Result<()> {
        let started = Instant::now();
        let safeguards = Safeguards::default();
        println!(
            "walk {:?}",
            attempts::run(self.seed, self.steps, safeguards)
        );
        println!(
            "walk {:?}",
            orders::run(self.seed, self.steps, true, safeguards)
        );
        println!(
            "walk {:?}",
            orders::run(self.seed, self.steps, false, safeguards)
        );
        let revisions = revisions::run(self.seed, self.steps / 100);
        println!("walk {revisions:?}");
        println!(
            "result scenario=walk seed={} steps={} seconds={:.1} broken=0",
            self.seed,
            self.steps * 3 + self.steps / 100,
            started.elapsed().as_secs_f64()
        );
        Ok(())
    }
}
