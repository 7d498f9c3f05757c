//! Putting a change in force by compare-and-swap on the manifest.
//!
//! Two operators race: on different files both win, because the loser takes
//! the new manifest and tries again; on the same file the loser gets a clear
//! conflict and nothing of its change is in force.
//!
//! The answer of the manifest's swap may be lost. The manifest then tells by
//! the request's identifier whether it was accepted; if others went on from
//! there, the history does. The history is read at a version that a swap with
//! an impossible expectation has named, so an old read cannot turn an accepted
//! change into a conflict.

mod next;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use fescuerack_config::{Problem, folder};

use super::history::{CHANGES_PER_CHUNK, Chunk, chunk_key};
use super::{ChangeRequest, File, KEY, Manifest, blob_key};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, NO_VERSION, Reply, Step, Value};

/// Stands for the version of a key that is surely absent.
const NOTHING: u64 = NO_VERSION;

/// What came of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// In force as this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The files stand like this already; nothing was changed.
    Unchanged {
        /// Revision in force.
        revision: u64,
    },
    /// Somebody else changed a file since the operator looked; nothing was
    /// changed.
    Conflict {
        /// Name of the file.
        file: String,
        /// How it stands; none when it was removed.
        theirs: Option<File>,
    },
    /// The merged configuration is wrong; nothing was changed.
    Refused(Vec<Problem>),
    /// The store does not hold what the manifest names, or holds nonsense.
    Broken(String),
    /// The store gave no answer until the deadline; the change may be in
    /// force. Sending the same request again tells.
    Unknown,
    /// The store gave no answer until the deadline; nothing was changed.
    Unavailable,
}

#[derive(Clone, Debug)]
enum Phase {
    Read,
    /// Learns which version of the manifest stands, since what was read may be
    /// old and would be reported.
    Confirm,
    Fetch,
    Blobs,
    CheckBlob(String),
    History,
    HistorySwap(u64, Chunk),
    Swap,
    ReadBack,
    /// Looks for the request among the revisions from the first to the second.
    Probe(Search),
    ReadHistory(Search),
    Done(Applied),
}

/// A search of the history for the wish's own request.
#[derive(Clone, Debug)]
struct Search {
    from: u64,
    to: u64,
    /// What to report when it is not there; none: start over.
    otherwise: Option<Applied>,
}

/// The protocol.
#[derive(Clone, Debug)]
pub struct Apply {
    change_request: ChangeRequest,
    deadline: Instant,
    phase: Phase,
    wait: Option<Instant>,
    backoff: Backoff,
    version: u64,
    at_least: u64,
    current: Manifest,
    next: Manifest,
    contents: BTreeMap<String, Bytes>,
    missing: VecDeque<String>,
    blobs: VecDeque<Bytes>,
    ambiguous: bool,
    /// Revision up to which the history surely holds no change of this wish.
    searched: u64,
}

impl Apply {
    /// Prepares to put `wish` in force until `deadline`.
    #[must_use]
    pub fn new(change_request: ChangeRequest, deadline: Instant, seed: u64) -> Self {
        let mut machine = Self {
            contents: BTreeMap::new(),
            deadline,
            phase: Phase::Read,
            wait: None,
            backoff: Backoff::new(seed),
            version: 0,
            at_least: 0,
            current: Manifest::default(),
            next: Manifest::default(),
            missing: VecDeque::new(),
            blobs: VecDeque::new(),
            ambiguous: false,
            searched: change_request.base.revision,
            change_request,
        };
        if let Some(problem) = machine.oversize() {
            machine.phase = Phase::Done(Applied::Refused(vec![problem]));
        }
        machine
    }

    /// Reports what follows from the manifest that was read, once it is surely
    /// not an old one.
    fn confirmed(&self, applied: Applied) -> Phase {
        if self.at_least == 0 {
            Phase::Confirm
        } else {
            Phase::Done(applied)
        }
    }

    /// Looks at a manifest and goes on: it was ours, it conflicts, or the
    /// change is worked out on top of it.
    fn rebase(&mut self, version: u64, manifest: Manifest) {
        self.version = version;
        self.current = manifest;
        if self.current.change.request == self.change_request.request {
            let revision = self.current.revision;
            self.phase = Phase::Done(Applied::Accepted { revision });
            return;
        }
        if let Some(applied) = self.compare() {
            self.phase = self.report(applied);
            return;
        }
        if self.searched + 1 < self.current.revision {
            self.phase = Phase::Probe(self.search(None));
            return;
        }
        let change_request = &self.change_request;
        let untouched = self.current.files.iter();
        let untouched = untouched.filter(|(name, _)| !change_request.files.contains_key(*name));
        self.missing = untouched
            .map(|(_, file)| file.digest.clone())
            .filter(|digest| !self.contents.contains_key(digest))
            .collect();
        self.phase = Phase::Fetch;
        self.fetched();
    }

