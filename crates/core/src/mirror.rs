//! In-memory copy of one topic of the platform's store, compacted by key.
//!
//! The store may come back from an older copy of its data. Its era then rises, offsets are given out
//! again, and what was written since the copy is written again. A position is therefore an era and
//! an offset, and positions of different eras compare by era. Until it is written again, what was in
//! force stays in force: the copy of the store may lack it or hold an older value.

use {
    bytes::Bytes,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after a rise of the era for which a key that the copy lacks stays in force. It covers the
/// history that a store keeps; what nobody has written again by then was removed.
pub const HOLD_TIME: Duration = Duration::from_secs(30);

/// Position in a topic. The derived order is the order of the records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Offset in the topic's log in this era.
    pub offset: u64,
}

impl Position {
    /// Position of the record before this one in the same era.
    fn previous(self) -> Self {
        Self {
            offset: self.offset.saturating_sub(1),
            ..self
        }
    }
}

/// Record: a new value of a key, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: Box<str>,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Offset in the topic's log.
    pub offset: u64,
}

/// Records, and the position at which reading continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in the order of the log, or the newest one of each key.
    pub records: Vec<Record>,
    /// Position of the first record that could be in this batch.
    pub start: Position,
    /// Position of the first record that is not in this batch.
    pub end: Position,
    /// Whether the batch has the newest record of every key, so that a key that it lacks is absent.
    pub complete: bool,
}

/// Effect of a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Records that changed something.
    pub changes: Vec<Record>,
    /// Whether the batch began a later era.
    pub new_era: bool,
}

#[derive(Debug, Clone)]
struct Known {
    at: Position,
    value: Option<Bytes>,
    /// End of the time for which the value stays in force although the copy of the store lacks it.
    held_until: Option<Instant>,
}

/// Latest record of each key, including removals, and the position up to which records are applied.
#[derive(Debug, Default)]
pub struct Mirror {
    records: BTreeMap<Box<str>, Known>,
    /// Position of the next record to read; `None` before the first batch.
    next: Option<Position>,
    /// Position from which every record was seen. Removals before it may be unknown, as the list of
    /// the newest records does not have them.
    seen_from: Position,
}

impl Mirror {
    /// Position of the next record to read; `None` before the first batch.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Whether a batch that ends at this position can be applied only if it is complete: it is of a
    /// later era.
    pub fn needs_complete(&self, end: Position) -> bool {
        self.next.is_some_and(|next| end.era > next.era)
    }

    /// Applies a batch. Records that are not newer than the known ones are skipped, so a stale
    /// response has no effect; neither has one of an earlier era, nor an incomplete one of a later
    /// era or one that leaves out records. `is_older` says whether the first of two values of a key is an older state than the
    /// second, where the values themselves tell.
    pub fn apply(
        &mut self,
        batch: Batch,
        is_older: impl Fn(&str, &Bytes, &Bytes) -> bool,
        now: Instant,
    ) -> Applied {
        if self.needs_complete(batch.end) {
            if !batch.complete {
                return Applied::default();
            }
            return Applied {
                changes: self.enter_era(batch, is_older, now),
                new_era: true,
            };
        }
        let outdated = self.next.is_some_and(|next| batch.end.era < next.era);
        let next = self.next.unwrap_or(Position {
            offset: 0,
            ..batch.end
        });
        let leaves_gap = !batch.complete && batch.start > next;
        if outdated || leaves_gap {
            return Applied::default();
        }
        let is_current = self.next.is_none_or(|next| batch.end >= next);
        let complete = batch.complete && is_current;
        let end = batch.end;
        let present: Vec<Box<str>> = if complete {
            let present = batch.records.iter().filter(|r| r.value.is_some());
            present.map(|r| r.key.clone()).collect()
        } else {
            Vec::new()
        };
        let mut changes = Vec::new();
        for record in batch.records {
            let at = Position {
                offset: record.offset,
                ..end
            };
            let known = self.records.get(&record.key);
            let is_stale = at < self.seen_from || known.is_some_and(|known| known.at >= at);
            let known_value = known.and_then(|known| known.value.as_ref());
            let values = known_value.zip(record.value.as_ref());
            let is_later_state = values.is_some_and(|(old, new)| is_older(&record.key, old, new));
            let is_earlier_state = values.is_some_and(|(old, new)| is_older(&record.key, new, old));
            if is_earlier_state || is_stale && !is_later_state {
                continue;
            }
            self.set(&record, at);
            changes.push(record);
        }
        self.next = Some(self.next.unwrap_or_default().max(end));
        if complete {
            self.seen_from = end;
            changes.extend(self.remove_missing(&present, end));
        }
        Applied {
            changes,
            new_era: false,
        }
    }

