//! Counters, histograms and gauges of an entry host.

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

/// Smallest bucket of the latency histograms, seconds.
const BUCKET_START: f64 = 0.001;
/// Factor between buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets.
const BUCKETS: u16 = 16;

/// Buckets of the latency histograms.
pub fn latency_buckets() -> impl Iterator<Item = f64> {
    exponential_buckets(BUCKET_START, BUCKET_FACTOR, BUCKETS)
}

/// Counts under a reason.
pub fn count(family: &Family<Reason, Counter>, reason: &str) {
    let reason = Reason {
        reason: reason.to_owned(),
    };
    family.get_or_create(&reason).inc();
}

/// Label of a counter by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Short reason.
    pub reason: String,
}

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Requests answered whole.
    pub completed: Counter,
    /// Answers cut off after they began.
    pub truncated: Counter,
    /// Requests refused, by kind of problem.
    pub refused: Family<Reason, Counter>,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Retries not made because the budget was empty.
    pub retries_denied: Counter,
    /// Answers asked for again over another connection.
    pub recalls: Counter,
    /// Streams resumed on another backend server.
    pub resumed: Counter,
    /// Requests shed from a full queue.
    pub shed: Counter,
    /// Claims won, lost, found done or not made.
    pub claims: Family<Reason, Counter>,
    /// Appends to the log, by result.
    pub appends: Family<Reason, Counter>,
    /// Records of the log, by outcome.
    pub records: Family<Reason, Counter>,
    /// Malformed messages of peers or the platform, by kind.
    pub malformed: Family<Reason, Counter>,
    /// Time to the first byte of an answer, seconds.
    pub time_to_first_byte: Histogram,
    /// Time waited in the queue, seconds.
    pub queue_time: Histogram,
    /// Configuration revision.
    pub revision: Gauge<u64, AtomicU64>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Requests queued.
    pub queue_length: Gauge,
    /// Whether the log is readable.
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
    /// Registry with all metrics.
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
