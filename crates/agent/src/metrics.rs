//! Counters and gauges of an agent.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Label set of a counter that is split by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Label value, such as `quota`.
    pub reason: String,
}

/// Metrics of an agent.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Attempts started.
    pub started: Counter,
    /// Attempts that ended with a complete response.
    pub completed: Counter,
    /// Attempts that started but did not complete their response.
    pub failed: Counter,
    /// Attempts refused, by reason.
    pub refused: Family<Reason, Counter>,
    /// Requests to resend a response over another connection.
    pub recalled: Counter,
    /// Responses of the backend server that belong to another request.
    pub mismatched: Counter,
    /// Malformed messages from peers, by kind.
    pub malformed: Family<Reason, Counter>,
    /// Bytes of chunks received from peers.
    pub bytes_from_peers: Counter,
    /// Bytes of chunks received from the origin.
    pub bytes_from_origin: Counter,
    /// Bytes of chunks sent to peers.
    pub bytes_sent: Counter,
    /// Bytes of chunks sent to other regions.
    pub bytes_sent_cross_region: Counter,
    /// Chunks that the engine copied from the version that it serves.
    pub chunks_copied: Counter,
    /// Received chunks whose hash did not match, by source.
    pub chunks_corrupt: Family<Reason, Counter>,
    /// Chunk requests that failed, by reason.
    pub fetch_failed: Family<Reason, Counter>,
    /// Load orders sent.
    pub load_orders: Counter,
    /// Times that the backend server was treated as cold again.
    pub cold_starts: Counter,
    /// Revision of the current configuration.
    pub revision: Gauge<u64, AtomicU64>,
    /// Attempts that are running.
    pub running: Gauge,
    /// Attempts that wait for admission.
    pub waiting: Gauge,
    /// Current limit on running attempts.
    pub limit: Gauge,
    /// Bytes of cached chunks.
    pub chunk_bytes: Gauge,
}

impl Metrics {
    /// Increments the counter of a reason.
    pub fn count(family: &Family<Reason, Counter>, reason: &str) {
        let reason = Reason {
            reason: reason.to_owned(),
        };
        family.get_or_create(&reason).inc();
    }

    /// Creates a registry that exports all metrics under the prefix `jayspread_agent`.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_agent");
        let r = &mut registry;
        r.register("started", "Attempts started", self.started.clone());
        r.register(
            "whole",
            "Attempts with a whole answer",
            self.completed.clone(),
        );
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
            self.mismatched.clone(),
        );
        r.register("nonsense", "Malformed messages", self.malformed.clone());
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
            self.chunks_copied.clone(),
        );
        r.register(
            "corrupt",
            "Chunks with a wrong hash",
            self.chunks_corrupt.clone(),
        );
        r.register(
            "fetch_failed",
            "Failed chunk requests",
            self.fetch_failed.clone(),
        );
        r.register("orders", "Load orders", self.load_orders.clone());
        r.register("chilled", "Times turned cold", self.cold_starts.clone());
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