    fn set(&mut self, record: &Record, at: Position) {
        let known = Known {
            at,
            value: record.value.clone(),
            held_until: None,
        };
        self.records.insert(record.key.clone(), known);
    }

    /// Removes the keys that a complete batch lacks.
    fn remove_missing(&mut self, present: &[Box<str>], end: Position) -> Vec<Record> {
        // The record at `end` is the first one after this list and may set the key again.
        let last = end.previous();
        let mut removed = Vec::new();
        for (key, known) in &mut self.records {
            let lacking = known.value.is_some() && known.at < end && !present.contains(key);
            if lacking && known.held_until.is_none() {
                known.at = last;
                known.value = None;
                removed.push(removal(key, last.offset));
            }
        }
        removed
    }

    /// Replaces all positions by those of a later era. Values that the batch lacks, or of which it
    /// has an older state, stay in force.
    fn enter_era(
        &mut self,
        batch: Batch,
        is_older: impl Fn(&str, &Bytes, &Bytes) -> bool,
        now: Instant,
    ) -> Vec<Record> {
        let end = batch.end;
        let kept = end.previous();
        for known in self.records.values_mut() {
            known.at = kept;
            known.held_until = known.value.is_some().then_some(now + HOLD_TIME);
        }
        let mut changes = Vec::new();
        for record in batch.records {
            let at = Position {
                offset: record.offset,
                ..end
            };
            let Some(known) = self.records.get_mut(&record.key) else {
                self.set(&record, at);
                changes.push(record);
                continue;
            };
            known.held_until = None;
            if known.value == record.value {
                known.at = at;
                continue;
            }
            if let (Some(new), Some(old)) = (&record.value, &known.value)
                && is_older(&record.key, new, old)
            {
                known.at = kept;
                continue;
            }
            self.set(&record, at);
            changes.push(record);
        }
        self.next = Some(end);
        self.seen_from = end;
        changes
    }

    /// Drops the values that stayed in force after a rise of the era and were not written again in
    /// time; returns their removals.
    pub fn expire_held(&mut self, now: Instant) -> Vec<Record> {
        let Some(next) = self.next else {
            return Vec::new();
        };
        let mut expired = Vec::new();
        for (key, known) in &mut self.records {
            if known.held_until.is_some_and(|until| now >= until) {
                known.held_until = None;
                known.value = None;
                expired.push(removal(key, next.offset));
            }
        }
        expired
    }

    /// Drops at once the values that the copy of the store lacks; returns their removals.
    pub fn release_held(&mut self) -> Vec<Record> {
        let Some(next) = self.next else {
            return Vec::new();
        };
        let mut released = Vec::new();
        for (key, known) in &mut self.records {
            if known.held_until.take().is_some() {
                known.value = None;
                released.push(removal(key, next.offset));
            }
        }
        released
    }

    /// Keys that are present and their values.
    pub fn values(&self) -> impl Iterator<Item = (&Box<str>, &Bytes)> {
        self.records
            .iter()
            .filter_map(|(key, known)| Some((key, known.value.as_ref()?)))
    }

    /// Returns the known records from a position on, as a batch for a peer; all of them for a
    /// position before which this mirror may not know all removals. The store lacks the values that only stay in force: a peer that
    /// has read this era removes them, and one of an earlier era holds them itself.
    pub fn batch(&self, from: Position) -> Option<Batch> {
        let end = self.next?;
        let complete = from < self.seen_from || from.offset == 0;
        let newer = self
            .records
            .iter()
            .filter(|(_, known)| complete || known.at >= from)
            .filter(|(_, known)| !complete || known.held_until.is_none());
        let records = newer.map(|(key, known)| Record {
            key: key.clone(),
            value: known.value.clone().filter(|_| known.held_until.is_none()),
            offset: known.at.offset,
        });
        Some(Batch {
            records: records.collect(),
            start: from,
            end,
            complete,
        })
    }
}

fn removal(key: &str, offset: u64) -> Record {
    Record {
        key: key.into(),
        value: None,
        offset,
    }
}
