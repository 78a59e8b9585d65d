//! One caller's request: where it stands, what may still be tried, and what may be promised.
//!
//! Whether the request may have run follows from the state alone. A refusal that says it has not
//! run is allowed only in states that prove it.

// The state enum that statig generates carries no documentation.
#![allow(missing_docs)]

use {crate::catalog::Kind, statig::prelude::*};

/// What happened to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Its bytes are about to go to an engine.
    Send,
    /// The connection failed before any of its bytes went out.
    Unsent,
    /// The engine says that it has not run the request.
    NotRun,
    /// The engine's answer cannot be used, or did not come.
    Lost,
    /// An event of the answer was passed on to the caller.
    Relayed(Option<u64>),
    /// The whole answer was passed on.
    Done,
}

/// What may be done next after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to another engine.
    Retry,
    /// Send it to another engine, to go on behind this event.
    Resume(u64),
    /// Refuse: it has not run and never will.
    Refuse,
    /// Fail without a promise.
    Fail,
}

/// State of one caller's request.
#[derive(Debug)]
pub struct Machine {
    kind: Kind,
    /// Engines that it may be sent to.
    most: u32,
    /// Engines that it was sent to.
    sent: u32,
    /// Last event that the caller has.
    last: Option<u64>,
    /// An answer's head has gone to the caller.
    begun: bool,
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Machine {
    /// No engine can have run it.
    #[state]
    fn idle(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Send => {
                self.sent += 1;
                assert!(self.sent <= self.most, "sent to more engines than allowed");
                Transition(State::open())
            }
            _ => Handled,
        }
    }

    /// An engine has it and may be running it.
    #[state]
    fn open(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Send => panic!("two engines have the request at once"),
            Event::Unsent => {
                self.sent -= 1;
                Transition(State::idle())
            }
            Event::NotRun => Transition(State::idle()),
            Event::Lost => Transition(State::unknown()),
            Event::Relayed(id) => {
                self.relay(*id);
                Transition(State::streaming())
            }
            Event::Done => Transition(State::done()),
        }
    }

    /// Part of the answer has gone to the caller.
    #[state]
    fn streaming(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Relayed(id) => {
                self.relay(*id);
                Handled
            }
            Event::Lost | Event::NotRun => Transition(State::unknown()),
            Event::Done => Transition(State::done()),
            Event::Send | Event::Unsent => panic!("a stream has one engine at a time"),
        }
    }

    /// It may have run, and no engine has it any more.
    #[state]
    fn unknown(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Send => {
                assert!(self.kind.retryable(), "sent again after it may have run");
                self.sent += 1;
                assert!(self.sent <= self.most, "sent to more engines than allowed");
                Transition(State::repeated())
            }
            _ => Handled,
        }
    }

    /// It may have run, and another engine has it.
    #[state]
    fn repeated(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Unsent => {
                self.sent -= 1;
                Transition(State::unknown())
            }
            Event::NotRun | Event::Lost => Transition(State::unknown()),
            Event::Relayed(id) => {
                self.relay(*id);
                Transition(State::streaming())
            }
            Event::Done => Transition(State::done()),
            Event::Send => panic!("two engines have the request at once"),
        }
    }

    /// The caller has the whole answer.
    #[state]
    fn done(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Send => panic!("sent after it was answered"),
            _ => Handled,
        }
    }
}

impl Machine {
    fn relay(&mut self, id: Option<u64>) {
        self.begun = true;
        if let Some(id) = id {
            let rises = self.last.is_none_or(|last| id > last);
            assert!(rises, "an event was passed on twice or out of order");
            self.last = Some(id);
        }
    }
}

/// A request under way.
pub struct Call {
    machine: statig::blocking::StateMachine<Machine>,
}

impl Call {
    /// Starts a request that may be sent to `most` engines; `after` is the event behind which the
    /// caller itself asks to go on.
    pub fn new(kind: Kind, most: u32, after: Option<u64>) -> Self {
        let machine = Machine {
            kind,
            most: most.max(1),
            sent: 0,
            last: after,
            begun: false,
        };
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Last event that the caller has.
    pub fn last_event_id(&self) -> Option<u64> {
        self.machine.inner().last
    }

    /// Engines that the request was sent to.
    pub fn sends(&self) -> u32 {
        self.machine.inner().sent
    }

    /// Whether part of the answer has gone to the caller.
    pub fn response_started(&self) -> bool {
        self.machine.inner().begun
    }

    /// Whether it is proven that no engine has run the request.
    pub fn not_run(&self) -> bool {
        matches!(self.machine.state(), State::Idle {})
    }

    /// What may be done after a failure, as far as the request itself decides.
    pub fn next_action(&self) -> Action {
        let inner = self.machine.inner();
        let left = inner.sent < inner.most;
        if self.not_run() {
            return if left { Action::Retry } else { Action::Refuse };
        }
        if !left || !inner.kind.retryable() {
            return Action::Fail;
        }
        match (inner.begun, inner.last) {
            (false, _) => Action::Retry,
            (true, Some(last)) if inner.kind == Kind::Resumable => Action::Resume(last),
            (true, _) => Action::Fail,
        }
    }
}
