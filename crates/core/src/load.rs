//! Load orders to one engine: fetch, drain, order, read back, serve.
//!
//! At most one order is outstanding. Its fencing number is the revision that put the version in
//! force and never goes down. Since some engines ignore the number, an order whose fate is not
//! known is waited out and the engine's state read before the next one; a new agent does the same
//! for orders of its predecessor.

// The state enum that statig generates carries no documentation.
#![allow(missing_docs)]

use {
    crate::id::{Revision, Version},
    statig::prelude::*,
    std::{
        collections::BTreeSet,
        fmt,
        time::{Duration, Instant},
    },
};

/// Least time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);

/// A version that the engine should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Version name.
    pub version: Version,
    /// Fencing number of its orders.
    pub fence: Revision,
    /// Pieces that it consists of; an engine that has staged others refuses to load it.
    pub piece_count: usize,
    /// Versions that load the same chunks, this one included.
    pub equivalent_versions: BTreeSet<Version>,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Random number of the engine's present life.
    pub boot_id: u64,
    /// Version it serves whole, if any.
    pub serving: Option<Version>,
    /// Whether it is loading.
    pub loading: bool,
    /// Highest fencing number it has seen.
    pub fence: Revision,
}

/// Input of the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Another version is wanted.
    Target(Target),
    /// All chunks of this version are verified.
    Verified(Version),
    /// Whether a load now keeps the floor of serving engines.
    Grant(bool),
    /// No attempt runs any more.
    Drained,
    /// The engine reported its state.
    Report(Report),
    /// The engine answered the order.
    OrderAnswered,
    /// The order's answer was lost, or the engine refused it.
    OrderFailed,
    /// Time has passed.
    Tick,
}

/// Output of the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Stop starting attempts.
    Pause,
    /// Start attempts on this version.
    Resume(Version),
    /// Treat the engine as cold.
    MarkCold,
    /// Send a load order.
    Load(Target),
    /// Read the engine's state.
    ReadState,
}

/// Actions and time of one call.
pub struct Context {
    /// Actions to carry out, in order.
    pub actions: Vec<Action>,
    /// Time of the event.
    pub now: Instant,
}

/// Load orders of one engine.
#[derive(Debug)]
pub struct Machine {
    checks_fencing: bool,
    /// Time after which an order that was sent can have no effect any more.
    settle: Duration,
    want: Option<Target>,
    complete: bool,
    granted: bool,
    /// Fencing number and time of the order whose fate is open.
    outstanding: Option<(Revision, Instant)>,
    /// Time of the last order.
    ordered: Option<Instant>,
    highest_fence: Revision,
    boot: Option<u64>,
    started: Option<Instant>,
    settle_guard: bool,
}

impl Machine {
    /// Creates the machine of an agent that has just started.
    pub fn new(checks_fencing: bool, settle: Duration) -> Self {
        Self {
            checks_fencing,
            settle,
            want: None,
            complete: false,
            granted: false,
            outstanding: None,
            ordered: None,
            highest_fence: 0,
            boot: None,
            started: None,
            settle_guard: true,
        }
    }

    /// Creates a machine that does not wait out orders, for tests of the invariants.
    pub fn without_order_timeout(checks_fencing: bool) -> Self {
        let mut machine = Self::new(checks_fencing, Duration::ZERO);
        machine.settle_guard = false;
        machine
    }

    fn take_want(&mut self, want: &Target) {
        let newer = self.want.as_ref().is_none_or(|old| want.fence > old.fence);
        if newer {
            self.complete = false;
            self.granted = false;
            self.want = Some(want.clone());
        }
    }

    fn take_complete(&mut self, version: &Version) {
        if self
            .want
            .as_ref()
            .is_some_and(|want| want.version == *version)
        {
            self.complete = true;
        }
    }

    fn loadable(&self) -> Option<&Target> {
        self.want.as_ref().filter(|_| self.complete)
    }

    fn order(&mut self, context: &mut Context) -> Outcome<State> {
        let Some(want) = self.loadable().cloned() else {
            return Handled;
        };
        if self
            .ordered
            .is_some_and(|at| context.now < at + ORDER_INTERVAL)
        {
            return Handled;
        }
        self.ordered = Some(context.now);
        assert!(
            self.outstanding.is_none(),
            "one order outstanding at a time"
        );
        assert!(want.fence >= self.highest_fence, "fencing number goes down");
        self.highest_fence = want.fence;
        self.outstanding = Some((want.fence, context.now));
        context.actions.push(Action::Load(want));
        Transition(State::ordering())
    }

    /// Whether an order that may still be in flight can have no effect any more.
    fn settled(&self, since: Instant, now: Instant) -> bool {
        self.checks_fencing || !self.settle_guard || now >= since + self.settle
    }

    /// Notes the engine's life; true when it has restarted since the last report and so lost what
    /// was staged.
    fn restarted(&mut self, report: &Report) -> bool {
        let before = self.boot.replace(report.boot_id);
        let restarted = before.is_some_and(|boot| boot != report.boot_id);
        if restarted {
            self.complete = false;
        }
        restarted
    }
}

