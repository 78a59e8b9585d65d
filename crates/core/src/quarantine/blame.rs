//! Attribution of crashes to the parts that explain them.

use {
    super::{Crash, Ledger, MAX_CANDIDATES, NEWS_REPEATS, Part, is_request, suspect_crashes},
    std::{cmp::Reverse, collections::BTreeSet, time::Instant},
};

impl Ledger {
    /// Returns true if the part is or was a candidate, so that crashes must be attributed again.
    pub(super) fn update_candidate(&mut self, part: Part) -> bool {
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let was_candidate = self.candidates.remove(&(Reverse(record.rank), part));
        record.rank = record.crashes.len();
        let is_candidate = record.rank >= suspect_crashes(part);
        if is_candidate {
            self.candidates.insert((Reverse(record.rank), part));
        }
        was_candidate || is_candidate
    }

    /// Finds the suspect parts: the part with the most crashes explains these, and only the crashes
    /// that are left count against the other parts. Of a part and a request's content with as many,
    /// the content explains them.
    pub(super) fn attribute(&mut self, now: Instant) {
        let mut candidates: Vec<(Part, BTreeSet<Crash>)> = self
            .candidates
            .iter()
            .take(MAX_CANDIDATES)
            .filter_map(|(_, part)| {
                let record = self.records.get(part)?;
                Some((*part, record.crashes.keys().copied().collect()))
            })
            .collect();
        let mut suspects = BTreeSet::new();
        while let Some((part, explained)) = candidates
            .iter()
            .filter(|(part, crashes)| crashes.len() >= suspect_crashes(*part))
            .min_by_key(|(part, crashes)| (Reverse(crashes.len()), !is_request(*part), *part))
            .cloned()
        {
            suspects.insert(part);
            for (_, crashes) in &mut candidates {
                crashes.retain(|crash| !explained.contains(crash));
            }
        }
        for part in self.suspects.difference(&suspects) {
            if let Some(record) = self.records.get_mut(part) {
                record.suspect_since = None;
                record.probed_at = None;
                record.failed_probes = 0;
            }
        }
        for part in suspects.difference(&self.suspects) {
            if let Some(record) = self.records.get_mut(part) {
                record.suspect_since = Some(now);
                // Hosts that know a completion answer this statement within the confirmation time.
                self.unsent.insert(*part, NEWS_REPEATS);
            }
        }
        self.suspects = suspects;
    }
}
