//! Streamed responses: complete events are relayed as they arrive. A stream that breaks or stalls
//! is resumed at another engine after the last event that the caller has received.

use {
    crate::front::{
        body::{Aborted, Body, Source, streaming},
        exchange::Exchange,
        quarantine::MAX_EVENTS_BEFORE_CRASH,
        upstream::{Failure, Response},
    },
    bytes::{Bytes, BytesMut},
    http::header,
    jayspread_core::{
        call::Event as CallEvent,
        outlier::Outcome,
        resume::{Fault, Run},
        sse::{Event, Splitter},
    },
    jayspread_net::{channel::Head, clock},
    std::time::{Duration, Instant},
    tokio::time,
};

/// Interval between checks whether a silent stream has stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Target for the pause between two events if the route has none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(500);

/// Event stream of one engine.
pub struct Stream {
    response: Response,
    splitter: Splitter,
    /// Place in the caller's stream.
    run: Run,
    /// Why nothing after the last event may reach the caller.
    fault: Option<Fault>,
    /// First event, received before the response to the caller began.
    first_event: Option<Event>,
    /// Number of events that the engine has sent.
    event_count: u32,
}

/// Result of reading from a stream.
enum Next {
    Event(Event),
    End,
    Broken(&'static str),
    /// The stream has not begun, and must not begin any more on the engine's version.
    Withdrawn,
    Deadline,
}

impl Stream {
    /// Reads up to the first complete event.
    pub async fn begin(response: Response, exchange: &Exchange) -> Result<Self, Failure> {
        let mut stream = Self::new(response, Run::first(exchange.call.last_event_id()));
        let latency_target = exchange.route.latency_target;
        match stream.next_event(exchange, latency_target).await {
            Next::Event(event) => {
                stream.first_event = Some(event);
                Ok(stream)
            }
            Next::End => Ok(stream),
            Next::Broken(reason) => Err(stream.fail(reason)),
            Next::Withdrawn => Err(Failure::Withdrawn),
            Next::Deadline => Err(Failure::Timeout),
        }
    }

    fn new(response: Response, run: Run) -> Self {
        let head = &response.head;
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let checked = run.check_head(head.status.is_success(), content_type.unwrap_or_default());
        Self {
            response,
            splitter: Splitter::default(),
            run,
            fault: checked.err(),
            first_event: None,
            event_count: 0,
        }
    }

    fn fail(&mut self, reason: &'static str) -> Failure {
        self.response
            .attempt
            .record_failure(reason, self.event_count);
        Failure::Lost(reason)
    }

    /// Head of the engine's response.
    pub fn head(&self) -> &Head {
        &self.response.head
    }

    /// Removes and returns the next complete event that was received and continues the stream.
    fn take_event(&mut self) -> Option<Event> {
        if self.fault.is_some() {
            return None;
        }
        let event = self.splitter.next_event()?;
        self.fault = self.run.check_event(event.id).err();
        if self.fault.is_some() {
            return None;
        }
        self.event_count += 1;
        if self.event_count == MAX_EVENTS_BEFORE_CRASH + 1 {
            self.response.attempt.record_completion();
        }
        Some(event)
    }

    /// Whether the end of the stream may be that of a connection to an engine that crashed before its
    /// first event.
    fn may_be_cut_off(&self) -> bool {
        self.event_count == 0 && !self.response.attempt.channel.is_clean()
    }

    /// Waits for the next event; `target` is the intended maximum wait.
    async fn next_event(&mut self, exchange: &Exchange, target: Duration) -> Next {
        let since = clock::now();
        loop {
            if let Some(event) = self.take_event() {
                return Next::Event(event);
            }
            if let Some(fault) = self.fault {
                return Next::Broken(fault.name());
            }
            // Checked before each read: an engine that sends a byte now and then has stalled too.
            let now = clock::now();
            if now >= exchange.deadline {
                return Next::Deadline;
            }
            if exchange.can_fail_over() && self.response.attempt.permit.is_stalled(since, target) {
                return Next::Broken("stalled");
            }
            let begin_by = exchange.begin_by.filter(|_| self.event_count == 0);
            if begin_by.is_some_and(|at| now >= at) {
                return Next::Withdrawn;
            }
            let wake_at = (now + CHECK_INTERVAL).min(exchange.deadline);
            let wake_at = begin_by.map_or(wake_at, |at| at.min(wake_at));
            match time::timeout_at(wake_at.into(), self.response.attempt.channel.receive_data())
                .await
            {
                Ok(Ok(Some(chunk))) => {
                    if self.splitter.push(&chunk).is_err() {
                        return Next::Broken("event_too_long");
                    }
                }
                Ok(Ok(None)) if self.may_be_cut_off() => return Next::Broken("empty"),
                Ok(Ok(None)) if self.splitter.is_empty() => {
                    return match self.run.check_end() {
                        Ok(()) => Next::End,
                        Err(fault) => Next::Broken(fault.name()),
                    };
                }
                Ok(Ok(None)) => return Next::Broken("ended_inside_an_event"),
                Ok(Err(cause)) => return Next::Broken(cause.kind()),
                Err(_) => {}
            }
        }
    }

