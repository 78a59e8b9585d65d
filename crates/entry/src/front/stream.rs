//! Streamed answers: whole events are passed on as they come, and a stream that breaks off or
//! stalls goes on at another engine behind the last event that the caller has.

use {
    crate::front::{
        body::{Body, Cut, Pieces, streamed},
        job::Job,
        offer::{Miss, Offer},
    },
    bytes::{Bytes, BytesMut},
    jayspread_core::{
        call::Event as Step,
        outlier::Outcome,
        sse::{Event, Splitter},
    },
    jayspread_net::{channel::Head, clock},
    std::time::{Duration, Instant},
    tokio::time,
};

/// Interval of looking at a stream that gives nothing.
const LOOK: Duration = Duration::from_millis(100);
/// Pause that counts as aimed at where the route states none.
const GAP: Duration = Duration::from_millis(500);

/// A stream of one engine.
pub struct Stream {
    offer: Offer,
    splitter: Splitter,
    first: Option<Event>,
}

/// What comes next on a stream.
enum Found {
    Event(Event),
    End,
    Broken(&'static str),
    Deadline,
}

impl Stream {
    /// Reads up to the first whole event.
    pub async fn begin(offer: Offer, job: &Job) -> Result<Self, Miss> {
        let mut stream = Self {
            offer,
            splitter: Splitter::default(),
            first: None,
        };
        let aim = job.route.latency_target;
        loop {
            match stream.step(job, aim).await {
                Found::Event(event) if job.has(&event) => {}
                Found::Event(event) => {
                    stream.first = Some(event);
                    return Ok(stream);
                }
                Found::End if job.ask.last_event_id.is_some() => return Ok(stream),
                Found::End => return Err(stream.spoiled("empty")),
                Found::Broken(reason) => return Err(stream.spoiled(reason)),
                Found::Deadline => return Err(Miss::Late),
            }
        }
    }

    fn spoiled(&mut self, reason: &'static str) -> Miss {
        self.offer.place.judge(Outcome::Failure, reason);
        Miss::Lost(reason)
    }

    /// Head of the answer.
    pub fn head(&self) -> &Head {
        &self.offer.head
    }

    /// Waits for the next event; `aim` is the pause that the route aims at.
    async fn step(&mut self, job: &Job, aim: Duration) -> Found {
        let since = clock::now();
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Found::Event(event);
            }
            let look = (clock::now() + LOOK).min(job.deadline);
            match time::timeout_at(look.into(), self.offer.channel.receive_data()).await {
                Ok(Ok(Some(piece))) => {
                    if self.splitter.push(&piece).is_err() {
                        return Found::Broken("event_too_long");
                    }
                }
                Ok(Ok(None)) if self.splitter.is_empty() => return Found::End,
                Ok(Ok(None)) => return Found::Broken("ended_inside_an_event"),
                Ok(Err(cause)) => return Found::Broken(cause.kind()),
                Err(_) if clock::now() >= job.deadline => return Found::Deadline,
                Err(_) => {
                    if job.may_move() && self.offer.place.silent(since, aim) {
                        return Found::Broken("stalled");
                    }
                }
            }
        }
    }

    /// Makes the body that the caller gets.
    pub fn into_body(mut self, job: Job) -> Body {
        let first = self.first.take();
        let mut relay = Relay {
            stream: Some(self),
            job,
            last_event: clock::now(),
            longest_pause: Duration::ZERO,
            events: 0,
        };
        let bytes = first.map_or_else(Bytes::new, |event| relay.pass(event));
        streamed(bytes, relay)
    }
}

/// A streamed answer under way.
struct Relay {
    stream: Option<Stream>,
    job: Job,
    last_event: Instant,
    longest_pause: Duration,
    events: u32,
}

impl Relay {
    /// Passes an event on.
    fn pass(&mut self, event: Event) -> Bytes {
        let now = clock::now();
        if self.events > 0 {
            let pause = now.saturating_duration_since(self.last_event);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.last_event = now;
        self.events += 1;
        self.job.call.handle(Step::Relayed(event.id));
        event.bytes
    }

    fn end(&mut self, mut stream: Stream) -> Option<Result<Bytes, Cut>> {
        stream.offer.place.judge(Outcome::Success, "answered");
        stream.offer.close();
        self.job
            .site
            .metrics
            .pause
            .observe(self.longest_pause.as_secs_f64());
        let (events, pause) = (self.events, self.longest_pause.as_millis());
        let took = self.job.age().as_millis();
        self.job.succeed(
            "streamed",
            format_args!("events={events} longest_pause_ms={pause} took_ms={took}"),
        );
        None
    }

    fn cut(&mut self, reason: &'static str) -> Option<Result<Bytes, Cut>> {
        self.job.fail(reason);
        Some(Err(Cut))
    }

    /// Goes on at another engine.
    async fn resume(&mut self, mut broken: Stream, reason: &'static str) -> Result<(), Cut> {
        broken.offer.place.judge(Outcome::Failure, reason);
        drop(broken);
        let Some(offer) = self.job.resume(reason).await else {
            return Err(Cut);
        };
        if !offer.head.status.is_success() {
            return Err(Cut);
        }
        self.stream = Some(Stream {
            offer,
            splitter: Splitter::default(),
            first: None,
        });
        Ok(())
    }
}

impl Pieces for Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        let aim = self.job.route.gap_target.unwrap_or(GAP);
        loop {
            let mut stream = self.stream.take()?;
            match stream.step(&self.job, aim).await {
                Found::Event(event) if self.job.has(&event) => self.stream = Some(stream),
                Found::Event(event) => {
                    let mut bytes = BytesMut::from(&self.pass(event)[..]);
                    while let Some(event) = stream.splitter.next_event() {
                        if !self.job.has(&event) {
                            bytes.extend_from_slice(&self.pass(event));
                        }
                    }
                    self.stream = Some(stream);
                    return Some(Ok(bytes.freeze()));
                }
                Found::End => return self.end(stream),
                Found::Deadline => return self.cut("deadline"),
                Found::Broken(reason) => {
                    if self.resume(stream, reason).await.is_err() {
                        return self.cut(reason);
                    }
                }
            }
        }
    }
}
