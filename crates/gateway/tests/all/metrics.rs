//! Tests of the served metrics against their list in the docs.

use fescuerack_gateway::metrics::Metrics;

/// Operators look metrics up in the docs: every served metric must be listed there, and every listed
/// one served.
#[test]
fn text_lists_what_the_docs_list() {
    let metrics = Metrics::new().expect("metrics");
    metrics.requests.with_label_values(&["r", "answered"]).inc();
    metrics.first_seconds.with_label_values(&["r"]).observe(0.1);
    metrics.attempts.with_label_values(&["s", "head"]).inc();
    metrics
        .further_attempts
        .with_label_values(&["s", "weak"])
        .inc();
    metrics.dropped_answers.with_label_values(&["r"]).inc();
    metrics.fallback_answers.with_label_values(&["r"]).inc();
    metrics
        .streams_continued
        .with_label_values(&["r", "whole"])
        .inc();
    let servers = &metrics.servers;
    servers.cold_requests.with_label_values(&["s"]).inc();
    servers.limited_requests.with_label_values(&["s"]).inc();
    servers.limit_changes.with_label_values(&["learnt"]).inc();
    servers.rests.with_label_values(&["s"]).inc();
    servers.in_pool.with_label_values(&["s", "light"]).set(1);
    servers
        .unreadable_headers
        .with_label_values(&["limit"])
        .inc();
    metrics
        .store_calls
        .with_label_values(&["watch", "answered"])
        .inc();
    metrics.forwarded.with_label_values(&["served"]).inc();
    metrics
        .caller_connections_closed
        .with_label_values(&["replaced"])
        .inc();
    metrics
        .peer_bytes
        .with_label_values(&["/follow", "out"])
        .inc();
    metrics
        .change_age_seconds
        .with_label_values(&["server"])
        .observe(0.1);
    let text = metrics.text().expect("text");
    let served: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .collect();
    let page = include_str!("../../../../docs/METRICS-GATEWAY.md");
    let listed: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `fescuerack_"))
        .filter_map(|line| line.split('`').next())
        .collect();
    for name in &served {
        let short = name.trim_start_matches("fescuerack_");
        assert!(listed.contains(&short), "{name} is not listed");
    }
    assert_eq!(served.len(), listed.len(), "{listed:?}");
}
