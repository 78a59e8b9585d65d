//! Fold of the log's records: configuration and claims.

use {
    crate::log::{Entry, Offset},
    jayspread_core::{
        claim::Ledger,
        config::{Effect, Rejection, Replica},
        id::Revision,
    },
    jayspread_schema::config::{Checkpoint, Record, Signed, record},
    prost::Message,
};

/// What one record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A change was accepted.
    Accepted(Revision, Effect),
    /// A change was refused.
    Refused(Rejection),
    /// A checkpoint was read; whether it moved the fold.
    Checkpoint(bool),
    /// Claims, outcomes or voids were read.
    Batch,
    /// The record makes no sense.
    Nonsense(Box<str>),
    /// A change that cannot be judged yet, or a checkpoint that leaves records out, because
    /// records were missed.
    Unplaced,
}

/// Configuration and claims as the log tells them.
#[derive(Debug, Clone)]
pub struct Journal {
    /// Configuration.
    pub fold: Replica,
    /// Claims on idempotency keys.
    pub ledger: Ledger,
    /// Position of the next record to read.
    pub next: Offset,
    /// First position read since records were missed; nothing while none was, so that changes
    /// can be judged.
    missed: Option<Offset>,
    /// Changes read since then, to be judged after a checkpoint.
    unplaced: Vec<(Offset, Signed)>,
    /// Revision of the last checkpoint read.
    pub checkpoint: Revision,
}

impl Journal {
    /// Creates an empty journal that accepts changes of these operators' keys.
    pub fn new(operators: impl IntoIterator<Item = [u8; 32]>) -> Self {
        Self {
            fold: Replica::new(operators),
            ledger: Ledger::default(),
            next: 0,
            missed: None,
            unplaced: Vec::new(),
            checkpoint: 0,
        }
    }

    /// Skips to the first record kept; changes count only from the next checkpoint on.
    pub fn truncated(&mut self, first: Offset) {
        self.next = first;
        self.missed = Some(first);
        self.unplaced.clear();
    }

    /// Checkpoint of what was folded, to be appended to the log.
    pub fn write_checkpoint(&self) -> Option<Checkpoint> {
        if self.missed.is_some() || self.fold.revision() == 0 {
            return None;
        }
        Some(Checkpoint {
            through: self.next,
            ..self.fold.checkpoint()
        })
    }

    /// Applies the next record.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        assert!(entry.offset >= self.next, "records come in log order");
        self.next = entry.offset + 1;
        let record = match Record::decode(&entry.bytes[..]) {
            Ok(record) => record,
            Err(cause) => return Outcome::Nonsense(cause.to_string().into()),
        };
        match record.kind {
            Some(record::Kind::Signed(signed)) => self.change(entry.offset, signed),
            Some(record::Kind::Checkpoint(checkpoint)) => self.restore(&checkpoint),
            Some(record::Kind::Batch(batch)) => match self.ledger.apply(&batch) {
                Ok(()) => Outcome::Batch,
                Err(cause) => Outcome::Nonsense(cause.to_string().into()),
            },
            None => Outcome::Nonsense("record of an unknown kind".into()),
        }
    }

    fn change(&mut self, offset: Offset, signed: Signed) -> Outcome {
        if self.missed.is_some() {
            self.unplaced.push((offset, signed));
            return Outcome::Unplaced;
        }
        self.judge(&signed)
    }

    fn judge(&mut self, signed: &Signed) -> Outcome {
        match self.fold.apply(signed) {
            Ok((revision, effect)) => Outcome::Accepted(revision, effect),
            Err(reason) => Outcome::Refused(reason),
        }
    }

    /// Takes up a checkpoint, unless records between it and those read are missing.
    fn restore(&mut self, checkpoint: &Checkpoint) -> Outcome {
        if self.missed.is_some_and(|first| checkpoint.through < first) {
            return Outcome::Unplaced;
        }
        let moved = match self.fold.apply_checkpoint(checkpoint) {
            Ok(moved) => moved,
            Err(reason) => return Outcome::Refused(reason),
        };
        self.checkpoint = self.checkpoint.max(checkpoint.revision);
        self.missed = None;
        for (offset, signed) in std::mem::take(&mut self.unplaced) {
            if offset >= checkpoint.through {
                let _ = self.judge(&signed);
            }
        }
        Outcome::Checkpoint(moved)
    }
}
