//! Metrics of an entry host.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Upper bound of the first bucket of the latency histograms.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Factor between the bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets of the latency histograms.
const BUCKET_COUNT: u16 = 16;

/// Returns the upper bounds of the latency buckets, seconds.
pub fn latency_buckets() -> impl Iterator<Item = f64> {
    exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)
}

/// Increments the counter with the label `reason`.
pub fn count(family: &Family<Reason, Counter>, reason: &str) {
    let reason = Reason {
        reason: reason.to_owned(),
    };
    family.get_or_create(&reason).inc();
}

/// Label set of counters that are kept by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Reason, in snake case or kebab case.
    pub reason: String,
}

/// Metrics of an entry host.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Requests that ended without a problem document.
    pub completed: Counter,
    /// Responses that ended early.
    pub truncated: Counter,
    /// Requests answered with a problem document, by its kind.
    pub refused: Family<Reason, Counter>,
    /// Attempts at a request beyond its first.
    pub retries: Counter,
    /// Retries not made because the budget was empty.
    pub retries_denied: Counter,
    /// Responses recalled after a lost connection or for another request's key.
    pub recalls: Counter,
    /// Responses resumed on another backend server.
    pub resumed: Counter,
    /// Requests rejected because the queue was full.
    pub shed: Counter,
    /// Claims on idempotency keys, by result.
    pub claims: Family<Reason, Counter>,
    /// Appends to the log, by result.
    pub appends: Family<Reason, Counter>,
    /// Records of the log, by outcome.
    pub records: Family<Reason, Counter>,
    /// Malformed messages from peers or the platform, by kind.
    pub malformed: Family<Reason, Counter>,
    /// Time from a request's arrival to the first byte of its response, seconds.
    pub time_to_first_byte: Histogram,
    /// Time that requests waited in the queue, seconds.
    pub queue_time: Histogram,
    /// Revision of the active configuration.
    pub revision: Gauge<u64, AtomicU64>,
    /// Attempts in flight.
    pub in_flight: Gauge,
    /// Requests waiting in the queues.
    pub queue_length: Gauge,
    /// 1 when the last read of the log succeeded, else 0.
    pub log_up: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            completed: Counter::default(),
            truncated: Counter::default(),
            refused: Family::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            recalls: Counter::default(),
            resumed: Counter::default(),
            shed: Counter::default(),
            claims: Family::default(),
            appends: Family::default(),
            records: Family::default(),
            malformed: Family::default(),
            time_to_first_byte: Histogram::new(latency_buckets()),
            queue_time: Histogram::new(latency_buckets()),
            revision: Gauge::default(),
            in_flight: Gauge::default(),
            queue_length: Gauge::default(),
            log_up: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Creates a registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_entry");
        let r = &mut registry;
        r.register("requests", "Requests received", self.requests.clone());
        r.register("whole", "Requests answered whole", self.completed.clone());
        r.register("cut", "Answers cut off", self.truncated.clone());
        r.register("refused", "Requests refused", self.refused.clone());
        r.register("retries", "Attempts beyond the first", self.retries.clone());
        r.register(
            "retries_denied",
            "Retries denied",
            self.retries_denied.clone(),
        );
        r.register("recalls", "Answers asked for again", self.recalls.clone());
        r.register("resumed", "Streams resumed", self.resumed.clone());
        r.register("shed", "Requests shed", self.shed.clone());
        r.register("claims", "Claims by result", self.claims.clone());
        r.register("appends", "Appends by result", self.appends.clone());
        r.register("records", "Records by outcome", self.records.clone());
        r.register("nonsense", "Malformed messages", self.malformed.clone());
        r.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.time_to_first_byte.clone(),
        );
        r.register(
            "queued_seconds",
            "Time in the queue",
            self.queue_time.clone(),
        );
        r.register("revision", "Configuration revision", self.revision.clone());
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register("queue", "Requests queued", self.queue_length.clone());
        r.register("log_up", "Whether the log is readable", self.log_up.clone());
        registry
    }
}
