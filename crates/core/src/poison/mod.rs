//! Requests that crash the backend servers that run them.
//!
//! The pattern: one request kills its server, is retried on the next, kills
//! that too, and its caller sends it again under a new identifier through
//! another instance. Three retries and a caller's patience empty a fleet.
//!
//! A request is known by its [`Fingerprint`], a digest of organisation and
//! body, whatever its identifier. When its server crashes under it, every
//! request that ran there is suspected, since nobody can tell yet which one
//! did it. Each gets one more run, on a server where no other suspect runs:
//!
//! - an innocent neighbour survives it and is cleared;
//! - the guilty one kills a second server and is refused from then on.
//!
//! So the second run is what tells them apart, and keeping suspects away from
//! each other is why an innocent one is not condemned with a guilty one twice.
//!
//! The second run is for the instance that saw the crash; all others refuse
//! the request until they hear that it survived. It needs a permit besides, a
//! swap of the fingerprint's [`Record`] in the store, so that two instances
//! that both saw a crash cannot each run it again; with the store out the
//! permit is taken for granted. Suspicions are pushed to peers at once and repeated
//! in digests; until they arrive, another instance may still run a copy that
//! was sent at the same time.

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::clock::Instant;

/// Servers that a fingerprint may cost, fleet-wide.
pub const MAX_CRASHED_SERVERS: usize = 2;
/// Milliseconds for which a suspicion is remembered.
pub const RETENTION_MS: u64 = 86_400_000;
/// Milliseconds for which a single crash keeps a request from running where
/// the crash was not seen; an instance that was to try it again may be gone.
pub const REMOTE_REFUSAL_MS: u64 = 3_600_000;
/// Milliseconds that the second run of a suspect may take: it has surely ended
/// when another instance may run the request again.
pub const MAX_RERUN_MS: u64 = REMOTE_REFUSAL_MS / 2;
/// Suspicions that one instance remembers.
const MOST: usize = 4096;
/// Suspicions that are told to a peer at a time.
const TOLD: usize = 8;

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

    /// Returns its key in the store.
    #[must_use]
    pub fn key(self) -> String {
        format!("{PREFIX}{:016x}", self.0)
    }
}

/// What the store holds of a fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Servers that crashed under it.
    pub lost: BTreeSet<String>,
    /// Whether the second run has been given out.
    pub permit: Option<String>,
}

impl Record {
    /// Takes the permit of the second run for `holder`, who keeps it if that run
    /// ended without a crash; `None` when the fingerprint may not run.
    #[must_use]
    pub fn take_permit(mut self, holder: &str, lost: &BTreeSet<String>) -> Option<Self> {
        self.lost.extend(lost.iter().cloned());
        let other = self.permit.as_ref().is_some_and(|known| known != holder);
        if self.lost.len() >= MAX_CRASHED_SERVERS || other {
            return None;
        }
        self.permit = Some(holder.to_owned());
        Some(self)
    }
}

/// One suspicion as peers are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whom it concerns.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under it.
    pub lost: BTreeSet<String>,
    /// Whether it has ended well after a crash.
    pub survived: bool,
}

/// What one instance tells a peer of suspicions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Suspicions, the latest first.
    pub reports: Vec<Report>,
}

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run.
    Run,
    /// Run once more, with the permit from the store: the crash was seen here.
    /// While the store is out this instance holds the permit.
    Permit,
    /// Not run.
    Refuse,
}

#[derive(Clone, Debug, Serialize)]
struct Suspicion {
    lost: BTreeSet<String>,
    survived: bool,
    own: bool,
    doubt_until: Instant,
    until: Instant,
}

/// The suspicions that an instance knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Suspects {
    known: BTreeMap<Fingerprint, Suspicion>,
    #[serde(skip)]
    running: BTreeMap<Fingerprint, key::Server>,
}

