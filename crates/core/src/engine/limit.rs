//! Limit that an engine names in its answers: the number of requests per second that it takes from
//! all hosts together. Each host sends its share, whole requests in a window, whose sum over all
//! hosts is within the limit.

use {
    crate::{audience, engine::Place, window::Window},
    std::time::{Duration, Instant},
};

/// Window in which the requests of a host are counted. A shorter one would leave most hosts without
/// a whole request at low limits.
const WINDOW: Duration = Duration::from_secs(4);
/// Age by which a report must be newer than an answer to take back what that answer named. The
/// agent read the engine's state some time before it sent the report.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time between the turns of two hosts without a share.
const TURN: Duration = Duration::from_secs(2);
/// Age from which the end of a limit is no longer told to other hosts.
const TELLING_TIME: Duration = Duration::from_secs(30);

/// Turns of a host without a share.
#[derive(Debug, Clone, Copy)]
struct Turn {
    /// Time from which the host may send one request, to learn whether the limit still holds.
    at: Instant,
    /// Number of hosts that take turns.
    hosts: usize,
}

/// Limit of one engine, and the requests that this host has sent there.
#[derive(Debug, Clone)]
pub struct Limit {
    /// Requests per second from all hosts, and the time at which the engine named this limit.
    named: Option<(f64, Instant)>,
    /// The reports of the engine's agent state the limit, so that one without it ends the limit.
    is_reported: bool,
    sent: Window,
    /// Next turn of this host; known from the first time that the limit keeps it from sending.
    turn: Option<Turn>,
    /// Time of the last request in a turn.
    last_turn: Option<Instant>,
    /// Time at which the engine named no limit any more, as its own answer told this host.
    ended_at: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            named: None,
            is_reported: false,
            sent: Window::new(WINDOW),
            turn: None,
            last_turn: None,
            ended_at: None,
        }
    }
}

impl Limit {
    /// Requests per second that the engine takes from all hosts, if it has named a limit.
    pub fn rate(&self) -> Option<f64> {
        self.named.map(|(rate, _)| rate)
    }

    /// Applies what the answer to a request sent at `sent_at` names; returns whether the limit has
    /// changed.
    pub fn apply_answer(&mut self, rate: Option<f64>, sent_at: Instant, now: Instant) -> bool {
        match rate {
            Some(rate) => self.set(rate, now),
            // An answer to an earlier request may be older than the limit.
            None if self.named.is_some_and(|(_, at)| sent_at > at) => {
                self.ended_at = Some(sent_at);
                self.end()
            }
            None => false,
        }
    }

    /// Applies what a report of the agent sent at `sent_at` names; returns whether the limit has
    /// changed.
    pub fn apply_report(&mut self, rate: Option<f64>, sent_at: Instant) -> bool {
        match (rate, self.named) {
            (Some(rate), named) => {
                self.is_reported = true;
                named.is_none_or(|(_, at)| sent_at > at) && self.set(rate, sent_at)
            }
            (None, Some((_, at))) if self.is_reported && sent_at > at + REPORT_LAG => self.end(),
            _ => false,
        }
    }

    /// Time at which the engine named no limit any more, if other hosts are to be told.
    pub fn ended_at(&self, now: Instant) -> Option<Instant> {
        self.ended_at
            .filter(|at| now.saturating_duration_since(*at) < TELLING_TIME)
    }

    /// Applies what another host tells: the engine named no limit to it at `ended_at`. If that is
    /// news, the turn of this host comes at once, and the answer decides; the news may be late, and
    /// the engine have named another limit since.
    pub fn hear_end(&mut self, ended_at: Instant, now: Instant) {
        let Some((_, named_at)) = self.named else {
            return;
        };
        let known_at = self.last_turn.max(Some(named_at));
        if let Some(turn) = &mut self.turn
            && known_at < Some(ended_at)
        {
            turn.at = turn.at.min(now);
        }
    }

    fn set(&mut self, rate: f64, now: Instant) -> bool {
        self.ended_at = None;
        let previous = self.named.replace((rate, now));
        previous.is_none_or(|(previous, _)| previous != rate)
    }

    fn end(&mut self) -> bool {
        self.turn = None;
        self.named.take().is_some()
    }

    /// Counts a request that is about to be sent from `place`.
    pub fn record_request(&mut self, place: Place, now: Instant) {
        self.sent.record(now);
        if let Some(turn) = &mut self.turn
            && now >= turn.at
        {
            turn.at = now + turns(place.hosts.max(1));
            self.last_turn = Some(now);
        }
    }

    /// Time until this host may send another request; zero if it may now. `subject` decides which
    /// hosts get the remainder of the limit. A host without a share sends a request at its turn,
    /// unless reports, which `reports_arrive` says that it gets, will tell it of the end of the
    /// limit.
    pub fn wait(
        &mut self,
        place: Place,
        subject: u64,
        reports_arrive: bool,
        now: Instant,
    ) -> Duration {
        let Some((rate, named_at)) = self.named else {
            return Duration::ZERO;
        };
        let limit = (rate * WINDOW.as_secs_f64()).max(1.0);
        let share = audience::share(limit, place.index, place.hosts, subject);
        if share > 0 {
            return self.sent.time_to_room(share as usize, now);
        }
        if self.is_reported && reports_arrive {
            return WINDOW;
        }
        let turn = self.turn.get_or_insert(Turn {
            at: named_at + first_turn(place),
            hosts: place.hosts,
        });
        if place.hosts < turn.hosts {
            // Fewer hosts take turns. Those whose turns have passed by this must not come at once,
            // nor one of them more than once in a round.
            let first = now + first_turn(place);
            let next_round = self.last_turn.map(|at| at + turns(place.hosts.max(1)));
            turn.at = turn.at.min(first.max(next_round.unwrap_or(first)));
        }
        turn.hosts = place.hosts;
        turn.at.saturating_duration_since(now)
    }
}

/// Time that a number of turns take.
fn turns(count: usize) -> Duration {
    TURN * u32::try_from(count).unwrap_or(u32::MAX)
}

/// Time to the first turn of the host at `place`.
fn first_turn(place: Place) -> Duration {
    turns(place.index % place.hosts.max(1) + 1)
}
