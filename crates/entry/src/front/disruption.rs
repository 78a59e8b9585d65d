//! Watches whether the store is disrupted, which restarts the time for older versions, and how many
//! engines are out of service at once.

use {
    crate::{front::state::State, shared::lock},
    jayspread_core::{
        disruption::{Disruption, Evidence, Fleet, PULSE_INTERVAL, Pulse, RETENTION},
        id::DataCentre,
    },
    jayspread_net::{channel, clock, event},
    jayspread_platform::Error,
    jayspread_schema::peer::Role,
    std::{
        collections::BTreeSet,
        io::ErrorKind,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Shortest stable window for which the time of older versions is extended: it must cover what is
/// unknown of the ages of other hosts' failures, which are at most a pause of 0.4 s that goes
/// unnoticed and the delay of a datagram.
const MIN_STABLE_WINDOW: Duration = Duration::from_millis(2_000);

/// Shortest interval between log lines on restarts of that time: a disruption restarts it at each
/// failed call.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// What this host has observed.
#[derive(Debug)]
pub struct Observer {
    pulse: Pulse,
    evidence: Evidence,
    /// Number of this host's calls that may show a disruption.
    failures: u64,
    /// Time at which an extension was last logged.
    logged_at: Option<Instant>,
    /// Start of the current time with engines out of service, and the largest number.
    out: Option<(Instant, usize)>,
}

impl Observer {
    /// Starts with a process that has just been created.
    pub fn new(now: Instant) -> Self {
        Self {
            pulse: Pulse::new(now),
            evidence: Evidence::default(),
            failures: 0,
            logged_at: None,
            out: None,
        }
    }
}

/// Records that this process runs, and evaluates what is known of the store, until the task is
/// aborted.
pub async fn run(state: Arc<State>) {
    let mut interval = time::interval(PULSE_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = clock::now();
        let pause = lock(&state.observer).pulse.tick(now);
        if let Some(pause) = pause {
            event!(Warn, "stood_still", for_ms = pause.as_millis());
        }
        state.evaluate_store(now);
    }
}

/// Whether a failed call may show a disruption of the store. What this host caused itself does not: it
/// has no descriptors or no route, or can't read a response, which may last for ever.
fn shows_disruption(cause: &Error) -> bool {
    match cause {
        Error::Channel(
            channel::Error::Connect(cause)
            | channel::Error::Unsent(cause)
            | channel::Error::Broken(cause),
        ) => matches!(
            cause.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::ConnectionReset
                | ErrorKind::ConnectionAborted
                | ErrorKind::BrokenPipe
                | ErrorKind::UnexpectedEof
                | ErrorKind::TimedOut
        ),
        Error::Channel(channel::Error::Truncated) => true,
        Error::Refused(status) => *status == 429 || *status >= 500,
        Error::Channel(channel::Error::Empty | channel::Error::Malformed(_))
        | Error::Malformed(_) => false,
    }
}

impl State {
    /// Records that a call to the store, which began at `started`, has failed.
    pub fn note_store_failure(&self, cause: &Error, started: Instant) {
        let mut observer = lock(&self.observer);
        let is_steady = observer.pulse.is_steady_since(started, clock::now());
        if is_steady && shows_disruption(cause) {
            let (host, data_centre) = (&self.settings.host, &self.settings.data_centre);
            observer.failures += 1;
            let number = observer.failures;
            observer.evidence.record(host, data_centre, started, number);
        }
    }

    /// Records that a call of another entry host, with this number, has failed, `age_ms` before it
    /// said so.
    pub fn hear_store_failure(&self, host: &str, age_ms: u64, number: u64) {
        let data_centre = lock(&self.roster)
            .contact(host)
            .map(|contact| contact.data_centre.clone());
        let Some(data_centre) = data_centre else {
            return;
        };
        let mut observer = lock(&self.observer);
        let sent_by = observer.pulse.sent_by(clock::now());
        let at = sent_by.checked_sub(Duration::from_millis(age_ms));
        if let Some(at) = at {
            observer.evidence.record(host, &data_centre, at, number);
        }
    }

    /// Time since the start of this host's last call that may show a disruption, milliseconds, and
    /// its number.
    pub fn last_failure(&self) -> Option<(u64, u64)> {
        let observer = lock(&self.observer);
        let (failed_at, number) = observer.evidence.last_failure(&self.settings.host)?;
        let age = clock::now().saturating_duration_since(failed_at);
        (age < RETENTION).then_some((age.as_millis() as u64, number))
    }

    /// Restarts the time for older versions if enough hosts have seen a disruption.
    fn evaluate_store(&self, now: Instant) {
        let window = self.settings.bounds.stable_window;
        if window.is_none_or(|window| window < MIN_STABLE_WINDOW) {
            return;
        }
        let fleet = self.fleet();
        let mut observer = lock(&self.observer);
        let Some(disruption) = observer.evidence.evaluate(fleet, now) else {
            return;
        };
        let must_log = observer
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if must_log {
            observer.logged_at = Some(now);
        }
        drop(observer);
        let limit = self.settings.bounds.rollout_limit;
        lock(&self.targets).restart(disruption.seen_at, limit);
        self.metrics.version_time_restarts.inc();
        if must_log {
            log_restart(disruption, fleet, limit, now);
        }
    }

    /// Entry hosts that are alive, including this one.
    fn fleet(&self) -> Fleet {
        let hosts = self.host_count();
        let roster = lock(&self.roster);
        let others = roster.usable_members(Role::Entry);
        let mut centres: BTreeSet<&DataCentre> = others.map(|(_, c)| &c.data_centre).collect();
        centres.insert(&self.settings.data_centre);
        Fleet {
            hosts,
            data_centres: centres.len(),
        }
    }

    /// Counts the engines with a model that are out of service, and logs the largest number when all
    /// are back.
    pub fn note_engines_out(&self, now: Instant) {
        let (mut out, mut total) = (0, 0);
        for engine in lock(&self.engines).iter() {
            // Only agents report, and only engines with a model have one.
            if engine.is_reported(now) {
                total += 1;
                out += usize::from(engine.reported_unavailable(now));
            }
        }
        self.metrics.engines_out.set(out as i64);
        let mut observer = lock(&self.observer);
        if out > 0 {
            let (_, most) = observer.out.get_or_insert((now, 0));
            *most = out.max(*most);
            return;
        }
        if let Some((since, most)) = observer.out.take() {
            event!(
                Info,
                "engines_were_out",
                most = most,
                reporting = total,
                for_ms = now.saturating_duration_since(since).as_millis()
            );
        }
    }
}

fn log_restart(disruption: Disruption, fleet: Fleet, limit: Duration, now: Instant) {
    event!(
        Warn,
        "version_time_restarted",
        disrupted_ms_ago = now
            .saturating_duration_since(disruption.seen_at)
            .as_millis(),
        witnesses = disruption.witnesses,
        entry_hosts = fleet.hosts,
        data_centres = fleet.data_centres,
        limit_ms = limit.as_millis()
    );
}
