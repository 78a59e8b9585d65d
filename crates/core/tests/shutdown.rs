//! Tests of what a stopping host takes, passes on and answers.

use {
    jayspread_core::{
        call::{Call, Event as CallEvent},
        catalog::Kind,
        connection::{Connection, Limits, Stage},
        shutdown::{Schedule, Step},
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const LIMITS: Limits = Limits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::first_at_once(Step::Begin, 0, true)]
#[case::first_late(Step::Begin, 2_799, true)]
#[case::first_too_late(Step::Begin, 2_800, false)]
#[case::repeat(Step::Repeat, 6_899, true)]
#[case::repeat_that_cannot_be_answered(Step::Repeat, 6_900, false)]
fn step_is_allowed_while_its_answer_can_arrive(
    #[case] step: Step,
    #[case] at_ms: u64,
    #[case] allowed: bool,
) {
    let started = Instant::now();
    let schedule = Schedule::new(started, ms(8_000));
    let is_allowed = schedule.allows(step, ms(400), started + ms(at_ms));
    assert_eq!(is_allowed, allowed);
}

type Change = fn(&mut Connection, Instant);

fn promise_more(connection: &mut Connection, _: Instant) {
    connection.promise(ms(20_000));
}

fn promise_less(connection: &mut Connection, _: Instant) {
    connection.promise(ms(10_000));
}

#[rstest]
#[case::idle(&[], Some(18_000))]
#[case::head(&[Connection::receive as Change], Some(3_000))]
#[case::request(&[Connection::receive, Connection::begin], None)]
#[case::answer(&[Connection::receive, Connection::begin, Connection::end], None)]
#[case::sent(
    &[Connection::receive, Connection::begin, Connection::end, Connection::flush],
    Some(18_000)
)]
#[case::closing(&[Connection::close as Change], None)]
#[case::promised(&[promise_more as Change], Some(23_000))]
#[case::promised_less(&[promise_less as Change], Some(18_000))]
fn connection_expires_only_without_a_request(
    #[case] changes: &[Change],
    #[case] expiry_ms: Option<u64>,
) {
    let now = Instant::now();
    let mut connection = Connection::new(now);
    changes
        .iter()
        .for_each(|change| change(&mut connection, now));
    assert_eq!(
        connection.expiry(LIMITS),
        expiry_ms.map(|expiry| now + ms(expiry))
    );
    let is_idle = connection.stage() == Stage::Idle;
    assert_eq!(connection.is_in_hand(), !is_idle);
}

/// What the caller of a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
}

/// A request on a connection of its own.
struct Request {
    connection: Connection,
    call: Call,
    has_body: bool,
    /// Whether an engine has the request.
    is_sent: bool,
    /// Whether an engine may run the request, or has run it.
    may_run: bool,
    /// Whether no engine that got the request has lost it.
    is_unspoilt: bool,
    arrived_at: Instant,
    answered_at: Option<Instant>,
    /// When the stopping host first passed the request on; none if it did so before the signal.
    begun_at: Option<Instant>,
    outcome: Option<Outcome>,
}

/// Events in the life of the requests of a host.
#[derive(Debug, Clone, Copy)]
enum Event {
    Wait(u64),
    Signal,
    Bytes,
    Head(usize),
    Body(usize),
    Send(usize),
    NotRun(usize),
    Lost(usize),
    Relay(usize),
    Answer(usize),
    Flush(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let request = 0..8_usize;
    let event = prop_oneof![
        3 => (1..1_500_u64).prop_map(Event::Wait),
        1 => Just(Event::Signal),
        3 => Just(Event::Bytes),
        3 => request.clone().prop_map(Event::Head),
        3 => request.clone().prop_map(Event::Body),
        5 => request.clone().prop_map(Event::Send),
        1 => request.clone().prop_map(Event::NotRun),
        1 => request.clone().prop_map(Event::Lost),
        2 => request.clone().prop_map(Event::Relay),
        2 => request.clone().prop_map(Event::Answer),
        3 => request.prop_map(Event::Flush),
    ];
    prop::collection::vec(event, 1..120)
}

/// A host that carries out what the schedule decides.
struct Host {
    now: Instant,
    grace: Duration,
    need: Duration,
    kind: Kind,
    started: Option<Instant>,
    schedule: Option<Schedule>,
    requests: Vec<Request>,
}

impl Host {
    fn allows(&self, step: Step, need: Duration) -> bool {
        self.schedule
            .is_none_or(|schedule| schedule.allows(step, need, self.now))
    }

