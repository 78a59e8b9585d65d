//! One send to one engine, up to the head of its answer.

use {
    crate::{front::site::Site, shared::lock},
    jayspread_core::{catalog::Kind, outlier::Outcome, placement::Reservation},
    jayspread_net::{
        channel::{Channel, Error, Head},
        clock, event,
    },
    jayspread_platform::header as wire,
    std::{
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time to connect to an engine.
const CONNECT: Duration = Duration::from_millis(250);
/// Idle time up to which a connection is used for a request that runs at most once: the older one
/// is, the likelier the engine is closing it, and then nobody knows whether the request ran.
const FRESH: Duration = Duration::from_millis(100);
/// Interval of looking at an engine that is silent.
const LOOK: Duration = Duration::from_millis(100);
/// Age up to which an agent's word that its engine answers counts.
const VOUCHED: Duration = Duration::from_millis(700);
/// Silence of an engine that nobody vouches for, as a multiple of what the route aims at, from
/// which the request goes to another one.
const SILENT: f64 = 1.5;
/// The same for an engine whose agent says that it answers: it is busy rather than gone.
const SILENT_VOUCHED: f64 = 4.0;
/// Largest answer to an earlier request that is read and dropped, bytes.
const STRAY_MAX: usize = 1 << 20;

/// Why an engine gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// The request did not reach it.
    Unsent(&'static str),
    /// It says that it has not run the request; with its status.
    NotRun(u16),
    /// What came is no answer, or it broke off.
    Lost(&'static str),
    /// Nothing came in time.
    Late,
}

impl Miss {
    /// Short name for counters.
    pub fn name(self) -> &'static str {
        match self {
            Miss::Unsent(_) => "unsent",
            Miss::NotRun(_) => "not_run",
            Miss::Lost(_) => "lost",
            Miss::Late => "late",
        }
    }
}

impl fmt::Display for Miss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Miss::Unsent(what) => write!(f, "unsent:{what}"),
            Miss::NotRun(status) => write!(f, "not_run:{status}"),
            Miss::Lost(what) => write!(f, "lost:{what}"),
            Miss::Late => write!(f, "late"),
        }
    }
}

/// A place taken at an engine; dropping it gives it back.
pub struct Place {
    site: Arc<Site>,
    /// What was taken.
    pub ticket: Reservation,
    judged: Option<(Outcome, &'static str)>,
}

impl Place {
    /// Holds a place that the table has given.
    pub fn new(site: &Arc<Site>, ticket: Reservation) -> Self {
        Self {
            site: Arc::clone(site),
            ticket,
            judged: None,
        }
    }

    /// Sets the verdict that the engine gets when the place is given back.
    pub fn judge(&mut self, verdict: Outcome, reason: &'static str) {
        self.judged = Some((verdict, reason));
    }

    /// Whether an engine has been silent since `since` for longer than can be borne where `aim` is
    /// aimed at; one whose agent says that it answers is borne longer.
    pub fn silent(&self, since: Instant, aim: Duration) -> bool {
        let now = clock::now();
        let vouched = lock(&self.site.table).reported_responsive(&self.ticket, VOUCHED, now);
        let factor = if vouched { SILENT_VOUCHED } else { SILENT };
        now.saturating_duration_since(since) > aim.mul_f64(factor)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let verdict = self.judged.map(|(verdict, _)| verdict);
        let left_out = lock(&self.site.table).release(&self.ticket, verdict, clock::now());
        if let (true, Some((_, reason))) = (left_out, self.judged) {
            self.site.distrust(&self.ticket.id, reason);
        }
    }
}

/// How long an answer is waited for.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// At the latest until then.
    pub until: Instant,
    /// What the route aims at, if the request may go to another engine when this one is silent.
    pub silent: Option<Duration>,
}

/// An answer whose head has come.
pub struct Offer {
    /// The place at the engine.
    pub place: Place,
    /// The connection, at the beginning of the body.
    pub channel: Channel,
    /// Head of the answer.
    pub head: Head,
}

