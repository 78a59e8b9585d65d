//! Counters and histograms of an agent on the platform.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

const FIRST_BUCKET_SECONDS: f64 = 0.01;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 12;

/// Label of takeovers.
#[derive(Debug, Clone, Hash, PartialEq, Eq)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Why the host fetched a piece in place of its leader.
    pub reason: &'static str,
}

/// Label of bytes.
#[derive(Debug, Clone, Hash, PartialEq, Eq)]
#[derive(EncodeLabelSet)]
pub struct Version {
    /// Number of the version.
    pub version: u64,
}

/// Metrics of an agent on the platform.
#[derive(Debug)]
pub struct Metrics {
    /// Bytes of pieces received from the origin server.
    pub origin_bytes: Counter,
    /// Bytes of pieces received from the origin server, by version; of the last versions only.
    pub origin_bytes_of: Family<Version, Counter>,
    /// Pieces that this agent fetched in place of their leader, by reason.
    pub takeovers: Family<Reason, Counter>,
    /// Bytes of pieces received from other agents.
    pub peer_bytes: Counter,
    /// Bytes of pieces sent to other agents.
    pub sent_bytes: Counter,
    /// Received pieces whose digest did not match the manifest.
    pub pieces_corrupt: Counter,
    /// Failed requests for a manifest or a piece.
    pub fetch_failed: Counter,
    /// Staged pieces that were missing or corrupt when read back.
    pub staged_corrupt: Counter,
    /// Load orders sent to the engine.
    pub load_orders: Counter,
    /// Failed reads of the engine's state.
    pub state_reads_failed: Counter,
    /// Datagrams that could not be decoded.
    pub malformed: Counter,
    /// Time from the announcement of a version until its pieces are staged, in seconds.
    pub staged_seconds: Histogram,
    /// Time from the announcement of a version until the engine serves it, in seconds.
    pub served_seconds: Histogram,
    /// Version that the engine serves; 0 for none.
    pub serving_version: Gauge,
    /// Percentage of the reports that lend a slot to another region.
    pub lent_percent: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = || exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        Self {
            origin_bytes: Counter::default(),
            origin_bytes_of: Family::default(),
            takeovers: Family::default(),
            peer_bytes: Counter::default(),
            sent_bytes: Counter::default(),
            pieces_corrupt: Counter::default(),
            fetch_failed: Counter::default(),
            staged_corrupt: Counter::default(),
            load_orders: Counter::default(),
            state_reads_failed: Counter::default(),
            malformed: Counter::default(),
            staged_seconds: Histogram::new(buckets()),
            served_seconds: Histogram::new(buckets()),
            serving_version: Gauge::default(),
            lent_percent: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Creates a registry that exports all metrics under the prefix `jayspread_slot`.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_slot");
        let r = &mut registry;
        r.register(
            "origin_bytes",
            "Bytes from the origin",
            self.origin_bytes.clone(),
        );
        r.register(
            "version_origin_bytes",
            "Bytes from the origin by version",
            self.origin_bytes_of.clone(),
        );
        r.register(
            "takeovers",
            "Pieces fetched in place of their leader",
            self.takeovers.clone(),
        );
        r.register("peer_bytes", "Bytes from agents", self.peer_bytes.clone());
        r.register("sent_bytes", "Bytes to agents", self.sent_bytes.clone());
        r.register(
            "corrupt",
            "Pieces of a wrong digest",
            self.pieces_corrupt.clone(),
        );
        r.register("fetch_failed", "Failed asks", self.fetch_failed.clone());
        r.register(
            "rotten",
            "Staged pieces gone bad",
            self.staged_corrupt.clone(),
        );
        r.register("orders", "Load orders", self.load_orders.clone());
        r.register(
            "reads_failed",
            "Failed reads",
            self.state_reads_failed.clone(),
        );
        r.register("nonsense", "Malformed datagrams", self.malformed.clone());
        r.register(
            "staged_seconds",
            "Naming until staged",
            self.staged_seconds.clone(),
        );
        r.register(
            "served_seconds",
            "Naming until served",
            self.served_seconds.clone(),
        );
        r.register("version", "Version served", self.serving_version.clone());
        r.register(
            "lent_percent",
            "Reports that lend a slot to another region",
            self.lent_percent.clone(),
        );
        registry
    }
}