    /// Ends a request with the outcome that its state proves, and leaves the answer to be sent.
    fn give_up(request: &mut Request, now: Instant) {
        if request.outcome.is_some() {
            return;
        }
        let is_refused = request.call.not_run();
        request.outcome = Some(if is_refused {
            Outcome::Refused
        } else {
            Outcome::Failed
        });
        request.answered_at = Some(now);
        request.connection.end(now);
    }

    fn handle(&mut self, event: Event) {
        let (now, need, kind) = (self.now, self.need, self.kind);
        let may_begin = self.allows(Step::Begin, need);
        let may_repeat = self.allows(Step::Repeat, need);
        let get = |index: usize, requests: &mut Vec<Request>| match requests.len() {
            0 => None,
            count => Some(index % count),
        };
        match event {
            Event::Wait(time) => self.wait(ms(time)),
            Event::Signal if self.schedule.is_none() => {
                self.started = Some(now);
                self.schedule = Some(Schedule::new(now, self.grace));
            }
            Event::Signal => {}
            Event::Bytes => {
                let mut connection = Connection::new(now);
                connection.receive(now);
                self.requests.push(Request {
                    connection,
                    call: Call::new(kind, 2, None),
                    has_body: false,
                    is_sent: false,
                    may_run: false,
                    is_unspoilt: true,
                    arrived_at: now,
                    answered_at: None,
                    begun_at: None,
                    outcome: None,
                });
            }
            Event::Head(index)
            | Event::Body(index)
            | Event::Send(index)
            | Event::NotRun(index)
            | Event::Lost(index)
            | Event::Relay(index)
            | Event::Answer(index)
            | Event::Flush(index) => {
                let Some(index) = get(index, &mut self.requests) else {
                    return;
                };
                let request = &mut self.requests[index];
                let stage = request.connection.stage();
                if matches!(event, Event::Flush(_)) {
                    request.connection.flush(now);
                    return;
                }
                if request.outcome.is_some() {
                    return;
                }
                match event {
                    Event::Head(_) if stage == Stage::Head => {
                        request.connection.begin(now);
                        if !may_begin {
                            Self::give_up(request, now);
                        }
                    }
                    Event::Body(_) if stage == Stage::Request => request.has_body = true,
                    Event::Send(_) if request.has_body && !request.is_sent => {
                        let is_first = request.call.sends() == 0;
                        let may_send = if is_first { may_begin } else { may_repeat };
                        let can_repeat = request.call.sends() < 2
                            && (request.call.not_run() || kind.retryable());
                        if !may_send || !can_repeat {
                            Self::give_up(request, now);
                            return;
                        }
                        request.call.handle(CallEvent::Send);
                        request.is_sent = true;
                        request.may_run = true;
                        if is_first && self.schedule.is_some() {
                            request.begun_at = Some(now);
                        }
                    }
                    Event::NotRun(_) if request.is_sent && !request.call.response_started() => {
                        // An engine that got the request before may still have run it.
                        request.may_run = !request.is_unspoilt;
                        request.call.handle(CallEvent::NotRun);
                        request.is_sent = false;
                    }
                    Event::Lost(_) if request.is_sent => {
                        request.call.handle(CallEvent::Lost);
                        request.is_sent = false;
                        request.is_unspoilt = false;
                    }
                    Event::Relay(_) if request.is_sent => {
                        request.call.handle(CallEvent::Relayed(None));
                    }
                    Event::Answer(_) if request.is_sent => {
                        request.call.handle(CallEvent::Done);
                        request.outcome = Some(Outcome::Answered);
                        request.connection.end(now);
                    }
                    _ => {}
                }
            }
        }
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        let Some(schedule) = self.schedule else {
            self.now = end;
            return;
        };
        for due in [schedule.refuse_from(), schedule.answer_by(), end] {
            if due > self.now && due <= end {
                self.now = due;
            }
            self.end_due(&schedule);
        }
    }

