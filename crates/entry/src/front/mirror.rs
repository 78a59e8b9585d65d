//! Newest records of one topic as this host has applied them, for peers that cannot read them.

use {
    bytes::Bytes,
    jayspread_platform::store::{Batch, Record},
    std::collections::BTreeMap,
};

/// Newest record of each key, removals included, and the end of what was applied.
#[derive(Debug, Default)]
pub struct Mirror {
    records: BTreeMap<Box<str>, (u64, Option<Bytes>)>,
    /// Offset to read on from; nothing before the first batch.
    end: Option<u64>,
}

impl Mirror {
    /// Offset to read on from, once anything was applied.
    pub fn end(&self) -> Option<u64> {
        self.end
    }

    /// Takes a batch and returns the records that are news. Records older than those known are
    /// passed over, so that a stale answer changes nothing.
    pub fn apply(&mut self, batch: Batch) -> Vec<Record> {
        let mut news = Vec::new();
        for record in batch.records {
            let known = self.records.get(&record.key);
            if known.is_some_and(|(offset, _)| *offset >= record.offset) {
                continue;
            }
            let kept = (record.offset, record.value.clone());
            self.records.insert(record.key.clone(), kept);
            news.push(record);
        }
        self.end = Some(self.end.unwrap_or(0).max(batch.next_offset));
        news
    }

    /// Takes the newest records of all keys and returns the news; a key that is missing although
    /// the records reach as far as this mirror was removed.
    pub fn replace(&mut self, batch: Batch) -> Vec<Record> {
        let reaches = self.end.is_none_or(|end| batch.next_offset >= end);
        let offset = batch.next_offset;
        let present: Vec<Box<str>> = batch.records.iter().map(|r| r.key.clone()).collect();
        let mut news = self.apply(batch);
        if !reaches {
            return news;
        }
        for (key, (known, value)) in &mut self.records {
            if value.is_some() && *known < offset && !present.contains(key) {
                *known = offset;
                *value = None;
                news.push(Record {
                    key: key.clone(),
                    value: None,
                    offset,
                });
            }
        }
        news
    }

    /// Values that are present, by key.
    pub fn values(&self) -> impl Iterator<Item = (&Box<str>, &Bytes)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| Some((key, value.as_ref()?)))
    }

    /// What is known from an offset on, as a batch for a peer.
    pub fn batch(&self, from: u64) -> Option<Batch> {
        let end = self.end?;
        let news = self
            .records
            .iter()
            .filter(|(_, (offset, _))| *offset >= from);
        let records = news.map(|(key, (offset, value))| Record {
            key: key.clone(),
            value: value.clone(),
            offset: *offset,
        });
        Some(Batch {
            records: records.collect(),
            next_offset: end,
        })
    }
}
