//! Metrics of an entry host on the platform.

use {
    crate::metrics::{Reason, latency_buckets},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Label set of metrics that are kept by service and priority class.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Class {
    /// Name of the service.
    pub service: String,
    /// Priority in force.
    pub class: u32,
}

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received from callers.
    pub requests: Counter,
    /// Engine responses relayed completely.
    pub completed: Counter,
    /// Error responses of this process and aborted responses, by reason.
    pub failed: Family<Reason, Counter>,
    /// Ends of requests, by result: answered, refused (no engine has run it), failed, caller_left,
    /// caller_unreachable, cut_off or panicked.
    pub ends: Family<Reason, Counter>,
    /// Requests that ask for an engine for the first time, callers' retries among them.
    pub offered: Family<Class, Counter>,
    /// Those that were admitted; some of them find no engine in time.
    pub admitted: Family<Class, Counter>,
    /// Those that were refused at once in favour of others.
    pub shed: Family<Class, Counter>,
    /// Requests that wait for an engine.
    pub waiting: Family<Class, Gauge>,
    /// Attempts at engines, by result.
    pub attempts: Family<Reason, Counter>,
    /// Attempts beyond the first of each request.
    pub retries: Counter,
    /// Streams resumed at another engine.
    pub resumed: Counter,
    /// Callers that disconnected before their response was complete.
    pub disconnected: Counter,
    /// Attempts of which it was unknown at their end whether the engine would crash on them.
    pub abandoned_attempts: Counter,
    /// Time to the complete response or, for streams, to the first event, in seconds.
    pub first_byte: Histogram,
    /// Longest pause between two events of a stream, in seconds.
    pub longest_pause: Histogram,
    /// Calls to the store, by result.
    pub store_calls: Family<Reason, Counter>,
    /// Duration of store calls other than long polls, in seconds.
    pub store_seconds: Histogram,
    /// Datagrams and peer responses that could not be decoded.
    pub malformed_packets: Counter,
    /// Store records that could not be decoded.
    pub malformed_records: Counter,
    /// Engines ejected because their responses failed.
    pub ejected_engines: Counter,
    /// Revision of the configuration in effect.
    pub revision: Gauge<u64, AtomicU64>,
    /// Era of the store.
    pub store_era: Gauge,
    /// Engines that have said themselves that they are leaving.
    pub leaving_engines: Counter,
    /// Limits that answers of engines have named, changed or ended.
    pub limit_changes: Counter,
    /// Refusals of engines that asked for a rest.
    pub resting_engines: Counter,
    /// Learned time of the slowest engine as a multiple of that of typical engines of its service.
    pub slowest_factor: Gauge<f64, AtomicU64>,
    /// Choices that were refused because no engine could answer within the deadline.
    pub hopeless_choices: Gauge<u64, AtomicU64>,
    /// Parts of prompts that are refused because they crash engines.
    pub quarantined_parts: Gauge,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Engines listed by the platform.
    pub engines: Gauge,
    /// Engines whose agents report that they take no requests.
    pub engines_out: Gauge,
    /// Restarts of the time for older versions, because the store was disrupted.
    pub version_time_restarts: Counter,
    /// Other processes that are remembered.
    pub members: Gauge,
    /// Log lines dropped because the log queue was full.
    pub lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            completed: Counter::default(),
            failed: Family::default(),
            ends: Family::default(),
            offered: Family::default(),
            admitted: Family::default(),
            shed: Family::default(),
            waiting: Family::default(),
            attempts: Family::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            disconnected: Counter::default(),
            abandoned_attempts: Counter::default(),
            first_byte: Histogram::new(latency_buckets()),
            longest_pause: Histogram::new(latency_buckets()),
            store_calls: Family::default(),
            store_seconds: Histogram::new(latency_buckets()),
            malformed_packets: Counter::default(),
            malformed_records: Counter::default(),
            ejected_engines: Counter::default(),
            revision: Gauge::default(),
            store_era: Gauge::default(),
            leaving_engines: Counter::default(),
            limit_changes: Counter::default(),
            resting_engines: Counter::default(),
            slowest_factor: Gauge::default(),
            hopeless_choices: Gauge::default(),
            quarantined_parts: Gauge::default(),
            in_flight: Gauge::default(),
            engines: Gauge::default(),
            engines_out: Gauge::default(),
            version_time_restarts: Counter::default(),
            members: Gauge::default(),
            lines_dropped: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Returns a registry that holds all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jayspread_front");
        let r = &mut registry;
        r.register("requests", "Requests received", self.requests.clone());
        r.register("whole", "Answers passed on whole", self.completed.clone());
        r.register("failed", "Refused and failed requests", self.failed.clone());
        r.register("ends", "Ends of requests by result", self.ends.clone());
        r.register("offered", "Requests by class", self.offered.clone());
        r.register(
            "admitted",
            "Requests admitted, by class",
            self.admitted.clone(),
        );
        r.register("shed", "Requests shed, by class", self.shed.clone());
        r.register(
            "waiting",
            "Requests that wait for an engine, by class",
            self.waiting.clone(),
        );
        r.register("sends", "Sends to engines by result", self.attempts.clone());
        r.register("repeats", "Sends beyond the first", self.retries.clone());
        r.register("resumed", "Streams resumed", self.resumed.clone());
        r.register("left", "Callers that left early", self.disconnected.clone());
        r.register(
            "abandoned_sends",
            "Sends that ended before it was known whether the engine crashed",
            self.abandoned_attempts.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first_byte.clone(),
        );
        r.register(
            "pause_seconds",
            "Longest pause of a stream",
            self.longest_pause.clone(),
        );
        r.register(
            "store_calls",
            "Store calls by result",
            self.store_calls.clone(),
        );
        r.register(
            "store_seconds",
            "Time of store calls",
            self.store_seconds.clone(),
        );
        r.register(
            "nonsense",
            "Malformed datagrams",
            self.malformed_packets.clone(),
        );
        r.register(
            "unreadable",
            "Unreadable records",
            self.malformed_records.clone(),
        );
        r.register(
            "distrusted",
            "Engines left out",
            self.ejected_engines.clone(),
        );
        r.register("revision", "Configuration revision", self.revision.clone());
        r.register(
            "store_era",
            "Times that the store came back from a copy",
            self.store_era.clone(),
        );
        r.register(
            "engines_leaving",
            "Engines that said they were leaving",
            self.leaving_engines.clone(),
        );
        r.register(
            "engine_limit_changes",
            "Limits that answers of engines named, changed or ended",
            self.limit_changes.clone(),
        );
        r.register(
            "engine_rests",
            "Refusals of engines that asked for a rest",
            self.resting_engines.clone(),
        );
        r.register(
            "slowest_engine_factor",
            "Learned time of the slowest engine relative to typical ones",
            self.slowest_factor.clone(),
        );
        r.register(
            "hopeless_choices",
            "Choices refused because no engine could answer within the deadline",
            self.hopeless_choices.clone(),
        );
        r.register(
            "quarantined_parts",
            "Prompt parts that crash engines",
            self.quarantined_parts.clone(),
        );
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register("engines", "Engines listed", self.engines.clone());
        r.register(
            "engines_out",
            "Engines that take no requests",
            self.engines_out.clone(),
        );
        r.register(
            "version_time_restarts",
            "Restarts of the time for older versions",
            self.version_time_restarts.clone(),
        );
        r.register("members", "Processes heard from", self.members.clone());
        r.register(
            "lines_dropped",
            "Log lines dropped",
            self.lines_dropped.clone(),
        );
        registry
    }
}
