//! Poison requests: requests that crash the backend servers that run them.
//!
//! Without protection, one request crashes its server, is retried on the next one, crashes that
//! too, and its caller sends it again under a new identifier through another instance. Three
//! retries and a caller that keeps sending are enough to bring down a whole fleet.
//!
//! A request is identified by its [`Fingerprint`], a digest of organisation and body, regardless of
//! its request identifier. When a server crashes, every request that ran there is suspected, since
//! it is not yet known which one caused the crash. Each suspect may run once more, on a server
//! where no other suspect runs:
//!
//! - a harmless request completes and is cleared;
//! - the poison request crashes a second server and is refused from then on.
//!
//! So the second run distinguishes them. Suspects never share a server, so that a harmless request
//! is not suspected a second time because of the poison request.
//!
//! A server that has started again has the same name as before, so the crash of a second run counts
//! whatever its server's name is. Other crashes of a server with the same name may be one, which several
//! copies of the request have seen.
//!
//! Only the instance that saw the crash may make the second run; all others refuse the request
//! until they learn that it has completed. The second run also needs a permit, a compare-and-swap
//! of the fingerprint's [`Record`] in the store, so that two instances that both saw a crash cannot
//! each run the request again. While the store is unavailable, the permit counts as granted.
//! Suspicions are pushed to peers at once and repeated in digests. Until they arrive, another
//! instance may still run a copy that was sent at the same time.

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::clock::Instant;

/// Number of crashed servers, over all instances, from which a fingerprint is refused.
pub const MAX_CRASHED_SERVERS: usize = 2;
/// Milliseconds for which a suspicion is kept.
pub const RETENTION_MS: u64 = 86_400_000;
/// Milliseconds for which instances that did not see a single crash refuse the request. The time is
/// limited because the instance that may run it again may be gone.
pub const REMOTE_REFUSAL_MS: u64 = 3_600_000;
/// Maximum duration of the second run of a suspect, in milliseconds: the run has certainly ended
/// when another instance may run the request again.
pub const MAX_RERUN_MS: u64 = REMOTE_REFUSAL_MS / 2;
/// Maximum number of suspicions that one instance keeps.
const MAX_SUSPICIONS: usize = 4096;
/// Maximum number of suspicions in a digest.
const MAX_DIGEST_REPORTS: usize = 8;

/// Suffix of the name of a server that has crashed under the same request before.
const RESTARTED: &str = " (restarted)";
/// Prefix of the keys in the store.
pub const PREFIX: &str = "poison/";

/// Digest of organisation and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn new(organisation: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(organisation.as_bytes());
        hash.update([0]);
        hash.update(body);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// Returns the key of the fingerprint in the store.
    #[must_use]
    pub fn key(self) -> String {
        format!("{PREFIX}{:016x}", self.0)
    }
}

/// The record of a fingerprint in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Servers that crashed while they ran the request.
    pub lost: BTreeSet<String>,
    /// Holder of the permit for the second run, if it has been granted.
    pub permit: Option<String>,
}

impl Record {
    /// Grants the permit for the second run to `holder`, which keeps it if the run ends without a
    /// crash. Returns `None` if the fingerprint may not run.
    #[must_use]
    pub fn take_permit(mut self, holder: &str, lost: &BTreeSet<String>) -> Option<Self> {
        self.lost.extend(lost.iter().cloned());
        let held_by_other = self.permit.as_ref().is_some_and(|known| known != holder);
        if self.lost.len() >= MAX_CRASHED_SERVERS || held_by_other {
            return None;
        }
        self.permit = Some(holder.to_owned());
        Some(self)
    }
}

/// A suspicion as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Servers that crashed while they ran the request.
    pub lost: BTreeSet<String>,
    /// Whether the request has completed without a crash since.
    pub survived: bool,
}

/// The message to peers: suspicions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Suspicions, those with the most crashed servers first, then the latest first.
    pub reports: Vec<Report>,
}

/// Decision about running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run.
    Run,
    /// The request may run once more, with the permit from the store, because this instance saw the
    /// crash. While the store is unavailable, the permit counts as granted.
    Permit,
    /// The request is refused.
    Refuse,
}

#[derive(Clone, Debug, Serialize)]
struct Suspicion {
    lost: BTreeSet<String>,
    survived: bool,
    #[serde(rename = "own")]
    seen_locally: bool,
    #[serde(rename = "doubt_until")]
    refused_remotely_until: Instant,
    until: Instant,
}

/// The suspicions at one instance.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Suspects {
    known: BTreeMap<Fingerprint, Suspicion>,
    #[serde(skip)]
    running: BTreeMap<Fingerprint, key::Server>,
}