    /// Gives the answers that are due.
    fn end_due(&mut self, schedule: &Schedule) {
        let now = self.now;
        for request in &mut self.requests {
            let is_waiting =
                request.connection.stage() == Stage::Request && request.call.sends() == 0;
            let is_refused = is_waiting && now >= schedule.refuse_from();
            if is_refused || now >= schedule.answer_by() {
                if request.connection.stage() == Stage::Head {
                    request.connection.begin(now);
                }
                Self::give_up(request, now);
            }
        }
    }
}

/// Plays the events on a host, then the signal if it did not come, up to the end of the answers.
fn play(
    events: impl IntoIterator<Item = Event>,
    grace_ms: u64,
    need_ms: u64,
    kind: Kind,
) -> Result<(), TestCaseError> {
    let mut host = Host {
        now: Instant::now(),
        grace: ms(grace_ms),
        need: ms(need_ms),
        kind,
        started: None,
        schedule: None,
        requests: Vec::new(),
    };
    for event in events {
        host.handle(event);
    }
    host.handle(Event::Signal);
    let (Some(started), Some(schedule)) = (host.started, host.schedule) else {
        unreachable!("the signal came");
    };
    let end = started + host.grace;
    prop_assert!(started < schedule.refuse_from());
    prop_assert!(schedule.refuse_from() <= schedule.answer_by());
    prop_assert!(schedule.listen_until() <= schedule.answer_by());
    prop_assert!(schedule.answer_by() < schedule.exit_by() && schedule.exit_by() < end);
    let left = schedule.answer_by().saturating_duration_since(host.now);
    host.handle(Event::Wait(left.as_millis() as u64 + 1));
    for request in &mut host.requests {
        request.connection.flush(host.now);
        prop_assert!(!request.connection.is_in_hand(), "in hand at the end");
        prop_assert!(request.outcome.is_some(), "no answer");
        let is_late = request
            .answered_at
            .is_some_and(|at| at > schedule.answer_by());
        prop_assert!(
            !is_late || request.arrived_at > schedule.answer_by(),
            "answered late"
        );
        if request.outcome == Some(Outcome::Refused) {
            prop_assert!(!request.may_run, "false refusal");
        }
        if let Some(begun) = request.begun_at {
            prop_assert!(
                begun < started + ms(2_800).min(host.grace / 2),
                "passed on late"
            );
            prop_assert!(
                begun + host.need < schedule.answer_by(),
                "passed on in vain"
            );
        }
    }
    Ok(())
}

/// Guards against counting a request that was passed on before the signal, at the same instant, as one
/// that the stopping host began.
#[test]
fn request_passed_on_right_before_the_signal_is_not_begun_by_the_stopping_host() {
    let events = [
        Event::Bytes,
        Event::Head(0),
        Event::Body(0),
        Event::Send(0),
        Event::Signal,
    ];
    play(events, 1_000, 500, Kind::Once).unwrap();
}

proptest! {
    /// Guards against a request that a stopping host drops in silence, passes on too late, or refuses
    /// although an engine may run it.
    #[test]
    fn every_request_of_a_stopping_host_gets_a_true_answer_in_time(
        events in events(),
        grace_ms in 1_000..30_000_u64,
        need_ms in 1..1_000_u64,
        kind in prop_oneof![
            Just(Kind::Once), Just(Kind::Idempotent), Just(Kind::Stream), Just(Kind::Resumable)
        ],
    ) {
        play(events, grace_ms, need_ms, kind)?;
    }
}