    /// Reports what the comparison found. The operator may send a request
    /// again whose first answer was lost, and others may have gone on from
    /// there: before it is called a conflict, the history is asked.
    fn report(&self, applied: Applied) -> Phase {
        let unsearched = self.searched + 1 < self.current.revision;
        if matches!(applied, Applied::Conflict { .. }) && unsearched {
            return Phase::Probe(self.search(Some(applied)));
        }
        self.confirmed(applied)
    }

    /// Returns a search of all revisions between what was searched and the one
    /// that stands.
    ///
    /// It is made before a conflict is reported and before anything is written:
    /// a request that took effect and was undone by somebody else finds the
    /// files as its operator saw them, and would be put in force twice.
    fn search(&self, otherwise: Option<Applied>) -> Search {
        Search {
            from: self.searched + 1,
            to: self.current.revision - 1,
            otherwise,
        }
    }

    fn call(&self) -> Option<Call> {
        let get = |key: &str| Call::Get {
            key: key.to_owned(),
        };
        let swap = |key: String, expected, value| Call::Swap {
            key,
            expected,
            value,
            lease: None,
        };
        Some(match &self.phase {
            Phase::Read | Phase::ReadBack => get(KEY),
            Phase::Confirm => swap(KEY.to_owned(), NO_VERSION, Bytes::new()),
            Phase::Fetch => get(&blob_key(self.missing.front()?)),
            Phase::Blobs => {
                let content = self.blobs.front()?.clone();
                swap(blob_key(&folder::digest(&content)), 0, content)
            }
            Phase::CheckBlob(digest) => get(&blob_key(digest)),
            Phase::History => get(&chunk_key(self.current.revision)),
            Phase::HistorySwap(version, chunk) => {
                swap(chunk_key(self.current.revision), *version, encode(chunk))
            }
            Phase::Swap => swap(KEY.to_owned(), self.version, encode(&self.next)),
            Phase::Probe(search) => swap(chunk_key(search.from), NO_VERSION, Bytes::new()),
            Phase::ReadHistory(search) => get(&chunk_key(search.from)),
            Phase::Done(_) => return None,
        })
    }

    fn broken(&mut self, what: &str) {
        self.phase = Phase::Done(Applied::Broken(what.to_owned()));
    }

    fn pause(&mut self, now: Instant) {
        self.wait = Some(self.backoff.next(now));
    }

    /// Returns whether a value is older than what a conflict has named.
    fn is_old(&self, value: Option<&Value>) -> bool {
        let version = value.map_or(0, |value| value.version);
        self.at_least != NOTHING && version < self.at_least
    }

    fn read(&mut self, now: Instant, value: Option<&Value>, back: bool) {
        if self.is_old(value) {
            return self.pause(now);
        }
        let (version, manifest) = match value {
            None => (0, Manifest::default()),
            Some(value) => match decode::<Manifest>(value) {
                Some(manifest) => (value.version, manifest),
                None => return self.broken("the manifest is malformed"),
            },
        };
        if manifest.revision < self.change_request.base.revision {
            // The operator has seen a newer one: an old read.
            return self.pause(now);
        }
        if !back || manifest.change.request == self.change_request.request {
            return self.rebase(version, manifest);
        }
        self.phase = if manifest.revision < self.next.revision {
            // Not there, or an old read, or not yet: the same swap again does
            // no harm, and its conflict tells.
            Phase::Swap
        } else {
            Phase::Probe(Search {
                from: self.next.revision,
                to: self.next.revision,
                otherwise: None,
            })
        };
    }

    fn read_history(&mut self, now: Instant, value: Option<&Value>, mut search: Search) {
        if self.is_old(value) {
            return self.pause(now);
        }
        let chunk = value.and_then(decode::<Chunk>).unwrap_or_default();
        let mut changes = chunk.changes.iter();
        let ours = changes.find(|change| change.request == self.change_request.request);
        if let Some(change) = ours {
            let revision = change.revision;
            self.phase = Phase::Done(Applied::Accepted { revision });
            return;
        }
        search.from = (search.from / CHANGES_PER_CHUNK + 1) * CHANGES_PER_CHUNK;
        if search.from <= search.to {
            self.phase = Phase::Probe(search);
            return;
        }
        // Somebody else made those revisions: ours never took effect and, as
        // its expected version is gone, never will.
        self.ambiguous = false;
        self.at_least = 0;
        self.searched = self.searched.max(search.to);
        self.phase = search.otherwise.map_or(Phase::Read, Phase::Done);
    }

