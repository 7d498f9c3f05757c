//! Metrics of a node, served in the Prometheus text format.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
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
    /// Streams that were continued at another server since they would have ended late, by route and
    /// outcome.
    pub streams_continued: IntCounterVec,
    /// Servers that accept few requests or none.
    pub servers: ServerMetrics,
    /// Availability zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// Whether the node is cut from most servers.
    pub path_lost: IntGauge,
    /// Servers to which the link is lost.
    pub lost_links: IntGauge,
    /// Requests that were sent through a peer, by outcome.
    pub forwarded: IntCounterVec,
    /// Calls to the store by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Bytes of messages between nodes, by path and direction.
    pub peer_bytes: IntCounterVec,
    /// Seconds from the arrival of a change at the first node until it became active on this one,
    /// by kind.
    pub change_age_seconds: HistogramVec,
    /// Seconds from the notice of a large item until it became active.
    pub large_item_seconds: Histogram,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Connections of callers that are open.
    pub caller_connections: IntGauge,
    /// Connections of callers that were closed since there were too many, by reason.
    pub caller_connections_closed: IntCounterVec,
    /// Bytes that bodies of requests hold.
    pub body_bytes: IntGauge,
    /// Bytes that answers hold which are read whole before they are sent.
    pub answer_bytes: IntGauge,
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

/// Metrics of backend servers that accept few requests or none.
#[derive(Clone, Debug)]
pub struct ServerMetrics {
    /// Requests to servers that were warming up, by service.
    pub cold_requests: IntCounterVec,
    /// Servers that are warming up.
    pub cold: IntGauge,
    /// Requests to servers that had stated a limit, by service.
    pub limited_requests: IntCounterVec,
    /// Limits that servers stated, changed or ended, by change.
    pub limit_changes: IntCounterVec,
    /// Servers that have stated a limit.
    pub limited: IntGauge,
    /// Listed servers that have stated that they are about to stop.
    pub leaving: IntGauge,
    /// Rests that servers have asked this node for, by service.
    pub rests: IntCounterVec,
    /// Servers that rest.
    pub resting: IntGauge,
    /// Ready engines, by service and pool.
    pub in_pool: IntGaugeVec,
    /// Services whose servers end when they turn too many requests away.
    pub brittle_services: IntGauge,
    /// Headers of servers that could not be parsed, by what they state.
    pub unreadable_headers: IntCounterVec,
}

impl ServerMetrics {
    fn new(registrar: Registrar<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            cold_requests: registrar.counter(
                "fescuerack_cold_requests_total",
                "Requests to servers that were warming up",
                &["service"],
            )?,
            cold: registrar.gauge("fescuerack_cold_servers", "Servers that are warming up")?,
            limited_requests: registrar.counter(
                "fescuerack_limited_requests_total",
                "Requests to servers that had stated a limit",
                &["service"],
            )?,
            limit_changes: registrar.counter(
                "fescuerack_limit_changes_total",
                "Limits that servers stated in answers: learnt, changed or ended",
                &["change"],
            )?,
            limited: registrar.gauge(
                "fescuerack_limited_servers",
                "Servers that have stated a limit",
            )?,
            leaving: registrar.gauge(
                "fescuerack_leaving_servers",
                "Servers in the list that have said that they leave",
            )?,
            rests: registrar.counter(
                "fescuerack_rests_total",
                "Rests that servers have asked this node for",
                &["service"],
            )?,
            brittle_services: registrar.gauge(
                "fescuerack_brittle_services",
                "Services whose servers end when they turn too many requests away",
            )?,
            resting: registrar.gauge(
                "fescuerack_resting_servers",
                "Servers that get nothing from this node since they have asked for rest",
            )?,
            in_pool: registrar.gauges(
                "fescuerack_pool_servers",
                "Engines that are ready, by service and pool",
                &["service", "pool"],
            )?,
            unreadable_headers: registrar.counter(
                "fescuerack_unreadable_headers_total",
                "Headers of servers that could not be read",
                &["what"],
            )?,
        })
    }
}

