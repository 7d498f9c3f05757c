//! The limits that the configuration may set, with their bounds and defaults.
//!
//! A name that is not listed is refused: otherwise a misspelt limit would
//! silently leave the default active.

/// One limit, its bounds and its default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Name in the section `limits`.
    pub name: &'static str,
    /// Smallest accepted value.
    pub min: f64,
    /// Largest accepted value.
    pub max: f64,
    /// Value when the configuration does not set it.
    pub default: f64,
    /// What it bounds, as the configuration page prints it.
    pub description: &'static str,
}

/// All limits.
pub const LIMITS: &[Limit] = &[
    limit(
        "admission.long-share",
        (0.05, 0.95, 0.3),
        "share of the places that long work may hold",
    ),
    limit(
        "admission.long-floor",
        (0.0, 0.5, 0.1),
        "share of the places kept for long work that waits",
    ),
    limit(
        "admission.queue",
        (0.0, 64.0, 4.0),
        "requests that may wait, per place",
    ),
    limit(
        "admission.slack",
        (0.05, 1.0, 0.5),
        "share of the time until the latest start that the expected wait may take",
    ),
    limit(
        "admission.margin",
        (0.0, 6.0, 2.0),
        "deviations above the mean that a request is expected to run",
    ),
    limit(
        "admission.retry-seconds",
        (1.0, 600.0, 30.0),
        "longest Retry-After in seconds",
    ),
    limit(
        "route.failures",
        (1.0, 100.0, 3.0),
        "failures in a row that eject a backend server",
    ),
    limit(
        "route.slow",
        (1.5, 100.0, 3.0),
        "times slower than the median that ejects a backend server",
    ),
    limit(
        "route.ejected-share",
        (0.0, 0.5, 0.34),
        "largest share of a pool that is ejected at a time",
    ),
    limit(
        "route.ejection-ms",
        (100.0, 600_000.0, 5_000.0),
        "milliseconds of a backend server's first ejection",
    ),
    limit(
        "route.subset",
        (2.0, 10_000.0, 12.0),
        "backend servers of one fleet that an instance uses",
    ),
    limit(
        "attempt.retry-share",
        (0.0, 1.0, 0.1),
        "further attempts per request",
    ),
    limit(
        "attempt.retry-saved",
        (0.0, 1_000.0, 10.0),
        "further attempts that may be saved up",
    ),
    limit(
        "attempt.hedge-ms",
        (0.0, 60_000.0, 0.0),
        "least milliseconds without a first token before a hedge; 0 for none",
    ),
    limit(
        "attempt.failing",
        (0.05, 1.0, 0.5),
        "share of failed attempts from which a pool gets no further ones",
    ),
    limit(
        "orders.loads-per-second",
        (1.0, 1_000.0, 4.0),
        "loads a second that engines are ordered, over all fleets",
    ),
    limit(
        "ratings.per-second",
        (0.0, 100_000.0, 50.0),
        "ratings a second that all instances together ask for",
    ),
    limit(
        "ratings.share",
        (0.0, 1.0, 0.1),
        "share of the usual answers that are rated; a candidate's all are, if there is room",
    ),
];

const fn limit(
    name: &'static str,
    (min, max, default): (f64, f64, f64),
    description: &'static str,
) -> Limit {
    Limit {
        name,
        min,
        max,
        default,
        description,
    }
}

/// Returns the limit with this name.
#[must_use]
pub fn find(name: &str) -> Option<&'static Limit> {
    LIMITS.iter().find(|limit| limit.name == name)
}
