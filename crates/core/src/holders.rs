//! What other agents report of the pieces that they hold. Pieces are in memory, so that a report says
//! nothing of a later process of its host.

use {
    crate::id::{Host, Incarnation},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Age from which a report is ignored.
const REPORT_TTL: Duration = Duration::from_millis(3_000);

/// Latest report of another agent about its engine.
#[derive(Debug, Clone)]
pub struct Report {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Version that the agent's engine serves; 0 for none.
    pub serving_version: u64,
    /// Indices of the pieces that the agent holds in memory, by version.
    pub held_pieces: BTreeMap<u64, BTreeSet<usize>>,
    /// Time at which the report arrived.
    pub received_at: Instant,
}

/// Latest reports of other agents, by host.
#[derive(Debug, Default)]
pub struct Reports(BTreeMap<Host, Report>);

impl Reports {
    /// Takes in a report, unless a later incarnation of the host has sent one.
    pub fn insert(&mut self, host: Host, report: Report) {
        let known = self.0.get(&host);
        if known.is_none_or(|known| known.incarnation <= report.incarnation) {
            self.0.insert(host, report);
        }
    }

    /// Pieces of a version, of `count` pieces, that an incarnation of a host holds; `None` if it has
    /// not told.
    pub fn pieces(
        &self,
        host: &str,
        incarnation: Incarnation,
        version: u64,
        count: usize,
        now: Instant,
    ) -> Option<BTreeSet<usize>> {
        let report = self.0.get(host)?;
        if report.incarnation != incarnation || !report.is_recent(now) {
            return None;
        }
        if let Some(pieces) = report.held_pieces.get(&version) {
            return Some(pieces.clone());
        }
        // An engine that serves the version still has all its pieces staged.
        (report.serving_version == version).then(|| (0..count).collect())
    }

    /// Forgets reports that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, report| report.is_recent(now));
    }
}

impl Report {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_TTL
    }
}