/// Creates metrics and registers them.
#[derive(Clone, Copy)]
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn counter(self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
        let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn histogram(self, name: &str, help: &str) -> prometheus::Result<Histogram> {
        let options = HistogramOpts::new(name, help);
        let histogram = Histogram::with_opts(options.buckets(BUCKETS_S.to_vec()))?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    fn histograms(self, name: &str, help: &str, label: &str) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help);
        let histograms = HistogramVec::new(options.buckets(BUCKETS_S.to_vec()), &[label])?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let new = Registrar(&registry);
        Ok(Self {
            change_age_seconds: new.histograms(
                "fescuerack_change_age_seconds",
                "Seconds from when the first node heard of a change until it was in force",
                "sort",
            )?,
            large_item_seconds: new.histogram(
                "fescuerack_large_item_seconds",
                "Seconds from the notice of a large item until it was in force",
            )?,
            requests: new.counter(
                "fescuerack_requests_total",
                "Requests by route and outcome",
                &["route", "outcome"],
            )?,
            first_seconds: new.histograms(
                "fescuerack_first_seconds",
                "Seconds until a request's answer began",
                "route",
            )?,
            attempts: new.counter(
                "fescuerack_attempts_total",
                "Attempts by service and outcome",
                &["service", "outcome"],
            )?,
            further_attempts: new.counter(
                "fescuerack_further_attempts_total",
                "Further attempts by service and reason",
                &["service", "reason"],
            )?,
            dropped_answers: new.counter(
                "fescuerack_dropped_answers_total",
                "Weak answers asked for again of a larger model",
                &["route"],
            )?,
            fallback_answers: new.counter(
                "fescuerack_fallback_answers_total",
                "Weak answers given since no larger model's came",
                &["route"],
            )?,
            streams_continued: new.counter(
                "fescuerack_streams_continued",
                "Streams continued at another server since they would have ended late",
                &["route", "outcome"],
            )?,
            servers: ServerMetrics::new(new)?,
            evacuated_zones: new.gauge("fescuerack_evacuated_zones", "Zones that are evacuated")?,
            path_lost: new.gauge("fescuerack_path_lost", "Whether few servers are reached")?,
            lost_links: new.gauge("fescuerack_lost_links", "Servers that are not reached")?,
            forwarded: new.counter(
                "fescuerack_forwarded_total",
                "Requests sent through a peer by outcome",
                &["outcome"],
            )?,
            store_calls: new.counter(
                "fescuerack_store_calls_total",
                "Calls to the store by kind and outcome",
                &["kind", "outcome"],
            )?,
            peer_bytes: new.counter(
                "fescuerack_peer_bytes_total",
                "Bytes of messages between nodes by path and direction",
                &["path", "direction"],
            )?,
            in_progress: new.gauge("fescuerack_in_progress", "Requests in progress")?,
            caller_connections: new.gauge(
                "fescuerack_caller_connections",
                "Connections of callers that are open",
            )?,
            caller_connections_closed: new.counter(
                "fescuerack_caller_connections_closed_total",
                "Connections of callers closed since there were too many",
                &["reason"],
            )?,
            body_bytes: new.gauge(
                "fescuerack_body_bytes",
                "Bytes that bodies of requests hold",
            )?,
            answer_bytes: new.gauge(
                "fescuerack_answer_bytes",
                "Bytes that answers hold which are read whole",
            )?,
            revision: new.gauge("fescuerack_revision", "Highest revision heard of")?,
            configuration: new.gauge("fescuerack_configuration", "Version of the configuration")?,
            unreadable: new.gauge(
                "fescuerack_unreadable_entries",
                "Entries of the store that could not be read so far",
            )?,
            nodes: new.gauge("fescuerack_nodes", "Nodes known")?,
            connections: new.gauge("fescuerack_connections_opened", "Connections opened")?,
            log_lines_dropped: new.gauge("fescuerack_log_lines_dropped", "Log lines left out")?,
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