impl Suspects {
    /// Returns no suspicions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says what a request may do.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        match self.known.get(&fingerprint) {
            Some(known) if now >= known.until => Verdict::Run,
            Some(known) if known.lost.len() >= MAX_CRASHED_SERVERS => Verdict::Refuse,
            // The permit is for one run at a time.
            Some(_) if self.running.contains_key(&fingerprint) => Verdict::Refuse,
            Some(known) if known.survived || now >= known.doubt_until => Verdict::Run,
            // Not so late that it could still run when others may.
            Some(known) if known.own && now.plus_millis(MAX_RERUN_MS) <= known.doubt_until => {
                Verdict::Permit
            }
            Some(_) => Verdict::Refuse,
            None => Verdict::Run,
        }
    }

    /// Returns the servers on which suspects run: another suspect avoids them.
    #[must_use]
    pub fn occupied(&self) -> BTreeSet<key::Server> {
        self.running.values().copied().collect()
    }

    /// Notes that a request is about to run on `server`; `false` when it may
    /// not, since word of another crash has come meanwhile.
    #[must_use]
    pub fn start(&mut self, now: Instant, fingerprint: Fingerprint, server: key::Server) -> bool {
        let verdict = self.verdict(now, fingerprint);
        if verdict == Verdict::Permit {
            self.running.insert(fingerprint, server);
        }
        verdict != Verdict::Refuse
    }

    /// Notes that `server` crashed under a request.
    pub fn record_crash(&mut self, now: Instant, fingerprint: Fingerprint, server: &str) {
        self.running.remove(&fingerprint);
        let lost = BTreeSet::from([server.to_owned()]);
        self.suspect(now, fingerprint, &lost, false, true);
    }

    /// Notes that a request no longer runs, and nothing else of it.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.running.remove(&fingerprint);
    }

    /// Notes that a request ended without a crash; returns whether it was
    /// suspected.
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

    /// Returns the servers that are known to have crashed under a request.
    #[must_use]
    pub fn lost(&self, fingerprint: Fingerprint) -> BTreeSet<String> {
        let known = self.known.get(&fingerprint);
        known.map(|known| known.lost.clone()).unwrap_or_default()
    }

    /// Takes over what the store holds.
    pub fn merge_record(&mut self, now: Instant, fingerprint: Fingerprint, record: &Record) {
        self.suspect(now, fingerprint, &record.lost, false, false);
    }

    fn suspect(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lost: &BTreeSet<String>,
        survived: bool,
        own: bool,
    ) {
        if lost.is_empty() {
            return;
        }
        let until = now.plus_millis(RETENTION_MS);
        let doubt_until = now.plus_millis(REMOTE_REFUSAL_MS);
        let known = self.known.entry(fingerprint).or_insert(Suspicion {
            lost: BTreeSet::new(),
            survived: false,
            own: false,
            doubt_until,
            until,
        });
        let before = known.lost.len();
        known
            .lost
            .extend(lost.iter().take(MAX_CRASHED_SERVERS).cloned());
        if known.lost.len() > before {
            // A crash after an end that was well counts like the first one.
            known.survived = false;
            known.until = until;
            known.doubt_until = doubt_until;
        }
        known.survived |= survived;
        known.own |= own;
        self.forget(now);
    }

    /// Forgets what is old; with too many, those that are cleared go first and
    /// the condemned last.
    fn forget(&mut self, now: Instant) {
        if self.known.len() <= MOST {
            return;
        }
        self.known.retain(|_, known| now < known.until);
        while self.known.len() > MOST {
            let rank = |known: &Suspicion| (known.lost.len(), !known.survived, known.until);
            let first = self.known.iter().min_by_key(|(_, known)| rank(known));
            let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.known.remove(&fingerprint);
        }
    }

    /// Returns what peers are told.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let mut latest: Vec<_> = self
            .known
            .iter()
            .filter(|(_, known)| now < known.until)
            .collect();
        latest.sort_by_key(|(_, known)| std::cmp::Reverse((known.lost.len(), known.until)));
        let reports = latest.into_iter().take(TOLD);
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

    /// Takes over what a peer tells; repeated, reordered and old messages
    /// change nothing.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        for report in &digest.reports {
            let known = self.known.get(&report.fingerprint);
            let stale = known.is_some_and(|known| known.lost.len() > report.lost.len());
            let survived = report.survived && !stale;
            self.suspect(now, report.fingerprint, &report.lost, survived, false);
        }
    }
}
