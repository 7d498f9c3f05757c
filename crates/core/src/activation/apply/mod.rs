//! Protocol that activates a change by compare-and-swap on the manifest.
//!
//! Operators may race. If they change different files, both succeed: the one
//! whose swap fails rebases its change on the new manifest and tries again. If
//! they change the same file, the second receives a conflict and nothing of its
//! change becomes active.
//!
//! The response to the swap of the manifest may be lost. The request identifier
//! in the manifest then shows whether the change was accepted or, if further
//! changes followed, the one in the history. The history is read at a version
//! not older than the one named by the conflict of a swap that cannot succeed
//! ([`NO_VERSION`]), so a stale read cannot turn an accepted change into a
//! conflict.

mod rebase;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use fescuerack_config::{Problem, folder};

use super::history::{CHANGES_PER_CHUNK, Chunk, chunk_key};
use super::{ChangeRequest, File, KEY, Manifest, blob_key};
use crate::clock::Instant;
use crate::store::{Backoff, Call, Machine, NO_VERSION, Reply, Step, Value};

/// Value of [`Apply::min_version`] when the key is confirmed to be absent.
const CONFIRMED_ABSENT: u64 = NO_VERSION;

/// Outcome of a change request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change was accepted.
    Accepted {
        /// Revision that it made.
        revision: u64,
    },
    /// The files already have the requested content; nothing was changed.
    Unchanged {
        /// Active revision.
        revision: u64,
    },
    /// Another operator changed a file after the base of the request; nothing
    /// was changed.
    Conflict {
        /// Name of the file.
        file: String,
        /// Current state of the file, or `None` if it was removed.
        theirs: Option<File>,
    },
    /// The merged configuration is invalid; nothing was changed.
    Refused(Vec<Problem>),
    /// The store lacks something that the manifest names, or its content is
    /// corrupt.
    Broken(String),
    /// The store did not respond before the deadline, and the change may be
    /// active. Sending the same request again resolves this.
    Unknown,
    /// The store did not respond before the deadline; nothing was changed.
    Unavailable,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Reads the manifest.
    Read,
    /// Determines the current version of the manifest, because the manifest that
    /// was read may be stale and an outcome must not be reported from it.
    Confirm,
    /// Fetches the files that the change does not touch.
    Fetch,
    /// Writes the files of the change.
    Blobs,
    /// Verifies a file that another writer stored under the same digest.
    CheckBlob(String),
    /// Reads the chunk of the history for the current revision.
    History,
    /// Writes the current revision's change to the history.
    HistorySwap(u64, Chunk),
    /// Swaps the manifest.
    Swap,
    /// Reads the manifest after the response to its swap was lost.
    ReadBack,
    /// Determines the current version of a chunk that is searched for the
    /// request.
    Probe(Search),
    /// Searches a chunk of the history for the request.
    ReadHistory(Search),
    Done(Applied),
}

/// Search of the history for the change request.
#[derive(Clone, Debug)]
struct Search {
    /// First revision to search.
    from: u64,
    /// Last revision to search.
    to: u64,
    /// Outcome if the request is not found; `None` starts over.
    fallback: Option<Applied>,
}

/// State machine that applies a change request.
#[derive(Clone, Debug)]
pub struct Apply {
    change_request: ChangeRequest,
    deadline: Instant,
    phase: Phase,
    /// Time before which no call is made, while backing off.
    retry_at: Option<Instant>,
    backoff: Backoff,
    /// Version of the manifest that was read.
    version: u64,
    /// Version below which a read is stale: the one that the last conflict named.
    /// 0 if there is none, [`CONFIRMED_ABSENT`] if the key does not exist.
    min_version: u64,
    current: Manifest,
    next: Manifest,
    /// Fetched files, by digest.
    contents: BTreeMap<String, Bytes>,
    /// Digests of files still to be fetched.
    missing: VecDeque<String>,
    /// Files still to be written.
    blobs: VecDeque<Bytes>,
    /// Whether the response to a swap was lost, so that the change may be active.
    is_ambiguous: bool,
    /// Revision up to which the history certainly does not contain the request.
    searched: u64,
}

impl Apply {
    /// Creates the machine that applies `change_request` before `deadline`.
    #[must_use]
    pub fn new(change_request: ChangeRequest, deadline: Instant, seed: u64) -> Self {
        let mut machine = Self {
            contents: BTreeMap::new(),
            deadline,
            phase: Phase::Read,
            retry_at: None,
            backoff: Backoff::new(seed),
            version: 0,
            min_version: 0,
            current: Manifest::default(),
            next: Manifest::default(),
            missing: VecDeque::new(),
            blobs: VecDeque::new(),
            is_ambiguous: false,
            searched: change_request.base.revision,
            change_request,
        };
        if let Some(problem) = machine.find_oversized_file() {
            machine.phase = Phase::Done(Applied::Refused(vec![problem]));
        }
        machine
    }

    /// Returns the phase that reports an outcome, which follows from the
    /// manifest that was read, or the one that first makes sure that this read
    /// was not stale.
    fn confirmed(&self, applied: Applied) -> Phase {
        if self.min_version == 0 {
            Phase::Confirm
        } else {
            Phase::Done(applied)
        }
    }

