//! Attempts of one request that are in progress, up to the engine's answer or the start of its
//! stream.
//!
//! An attempt does not borrow the request, so that it goes on while another one is started beside it.

use {
    crate::front::{
        body::{Body, full},
        held, proof,
        stream::{Expected, Stream},
        upstream::{self, Failure, Permit},
    },
    http::{HeaderMap, Response, StatusCode},
    jayspread_core::{
        id::Engine,
        outlier::Outcome,
        placement::{Answered, Reservation},
        proof::Fault,
    },
    jayspread_net::{channel::Error, clock},
    jayspread_platform::header as wire,
    std::{
        future::{self, Future},
        pin::Pin,
        sync::{Arc, atomic::AtomicBool},
        task::Poll,
        time::Instant,
    },
    tokio::time,
};

/// Maximum body size of a plain response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// What an engine has answered.
pub enum Answer {
    /// A whole response: any on a plain route, an error on a streaming one.
    Whole(Response<Body>),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

impl Answer {
    /// Status of a whole response that is the engine's own error.
    pub fn server_error(&self) -> Option<StatusCode> {
        match self {
            Answer::Whole(response) => Some(response.status()).filter(StatusCode::is_server_error),
            Answer::Stream(_) => None,
        }
    }
}

type Pending = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + Send>>;

/// An attempt in progress; dropping it closes its connection.
pub struct Flight {
    /// Reservation at the engine.
    pub reservation: Reservation,
    /// Time at which the attempt began.
    pub started: Instant,
    /// Whether the engine's silence has been recorded.
    pub silence_reported: Arc<AtomicBool>,
    pending: Pending,
}

impl Flight {
    /// Wraps an attempt at the engine of `reservation`.
    pub fn new(
        reservation: Reservation,
        silence_reported: Arc<AtomicBool>,
        pending: impl Future<Output = Result<Answer, Failure>> + Send + 'static,
    ) -> Self {
        Self {
            reservation,
            started: clock::now(),
            silence_reported,
            pending: Box::pin(pending),
        }
    }
}

/// Attempts of a request that are in progress beside each other.
#[derive(Default)]
pub struct Flights(Vec<Flight>);

impl Flights {
    /// Adds an attempt.
    pub fn push(&mut self, flight: Flight) {
        self.0.push(flight);
    }

    /// Whether none is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Closes all attempts.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The attempt that began last; `None` if there is none.
    pub fn newest(&self) -> Option<&Flight> {
        self.0.last()
    }

    /// Waits until an attempt ends, removes it and returns its engine and result. Pending for ever
    /// without attempts.
    pub async fn next(&mut self) -> (Engine, Result<Answer, Failure>) {
        future::poll_fn(|context| {
            for index in 0..self.0.len() {
                if let Poll::Ready(result) = self.0[index].pending.as_mut().poll(context) {
                    let flight = self.0.remove(index);
                    return Poll::Ready((flight.reservation.id, result));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Sends a plain request and reads the whole response. It is buffered, so that a broken one can be
/// retried or reported as an error.
pub async fn plain(permit: Permit, request: upstream::Request) -> Result<Answer, Failure> {
    let response = upstream::Response::request(permit, &request).await?;
    read_whole(response, request.deadline).await
}

/// Sends a request for a stream and reads up to its first event, or the engine's own error response.
pub async fn stream(
    permit: Permit,
    request: upstream::Request,
    expected: Expected,
) -> Result<Answer, Failure> {
    let response = upstream::Response::request(permit, &request).await?;
    if !response.head.status.is_success() {
        return read_whole(response, request.deadline).await;
    }
    let stream = Stream::begin(response, expected).await?;
    Ok(Answer::Stream(Box::new(stream)))
}

async fn read_whole(response: upstream::Response, deadline: Instant) -> Result<Answer, Failure> {
    let upstream::Response { mut attempt, head } = response;
    let reading = attempt.channel.receive_body(MAX_RESPONSE_BYTES);
    let body = match time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(Error::Empty)) => {
            let explaining = time::timeout_at(deadline.into(), proof::explain(&attempt)).await;
            let fault = explaining.map_or(Some(Fault::Unproven), Result::err);
            let reason = fault.map_or(Error::Empty.kind(), Fault::name);
            attempt.record_failure(reason, 0);
            return Err(Failure::Lost(reason));
        }
        Ok(Err(cause)) => {
            attempt.record_failure(cause.kind(), 0);
            return Err(Failure::Lost(cause.kind()));
        }
        Err(_) => {
            attempt.permit.set_outcome(Outcome::Failure, "silent");
            return Err(Failure::Timeout);
        }
    };
    if head.status.is_success() {
        attempt.permit.record_time(Answered::Whole);
    }
    match time::timeout_at(deadline.into(), proof::prove(&attempt)).await {
        Ok(Ok(())) => {}
        Ok(Err(fault)) => {
            attempt.record_failure(fault.name(), 0);
            return Err(Failure::Lost(fault.name()));
        }
        Err(_) => {
            attempt.permit.set_outcome(Outcome::Failure, "unproven");
            return Err(Failure::Timeout);
        }
    }
    let body = held::hold(attempt.permit.state(), body);
    attempt.permit.set_outcome(Outcome::Success, "answered");
    if head.status.is_success() {
        attempt.record_answer();
    }
    attempt.close();
    Ok(Answer::Whole(build_response(
        head.status,
        head.headers,
        full(body),
    )))
}

/// Builds the response to the caller from an engine's status, headers and body.
pub fn build_response(status: StatusCode, mut headers: HeaderMap, body: Body) -> Response<Body> {
    wire::strip_connection_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
