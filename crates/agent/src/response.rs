//! Response buffers of attempts, retained until acknowledged.
//!
//! The producer appends what the backend server sends, and readers start at any offset that is
//! still retained. A producer too far ahead of its readers waits, which applies backpressure to the
//! backend server.

use {
    bytes::Bytes,
    jayspread_net::sync,
    jayspread_schema::wire::{Head, Refusal},
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard},
    },
    tokio::sync::Notify,
};

/// Bytes retained behind the furthest reader, for readers that reconnect.
const MAX_RETAINED_BYTES: u64 = 1024 * 1024;
/// Bytes by which the producer may be ahead of the furthest reader.
const MAX_UNREAD_BYTES: u64 = 256 * 1024;

/// Final outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt was refused and will never start.
    NotStarted(Refusal),
    /// The response is complete.
    Complete,
    /// The attempt started but its response is incomplete, for this reason.
    Failed(Box<str>),
}

/// Next item for a reader.
#[derive(Debug, Clone, PartialEq)]
pub enum Part {
    /// Status and headers of the response.
    Head(Head),
    /// Body bytes, starting at this offset.
    Data(u64, Bytes),
    /// End of the response: outcome and total length of the body in bytes.
    End(Outcome, u64),
    /// The data at the reader's offset is no longer retained.
    Discarded,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    parts: VecDeque<(u64, Bytes)>,
    length: u64,
    read_offset: u64,
    outcome: Option<Outcome>,
}

/// Buffered response of one attempt.
#[derive(Debug, Default)]
pub struct Buffer {
    state: Mutex<State>,
    changed: Notify,
}

/// Position of a reader in a response.
#[derive(Debug, Clone, Copy, Default)]
pub struct Position {
    head_read: bool,
    offset: u64,
}

impl Position {
    /// Position of a reader that resumes the body at `offset`; it receives the head again.
    pub fn at(offset: u64) -> Self {
        Self {
            head_read: false,
            offset,
        }
    }
}

impl Buffer {
    /// Sets status and headers. The body starts at `offset`, which is not 0 for a resumed stream.
    pub fn set_head(&self, head: Head, offset: u64) {
        let mut state = self.lock();
        assert!(state.head.is_none(), "a response has one head");
        state.head = Some(head);
        state.length = offset;
        state.read_offset = offset;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Appends body bytes, waiting while the buffer is too far ahead of its readers.
    pub async fn append(&self, bytes: Bytes) {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                assert!(
                    state.outcome.is_none(),
                    "no data may follow the end of a response"
                );
                if state.length <= state.read_offset + MAX_UNREAD_BYTES {
                    let offset = state.length;
                    state.length += bytes.len() as u64;
                    state.parts.push_back((offset, bytes));
                    break;
                }
            }
            changed.await;
        }
        self.changed.notify_waiters();
    }

    /// Ends the response. Only the first call has an effect.
    pub fn finish(&self, outcome: Outcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    /// Whether the response has ended.
    pub fn is_finished(&self) -> bool {
        self.lock().outcome.is_some()
    }

    /// Number of body bytes in the buffer.
    pub fn retained_bytes(&self) -> usize {
        self.lock().parts.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Waits for the part at `position` and advances the position past it.
    pub async fn next_part(&self, position: &mut Position) -> Part {
        loop {
            let changed = self.changed.notified();
            if let Some(part) = self.poll(position) {
                return part;
            }
            changed.await;
        }
    }

    fn poll(&self, position: &mut Position) -> Option<Part> {
        let mut state = self.lock();
        if !position.head_read
            && let Some(head) = &state.head
        {
            position.head_read = true;
            return Some(Part::Head(head.clone()));
        }
        if position.head_read && position.offset < state.length {
            let part = state.part(position.offset);
            if let Part::Data(offset, bytes) = &part {
                position.offset = offset + bytes.len() as u64;
                state.advance(position.offset);
                self.changed.notify_waiters();
            }
            return Some(part);
        }
        let outcome = state.outcome.clone()?;
        Some(Part::End(outcome, state.length))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.state)
    }
}

impl State {
    fn part(&self, offset: u64) -> Part {
        let contains_offset = |(start, bytes): &&(u64, Bytes)| {
            (*start..*start + bytes.len() as u64).contains(&offset)
        };
        match self.parts.iter().rev().find(contains_offset) {
            Some((start, bytes)) => {
                let skip = (offset - start) as usize;
                Part::Data(offset, bytes.slice(skip..))
            }
            None => Part::Discarded,
        }
    }

    /// Records a reader's progress and drops data too far behind the furthest reader.
    fn advance(&mut self, read_offset: u64) {
        self.read_offset = self.read_offset.max(read_offset);
        while let Some((start, bytes)) = self.parts.front() {
            let end = start + bytes.len() as u64;
            if end + MAX_RETAINED_BYTES > self.read_offset {
                return;
            }
            self.parts.pop_front();
        }
    }
}