impl Offer {
    /// Sends a request and waits for the head of its answer.
    pub async fn make(
        mut place: Place,
        head: &[u8],
        body: &[u8],
        id: &str,
        kind: Kind,
        patience: Patience,
    ) -> Result<Self, Miss> {
        let mut channel = match connect(&place, kind).await {
            Ok(channel) => channel,
            Err(cause) => {
                place.judge(Outcome::Failure, cause.kind());
                return Err(Miss::Unsent(cause.kind()));
            }
        };
        channel.queue_request(head, body);
        let waited = wait(&place, answer(&mut channel, id), patience).await;
        let (head, answer) = match waited {
            Some(Ok(answered)) => answered,
            Some(Err(cause)) => {
                place.judge(Outcome::Failure, cause.kind());
                return Err(if cause.is_unsent() {
                    Miss::Unsent(cause.kind())
                } else {
                    Miss::Lost(cause.kind())
                });
            }
            None => {
                place.judge(Outcome::Failure, "silent");
                return Err(Miss::Late);
            }
        };
        if let Some(load) = answer.load {
            lock(&place.site.table).observe_load(&place.ticket, load, clock::now());
        }
        let offer = Self {
            place,
            channel,
            head,
        };
        offer.check(&answer).await
    }

    /// Tells a usable answer from a refusal and from nonsense.
    async fn check(mut self, answer: &wire::Response) -> Result<Self, Miss> {
        let status = self.head.status.as_u16();
        if answer.not_executed {
            let verdict = if status == 421 {
                Outcome::Failure
            } else {
                Outcome::Rejected
            };
            self.place.judge(verdict, "not_run");
            if self.channel.receive_body(STRAY_MAX).await.is_ok() {
                self.close();
            }
            return Err(Miss::NotRun(status));
        }
        // These statuses promise that the request has not run, which the engine did not say.
        let promises = matches!(status, 408 | 421 | 429 | 503);
        if promises || self.head.status.is_success() && !answer.sealed {
            self.place.judge(Outcome::Failure, "unsealed");
            return Err(Miss::Lost("unsealed"));
        }
        Ok(self)
    }

    /// Gives the place and, after a clean end, the connection back.
    pub fn close(self) {
        let site = Arc::clone(&self.place.site);
        lock(&site.pool).put(&self.place.ticket.id, self.channel);
    }
}

/// Waits for an answer; nothing when patience ends first.
async fn wait<T>(place: &Place, answer: impl Future<Output = T>, patience: Patience) -> Option<T> {
    let since = clock::now();
    let mut answer = std::pin::pin!(answer);
    loop {
        let look = (clock::now() + LOOK).min(patience.until);
        if let Ok(answered) = time::timeout_at(look.into(), answer.as_mut()).await {
            return Some(answered);
        }
        let silent = patience.silent.is_some_and(|aim| place.silent(since, aim));
        if silent || clock::now() >= patience.until {
            return None;
        }
    }
}

async fn connect(place: &Place, kind: Kind) -> Result<Channel, Error> {
    let fresh = match kind {
        Kind::Once | Kind::Stream => FRESH,
        Kind::Idempotent | Kind::Resumable => Duration::MAX,
    };
    let kept = lock(&place.site.pool).take(&place.ticket.id, fresh);
    match kept {
        Some(channel) => Ok(channel),
        None => Channel::open(place.ticket.address, CONNECT).await,
    }
}

/// Reads answers until the one to this request comes; those to earlier requests are dropped.
async fn answer(channel: &mut Channel, id: &str) -> Result<(Head, wire::Response), Error> {
    loop {
        let head = channel.receive_head().await?;
        let answer = wire::parse_response(head.status.as_u16(), &head.headers);
        match &answer.request_id {
            Some(other) if **other != *id => {
                event!(Warn, "stray_answer", request = id, answers = other);
                channel.receive_body(STRAY_MAX).await?;
            }
            None if !answer.not_executed => return Err(Error::Malformed("answer without an id")),
            _ => return Ok((head, answer)),
        }
    }
}
