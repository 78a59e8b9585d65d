//! Decides whether what an engine sends may continue a caller's stream.
//!
//! Engines number the events of a stream without gaps. An engine that resumes one has to go on right
//! after the last event that the caller has: with any other event, pieces would be missing, come
//! twice, or belong to another answer.

/// Why bytes must not reach the caller as part of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The response is not a success.
    Status,
    /// The body is not an event stream.
    ContentType,
    /// An event has no id, so its place in the stream is unknown.
    NoId,
    /// Events are missing before this one.
    Gap,
    /// The caller has an event with this id or a later one.
    Repeated,
    /// The response ends before its first event, although the stream may have more.
    Empty,
}

impl Fault {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Status => "status",
            Fault::ContentType => "content_type",
            Fault::NoId => "event_without_id",
            Fault::Gap => "event_missing",
            Fault::Repeated => "event_repeated",
            Fault::Empty => "empty",
        }
    }
}

/// Events that one engine sends for a caller's stream.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the last event that the caller has.
    last: Option<u64>,
    /// Whether a response without events is complete.
    may_be_empty: bool,
}

impl Run {
    /// Begins the response to a caller. One that resumes a stream itself has the events up to `last`
    /// and gets the engine's whole response, which is empty after the last event.
    pub fn first(last: Option<u64>) -> Self {
        Self {
            last,
            may_be_empty: last.is_some(),
        }
    }

    /// Continues a response that broke off after the event `last`. No event followed it, but nothing
    /// shows that it was the final one.
    pub fn resumed(last: Option<u64>) -> Self {
        Self {
            last,
            may_be_empty: false,
        }
    }

    /// Checks the head of the engine's response.
    pub fn check_head(&self, is_success: bool, content_type: &str) -> Result<(), Fault> {
        if !is_success {
            return Err(Fault::Status);
        }
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        if !media_type.eq_ignore_ascii_case("text/event-stream") {
            return Err(Fault::ContentType);
        }
        Ok(())
    }

    /// Checks the id of the next event, which is relayed if there is no fault.
    pub fn check_event(&mut self, id: Option<u64>) -> Result<(), Fault> {
        let id = id.ok_or(Fault::NoId)?;
        match self.last {
            Some(last) if id <= last => return Err(Fault::Repeated),
            Some(last) if id - last > 1 => return Err(Fault::Gap),
            _ => {}
        }
        self.last = Some(id);
        self.may_be_empty = true;
        Ok(())
    }

    /// Checks whether the stream is complete when the engine's response ends.
    pub fn check_end(&self) -> Result<(), Fault> {
        if self.may_be_empty {
            Ok(())
        } else {
            Err(Fault::Empty)
        }
    }
}
