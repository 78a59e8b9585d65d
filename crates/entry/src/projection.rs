//! Configuration and idempotency claims, derived by applying the log's records in order.

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

/// Result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A change was accepted.
    Accepted(Revision, Effect),
    /// A change was rejected.
    Rejected(Rejection),
    /// A checkpoint was read; whether it advanced the configuration.
    Checkpoint(bool),
    /// A batch of claims, outcomes and releases was applied.
    Batch,
    /// The record cannot be decoded.
    Malformed(Box<str>),
    /// Records before this one are missing: a change waits for a checkpoint, or a checkpoint does
    /// not cover the missing records.
    Deferred,
}

/// State derived from the records of the log read so far.
#[derive(Debug, Clone)]
pub struct Projection {
    /// Configuration replica.
    pub config: Replica,
    /// Claims on idempotency keys.
    pub ledger: Ledger,
    /// Offset of the next record to read.
    pub next_offset: Offset,
    /// First offset read after records that are missing; changes are deferred while it is set.
    gap_start: Option<Offset>,
    /// Changes read since `gap_start`, which are applied after the next checkpoint.
    deferred: Vec<(Offset, Signed)>,
    /// Highest revision of a checkpoint read.
    pub last_checkpoint: Revision,
}

impl Projection {
    /// Creates an empty projection that accepts changes signed with one of these public keys.
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

    /// Skips to the first retained record; changes are deferred until the next checkpoint.
    pub fn skip_to(&mut self, first: Offset) {
        self.next_offset = first;
        self.gap_start = Some(first);
        self.deferred.clear();
    }

    /// Returns a checkpoint to append to the log; `None` while records are missing or no change was
    /// accepted.
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
            "records are applied in log order"
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

    /// Applies a checkpoint unless records between it and the ones read are missing, then the
    /// deferred changes that it does not cover.
    fn apply_checkpoint(&mut self, checkpoint: &Checkpoint) -> Outcome {
        if self
            .gap_start
            .is_some_and(|first| checkpoint.through < first)
        {
            return Outcome::Deferred;
        }
        let advanced = match self.config.apply_checkpoint(checkpoint) {
            Ok(advanced) => advanced,
            Err(reason) => return Outcome::Rejected(reason),
        };
        self.last_checkpoint = self.last_checkpoint.max(checkpoint.revision);
        self.gap_start = None;
        for (offset, signed) in std::mem::take(&mut self.deferred) {
            if offset >= checkpoint.through {
                let _ = self.apply_signed(&signed);
            }
        }
        Outcome::Checkpoint(advanced)
    }
}
