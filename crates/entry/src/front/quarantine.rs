//! Exchange of what entry hosts know of prompt parts and requests that crash engines, its use for
//! requests, and checks of the engines at which attempts were abandoned.

use {
    crate::{
        front::{attempt::Subject, exchange::Exchange, state::State, upstream::CONNECT_TIMEOUT},
        shared::lock,
    },
    jayspread_core::{
        id,
        placement::{Refusal, Reservation},
        quarantine::{Change, Finding, Instance, Ledger, Part, Statement, Verdict},
    },
    jayspread_net::{channel::Channel, clock, event, members},
    jayspread_schema::peer::{Part as PartMessage, Parts, Role, packet::Body},
    rand::seq::IteratorRandom,
    std::{
        future,
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Interval between two rounds of gossip while there is news.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of random entry hosts that get the news of a round.
const FAN_OUT: usize = 3;
/// Maximum number of statements in one datagram.
const MAX_STATEMENTS: usize = 16;
/// Largest number of events that an engine sends before it crashes on a part of the prompt: it does so
/// when it begins to answer. A stream with more shows that its parts are sound.
pub const MAX_EVENTS_BEFORE_CRASH: u32 = 8;
/// Shortest interval between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which an agent reports that its engine has ended.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(1_000);
/// Time after the start of this process in which it takes over the quarantines of others at once.
const ADOPTION_TIME: Duration = Duration::from_secs(5);

/// Passes on news of crashes, and checks engines whose attempts were abandoned, until the task is
/// aborted.
pub async fn run(state: Arc<State>) {
    loop {
        let now = clock::now();
        let (news, checks, next_check, is_idle) = {
            let mut ledger = lock(&state.quarantine);
            let news = ledger.news(MAX_STATEMENTS, now);
            let checks = ledger.due_checks(now);
            report_changes(&state, &mut ledger, now);
            let is_idle = !ledger.has_news() && !ledger.has_unconfirmed(now);
            (news, checks, ledger.next_check(), is_idle)
        };
        if !news.is_empty() {
            send(&state, &news, false, &random_hosts(&state));
        }
        for instance in checks {
            tokio::spawn(check_engine(Arc::clone(&state), instance));
        }
        if !is_idle {
            time::sleep(ROUND_INTERVAL).await;
            continue;
        }
        let check_due = async {
            match next_check {
                // Checks that are due at about the same time are done together.
                Some(at) => time::sleep_until(at.max(now + CHECK_INTERVAL).into()).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = state.quarantine_due.notified() => {}
            () = check_due => {}
        }
    }
}

/// Checks whether an engine process at which attempts were abandoned has ended.
async fn check_engine(state: Arc<State>, instance: Instance) {
    let checked_at = clock::now();
    let is_connected = lock(&state.pool).is_connected(&instance);
    let finding = if is_connected {
        Finding::Alive
    } else {
        connect(&state, &instance).await
    };
    state.record_finding(&instance, finding, checked_at);
}

/// Opens a connection to an engine, which shows whether the process has ended: one that runs accepts
/// it, unless another process listens at the address by now.
pub async fn connect(state: &State, instance: &Instance) -> Finding {
    match Channel::open(instance.address, CONNECT_TIMEOUT).await {
        Ok(_) if lock(&state.engines).is_replaced(instance) => Finding::Ended,
        Ok(channel) => {
            lock(&state.pool).put(instance, channel);
            Finding::Alive
        }
        Err(cause) if cause.is_refused() => Finding::Ended,
        Err(_) => Finding::Unknown,
    }
}

/// Passes on what is left of the news before the process ends.
pub fn flush(state: &State) {
    let news = lock(&state.quarantine).news(MAX_STATEMENTS, clock::now());
    if !news.is_empty() {
        send(state, &news, false, &random_hosts(state));
    }
}

fn random_hosts(state: &State) -> Vec<Ipv4Addr> {
    let roster = lock(&state.roster);
    let hosts = roster.usable_members(Role::Entry);
    hosts
        .map(|(_, contact)| contact.address)
        .choose_multiple(&mut rand::rng(), FAN_OUT)
}

/// Tells an entry host that has just started which parts are quarantined.
pub fn greet(state: &State, address: Ipv4Addr) {
    let statements = lock(&state.quarantine).statements(MAX_STATEMENTS, clock::now());
    if !statements.is_empty() {
        send(state, &statements, true, &[address]);
    }
}

/// Tells an entry host which parts are quarantined if its digest shows that it knows others.
pub fn catch_up(state: &State, digest: u64, address: Ipv4Addr) {
    let statements = lock(&state.quarantine).catch_up(digest, MAX_STATEMENTS, clock::now());
    if !statements.is_empty() {
        send(state, &statements, true, &[address]);
    }
}

fn send(state: &State, statements: &[Statement], quarantined: bool, to: &[Ipv4Addr]) {
    let packet = state.socket.encode(Body::Parts(Parts {
        parts: statements.iter().map(encode).collect(),
        quarantined,
    }));
    for address in to {
        members::send(&state.socket, &packet, *address);
    }
}

/// Handles what another entry host knows.
pub fn receive(state: &State, parts: &Parts) {
    let now = clock::now();
    let has_just_started = now.saturating_duration_since(state.started) < ADOPTION_TIME;
    let statements: Vec<Statement> = parts.parts.iter().map(decode).collect();
    state.update_quarantine(now, |ledger| {
        if parts.quarantined && has_just_started {
            ledger.adopt(&statements, now);
        } else {
            for statement in &statements {
                ledger.merge(statement, now);
            }
        }
    });
}

fn encode(statement: &Statement) -> PartMessage {
    let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let (crashes, ages) = statement.crashes.iter().copied().unzip::<_, _, _, Vec<_>>();
    PartMessage {
        part: statement.part,
        crashes,
        ages_ms: ages.into_iter().map(age_ms).collect(),
        completed_ms: statement.completed.map(age_ms),
    }
}

/// Decodes a statement; a crash without an age is left out.
fn decode(message: &PartMessage) -> Statement {
    let age = |ms: u32| Duration::from_millis(ms.into());
    let ages = message.ages_ms.iter().map(|ms| age(*ms));
    Statement {
        part: message.part,
        crashes: message.crashes.iter().copied().zip(ages).collect(),
        completed: message.completed_ms.map(age),
    }
}

fn report_changes(state: &State, ledger: &mut Ledger, now: Instant) {
    for change in ledger.changes(now) {
        let (part, quarantined) = match change {
            Change::Quarantined(part) => (part, true),
            Change::Cleared(part) => (part, false),
        };
        event!(
            Warn,
            "prompt_part",
            part_hash = format!("{part:016x}"),
            quarantined = quarantined
        );
    }
    let count = ledger.quarantined(now).count();
    state.metrics.quarantined_parts.set(count as i64);
}

impl State {
    /// Applies `update` and passes on what is news of it.
    fn update_quarantine(&self, now: Instant, update: impl FnOnce(&mut Ledger)) {
        let mut ledger = lock(&self.quarantine);
        update(&mut ledger);
        report_changes(self, &mut ledger, now);
        if ledger.has_news() || ledger.has_unconfirmed(now) {
            self.quarantine_due.notify_one();
        }
    }

    /// Records that an engine process ended on an attempt, as its connection shows by `reason`.
    pub fn record_crash(&self, subject: &Subject, instance: &Instance, reason: &str) {
        let now = clock::now();
        let mut crash_count = 0;
        self.update_quarantine(now, |ledger| {
            ledger.record_crash(&subject.parts, instance.crash(), now);
            let content = subject.parts.last();
            crash_count = content.map_or(0, |content| ledger.crash_count(*content));
        });
        event!(
            Info,
            "engine_crashed",
            request = subject.request_id,
            engine = instance.engine,
            reason = reason,
            crashes = crash_count
        );
    }

    /// Records that an engine answered a request with these parts.
    pub fn record_completion(&self, parts: &[Part]) {
        let now = clock::now();
        self.update_quarantine(now, |ledger| ledger.record_completion(parts, now));
    }

    /// Records later that an engine answered completely, unless it has ended by then: the answer
    /// ended only with its connection, as it does in a crash.
    pub fn record_unproven_completion(
        self: &Arc<Self>,
        parts: &Arc<[Part]>,
        reservation: &Reservation,
    ) {
        let (state, parts) = (Arc::clone(self), Arc::clone(parts));
        let reservation = reservation.clone();
        tokio::spawn(async move {
            time::sleep(CRASH_NOTICE_TIME).await;
            let now = clock::now();
            let is_alive =
                lock(&state.engines).reported_responsive(&reservation, CRASH_NOTICE_TIME / 2, now);
            if is_alive {
                state.record_completion(&parts);
            }
        });
    }

    /// Records that an attempt ended before it was known whether the engine would crash on it.
    pub fn record_abandoned(&self, parts: &[Part], instance: &Instance) {
        self.metrics.abandoned_attempts.inc();
        let now = clock::now();
        lock(&self.quarantine).record_abandoned(parts, instance, now);
        self.quarantine_due.notify_one();
    }

    /// Records what is known of an engine process since `checked_at`.
    pub fn record_finding(&self, instance: &Instance, finding: Finding, checked_at: Instant) {
        let now = clock::now();
        let mut crash_count = 0;
        self.update_quarantine(now, |ledger| {
            crash_count = ledger.record_finding(instance, finding, checked_at, now);
        });
        if crash_count > 0 {
            event!(
                Info,
                "engine_crashed",
                engine = instance.engine,
                reason = "refused",
                abandoned = crash_count
            );
        }
    }

    /// Number of live entry hosts that precede this one in testing a quarantined part.
    fn prober_rank(&self, part: Part) -> u32 {
        let score = |host: &str| id::score(&part.to_le_bytes(), host);
        let own = score(&self.settings.host);
        let roster = lock(&self.roster);
        let others = roster.usable_members(Role::Entry);
        let preceding = others.filter(|(host, _)| score(host) > own);
        preceding.count() as u32
    }
}

impl Exchange {
    /// Whether a part of the prompt is quarantined. Unlike [`Exchange::check_quarantine`], this does
    /// not make the request a test of it.
    pub fn has_quarantined_part(&self) -> bool {
        let ledger = lock(&self.state.quarantine);
        let mut quarantined = ledger.quarantined(clock::now());
        quarantined.any(|part| self.prompt_parts.contains(&part))
    }

    /// Refuses the request if a part of its prompt is quarantined. One that is let through as a test
    /// is not sent again if it fails.
    pub fn check_quarantine(&mut self) -> Result<(), Refusal> {
        if self.is_probe {
            return Ok(());
        }
        let state = &self.state;
        let verdict = lock(&state.quarantine).check(
            &self.prompt_parts,
            |part| state.prober_rank(part),
            clock::now(),
        );
        match verdict {
            Verdict::Accept => Ok(()),
            Verdict::Probe => {
                self.is_probe = true;
                self.trace_event("quarantine_test", format_args!(""));
                Ok(())
            }
            Verdict::Refuse { part, retry_after } => {
                let index = self.prompt_parts.iter().position(|own| *own == part);
                let id = index.and_then(|index| self.request.shared_parts.get(index));
                let id = id.map_or("request".into(), Clone::clone);
                self.trace_event(
                    "quarantined",
                    format_args!("part={id} part_hash={part:016x}"),
                );
                Err(Refusal::Quarantined(retry_after))
            }
        }
    }
}
