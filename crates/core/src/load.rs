//! State machine that makes one engine load versions: drain, order, confirm, serve.
//!
//! At most one load order is outstanding. Its fencing token is the revision that put the version in
//! force and never decreases. Some engines ignore the token. Before the next order, the agent
//! therefore waits until an order with an unknown result can no longer take effect, and reads the
//! engine's state. A restarted agent does the same for orders of the previous process.

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

/// Minimum time between two orders.
const MIN_ORDER_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two steps of the check of the staged pieces, and from the last one until the
/// load order: pieces may turn bad at the engine while the agent stands still.
const MAX_CHECK_GAP: Duration = Duration::from_secs(2);

/// Check of the staged pieces, one after the other, before a load order. It may take any time, as
/// versions differ in size.
#[derive(Debug, Clone, Copy)]
pub struct Check {
    stepped_at: Instant,
    longest_gap: Duration,
}

impl Check {
    /// Starts a check.
    pub fn new(now: Instant) -> Self {
        Self {
            stepped_at: now,
            longest_gap: Duration::ZERO,
        }
    }

    /// Records that a piece has been checked.
    pub fn step(&mut self, now: Instant) {
        self.longest_gap = self.longest_gap(now);
        self.stepped_at = now;
    }

    /// Longest time without a step.
    pub fn longest_gap(&self, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.stepped_at);
        self.longest_gap.max(gap)
    }

    /// Whether an order may rely on this check.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.longest_gap(now) < MAX_CHECK_GAP
    }
}

/// A version that the engine should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Version name.
    pub version: Version,
    /// Fencing token of the load orders for this version.
    pub fence: Revision,
    /// Number of pieces; an engine that has staged a different number refuses to load the version.
    pub piece_count: usize,
    /// Versions with the same chunks, including this one.
    pub equivalent_versions: BTreeSet<Version>,
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Random number that identifies the running engine process.
    pub boot_id: u64,
    /// Version that the engine serves; `None` if it serves none or is not fully loaded.
    pub serving: Option<Version>,
    /// Whether the engine is loading a version.
    pub loading: bool,
    /// Highest fencing token that the engine has seen.
    pub fence: Revision,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Another version should be served.
    Target(Target),
    /// All chunks of this version are verified.
    Verified(Version),
    /// Whether the engine may load now without violating the minimum number of serving engines.
    Grant(bool),
    /// All running attempts have ended.
    Drained,
    /// The engine reported its state.
    Report(Report),
    /// The engine acknowledged the order.
    OrderAnswered,
    /// The response to the order was lost, or the engine refused the order.
    OrderFailed,
    /// Periodic timer.
    Tick,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Stop starting attempts.
    Pause,
    /// Start attempts on this version.
    Resume(Version),
    /// Treat the engine as cold: its concurrency limit restarts from the cold limit.
    MarkCold,
    /// Send a load order.
    Load(Target),
    /// Read the engine's state.
    ReadState,
}

/// Time of an event and the actions that it causes.
pub struct Context {
    /// Actions to carry out, in order.
    pub actions: Vec<Action>,
    /// Time of the event.
    pub now: Instant,
}

/// State machine for the load orders of one engine.
#[derive(Debug)]
pub struct Machine {
    /// Whether the engine refuses orders with a lower fencing token than it has seen.
    checks_fencing: bool,
    /// Time after which an order can no longer take effect.
    order_timeout: Duration,
    target: Option<Target>,
    /// Whether all chunks of the target are verified.
    verified: bool,
    /// Whether a load would keep the minimum number of serving engines.
    granted: bool,
    /// Fencing token of the order whose result is unknown, and the time of its decision, or of its
    /// answer or failure: it may be sent long after its decision.
    outstanding: Option<(Revision, Instant)>,
    /// Time of the last order.
    ordered_at: Option<Instant>,
    highest_fence: Revision,
    /// Boot id in the last report.
    boot_id: Option<u64>,
    /// Time of the first event; orders of a previous agent process were sent earlier.
    started_at: Option<Instant>,
    /// Whether an order with an unknown result blocks the next one until `order_timeout`.
    waits_for_timeout: bool,
}

impl Machine {
    /// Creates the machine of an agent that has just started. `order_timeout` is the time after
    /// which an order can no longer take effect.
    pub fn new(checks_fencing: bool, order_timeout: Duration) -> Self {
        Self {
            checks_fencing,
            order_timeout,
            target: None,
            verified: false,
            granted: false,
            outstanding: None,
            ordered_at: None,
            highest_fence: 0,
            boot_id: None,
            started_at: None,
            waits_for_timeout: true,
        }
    }

    /// Creates a machine that does not wait for order timeouts, for tests of the invariants.
    pub fn without_order_timeout(checks_fencing: bool) -> Self {
        let mut machine = Self::new(checks_fencing, Duration::ZERO);
        machine.waits_for_timeout = false;
        machine
    }

    fn set_target(&mut self, target: &Target) {
        let newer = self
            .target
            .as_ref()
            .is_none_or(|current| target.fence > current.fence);
        if newer {
            self.verified = false;
            self.granted = false;
            self.target = Some(target.clone());
        }
    }

    fn mark_verified(&mut self, version: &Version) {
        if self
            .target
            .as_ref()
            .is_some_and(|target| target.version == *version)
        {
            self.verified = true;
        }
    }

    fn loadable_target(&self) -> Option<&Target> {
        self.target.as_ref().filter(|_| self.verified)
    }

