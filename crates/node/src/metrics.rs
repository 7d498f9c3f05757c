//! Counters and timings: counters for the state dump, and both sent in the
//! `StatsD` protocol.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use cadence::{CountedExt as _, NopMetricSink, StatsdClient, Timed as _, UdpMetricSink};

/// The process's counters.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    counters: Mutex<BTreeMap<&'static str, u64>>,
}

impl Metrics {
    const PREFIX: &str = "fescuerack";

    /// Creates counters that are sent to the address `statsd`, or nowhere if it
    /// is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is malformed or no socket can be bound.
    pub fn new(statsd: &str) -> Result<Self> {
        let client = if statsd.is_empty() {
            StatsdClient::from_sink(Self::PREFIX, NopMetricSink)
        } else {
            let socket = UdpSocket::bind("0.0.0.0:0").context("bind the socket of metrics")?;
            let sink = UdpMetricSink::from(statsd, socket)
                .with_context(|| format!("statsd: `{statsd}` is no host:port"))?;
            StatsdClient::from_sink(Self::PREFIX, sink)
        };
        Ok(Self {
            client,
            counters: Mutex::new(BTreeMap::new()),
        })
    }

    /// Counts one occurrence.
    pub fn count(&self, name: &'static str) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry(name).or_insert(0) += 1;
        drop(counters);
        // If the datagram is lost, only the receiver misses the count: the
        // state dump still has it.
        let _ = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &'static str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Returns all counters.
    #[must_use]
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