    fn take_value(&mut self, now: Instant, value: Option<&Value>) {
        match self.phase.clone() {
            Phase::Read => self.read(now, value, false),
            Phase::ReadBack => self.read(now, value, true),
            Phase::Fetch => {
                let Some(digest) = self.missing.front().cloned() else {
                    return;
                };
                match value {
                    Some(value) if folder::digest(&value.bytes) == digest => {
                        self.contents.insert(digest, value.bytes.clone());
                        self.missing.pop_front();
                        self.fetched();
                    }
                    Some(_) => self.broken("a file does not match its digest"),
                    // An old read: the manifest names only files that exist.
                    None => self.pause(now),
                }
            }
            Phase::CheckBlob(digest) => match value {
                Some(value) if folder::digest(&value.bytes) == digest => {
                    self.blobs.pop_front();
                    self.phase = Phase::Blobs;
                }
                Some(_) => self.broken("another content stands under a file's digest"),
                None => self.pause(now),
            },
            Phase::History => {
                let version = value.map_or(0, |value| value.version);
                let mut chunk = value.and_then(decode::<Chunk>).unwrap_or_default();
                self.phase = if chunk.add(&self.current.change) {
                    Phase::HistorySwap(version, chunk)
                } else {
                    Phase::Swap
                };
            }
            Phase::ReadHistory(search) => self.read_history(now, value, search),
            _ => {}
        }
    }

    fn take_conflict(&mut self, now: Instant, version: u64) {
        match self.phase.clone() {
            Phase::Blobs => {
                if let Some(content) = self.blobs.front() {
                    self.phase = Phase::CheckBlob(folder::digest(content));
                }
            }
            Phase::HistorySwap(..) => {
                self.phase = Phase::History;
                self.pause(now);
            }
            Phase::Confirm => {
                self.at_least = version;
                self.phase = Phase::Read;
                if version == 0 {
                    // Absent for certain; zero would ask to confirm again.
                    self.at_least = NOTHING;
                }
            }
            Phase::Swap => {
                self.at_least = version;
                self.phase = if self.ambiguous {
                    Phase::ReadBack
                } else {
                    Phase::Read
                };
            }
            Phase::Probe(search) => {
                self.at_least = version;
                self.phase = Phase::ReadHistory(search);
            }
            _ => {}
        }
    }
}

impl Machine for Apply {
    type Output = Applied;

    fn step(&mut self, now: Instant) -> Step<Applied> {
        if let Phase::Done(applied) = &self.phase {
            return Step::Done(applied.clone());
        }
        if now >= self.deadline {
            return Step::Done(if self.ambiguous {
                Applied::Unknown
            } else {
                Applied::Unavailable
            });
        }
        if let Some(until) = self.wait {
            if now < until {
                return Step::Wait(until.min(self.deadline));
            }
            self.wait = None;
        }
        if matches!(self.phase, Phase::Blobs) && self.blobs.is_empty() {
            self.phase = if self.current.revision > 0 {
                Phase::History
            } else {
                Phase::Swap
            };
        }
        self.call().map_or(Step::Wait(self.deadline), Step::Call)
    }

    fn take(&mut self, now: Instant, reply: Reply) {
        match reply {
            Reply::Refused | Reply::Lost => {
                if reply == Reply::Lost && matches!(self.phase, Phase::Swap) {
                    self.ambiguous = true;
                    self.at_least = 0;
                    self.phase = Phase::ReadBack;
                }
                return self.pause(now);
            }
            Reply::Value(value) => self.take_value(now, value.as_ref()),
            Reply::Conflict(version) => self.take_conflict(now, version),
            Reply::Swapped(_) => match self.phase {
                Phase::Blobs => {
                    self.blobs.pop_front();
                }
                Phase::HistorySwap(..) => self.phase = Phase::Swap,
                Phase::Swap => {
                    let revision = self.next.revision;
                    self.phase = Phase::Done(Applied::Accepted { revision });
                }
                _ => {}
            },
        }
        if self.wait.is_none() {
            self.backoff.reset();
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("only plain fields"))
}

fn decode<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_slice(&value.bytes).ok()
}
