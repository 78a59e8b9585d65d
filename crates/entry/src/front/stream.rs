//! Streamed responses: complete events are relayed as they arrive. A stream that breaks is resumed
//! at another engine after the last event that the caller has received; one that is silent goes on
//! beside the other engine until that one sends an event.

use {
    crate::front::{
        body::{Aborted, Body, Source, streaming},
        exchange::{Exchange, Silent},
        flight::{Answer, Flights},
        problem::Problem,
        proof,
        quarantine::MAX_EVENTS_BEFORE_CRASH,
        upstream::{Failure, Response},
    },
    bytes::{Bytes, BytesMut},
    http::header,
    jayspread_core::{
        call::Event as CallEvent,
        framing::End,
        id::Engine,
        outlier::Outcome,
        placement::Answered,
        resume::{Fault, Run},
        silence::Awaited,
        sse::{Event, Splitter},
    },
    jayspread_net::{
        channel::{Error, Head},
        clock,
        panic::Panic,
    },
    std::{
        sync::{Arc, atomic::AtomicBool},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Target for the pause between two events if the route has none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(500);

/// What a stream must be like to be relayed.
#[derive(Debug)]
pub struct Expected {
    /// Place in the caller's stream.
    pub run: Run,
    /// Whether the caller already has events of an earlier attempt.
    pub is_resumed: bool,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Time by which the engine must begin, if its version is an old one.
    pub begin_by: Option<Instant>,
    /// Whether the engine's silence has been recorded.
    pub silence_reported: Arc<AtomicBool>,
}

/// Event stream of one engine.
pub struct Stream {
    response: Response,
    expected: Expected,
    splitter: Splitter,
    /// Why nothing after the last event may reach the caller.
    fault: Option<Fault>,
    /// First event, received before the stream is relayed.
    first_event: Option<Event>,
    /// Number of events that the engine has sent.
    event_count: u32,
    /// Whether the engine has ended the stream.
    has_ended: bool,
    /// Checks whether the stream, which has ended, is whole.
    proof: Option<proof::Pending>,
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
    pub async fn begin(response: Response, expected: Expected) -> Result<Self, Failure> {
        let head = &response.head;
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let checked = expected
            .run
            .check_head(head.status.is_success(), content_type.unwrap_or_default());
        let mut stream = Self {
            response,
            expected,
            splitter: Splitter::default(),
            fault: checked.err(),
            first_event: None,
            event_count: 0,
            has_ended: false,
            proof: None,
        };
        match stream.next_event().await {
            Next::Event(event) => {
                stream.first_event = Some(event);
                let answered = if stream.expected.is_resumed {
                    Answered::Resumption
                } else {
                    Answered::FirstEvent
                };
                stream.response.attempt.permit.record_time(answered);
            }
            Next::End => stream.has_ended = true,
            Next::Broken(reason) => return Err(stream.fail(reason)),
            Next::Withdrawn => return Err(Failure::Withdrawn),
            Next::Deadline => return Err(Failure::Timeout),
        }
        Ok(stream)
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

    /// Id of the engine.
    pub fn engine(&self) -> &Engine {
        &self.response.attempt.permit.reservation.id
    }

    /// Removes and returns the next complete event that was received and continues the stream.
    fn take_event(&mut self) -> Option<Event> {
        if self.fault.is_some() {
            return None;
        }
        let event = self.splitter.next_event()?;
        self.fault = self.expected.run.check_event(event.id).err();
        if self.fault.is_some() {
            return None;
        }
        self.event_count += 1;
        if self.event_count == MAX_EVENTS_BEFORE_CRASH + 1 {
            self.response.attempt.record_completion();
        }
        Some(event)
    }

    /// Handles the end of the response. Can be dropped and called again.
    async fn conclude(&mut self) -> Next {
        if !self.splitter.is_empty() {
            return Next::Broken("ended_inside_an_event");
        }
        let attempt = &self.response.attempt;
        // The engine may have crashed before its first event.
        let is_open = self.event_count == 0 && attempt.channel.end() != Some(End::Marked);
        if !is_open && let Err(fault) = self.expected.run.check_end() {
            return Next::Broken(fault.name());
        }
        let prove = if is_open {
            proof::explain
        } else {
            proof::prove
        };
        let proof = self.proof.get_or_insert_with(|| prove(attempt));
        match time::timeout_at(self.expected.deadline.into(), proof).await {
            Ok(Ok(())) => Next::End,
            Ok(Err(fault)) => Next::Broken(fault.name()),
            Err(_) => Next::Deadline,
        }
    }

    /// Waits for the next event. Can be dropped and called again without losing any.
    async fn next_event(&mut self) -> Next {
        if self.has_ended {
            return Next::End;
        }
        let mut has_read = false;
        loop {
            if let Some(event) = self.take_event() {
                return Next::Event(event);
            }
            if let Some(fault) = self.fault {
                return Next::Broken(fault.name());
            }
            // What has arrived is read first; after that, an engine that sends a byte now and then must
            // not go on for ever.
            let now = clock::now();
            if has_read && now >= self.expected.deadline {
                return Next::Deadline;
            }
            let begin_by = self.expected.begin_by.filter(|_| self.event_count == 0);
            if has_read && begin_by.is_some_and(|at| now >= at) {
                return Next::Withdrawn;
            }
            has_read = true;
            let wake_at = begin_by.unwrap_or(self.expected.deadline);
            let wake_at = wake_at.min(self.expected.deadline);
            match time::timeout_at(wake_at.into(), self.response.attempt.channel.receive_data())
                .await
            {
                Ok(Ok(Some(chunk))) => {
                    if self.splitter.push(&chunk).is_err() {
                        return Next::Broken("event_too_long");
                    }
                }
                Ok(Ok(None) | Err(Error::Empty)) => return self.conclude().await,
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
            flights: Flights::default(),
            is_complete: false,
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
    /// Stream that is relayed; `None` while another engine is to resume it.
    stream: Option<Stream>,
    /// Attempts to resume it at other engines.
    flights: Flights,
    /// Whether the caller has everything.
    is_complete: bool,
    exchange: Exchange,
    last_event_at: Instant,
    longest_pause: Duration,
    event_count: u32,
}

/// What a streamed response waits for.
enum Progress {
    Stream(Next),
    Flight(Engine, Result<Answer, Failure>),
    Silence,
    /// The process is about to exit.
    Stopping,
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

    /// Relays an event and all complete ones that were received after it.
    fn relay_received(&mut self, event: Event) -> Bytes {
        let mut bytes = BytesMut::from(&self.relay_event(event)[..]);
        while let Some(event) = self.stream.as_mut().and_then(Stream::take_event) {
            bytes.extend_from_slice(&self.relay_event(event));
        }
        bytes.freeze()
    }

    fn finish(&mut self, stream: Stream) {
        self.is_complete = true;
        self.flights.clear();
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

    fn abort(&mut self, reason: &'static str) -> Aborted {
        self.exchange.fail(reason);
        Aborted
    }

    /// Waits for the next event of the stream, the next result of another attempt, or a check for
    /// silence. What has arrived counts, however late this host looks for it.
    async fn progress(&mut self) -> Progress {
        let since = self.last_event_at;
        let awaited = self.awaited();
        let state = Arc::clone(&self.exchange.state);
        let Self {
            stream,
            flights,
            exchange,
            ..
        } = self;
        let progress = async {
            match stream {
                Some(stream) => {
                    let (since, awaited) = match flights.newest() {
                        Some(flight) => (flight.started, exchange.awaited()),
                        None => (since, awaited),
                    };
                    tokio::select! {
                        biased;
                        next = stream.next_event() => Progress::Stream(next),
                        (engine, result) = flights.next() => Progress::Flight(engine, result),
                        () = exchange.silence_check(since, awaited) => Progress::Silence,
                    }
                }
                None => {
                    let (engine, result) = exchange.next_result(flights).await;
                    Progress::Flight(engine, result)
                }
            }
        };
        tokio::select! {
            biased;
            progress = progress => progress,
            () = state.answers_at_once() => Progress::Stopping,
        }
    }

    /// What is awaited of the engine that streams.
    fn awaited(&self) -> Awaited {
        let gap_target = self.exchange.route.gap_target;
        Awaited::Event(gap_target.unwrap_or(DEFAULT_GAP_TARGET))
    }

    /// Sends the request to another engine beside those that are silent.
    fn relieve_silent(&mut self) {
        if !self.flights.is_empty() {
            self.exchange.relieve_silent(&mut self.flights);
            return;
        }
        let Some(stream) = &self.stream else {
            return;
        };
        let silent = Silent {
            reservation: stream.response.attempt.permit.reservation.clone(),
            since: self.last_event_at,
            awaited: self.awaited(),
            reported: Arc::clone(&stream.expected.silence_reported),
        };
        if let Some(flight) = self.exchange.send_beside(&silent) {
            self.flights.push(flight);
        }
    }

    /// Goes on without the stream, which has ended too early.
    async fn lose_stream(&mut self, reason: &'static str) -> Result<(), Aborted> {
        let silent = clock::now().saturating_duration_since(self.last_event_at);
        self.stream = None;
        self.exchange.call.handle(CallEvent::Lost);
        let last = self.exchange.call.last_event_id();
        self.exchange.trace_event(
            "stream_broke",
            format_args!(
                "reason={reason} last={last:?} silent_ms={}",
                silent.as_millis()
            ),
        );
        self.resume_unless_in_progress(reason).await
    }

    /// Starts an attempt to resume the stream, unless there is one already.
    async fn resume_unless_in_progress(&mut self, reason: &'static str) -> Result<(), Aborted> {
        if !self.flights.is_empty() {
            return Ok(());
        }
        match self.exchange.resume(Problem::bad_gateway(reason)).await {
            Ok(flight) => {
                self.flights.push(flight);
                Ok(())
            }
            Err(problem) => {
                let (sends, cause) = (self.exchange.call.sends(), problem.reason);
                self.exchange
                    .trace_event("not_resumed", format_args!("sends={sends} reason={cause}"));
                Err(self.abort(reason))
            }
        }
    }

    /// Handles the result of an attempt to resume the stream.
    async fn handle_flight(
        &mut self,
        engine: &Engine,
        result: Result<Answer, Failure>,
    ) -> Result<Option<Bytes>, Aborted> {
        let failure = match result {
            Ok(Answer::Stream(stream)) => return Ok(self.switch_to(*stream)),
            Ok(Answer::Whole(response)) => {
                let status = response.status().as_u16();
                self.exchange.trace_event(
                    "engine_error",
                    format_args!("engine={engine} status={status}"),
                );
                Failure::Lost("error_instead_of_stream")
            }
            Err(failure) => failure,
        };
        let problem = self.exchange.record_failure(failure, engine);
        if self.stream.is_none() {
            self.resume_unless_in_progress(problem.reason).await?;
        }
        Ok(None)
    }

    /// Relays another engine's stream from now on.
    fn switch_to(&mut self, mut stream: Stream) -> Option<Bytes> {
        self.flights.clear();
        self.exchange.state.metrics.resumed.inc();
        let last = self.exchange.call.last_event_id();
        let engine = stream.engine();
        self.exchange
            .trace_event("resumed", format_args!("engine={engine} last={last:?}"));
        let first_event = stream.first_event.take();
        self.stream = Some(stream);
        first_event.map(|event| self.relay_received(event))
    }
}

impl Source for Relay {
    fn record_panic(&mut self, panic: &Panic) {
        self.exchange.record_panic(panic);
    }

    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        if self.is_complete {
            return None;
        }
        loop {
            let result = match self.progress().await {
                Progress::Silence => {
                    self.relieve_silent();
                    Ok(())
                }
                Progress::Stopping => Err(self.abort("stopping")),
                Progress::Flight(engine, result) => {
                    match self.handle_flight(&engine, result).await {
                        Ok(Some(bytes)) => return Some(Ok(bytes)),
                        Ok(None) => Ok(()),
                        Err(aborted) => Err(aborted),
                    }
                }
                Progress::Stream(Next::Event(event)) => {
                    self.flights.clear();
                    return Some(Ok(self.relay_received(event)));
                }
                Progress::Stream(Next::End) => {
                    let mut stream = self.stream.take()?;
                    let comments = stream.splitter.take_comments();
                    self.finish(stream);
                    return (!comments.is_empty()).then_some(Ok(comments));
                }
                Progress::Stream(Next::Deadline) => Err(self.abort("deadline")),
                Progress::Stream(Next::Withdrawn) => self.lose_stream("old_version").await,
                Progress::Stream(Next::Broken(reason)) => {
                    if let Some(stream) = &mut self.stream {
                        stream.fail(reason);
                    }
                    self.lose_stream(reason).await
                }
            };
            if let Err(aborted) = result {
                self.is_complete = true;
                return Some(Err(aborted));
            }
        }
    }
}
