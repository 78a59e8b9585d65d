//! Counters and histograms of an agent on the platform.

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Smallest bucket of the histograms, seconds.
const BUCKET_START: f64 = 0.01;
/// Factor between buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets.
const BUCKETS: u16 = 12;

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Bytes of pieces from the origin.
    pub origin_bytes: Counter,
    /// Bytes of pieces from other agents.
    pub peer_bytes: Counter,
    /// Bytes of pieces sent to other agents.
    pub sent_bytes: Counter,
    /// Pieces whose digest was wrong.
    pub corrupt: Counter,
    /// Asks for a piece that failed.
    pub fetch_failed: Counter,
    /// Staged pieces that had turned bad.
    pub rotten: Counter,
    /// Load orders sent.
    pub orders: Counter,
    /// Reads of the engine's state that failed.
    pub reads_failed: Counter,
    /// Datagrams that could not be decoded.
    pub nonsense: Counter,
    /// Time from the naming of a version until its pieces are staged, seconds.
    pub staged: Histogram,
    /// Time from the naming of a version until the engine serves it, seconds.
    pub served: Histogram,
    /// Version that the engine serves.
    pub version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = || exponential_buckets(BUCKET_START, BUCKET_FACTOR, BUCKETS);
        Self {
            origin_bytes: Counter::default(),
            peer_bytes: Counter::default(),
            sent_bytes: Counter::default(),
            corrupt: Counter::default(),
            fetch_failed: Counter::default(),
            rotten: Counter::default(),
            orders: Counter::default(),
            reads_failed: Counter::default(),
            nonsense: Counter::default(),
            staged: Histogram::new(buckets()),
            served: Histogram::new(buckets()),
            version: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_slot");
        let r = &mut registry;
        r.register(
            "origin_bytes",
            "Bytes from the origin",
            self.origin_bytes.clone(),
        );
        r.register("peer_bytes", "Bytes from agents", self.peer_bytes.clone());
        r.register("sent_bytes", "Bytes to agents", self.sent_bytes.clone());
        r.register("corrupt", "Pieces of a wrong digest", self.corrupt.clone());
        r.register("fetch_failed", "Failed asks", self.fetch_failed.clone());
        r.register("rotten", "Staged pieces gone bad", self.rotten.clone());
        r.register("orders", "Load orders", self.orders.clone());
        r.register("reads_failed", "Failed reads", self.reads_failed.clone());
        r.register("nonsense", "Malformed datagrams", self.nonsense.clone());
        r.register("staged_seconds", "Naming until staged", self.staged.clone());
        r.register("served_seconds", "Naming until served", self.served.clone());
        r.register("version", "Version served", self.version.clone());
        registry
    }
}
