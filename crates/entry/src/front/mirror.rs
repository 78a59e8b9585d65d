//! In-memory copy of one store topic, compacted by key, also served to peers that do not read the
//! store.

use {
    bytes::Bytes,
    jayspread_platform::store::{Batch, Record},
    std::collections::BTreeMap,
};

/// Latest record of each key, including removals, and the offset up to which records are applied.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Offset and value by key; no value for a removed key.
    records: BTreeMap<Box<str>, (u64, Option<Bytes>)>,
    /// Offset of the next record to read; `None` before the first batch.
    next_offset: Option<u64>,
}

impl Mirror {
    /// Offset of the next record to read; `None` before the first batch.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Applies a batch and returns the records that changed something. Records that are not newer
    /// than the known ones are skipped, so a stale response has no effect.
    pub fn apply(&mut self, batch: Batch) -> Vec<Record> {
        let mut changes = Vec::new();
        for record in batch.records {
            let known = self.records.get(&record.key);
            if known.is_some_and(|(offset, _)| *offset >= record.offset) {
                continue;
            }
            let entry = (record.offset, record.value.clone());
            self.records.insert(record.key.clone(), entry);
            changes.push(record);
        }
        self.next_offset = Some(self.next_offset.unwrap_or(0).max(batch.next_offset));
        changes
    }

    /// Applies a batch with the latest records of all keys and returns the changes. A known key
    /// that is missing from the batch was removed, unless the batch is older than this mirror.
    pub fn replace(&mut self, batch: Batch) -> Vec<Record> {
        let is_current = self.next_offset.is_none_or(|own| batch.next_offset >= own);
        let offset = batch.next_offset;
        let present: Vec<Box<str>> = batch
            .records
            .iter()
            .map(|record| record.key.clone())
            .collect();
        let mut changes = self.apply(batch);
        if !is_current {
            return changes;
        }
        for (key, (known_offset, value)) in &mut self.records {
            if value.is_some() && *known_offset < offset && !present.contains(key) {
                *known_offset = offset;
                *value = None;
                changes.push(Record {
                    key: key.clone(),
                    value: None,
                    offset,
                });
            }
        }
        changes
    }

    /// Keys that are present and their values.
    pub fn values(&self) -> impl Iterator<Item = (&Box<str>, &Bytes)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| Some((key, value.as_ref()?)))
    }

    /// Returns the known records from offset `from` on, as a batch for a peer.
    pub fn batch(&self, from: u64) -> Option<Batch> {
        let next_offset = self.next_offset?;
        let newer = self
            .records
            .iter()
            .filter(|(_, (offset, _))| *offset >= from);
        let records = newer.map(|(key, (offset, value))| Record {
            key: key.clone(),
            value: value.clone(),
            offset: *offset,
        });
        Some(Batch {
            records: records.collect(),
            next_offset,
        })
    }
}
