//! Splits a stream of server-sent events into whole events and keeps the place for a resumption.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event taken, bytes; a longer one breaks the stream off.
const EVENT_MAX: usize = 1 << 20;

/// One whole event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of its id field.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// Why a stream cannot be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the front that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > EVENT_MAX {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = field(&bytes, b"id").and_then(number);
        Some(Event { id, bytes })
    }

    /// Drops a partial event; true when there was one.
    pub fn discard(&mut self) -> bool {
        let partial = !self.buffer.is_empty();
        self.buffer.advance(self.buffer.len());
        self.scanned = 0;
        partial
    }

    /// Whether no partial event is held.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// End of the first event: behind a blank line.
    fn end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(found) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            let feed = at + found;
            let rest = &self.buffer[feed + 1..];
            if rest.starts_with(b"\n") {
                return Some(feed + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(feed + 3);
            }
            if rest.is_empty() || rest == b"\r" {
                self.scanned = feed;
                return None;
            }
            at = feed + 1;
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Value of the first field of that name.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.trim_ascii())
    })
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