    /// Bases the change on a manifest that was read, unless the manifest shows
    /// that the request was accepted or that it conflicts.
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
        self.prepare_if_fetched();
    }

    /// Returns the phase that reports the outcome of the comparison. The
    /// operator may have sent the request again after its first response was
    /// lost, and further changes may have followed. The history is therefore
    /// searched before a conflict is reported.
    fn report(&self, applied: Applied) -> Phase {
        let is_unsearched = self.searched + 1 < self.current.revision;
        if matches!(applied, Applied::Conflict { .. }) && is_unsearched {
            return Phase::Probe(self.search(Some(applied)));
        }
        self.confirmed(applied)
    }

    /// Returns a search of all revisions after those already searched and before
    /// the current one.
    ///
    /// The search precedes the report of a conflict and any write. If a request
    /// took effect and another operator has reverted it, the files are as in its
    /// base, and without the search it would be applied a second time.
    fn search(&self, fallback: Option<Applied>) -> Search {
        Search {
            from: self.searched + 1,
            to: self.current.revision - 1,
            fallback,
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

    fn fail(&mut self, reason: &str) {
        self.phase = Phase::Done(Applied::Broken(reason.to_owned()));
    }

    fn back_off(&mut self, now: Instant) {
        self.retry_at = Some(self.backoff.next(now));
    }

    /// Returns whether a value is older than the version that a conflict named.
    fn is_stale(&self, value: Option<&Value>) -> bool {
        let version = value.map_or(0, |value| value.version);
        self.min_version != CONFIRMED_ABSENT && version < self.min_version
    }

    fn read(&mut self, now: Instant, value: Option<&Value>, is_read_back: bool) {
        if self.is_stale(value) {
            return self.back_off(now);
        }
        let (version, manifest) = match value {
            None => (0, Manifest::default()),
            Some(value) => match decode::<Manifest>(value) {
                Some(manifest) => (value.version, manifest),
                None => return self.fail("the manifest is malformed"),
            },
        };
        if manifest.revision < self.change_request.base.revision {
            // The base of the request is newer, so this read is stale.
            return self.back_off(now);
        }
        if !is_read_back || manifest.change.request == self.change_request.request {
            return self.rebase(version, manifest);
        }
        self.phase = if manifest.revision < self.next.revision {
            // The swap did not take effect, has not yet, or the read is stale.
            // Repeating the same swap is harmless, and a conflict resolves it.
            Phase::Swap
        } else {
            Phase::Probe(Search {
                from: self.next.revision,
                to: self.next.revision,
                fallback: None,
            })
        };
    }

    fn read_history(&mut self, now: Instant, value: Option<&Value>, mut search: Search) {
        if self.is_stale(value) {
            return self.back_off(now);
        }
        let chunk = value.and_then(decode::<Chunk>).unwrap_or_default();
        let mut changes = chunk.changes.iter();
        let accepted = changes.find(|change| change.request == self.change_request.request);
        if let Some(change) = accepted {
            let revision = change.revision;
            self.phase = Phase::Done(Applied::Accepted { revision });
            return;
        }
        search.from = (search.from / CHANGES_PER_CHUNK + 1) * CHANGES_PER_CHUNK;
        if search.from <= search.to {
            self.phase = Phase::Probe(search);
            return;
        }
        // Other requests made those revisions: the swap of this one did not take
        // effect, and it never will, because the version that it expects is gone.
        self.is_ambiguous = false;
        self.min_version = 0;
        self.searched = self.searched.max(search.to);
        self.phase = search.fallback.map_or(Phase::Read, Phase::Done);
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
                        self.prepare_if_fetched();
                    }
                    Some(_) => self.fail("a file does not match its digest"),
                    // A stale read: the manifest names only files that exist.
                    None => self.back_off(now),
                }
            }
            Phase::CheckBlob(digest) => match value {
                Some(value) if folder::digest(&value.bytes) == digest => {
                    self.blobs.pop_front();
                    self.phase = Phase::Blobs;
                }
                Some(_) => self.fail("the store holds other content under a file's digest"),
                None => self.back_off(now),
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
                self.back_off(now);
            }
            Phase::Confirm => {
                self.min_version = version;
                self.phase = Phase::Read;
                if version == 0 {
                    // The key is certainly absent; 0 would cause another
                    // confirmation.
                    self.min_version = CONFIRMED_ABSENT;
                }
            }
            Phase::Swap => {
                self.min_version = version;
                self.phase = if self.is_ambiguous {
                    Phase::ReadBack
                } else {
                    Phase::Read
                };
            }
            Phase::Probe(search) => {
                self.min_version = version;
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
            return Step::Done(if self.is_ambiguous {
                Applied::Unknown
            } else {
                Applied::Unavailable
            });
        }
        if let Some(retry_at) = self.retry_at {
            if now < retry_at {
                return Step::Wait(retry_at.min(self.deadline));
            }
            self.retry_at = None;
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
                    self.is_ambiguous = true;
                    self.min_version = 0;
                    self.phase = Phase::ReadBack;
                }
                return self.back_off(now);
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
        if self.retry_at.is_none() {
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