    /// Sends an order for the target if it is verified and the minimum interval has passed.
    fn send_order(&mut self, context: &mut Context) -> Outcome<State> {
        let Some(target) = self.loadable_target().cloned() else {
            return Handled;
        };
        if self
            .ordered_at
            .is_some_and(|ordered_at| context.now < ordered_at + MIN_ORDER_INTERVAL)
        {
            return Handled;
        }
        self.ordered_at = Some(context.now);
        assert!(
            self.outstanding.is_none(),
            "at most one order is outstanding"
        );
        assert!(
            target.fence >= self.highest_fence,
            "fencing token must not decrease"
        );
        self.highest_fence = target.fence;
        self.outstanding = Some((target.fence, context.now));
        context.actions.push(Action::Load(target));
        Transition(State::ordering())
    }

    /// Whether an order sent at `sent_at` or earlier can no longer take effect.
    fn order_expired(&self, sent_at: Instant, now: Instant) -> bool {
        self.checks_fencing || !self.waits_for_timeout || now >= sent_at + self.order_timeout
    }

    /// Records the engine's boot id. Returns whether the engine has restarted since the last report
    /// and thereby lost its staged pieces.
    fn detect_restart(&mut self, report: &Report) -> bool {
        let previous = self.boot_id.replace(report.boot_id);
        let restarted = previous.is_some_and(|boot_id| boot_id != report.boot_id);
        if restarted {
            self.verified = false;
        }
        restarted
    }
}

#[state_machine(
    initial = "State::adopting()",
    state(derive(Debug, Clone, PartialEq, Eq))
)]
impl Machine {
    /// Reads the engine's state and waits until orders of a previous agent process have expired.
    #[state(superstate = "common")]
    fn adopting(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        let started_at = *self.started_at.get_or_insert(context.now);
        match event {
            Event::Tick => {
                context.actions.push(Action::ReadState);
                Handled
            }
            Event::Report(report) => {
                self.detect_restart(report);
                if report.loading || !self.order_expired(started_at, context.now) {
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

    /// The engine serves nothing, so that it may load without a grant.
    #[state(superstate = "common")]
    fn empty(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::Report(report) => {
                self.detect_restart(report);
                Handled
            }
            Event::Tick => self.send_order(context),
            _ => Super,
        }
    }

    /// The engine serves `version`, fully loaded.
    #[state(superstate = "common")]
    fn serving(
        &mut self,
        version: &mut Version,
        context: &mut Context,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Report(report) => {
                let restarted = self.detect_restart(report);
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
                let Some(target) = self.loadable_target() else {
                    return Handled;
                };
                if target.equivalent_versions.contains(version) || !self.granted {
                    return Handled;
                }
                context.actions.push(Action::Pause);
                Transition(State::draining())
            }
            _ => Super,
        }
    }

    /// Running attempts on the old version finish.
    #[state(superstate = "common")]
    fn draining(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::Drained => self.send_order(context),
            Event::Target(target) => {
                self.set_target(target);
                if self.verified {
                    return Handled;
                }
                context.actions.push(Action::ReadState);
                Transition(State::adopting())
            }
            _ => Super,
        }
    }

    /// A load order was sent.
    #[state(superstate = "common")]
    fn ordering(&mut self, context: &mut Context, event: &Event) -> Outcome<State> {
        match event {
            Event::OrderAnswered | Event::OrderFailed => {
                if let Some((_, sent_at)) = &mut self.outstanding {
                    *sent_at = context.now;
                }
                context.actions.push(Action::ReadState);
                Transition(State::confirming())
            }
            _ => Super,
        }
    }

    /// Reads the engine's state to find out whether the order took effect.
    #[state(superstate = "common")]
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

    /// Events that are handled alike in all states.
    #[superstate]
    fn common(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Target(target) => self.set_target(target),
            Event::Verified(version) => self.mark_verified(version),
            Event::Grant(granted) => self.granted = *granted,
            _ => {}
        }
        Handled
    }
}

impl Machine {
    fn confirm(&mut self, report: &Report, context: &mut Context) -> Outcome<State> {
        self.detect_restart(report);
        let Some((fence, sent_at)) = self.outstanding else {
            return Transition(State::adopting());
        };
        if report.loading {
            return Handled;
        }
        let loaded = report.fence >= fence && report.serving.is_some();
        if !loaded && !self.order_expired(sent_at, context.now) {
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

/// Runs a [`Machine`]: handles events and returns the actions to carry out.
pub struct Loader {
    machine: statig::blocking::StateMachine<Machine>,
}

impl Loader {
    /// Starts the machine in its initial state.
    pub fn new(machine: Machine) -> Self {
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: &Event, now: Instant) -> Vec<Action> {
        let mut context = Context {
            actions: Vec::new(),
            now,
        };
        self.machine.handle_with_context(event, &mut context);
        context.actions
    }

    /// Current state.
    pub fn state(&self) -> &State {
        self.machine.state()
    }

    /// Version that the engine should serve.
    pub fn target(&self) -> Option<&Target> {
        self.machine.inner().target.as_ref()
    }

    /// Whether pieces may be staged: not while an order may still take what is staged, or the engine
    /// loads it.
    pub fn allows_staging(&self) -> bool {
        match self.state() {
            State::Empty { .. } | State::Serving { .. } | State::Draining { .. } => true,
            State::Adopting { .. } | State::Ordering { .. } | State::Confirming { .. } => false,
        }
    }

    /// Whether all chunks of the target version are verified.
    pub fn is_complete(&self) -> bool {
        self.machine.inner().verified
    }
}
