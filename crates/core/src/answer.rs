//! Decides whether a response head on a connection belongs to the request that waits there.
//!
//! A faulty engine may repeat an earlier response on a kept connection, or send one too many. The
//! request id in a response tells whose it is; without one, only the history of the connection can.

/// What is known of a response head when it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival<'a> {
    /// Id of the request that the response names, if it names one.
    pub named: Option<&'a str>,
    /// Whether the response states that its request has not been run.
    pub is_refusal: bool,
    /// Whether the request is the first one on its connection, and no other response preceded this
    /// one there.
    pub is_first: bool,
    /// Whether the whole request was sent before the response arrived.
    pub request_sent: bool,
}

/// Whose response it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// The request that waits.
    Request,
    /// Another request; the response of the one that waits may still follow.
    Another,
    /// Nothing proves whose it is, so the request may have run.
    Unknown,
}

impl Arrival<'_> {
    /// Whose response this is on a connection where the request `request_id` waits.
    ///
    /// Refusals may lack an id. One proves that this request has not run only if it cannot be the
    /// repetition of an earlier one.
    pub fn owner(&self, request_id: &str) -> Owner {
        match self.named {
            Some(id) if id == request_id => Owner::Request,
            Some(_) => Owner::Another,
            None if self.is_refusal && self.is_first && self.request_sent => Owner::Request,
            None => Owner::Unknown,
        }
    }
}