    /// Converts the stream into the body of the response to the caller.
    pub fn into_body(mut self, exchange: Exchange) -> Body {
        let first_event = self.first_event.take();
        let mut relay = Relay {
            stream: Some(self),
            exchange,
            last_event_at: clock::now(),
            longest_pause: Duration::ZERO,
            event_count: 0,
        };
        let first_chunk = first_event.map_or_else(Bytes::new, |event| relay.relay_event(event));
        streaming(first_chunk, relay)
    }
}

/// A streamed response in progress.
struct Relay {
    /// Current stream; `None` once the body has ended.
    stream: Option<Stream>,
    exchange: Exchange,
    last_event_at: Instant,
    longest_pause: Duration,
    event_count: u32,
}

impl Relay {
    /// Records an event and returns the bytes to send to the caller.
    fn relay_event(&mut self, event: Event) -> Bytes {
        let now = clock::now();
        if self.event_count > 0 {
            let pause = now.saturating_duration_since(self.last_event_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.last_event_at = now;
        self.event_count += 1;
        self.exchange.call.handle(CallEvent::Relayed(event.id));
        event.bytes
    }

    fn finish(&mut self, stream: Stream) {
        let mut attempt = stream.response.attempt;
        attempt.permit.set_outcome(Outcome::Success, "answered");
        attempt.record_answer();
        attempt.close();
        self.exchange
            .state
            .metrics
            .longest_pause
            .observe(self.longest_pause.as_secs_f64());
        let (events, pause) = (self.event_count, self.longest_pause.as_millis());
        let elapsed = self.exchange.elapsed().as_millis();
        self.exchange.complete(
            "streamed",
            format_args!("events={events} longest_pause_ms={pause} took_ms={elapsed}"),
        );
    }

    fn abort(&mut self, reason: &'static str) -> Option<Result<Bytes, Aborted>> {
        self.exchange.fail(reason);
        Some(Err(Aborted))
    }

    /// Resumes the stream at another engine.
    async fn resume(&mut self, broken: Stream, reason: &'static str) -> Result<(), Aborted> {
        drop(broken);
        let silent_ms = clock::now()
            .saturating_duration_since(self.last_event_at)
            .as_millis();
        self.exchange
            .trace_event("silence", format_args!("silent_ms={silent_ms}"));
        let Some(response) = self.exchange.resume(reason).await else {
            return Err(Aborted);
        };
        let run = Run::resumed(self.exchange.call.last_event_id());
        self.stream = Some(Stream::new(response, run));
        Ok(())
    }
}

impl Source for Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        let gap_target = self.exchange.route.gap_target.unwrap_or(DEFAULT_GAP_TARGET);
        loop {
            let mut stream = self.stream.take()?;
            match stream.next_event(&self.exchange, gap_target).await {
                Next::Event(event) => {
                    let mut bytes = BytesMut::from(&self.relay_event(event)[..]);
                    while let Some(event) = stream.take_event() {
                        bytes.extend_from_slice(&self.relay_event(event));
                    }
                    self.stream = Some(stream);
                    return Some(Ok(bytes.freeze()));
                }
                Next::End => {
                    let comments = stream.splitter.take_comments();
                    self.finish(stream);
                    return (!comments.is_empty()).then_some(Ok(comments));
                }
                Next::Deadline => return self.abort("deadline"),
                Next::Withdrawn => {
                    if self.resume(stream, "old_version").await.is_err() {
                        return self.abort("old_version");
                    }
                }
                Next::Broken(reason) => {
                    stream.fail(reason);
                    if self.resume(stream, reason).await.is_err() {
                        return self.abort(reason);
                    }
                }
            }
        }
    }
}
