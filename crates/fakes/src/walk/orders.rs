//! Random walk through load orders: agents restart, responses get lost, and the engine may ignore
//! fencing.

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

/// Time after which an order in flight can no longer arrive.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Time that an agent waits for orders in flight to expire.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Counters of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps taken.
    pub steps: u64,
    /// Orders sent.
    pub orders: u64,
    /// Loads started by the engine.
    pub loads: u64,
    /// Orders that the engine rejected because their fence was too low.
    pub fenced: u64,
    /// Orders rejected because the engine had lost the staged version.
    pub incomplete: u64,
    /// Agents restarted.
    pub restarts: u64,
}

/// A load order in flight to the engine.
struct OrderInFlight {
    target: Target,
    arrives_at: Instant,
    /// Incarnation of the agent that sent the order.
    incarnation: u64,
}

struct Simulation {
    rng: SmallRng,
    now: Instant,
    safeguards: Safeguards,
    checks_fencing: bool,
    loader: Loader,
    incarnation: u64,
    fence: Revision,
    staged: BTreeSet<Revision>,
    boot_id: u64,
    serving: Option<Revision>,
    loading: Option<(Revision, Instant)>,
    engine_fence: Revision,
    orders_in_flight: Vec<OrderInFlight>,
    /// Version for which the agent lets attempts start, if any.
    admitted_version: Option<Revision>,
    stats: Stats,
}

/// Runs a walk of `steps` steps determined by `seed`, with an engine that checks fencing or not.
pub fn run(seed: u64, steps: u64, checks_fencing: bool, safeguards: Safeguards) -> Stats {
    let mut simulation = Simulation::new(seed, checks_fencing, safeguards);
    for _ in 0..steps {
        simulation.step();
    }
    simulation.stats.steps = steps;
    simulation.stats
}

fn new_machine(checks_fencing: bool, safeguards: Safeguards) -> Machine {
    if safeguards.order_timeout {
        Machine::new(checks_fencing, ORDER_TIMEOUT)
    } else {
        Machine::without_order_timeout(checks_fencing)
    }
}

/// Target whose version is named after its fence.
fn target(fence: Revision) -> Target {
    let version: Box<str> = format!("v{fence}").into();
    Target {
        equivalent_versions: BTreeSet::from([version.clone()]),
        version,
        fence,
        piece_count: 1,
    }
}

/// Fence that a version is named after.
fn fence_of(version: &str) -> Revision {
    version[1..].parse().expect("versions are numbers")
}

impl Simulation {
    fn new(seed: u64, checks_fencing: bool, safeguards: Safeguards) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            safeguards,
            checks_fencing,
            loader: Loader::new(new_machine(checks_fencing, safeguards)),
            incarnation: 0,
            fence: 0,
            staged: BTreeSet::new(),
            boot_id: 1,
            serving: None,
            loading: None,
            engine_fence: 0,
            orders_in_flight: Vec::new(),
            admitted_version: None,
            stats: Stats::default(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..120));
        self.advance_engine();
        match self.rng.random_range(0..200) {
            0..3 => {
                self.fence += 1;
                self.handle(Event::Target(target(self.fence)));
            }
            3..30 => self.stage(),
            30..60 => {
                let granted = self.rng.random_bool(0.7);
                self.handle(Event::Grant(granted));
            }
            60..90 => self.handle(Event::Drained),
            90 => self.restart_agent(),
            91 => self.restart_engine(),
            _ => self.handle(Event::Tick),
        }
    }

    /// Stages the target version and reports it as verified.
    fn stage(&mut self) {
        if self.fence > 0 {
            self.staged.insert(self.fence);
            let version = target(self.fence).version;
            self.handle(Event::Verified(version));
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.loader.handle(&event, self.now);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Pause => self.admitted_version = None,
            Action::Resume(version) => {
                let version = fence_of(&version);
                assert_eq!(
                    self.serving,
                    Some(version),
                    "the agent admits attempts for a version that the engine does not serve"
                );
                self.admitted_version = Some(version);
            }
            Action::MarkCold => {}
            Action::ReadState => self.read_state(),
            Action::Load(target) => self.send_order(target),
        }
    }

    /// Reports the engine's state to the agent, unless the response is lost.
    fn read_state(&mut self) {
        if self.rng.random_bool(0.1) {
            return;
        }
        let report = Report {
            boot_id: self.boot_id,
            serving: self.serving.map(|fence| target(fence).version),
            loading: self.loading.is_some(),
            fence: self.engine_fence,
        };
        self.handle(Event::Report(report));
    }

    /// Sends a load order. If the response is lost, the order arrives late or never.
    fn send_order(&mut self, target: Target) {
        assert!(
            self.admitted_version.is_none(),
            "the agent sends a load order while it admits attempts"
        );
        self.stats.orders += 1;
        let response_lost = self.rng.random_bool(0.3);
        if response_lost {
            let delay = Duration::from_millis(self.rng.random_range(0..2000));
            assert!(
                delay < MAX_ORDER_DELAY,
                "an order arrives within the limit or never"
            );
            if self.rng.random_bool(0.5) {
                self.orders_in_flight.push(OrderInFlight {
                    target,
                    arrives_at: self.now + delay,
                    incarnation: self.incarnation,
                });
            }
            return self.handle(Event::OrderFailed);
        }
        self.receive_order(&target);
        self.handle(Event::OrderAnswered);
    }

    /// Handles a load order at the engine.
    fn receive_order(&mut self, target: &Target) {
        if self.checks_fencing && target.fence < self.engine_fence {
            self.stats.fenced += 1;
            return;
        }
        if !self.staged.contains(&target.fence) {
            self.stats.incomplete += 1;
            return;
        }
        self.stats.loads += 1;
        self.engine_fence = self.engine_fence.max(target.fence);
        self.serving = None;
        self.loading = Some((target.fence, self.now + LOAD_TIME));
    }

    /// Finishes due loads and delivers late orders.
    fn advance_engine(&mut self) {
        let now = self.now;
        if let Some((version, ends_at)) = self.loading
            && ends_at <= now
        {
            self.serving = Some(version);
            self.loading = None;
        }
        let due: Vec<usize> = (0..self.orders_in_flight.len())
            .rev()
            .filter(|index| self.orders_in_flight[*index].arrives_at <= now)
            .collect();
        for index in due {
            let order = self.orders_in_flight.swap_remove(index);
            if !self.checks_fencing {
                let same_incarnation = order.incarnation == self.incarnation;
                assert!(
                    self.admitted_version.is_none(),
                    "a late order reaches an engine that serves requests, \
                     same_incarnation={same_incarnation}"
                );
            }
            let previous_fence = self.engine_fence;
            self.receive_order(&order.target);
            assert!(
                self.engine_fence >= previous_fence,
                "the fence of the engine decreased"
            );
        }
    }

    fn restart_agent(&mut self) {
        self.loader = Loader::new(new_machine(self.checks_fencing, self.safeguards));
        self.incarnation += 1;
        self.admitted_version = None;
        self.stats.restarts += 1;
        if self.fence > 0 {
            self.handle(Event::Target(target(self.fence)));
        }
    }

    fn restart_engine(&mut self) {
        self.boot_id += 1;
        self.serving = None;
        self.loading = None;
        self.admitted_version = None;
        self.staged.clear();
        self.engine_fence = 0;
        self.orders_in_flight.clear();
    }
}