impl Suspects {
    /// Creates an empty set of suspicions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request may run.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        match self.known.get(&fingerprint) {
            Some(known) if now >= known.until => Verdict::Run,
            Some(known) if known.lost.len() >= MAX_CRASHED_SERVERS => Verdict::Refuse,
            // The permit covers one run at a time.
            Some(_) if self.running.contains_key(&fingerprint) => Verdict::Refuse,
            Some(known) if known.survived || now >= known.refused_remotely_until => Verdict::Run,
            // Not so late that the run could overlap with a run at another instance.
            Some(known)
                if known.seen_locally
                    && now.plus_millis(MAX_RERUN_MS) <= known.refused_remotely_until =>
            {
                Verdict::Permit
            }
            Some(_) => Verdict::Refuse,
            None => Verdict::Run,
        }
    }

    /// Returns the servers on which suspects run; other suspects must avoid them.
    #[must_use]
    pub fn occupied(&self) -> BTreeSet<key::Server> {
        self.running.values().copied().collect()
    }

    /// Records that a request is about to run on `server`. Returns `false` if it may not run,
    /// because another crash was reported in the meantime.
    #[must_use]
    pub fn start(&mut self, now: Instant, fingerprint: Fingerprint, server: key::Server) -> bool {
        let verdict = self.verdict(now, fingerprint);
        if verdict == Verdict::Permit {
            self.running.insert(fingerprint, server);
        }
        verdict != Verdict::Refuse
    }

    /// Records that `server` crashed while it ran a request. The crash of a server that has started
    /// again counts like that of another one.
    pub fn record_crash(&mut self, now: Instant, fingerprint: Fingerprint, server: &str) {
        let is_second_run = self.running.remove(&fingerprint).is_some();
        let known = self.known.get(&fingerprint);
        let is_again = known
            .is_some_and(|known| (is_second_run || known.survived) && known.lost.contains(server));
        let name = if is_again {
            format!("{server}{RESTARTED}")
        } else {
            server.to_owned()
        };
        self.suspect(now, fingerprint, &BTreeSet::from([name]), false, true);
    }

    /// Records that a request no longer runs, without any outcome.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.running.remove(&fingerprint);
    }

    /// Records that a request ended without a crash; returns whether it was suspected.
    pub fn record_survival(&mut self, fingerprint: Fingerprint) -> bool {
        self.running.remove(&fingerprint);
        match self.known.get_mut(&fingerprint) {
            Some(known) if known.lost.len() < MAX_CRASHED_SERVERS => {
                known.survived = true;
                true
            }
            _ => false,
        }
    }

    /// Returns the servers that are recorded to have crashed while they ran a request.
    #[must_use]
    pub fn lost(&self, fingerprint: Fingerprint) -> BTreeSet<String> {
        let known = self.known.get(&fingerprint);
        known.map(|known| known.lost.clone()).unwrap_or_default()
    }

    /// Merges the record from the store.
    pub fn merge_record(&mut self, now: Instant, fingerprint: Fingerprint, record: &Record) {
        self.suspect(now, fingerprint, &record.lost, false, false);
    }

    fn suspect(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lost: &BTreeSet<String>,
        survived: bool,
        seen_locally: bool,
    ) {
        if lost.is_empty() {
            return;
        }
        let until = now.plus_millis(RETENTION_MS);
        let refused_remotely_until = now.plus_millis(REMOTE_REFUSAL_MS);
        let known = self.known.entry(fingerprint).or_insert(Suspicion {
            lost: BTreeSet::new(),
            survived: false,
            seen_locally: false,
            refused_remotely_until,
            until,
        });
        let before = known.lost.len();
        known
            .lost
            .extend(lost.iter().take(MAX_CRASHED_SERVERS).cloned());
        if known.lost.len() > before {
            // A crash after a run without a crash counts like the first one.
            known.survived = false;
            known.until = until;
            known.refused_remotely_until = refused_remotely_until;
        }
        known.survived |= survived;
        known.seen_locally |= seen_locally;
        self.evict(now);
    }

    /// Evicts suspicions if there are too many: expired ones first, then cleared ones, and those
    /// that are refused for good last.
    fn evict(&mut self, now: Instant) {
        if self.known.len() <= MAX_SUSPICIONS {
            return;
        }
        self.known.retain(|_, known| now < known.until);
        while self.known.len() > MAX_SUSPICIONS {
            let rank = |known: &Suspicion| (known.lost.len(), !known.survived, known.until);
            let first = self.known.iter().min_by_key(|(_, known)| rank(known));
            let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.known.remove(&fingerprint);
        }
    }

    /// Returns the digest for peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let mut latest: Vec<_> = self
            .known
            .iter()
            .filter(|(_, known)| now < known.until)
            .collect();
        latest.sort_by_key(|(_, known)| std::cmp::Reverse((known.lost.len(), known.until)));
        let reports = latest.into_iter().take(MAX_DIGEST_REPORTS);
        Digest {
            reports: reports
                .map(|(fingerprint, known)| Report {
                    fingerprint: *fingerprint,
                    lost: known.lost.clone(),
                    survived: known.survived,
                })
                .collect(),
        }
    }

    /// Merges a digest from a peer; repeated, reordered and old digests change nothing.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        for report in &digest.reports {
            let known = self.known.get(&report.fingerprint);
            let stale = known.is_some_and(|known| known.lost.len() > report.lost.len());
            let survived = report.survived && !stale;
            self.suspect(now, report.fingerprint, &report.lost, survived, false);
        }
    }
}
