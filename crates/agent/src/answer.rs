//! Answers of attempts, kept until they are acknowledged.
//!
//! The producer appends what the backend server sends; readers follow from any offset that is
//! still kept. A producer that is too far ahead of its readers waits, which slows down the
//! backend server's stream.

use {
    bytes::Bytes,
    jayspread_schema::wire::{Head, Refusal},
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard},
    },
    tokio::sync::Notify,
};

/// Bytes kept before the furthest reader, for readers that come back.
const BEHIND_MAX: u64 = 1024 * 1024;
/// Bytes that the producer may be ahead of the furthest reader.
const AHEAD_MAX: u64 = 256 * 1024;

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The attempt did not start and never will.
    NotStarted(Refusal),
    /// The answer is whole.
    Whole,
    /// The attempt started and has no whole answer.
    Failed(Box<str>),
}

/// What a reader gets next.
#[derive(Debug, Clone, PartialEq)]
pub enum Part {
    /// Status and headers.
    Head(Head),
    /// Body bytes at this offset.
    Data(u64, Bytes),
    /// The end, with the length of the body.
    End(End, u64),
    /// The offset is not kept any more.
    Gone,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    parts: VecDeque<(u64, Bytes)>,
    length: u64,
    read: u64,
    end: Option<End>,
}

/// One attempt's answer.
#[derive(Debug, Default)]
pub struct Answer {
    state: Mutex<State>,
    changed: Notify,
}

/// Position of a reader in an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Position {
    head: bool,
    offset: u64,
}

impl Position {
    /// Position of a reader that has the head and `offset` bytes of the body, or nothing at 0.
    pub fn at(offset: u64) -> Self {
        Self {
            head: false,
            offset,
        }
    }
}

impl Answer {
    /// Sets status and headers; the body starts at `offset`.
    pub fn begin(&self, head: Head, offset: u64) {
        let mut state = self.lock();
        assert!(state.head.is_none(), "an answer has one head");
        state.head = Some(head);
        state.length = offset;
        state.read = offset;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Appends body bytes, waiting while the producer is too far ahead.
    pub async fn append(&self, bytes: Bytes) {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                assert!(state.end.is_none(), "nothing follows the end");
                if state.length <= state.read + AHEAD_MAX {
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

    /// Ends the answer; only the first end counts.
    pub fn finish(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Whether the answer has ended.
    pub fn ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Bytes kept.
    pub fn kept(&self) -> usize {
        self.lock().parts.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Waits for the next part after `position` and moves it on.
    pub async fn next(&self, position: &mut Position) -> Part {
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
        if !position.head
            && let Some(head) = &state.head
        {
            position.head = true;
            return Some(Part::Head(head.clone()));
        }
        if position.head && position.offset < state.length {
            let part = state.part(position.offset);
            if let Part::Data(offset, bytes) = &part {
                position.offset = offset + bytes.len() as u64;
                state.advance(position.offset);
                self.changed.notify_waiters();
            }
            return Some(part);
        }
        let end = state.end.clone()?;
        Some(Part::End(end, state.length))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic holds the lock")
    }
}

impl State {
    fn part(&self, offset: u64) -> Part {
        let holds = |(start, bytes): &&(u64, Bytes)| {
            (*start..*start + bytes.len() as u64).contains(&offset)
        };
        match self.parts.iter().rev().find(holds) {
            Some((start, bytes)) => {
                let skip = (offset - start) as usize;
                Part::Data(offset, bytes.slice(skip..))
            }
            None => Part::Gone,
        }
    }

    /// Notes how far a reader has come and drops what is too far behind.
    fn advance(&mut self, read: u64) {
        self.read = self.read.max(read);
        while let Some((start, bytes)) = self.parts.front() {
            let end = start + bytes.len() as u64;
            if end + BEHIND_MAX > self.read {
                return;
            }
            self.parts.pop_front();
        }
    }
}
