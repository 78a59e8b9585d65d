//! Counters and histograms of an entry host on the platform.

use {
    crate::metrics::{Reason, latency_buckets},
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Answers of engines passed on whole.
    pub whole: Counter,
    /// Answers of the process itself and cut answers, by reason.
    pub failed: Family<Reason, Counter>,
    /// Sends to engines by result.
    pub sends: Family<Reason, Counter>,
    /// Sends beyond a request's first.
    pub repeats: Counter,
    /// Streams continued at another engine.
    pub resumed: Counter,
    /// Callers that left before their answer was whole.
    pub left: Counter,
    /// Time to the head of an answer or the first event, seconds.
    pub first_byte: Histogram,
    /// Longest pause between events of a stream, seconds.
    pub pause: Histogram,
    /// Calls to the store by result.
    pub store: Family<Reason, Counter>,
    /// Time of calls to the store that wait for nothing, seconds.
    pub store_time: Histogram,
    /// Datagrams that could not be decoded.
    pub nonsense: Counter,
    /// Records that could not be decoded.
    pub unreadable: Counter,
    /// Engines left out because their answers failed.
    pub distrusted: Counter,
    /// Revision of the configuration in force.
    pub revision: Gauge<u64, AtomicU64>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Engines listed.
    pub engines: Gauge,
    /// Other processes heard from.
    pub members: Gauge,
    /// Log lines that found the queue full.
    pub lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            whole: Counter::default(),
            failed: Family::default(),
            sends: Family::default(),
            repeats: Counter::default(),
            resumed: Counter::default(),
            left: Counter::default(),
            first_byte: Histogram::new(latency_buckets()),
            pause: Histogram::new(latency_buckets()),
            store: Family::default(),
            store_time: Histogram::new(latency_buckets()),
            nonsense: Counter::default(),
            unreadable: Counter::default(),
            distrusted: Counter::default(),
            revision: Gauge::default(),
            in_flight: Gauge::default(),
            engines: Gauge::default(),
            members: Gauge::default(),
            lines_dropped: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_front");
        let r = &mut registry;
        r.register("requests", "Requests received", self.requests.clone());
        r.register("whole", "Answers passed on whole", self.whole.clone());
        r.register("failed", "Refused and failed requests", self.failed.clone());
        r.register("sends", "Sends to engines by result", self.sends.clone());
        r.register("repeats", "Sends beyond the first", self.repeats.clone());
        r.register("resumed", "Streams resumed", self.resumed.clone());
        r.register("left", "Callers that left early", self.left.clone());
        r.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first_byte.clone(),
        );
        r.register(
            "pause_seconds",
            "Longest pause of a stream",
            self.pause.clone(),
        );
        r.register("store_calls", "Store calls by result", self.store.clone());
        r.register(
            "store_seconds",
            "Time of store calls",
            self.store_time.clone(),
        );
        r.register("nonsense", "Malformed datagrams", self.nonsense.clone());
        r.register("unreadable", "Unreadable records", self.unreadable.clone());
        r.register("distrusted", "Engines left out", self.distrusted.clone());
        r.register("revision", "Configuration revision", self.revision.clone());
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register("engines", "Engines listed", self.engines.clone());
        r.register("members", "Processes heard from", self.members.clone());
        r.register(
            "lines_dropped",
            "Log lines dropped",
            self.lines_dropped.clone(),
        );
        registry
    }
}
