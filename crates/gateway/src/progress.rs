//! The state of a request across its attempts.

use std::sync::Arc;

use fescuerack_core::clock::Instant;

use crate::attempt::Job;
use crate::clock::now;
use crate::fallback::Fallback;

/// The state of a request across its attempts.
#[derive(Default)]
pub struct RequestProgress {
    /// Servers that must not be tried again.
    pub tried: Vec<Arc<str>>,
    /// Attempts that reached a server.
    pub sent: u32,
    /// Attempts at servers that could not be reached.
    pub connect_failures: u32,
    /// Those of them that took long.
    pub slow_connect_failures: u32,
    /// Whether the request may have been run.
    pub may_have_run: bool,
    /// Index of the model for the next attempt.
    pub model: Option<usize>,
    /// Whether no peer takes the request.
    pub has_no_peer: bool,
    /// Answers of low confidence that are held, the one of the largest model last.
    pub held: Vec<Fallback>,
}

impl RequestProgress {
    /// Returns until when an answer of a larger model is waited for, or any answer if none is held.
    #[must_use]
    pub fn answer_until(&self, job: &Job) -> Instant {
        self.held.last().map_or(job.deadline, Fallback::until)
    }

    /// Returns whether an answer that is held is due.
    #[must_use]
    pub fn is_fallback_due(&self) -> bool {
        self.held.last().is_some_and(|held| now() >= held.until())
    }
}