#[state_machine(
    initial = "State::adopting()",
    state(derive(Debug, Clone, PartialEq, Eq))
)]
impl Machine {
    /// A new agent reads the engine and waits out orders of its predecessor.
    #[state(superstate = "alive")]
    fn adopting(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        let started = *self.started.get_or_insert(context.now);
        match event {
            Event::Tick => {
                context.actions.push(Action::ReadState);
                Handled
            }
            Event::Report(report) => {
                self.restarted(report);
                if report.loading || !self.settled(started, context.now) {
                    return Handled;
                }
                self.highest_fence = self.highest_fence.max(report.fence);
                match &report.serving {
                    Some(version) => {
                        context.actions.push(Action::Resume(version.clone()));
                        Transition(State::serving(version.clone()))
                    }
                    None => Transition(State::empty()),
                }
            }
            _ => Super,
        }
    }

    /// The engine serves nothing; loading needs no turn.
    #[state(superstate = "alive")]
    fn empty(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::Report(report) => {
                self.restarted(report);
                Handled
            }
            Event::Tick => self.order(context),
            _ => Super,
        }
    }

    /// The engine serves `version` whole.
    #[state(superstate = "alive")]
    fn serving(
        &mut self,
        version: &mut Version,
        context: &mut Context,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Report(report) => {
                let restarted = self.restarted(report);
                if report.loading || report.serving.as_ref() != Some(version) {
                    context.actions.push(Action::Pause);
                    context.actions.push(Action::MarkCold);
                    return Transition(State::adopting());
                }
                if restarted {
                    context.actions.push(Action::MarkCold);
                }
                Handled
            }
            Event::Tick => {
                context.actions.push(Action::ReadState);
                let Some(want) = self.loadable() else {
                    return Handled;
                };
                if want.equivalent_versions.contains(version) || !self.granted {
                    return Handled;
                }
                context.actions.push(Action::Pause);
                Transition(State::draining())
            }
            _ => Super,
        }
    }

    /// Attempts on the old version finish.
    #[state(superstate = "alive")]
    fn draining(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::Drained => self.order(context),
            Event::Target(want) => {
                self.take_want(want);
                if self.complete {
                    return Handled;
                }
                context.actions.push(Action::ReadState);
                Transition(State::adopting())
            }
            _ => Super,
        }
    }

    /// A load order was sent.
    #[state(superstate = "alive")]
    fn ordering(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::OrderAnswered | Event::OrderFailed => {
                context.actions.push(Action::ReadState);
                Transition(State::confirming())
            }
            _ => Super,
        }
    }

    /// The engine's state decides whether the order took effect.
    #[state(superstate = "alive")]
    fn confirming(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick => {
                context.actions.push(Action::ReadState);
                Handled
            }
            Event::Report(report) => self.confirm(report, context),
            _ => Super,
        }
    }

    #[superstate]
    fn alive(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Target(want) => self.take_want(want),
            Event::Verified(version) => self.take_complete(version),
            Event::Grant(granted) => self.granted = *granted,
            _ => {}
        }
        Handled
    }
}

impl Machine {
    fn confirm(&mut self, report: &Report, context: &mut Context) -> Outcome<State> {
        self.restarted(report);
        let Some((fence, since)) = self.outstanding else {
            return Transition(State::adopting());
        };
        if report.loading {
            return Handled;
        }
        let done = report.fence >= fence && report.serving.is_some();
        if !done && !self.settled(since, context.now) {
            return Handled;
        }
        self.outstanding = None;
        self.highest_fence = self.highest_fence.max(report.fence);
        let Some(version) = &report.serving else {
            return Transition(State::empty());
        };
        context.actions.push(Action::MarkCold);
        context.actions.push(Action::Resume(version.clone()));
        Transition(State::serving(version.clone()))
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            State::Adopting { .. } => "adopting",
            State::Empty { .. } => "empty",
            State::Serving { .. } => "serving",
            State::Draining { .. } => "draining",
            State::Ordering { .. } => "ordering",
            State::Confirming { .. } => "confirming",
        };
        f.write_str(name)
    }
}

/// A running machine: handles events and returns what to do.
pub struct Loader {
    machine: statig::blocking::StateMachine<Machine>,
}

impl Loader {
    /// Starts a machine.
    pub fn new(machine: Machine) -> Self {
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: &Event, now: Instant) -> Vec<Action> {
        let mut context = Context {
            actions: Vec::new(),
            now,
        };
        self.machine.handle_with_context(event, &mut context);
        context.actions
    }

    /// Present state.
    pub fn state(&self) -> &State {
        self.machine.state()
    }

    /// Wanted version.
    pub fn target(&self) -> Option<&Target> {
        self.machine.inner().want.as_ref()
    }

    /// Whether all chunks of the wanted version are verified.
    pub fn is_complete(&self) -> bool {
        self.machine.inner().complete
    }
}
