//! Counters and gauges of an agent.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Label of a counter by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Short reason.
    pub reason: String,
}

/// All metrics.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Attempts started.
    pub started: Counter,
    /// Attempts that ended with a whole answer.
    pub whole: Counter,
    /// Attempts that started and have no whole answer.
    pub failed: Counter,
    /// Attempts refused, by reason.
    pub refused: Family<Reason, Counter>,
    /// Answers asked for again over another connection.
    pub recalled: Counter,
    /// Answers of the backend server that belong to another request.
    pub foreign: Counter,
    /// Malformed messages of peers, by kind.
    pub nonsense: Family<Reason, Counter>,
    /// Bytes of chunks received from peers.
    pub bytes_from_peers: Counter,
    /// Bytes of chunks received from the origin.
    pub bytes_from_origin: Counter,
    /// Bytes of chunks sent to peers.
    pub bytes_sent: Counter,
    /// Bytes of chunks sent to other regions.
    pub bytes_sent_cross_region: Counter,
    /// Chunks taken over from the engine's present version.
    pub copied: Counter,
    /// Chunks whose bytes had another hash, by source.
    pub corrupt: Family<Reason, Counter>,
    /// Chunk requests that failed, by reason.
    pub fetch_failed: Family<Reason, Counter>,
    /// Load orders sent.
    pub orders: Counter,
    /// Times the backend server turned cold.
    pub chilled: Counter,
    /// Configuration revision.
    pub revision: Gauge<u64, AtomicU64>,
    /// Attempts running.
    pub running: Gauge,
    /// Attempts waiting.
    pub waiting: Gauge,
    /// Limit on running attempts.
    pub limit: Gauge,
    /// Bytes of chunks held.
    pub chunk_bytes: Gauge,
}

impl Metrics {
    /// Counts under a reason.
    pub fn count(family: &Family<Reason, Counter>, reason: &str) {
        let reason = Reason {
            reason: reason.to_owned(),
        };
        family.get_or_create(&reason).inc();
    }

    /// Registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_agent");
        let r = &mut registry;
        r.register("started", "Attempts started", self.started.clone());
        r.register("whole", "Attempts with a whole answer", self.whole.clone());
        r.register(
            "failed",
            "Attempts without a whole answer",
            self.failed.clone(),
        );
        r.register("refused", "Attempts refused", self.refused.clone());
        r.register("recalled", "Answers asked for again", self.recalled.clone());
        r.register(
            "foreign",
            "Answers to another request",
            self.foreign.clone(),
        );
        r.register("nonsense", "Malformed messages", self.nonsense.clone());
        r.register(
            "bytes_from_peers",
            "Chunk bytes from peers",
            self.bytes_from_peers.clone(),
        );
        r.register(
            "bytes_from_origin",
            "Chunk bytes from the origin",
            self.bytes_from_origin.clone(),
        );
        r.register("bytes_sent", "Chunk bytes sent", self.bytes_sent.clone());
        r.register(
            "bytes_sent_far",
            "Chunk bytes sent to other regions",
            self.bytes_sent_cross_region.clone(),
        );
        r.register(
            "copied",
            "Chunks copied from the present version",
            self.copied.clone(),
        );
        r.register("corrupt", "Chunks with a wrong hash", self.corrupt.clone());
        r.register(
            "fetch_failed",
            "Failed chunk requests",
            self.fetch_failed.clone(),
        );
        r.register("orders", "Load orders", self.orders.clone());
        r.register("chilled", "Times turned cold", self.chilled.clone());
        r.register("revision", "Configuration revision", self.revision.clone());
        r.register("running", "Attempts running", self.running.clone());
        r.register("waiting", "Attempts waiting", self.waiting.clone());
        r.register("limit", "Limit on running attempts", self.limit.clone());
        r.register(
            "chunk_bytes",
            "Bytes of chunks held",
            self.chunk_bytes.clone(),
        );
        registry
    }
}
