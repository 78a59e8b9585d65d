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
    Rejected(Rejection),
    /// A checkpoint was read; whether it moved the fold.
    Checkpoint(bool),
    /// Claims, outcomes or voids were read.
    Batch,
    /// The record makes no sense.
    Malformed(Box<str>),
    /// A change that cannot be judged yet, or a checkpoint that leaves records out, because
    /// records were missed.
    Deferred,
}

/// Configuration and claims as the log tells them.
#[derive(Debug, Clone)]
pub struct Projection {
    /// Configuration.
    pub config: Replica,
    /// Claims on idempotency keys.
    pub ledger: Ledger,
    /// Position of the next record to read.
    pub next_offset: Offset,
    /// First position read since records were missed; nothing while none was, so that changes
    /// can be judged.
    gap_start: Option<Offset>,
    /// Changes read since then, to be judged after a checkpoint.
    deferred: Vec<(Offset, Signed)>,
    /// Revision of the last checkpoint read.
    pub last_checkpoint: Revision,
}

impl Projection {
    /// Creates an empty journal that accepts changes of these operators' keys.
    pub fn new(operators: impl IntoIterator<Item = [u8; 32]>) -> Self {
        Self {
            config: Replica::new(operators),
            ledger: Ledger::default(),
            next_offset: 0,
            gap_start: None,
            deferred: Vec::new(),
            last_checkpoint: 0,
        }
    }

    /// Skips to the first record kept; changes count only from the next checkpoint on.
    pub fn skip_to(&mut self, first: Offset) {
        self.next_offset = first;
        self.gap_start = Some(first);
        self.deferred.clear();
    }

    /// Checkpoint of what was folded, to be appended to the log.
    pub fn make_checkpoint(&self) -> Option<Checkpoint> {
        if self.gap_start.is_some() || self.config.revision() == 0 {
            return None;
        }
        Some(Checkpoint {
            through: self.next_offset,
            ..self.config.checkpoint()
        })
    }

    /// Applies the next record.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        assert!(
            entry.offset >= self.next_offset,
            "records come in log order"
        );
        self.next_offset = entry.offset + 1;
        let record = match Record::decode(&entry.bytes[..]) {
            Ok(record) => record,
            Err(cause) => return Outcome::Malformed(cause.to_string().into()),
        };
        match record.kind {
            Some(record::Kind::Signed(signed)) => self.apply_change(entry.offset, signed),
            Some(record::Kind::Checkpoint(checkpoint)) => self.apply_checkpoint(&checkpoint),
            Some(record::Kind::Batch(batch)) => match self.ledger.apply(&batch) {
                Ok(()) => Outcome::Batch,
                Err(cause) => Outcome::Malformed(cause.to_string().into()),
            },
            None => Outcome::Malformed("record of an unknown kind".into()),
        }
    }

    fn apply_change(&mut self, offset: Offset, signed: Signed) -> Outcome {
        if self.gap_start.is_some() {
            self.deferred.push((offset, signed));
            return Outcome::Deferred;
        }
        self.apply_signed(&signed)
    }

    fn apply_signed(&mut self, signed: &Signed) -> Outcome {
        match self.config.apply(signed) {
            Ok((revision, effect)) => Outcome::Accepted(revision, effect),
            Err(reason) => Outcome::Rejected(reason),
        }
    }

    /// Takes up a checkpoint, unless records between it and those read are missing.
    fn apply_checkpoint(&mut self, checkpoint: &Checkpoint) -> Outcome {
        if self
            .gap_start
            .is_some_and(|first| checkpoint.through < first)
        {
            return Outcome::Deferred;
        }
        let moved = match self.config.apply_checkpoint(checkpoint) {
            Ok(moved) => moved,
            Err(reason) => return Outcome::Rejected(reason),
        };
        self.last_checkpoint = self.last_checkpoint.max(checkpoint.revision);
        self.gap_start = None;
        for (offset, signed) in std::mem::take(&mut self.deferred) {
            if offset >= checkpoint.through {
                let _ = self.apply_signed(&signed);
            }
        }
        Outcome::Checkpoint(moved)
    }
}
