//! Walk through load orders: agents that restart, engines that lose answers or ignore fencing.

use {
    super::Safeguards,
    jayspread_core::{
        id::Revision,
        load::{Action, Event, Loader, Machine, Report, Target},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Time after which an order in flight has no effect any more.
const IN_FLIGHT_MAX: Duration = Duration::from_secs(2);
/// Time of a load.
const LOAD: Duration = Duration::from_millis(400);
/// Time that an agent waits for orders to settle.
const SETTLE: Duration = Duration::from_secs(3);

/// Stats of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps made.
    pub steps: u64,
    /// Orders sent.
    pub orders: u64,
    /// Loads begun by the engine.
    pub loads: u64,
    /// Loads in the wrong order that the engine's fencing refused.
    pub fenced: u64,
    /// Orders refused because the engine had lost what was staged.
    pub incomplete: u64,
    /// Agents restarted.
    pub restarts: u64,
}

/// An order on its way to the engine.
struct Flight {
    want: Target,
    arrives: Instant,
    /// Life of the agent that sent it.
    life: u64,
}

struct World {
    rng: SmallRng,
    now: Instant,
    safeguards: Safeguards,
    checks_fencing: bool,
    loader: Loader,
    life: u64,
    fence: Revision,
    staged: BTreeSet<Revision>,
    boot: u64,
    serving: Option<Revision>,
    loading: Option<(Revision, Instant)>,
    engine_fence: Revision,
    flights: Vec<Flight>,
    /// Whether the agent lets attempts start.
    admits: Option<Revision>,
    figures: Stats,
}

/// Walks `steps` steps from `seed`, before an engine that checks fencing or not.
pub fn run(seed: u64, steps: u64, checks_fencing: bool, safeguards: Safeguards) -> Stats {
    let mut world = World::new(seed, checks_fencing, safeguards);
    for _ in 0..steps {
        world.step();
    }
    world.figures.steps = steps;
    world.figures
}

fn machine(checks_fencing: bool, safeguards: Safeguards) -> Machine {
    if safeguards.order_timeout {
        Machine::new(checks_fencing, SETTLE)
    } else {
        Machine::without_order_timeout(checks_fencing)
    }
}

fn want(fence: Revision) -> Target {
    let version: Box<str> = format!("v{fence}").into();
    Target {
        equivalent_versions: BTreeSet::from([version.clone()]),
        version,
        fence,
        piece_count: 1,
    }
}

fn number(version: &str) -> Revision {
    version[1..].parse().expect("versions are numbers")
}

impl World {
    fn new(seed: u64, checks_fencing: bool, safeguards: Safeguards) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            safeguards,
            checks_fencing,
            loader: Loader::new(machine(checks_fencing, safeguards)),
            life: 0,
            fence: 0,
            staged: BTreeSet::new(),
            boot: 1,
            serving: None,
            loading: None,
            engine_fence: 0,
            flights: Vec::new(),
            admits: None,
            figures: Stats::default(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..120));
        self.engine();
        match self.rng.random_range(0..200) {
            0..3 => {
                self.fence += 1;
                self.event(Event::Target(want(self.fence)));
            }
            3..30 => self.complete(),
            30..60 => {
                let granted = self.rng.random_bool(0.7);
                self.event(Event::Grant(granted));
            }
            60..90 => self.event(Event::Drained),
            90 => self.restart_agent(),
            91 => self.restart_engine(),
            _ => self.event(Event::Tick),
        }
    }

    fn complete(&mut self) {
        if self.fence > 0 {
            self.staged.insert(self.fence);
            let version = want(self.fence).version;
            self.event(Event::Verified(version));
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.loader.handle(&event, self.now);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Pause => self.admits = None,
            Action::Resume(version) => {
                let version = number(&version);
                assert_eq!(
                    self.serving,
                    Some(version),
                    "admits what the engine does not serve"
                );
                self.admits = Some(version);
            }
            Action::MarkCold => {}
            Action::ReadState => self.read(),
            Action::Load(want) => self.order(want),
        }
    }

    fn read(&mut self) {
        if self.rng.random_bool(0.1) {
            return;
        }
        let report = Report {
            boot_id: self.boot,
            serving: self.serving.map(|v| want(v).version),
            loading: self.loading.is_some(),
            fence: self.engine_fence,
        };
        self.event(Event::Report(report));
    }

    /// Sends an order; its answer may be lost, and the order may arrive late or never.
    fn order(&mut self, want: Target) {
        assert!(self.admits.is_none(), "an order while attempts may start");
        self.figures.orders += 1;
        let lost = self.rng.random_bool(0.3);
        if lost {
            let late = Duration::from_millis(self.rng.random_range(0..2000));
            assert!(late < IN_FLIGHT_MAX, "orders arrive in time or never");
            if self.rng.random_bool(0.5) {
                self.flights.push(Flight {
                    want,
                    arrives: self.now + late,
                    life: self.life,
                });
            }
            return self.event(Event::OrderFailed);
        }
        self.take(&want);
        self.event(Event::OrderAnswered);
    }

    /// The engine takes an order.
    fn take(&mut self, want: &Target) {
        if self.checks_fencing && want.fence < self.engine_fence {
            self.figures.fenced += 1;
            return;
        }
        if !self.staged.contains(&want.fence) {
            self.figures.incomplete += 1;
            return;
        }
        self.figures.loads += 1;
        self.engine_fence = self.engine_fence.max(want.fence);
        self.serving = None;
        self.loading = Some((want.fence, self.now + LOAD));
    }

    /// Late orders arrive, loads end.
    fn engine(&mut self) {
        let now = self.now;
        if let Some((version, due)) = self.loading
            && due <= now
        {
            self.serving = Some(version);
            self.loading = None;
        }
        let due: Vec<usize> = (0..self.flights.len())
            .rev()
            .filter(|index| self.flights[*index].arrives <= now)
            .collect();
        for index in due {
            let flight = self.flights.swap_remove(index);
            if !self.checks_fencing {
                let same_life = flight.life == self.life;
                assert!(
                    self.admits.is_none(),
                    "a late order hits a serving engine, same_life={same_life}"
                );
            }
            let before = self.engine_fence;
            self.take(&flight.want);
            assert!(self.engine_fence >= before, "an engine's fence goes down");
        }
    }

    fn restart_agent(&mut self) {
        self.loader = Loader::new(machine(self.checks_fencing, self.safeguards));
        self.life += 1;
        self.admits = None;
        self.figures.restarts += 1;
        if self.fence > 0 {
            self.event(Event::Target(want(self.fence)));
        }
    }

    fn restart_engine(&mut self) {
        self.boot += 1;
        self.serving = None;
        self.loading = None;
        self.admits = None;
        self.staged.clear();
        self.engine_fence = 0;
        self.flights.clear();
    }
}
