//! Decides how the end of a response body is marked, and whether a body that has ended is whole.
//!
//! A body with a length or in chunks shows its own end. One without either ends with its connection,
//! which the kernel closes in the same way when the sender has finished and when it has crashed.

use std::fmt;

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The head states the length, bytes.
    Length(u64),
    /// A last chunk ends the body.
    Chunks,
    /// The body ends with its connection.
    Close,
}

/// Why a head does not say how the end of its body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A transfer coding other than chunks, or one in HTTP/1.0.
    Coding,
    /// A length that is no number, or several that differ.
    Length,
    /// Both chunks and a length.
    Ambiguous,
}

impl Fault {
    /// Description for errors.
    pub fn reason(self) -> &'static str {
        match self {
            Fault::Coding => "unsupported Transfer-Encoding",
            Fault::Length => "invalid Content-Length",
            Fault::Ambiguous => "both Transfer-Encoding and Content-Length",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Fault {}

/// Whether a request with this method asks for the head of a response only.
pub fn is_head_only(method: &[u8]) -> bool {
    method == b"HEAD"
}

/// What determines the framing of a response: its request's method and the fields of its head.
#[derive(Debug, Clone, Default)]
pub struct Fields<'a> {
    /// Method of the request.
    pub method: &'a [u8],
    /// Status code.
    pub status: u16,
    /// Whether the response is in HTTP/1.0.
    pub is_http_10: bool,
    /// Values of all `Transfer-Encoding` fields.
    pub codings: Vec<&'a [u8]>,
    /// Values of all `Content-Length` fields.
    pub lengths: Vec<&'a [u8]>,
}

impl Fields<'_> {
    /// How the end of the body is marked.
    pub fn framing(&self) -> Result<Framing, Fault> {
        if is_head_only(self.method) || matches!(self.status, 100..200 | 204 | 304) {
            return Ok(Framing::Empty);
        }
        let length = self.length()?;
        if !self.is_chunked()? {
            return Ok(length.map_or(Framing::Close, Framing::Length));
        }
        if length.is_some() {
            return Err(Fault::Ambiguous);
        }
        Ok(Framing::Chunks)
    }

    fn is_chunked(&self) -> Result<bool, Fault> {
        let mut codings = items(&self.codings);
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") && !self.is_http_10 => {
                Ok(true)
            }
            _ => Err(Fault::Coding),
        }
    }

    /// Length that all fields state alike; `None` without such a field.
    fn length(&self) -> Result<Option<u64>, Fault> {
        let mut length = None;
        for item in items(&self.lengths) {
            let stated = parse_length(item).ok_or(Fault::Length)?;
            if length.is_some_and(|length| length != stated) {
                return Err(Fault::Length);
            }
            length = Some(stated);
        }
        if length.is_none() && !self.lengths.is_empty() {
            return Err(Fault::Length);
        }
        Ok(length)
    }
}

/// Items of comma-separated lists, without those that are empty.
fn items<'a>(values: &'a [&'a [u8]]) -> impl Iterator<Item = &'a [u8]> {
    let items = values
        .iter()
        .flat_map(|value| value.split(|byte| *byte == b','));
    items
        .map(<[u8]>::trim_ascii)
        .filter(|item| !item.is_empty())
}

fn parse_length(text: &[u8]) -> Option<u64> {
    // The parser of integers takes a sign, too.
    if !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

impl Framing {
    /// Framing of an answer of this host, whose length is known or not.
    pub fn of_answer(length: Option<u64>, is_http_10: bool) -> Self {
        match length {
            Some(length) => Framing::Length(length),
            None if is_http_10 => Framing::Close,
            None => Framing::Chunks,
        }
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Where its length or its last chunk says, so that it is whole.
    Marked,
    /// With its connection, which was closed in order.
    Closed,
}

impl Framing {
    /// How a body of which `received` bytes have arrived ended when its connection was closed in
    /// order; `None` if it is incomplete.
    ///
    /// Without a length, nothing tells an empty body from one whose sender stopped after the head.
    pub fn end_at_close(self, received: u64) -> Option<End> {
        match self {
            Framing::Empty => Some(End::Marked),
            Framing::Length(length) => (received >= length).then_some(End::Marked),
            Framing::Chunks => None,
            Framing::Close => (received > 0).then_some(End::Closed),
        }
    }
}
