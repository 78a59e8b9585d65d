//! Splits a stream of server-sent events into complete events and reads their ids.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of bytes buffered for an event; a stream with a longer event is cut off.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event, including the blank line that ends it and comments and blank lines before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Bytes of the event as received.
    pub bytes: Bytes,
}

/// The buffered bytes exceed the longest event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Buffers received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the prefix that was searched and contains no end of an event.
    scanned: usize,
    /// Length of the prefix that has only comments and blank lines.
    comments: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = loop {
            let end = self.event_end()?;
            if has_field(&self.buffer[self.comments..end]) {
                break end;
            }
            (self.scanned, self.comments) = (end, end);
        };
        (self.scanned, self.comments) = (0, 0);
        let bytes = self.buffer.split_to(end).freeze();
        let id = field(&bytes, b"id").and_then(parse_id);
        Some(Event { id, bytes })
    }

    /// Discards the buffered bytes; returns whether there were any.
    pub fn discard(&mut self) -> bool {
        let partial = !self.buffer.is_empty();
        self.buffer.advance(self.buffer.len());
        (self.scanned, self.comments) = (0, 0);
        partial
    }

    /// Whether no partial event is buffered; comments and blank lines belong to none.
    pub fn is_empty(&self) -> bool {
        self.buffer.len() == self.comments
    }

    /// Removes and returns the comments and blank lines after the last event.
    pub fn take_comments(&mut self) -> Bytes {
        let bytes = self.buffer.split_to(self.comments).freeze();
        (self.scanned, self.comments) = (0, 0);
        bytes
    }

    /// Length of the first event, up to and including its blank line.
    fn event_end(&mut self) -> Option<usize> {
        let mut start = self.scanned;
        while let Some(offset) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let newline = start + offset;
            let rest = &self.buffer[newline + 1..];
            if rest.starts_with(b"\n") {
                return Some(newline + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(newline + 3);
            }
            if rest.is_empty() || rest == b"\r" {
                self.scanned = newline;
                return None;
            }
            start = newline + 1;
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Whether any line is neither blank nor a comment.
fn has_field(lines: &[u8]) -> bool {
    lines
        .split(|byte| *byte == b'\n')
        .any(|line| !line.starts_with(b":") && !line.trim_ascii().is_empty())
}

/// Value of the first field called `name`.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.trim_ascii())
    })
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
