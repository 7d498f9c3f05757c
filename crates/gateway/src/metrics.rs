//! Metrics of a node, served in the Prometheus text format.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets in seconds: from a short call to a long stream.
const BUCKETS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 25.0,
];

/// All metrics of a node. Labels are routes, models, services, kinds and outcomes,
/// so the number of series is bounded by the configuration.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: IntCounterVec,
    /// Seconds until a request's answer began, by route.
    pub first_seconds: HistogramVec,
    /// Attempts by service and outcome.
    pub attempts: IntCounterVec,
    /// Retries by service and reason.
    pub further_attempts: IntCounterVec,
    /// Answers that were dropped because the request was escalated to a larger model, by route.
    pub dropped_answers: IntCounterVec,
    /// Answers of low confidence that were sent to callers because the larger model did not answer,
    /// by route.
    pub fallback_answers: IntCounterVec,
    /// Requests to servers that were warming up, by service.
    pub cold_requests: IntCounterVec,
    /// Servers that are warming up.
    pub cold_servers: IntGauge,
    /// Availability zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// Calls to the store by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Bytes of messages between nodes, by path and direction.
    pub peer_bytes: IntCounterVec,
    /// Seconds from the arrival of a change at the first node until it became active on this one, by
    /// kind.
    pub change_age_seconds: HistogramVec,
    /// Seconds from the notice of a large item until it became active.
    pub large_item_seconds: Histogram,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Revision up to which the store was followed.
    pub revision: IntGauge,
    /// Version of the active configuration.
    pub configuration: IntGauge,
    /// Entries of the store that could not be decoded.
    pub unreadable: IntGauge,
    /// Nodes in the view.
    pub nodes: IntGauge,
    /// Connections opened to backend servers, peers and the store.
    pub connections: IntGauge,
    /// Dropped log lines.
    pub log_lines_dropped: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let options = HistogramOpts::new(
            "fescuerack_first_seconds",
            "Seconds until a request's answer began",
        );
        let first_seconds = HistogramVec::new(options.buckets(BUCKETS_S.to_vec()), &["route"])?;
        registry.register(Box::new(first_seconds.clone()))?;
        let options = HistogramOpts::new(
            "fescuerack_large_item_seconds",
            "Seconds from the notice of a large item until it was in force",
        );
        let large_item_seconds = Histogram::with_opts(options.buckets(BUCKETS_S.to_vec()))?;
        registry.register(Box::new(large_item_seconds.clone()))?;
        let options = HistogramOpts::new(
            "fescuerack_change_age_seconds",
            "Seconds from when the first node heard of a change until it was in force",
        );
        let change_age_seconds = HistogramVec::new(options.buckets(BUCKETS_S.to_vec()), &["sort"])?;
        registry.register(Box::new(change_age_seconds.clone()))?;
        Ok(Self {
            change_age_seconds,
            large_item_seconds,
            requests: counter(
                "fescuerack_requests_total",
                "Requests by route and outcome",
                &["route", "outcome"],
            )?,
            first_seconds,
            attempts: counter(
                "fescuerack_attempts_total",
                "Attempts by service and outcome",
                &["service", "outcome"],
            )?,
            further_attempts: counter(
                "fescuerack_further_attempts_total",
                "Further attempts by service and reason",
                &["service", "reason"],
            )?,
            dropped_answers: counter(
                "fescuerack_dropped_answers_total",
                "Weak answers asked for again of a larger model",
                &["route"],
            )?,
            fallback_answers: counter(
                "fescuerack_fallback_answers_total",
                "Weak answers given since no larger model's came",
                &["route"],
            )?,
            cold_requests: counter(
                "fescuerack_cold_requests_total",
                "Requests to servers that were warming up",
                &["service"],
            )?,
            cold_servers: gauge("fescuerack_cold_servers", "Servers that are warming up")?,
            evacuated_zones: gauge("fescuerack_evacuated_zones", "Zones that are evacuated")?,
            store_calls: counter(
                "fescuerack_store_calls_total",
                "Calls to the store by kind and outcome",
                &["kind", "outcome"],
            )?,
            peer_bytes: counter(
                "fescuerack_peer_bytes_total",
                "Bytes of messages between nodes by path and direction",
                &["path", "direction"],
            )?,
            in_progress: gauge("fescuerack_in_progress", "Requests in progress")?,
            revision: gauge("fescuerack_revision", "Highest revision heard of")?,
            configuration: gauge("fescuerack_configuration", "Version of the configuration")?,
            unreadable: gauge(
                "fescuerack_unreadable_entries",
                "Entries of the store that could not be read so far",
            )?,
            nodes: gauge("fescuerack_nodes", "Nodes known")?,
            connections: gauge("fescuerack_connections_opened", "Connections opened")?,
            log_lines_dropped: gauge("fescuerack_log_lines_dropped", "Log lines left out")?,
            registry,
        })
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// When a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
