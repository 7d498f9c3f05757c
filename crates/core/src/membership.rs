//! Who is there: the nodes that this one counts with, by name.
//!
//! Whatever a node decides by the other nodes takes its answer from here: which nodes send to a server
//! with a limit, which one owns a brittle server, by how many the slack of retries is divided, which
//! nodes collect, watch and pass on for the others. The list in the store is a hint for it:
//!
//! - **A name whose entry is gone is not gone.** Its lease may have ended though the node serves, in an
//!   outage of the store or because its renewals were late; if many leases end, each node is alone
//!   in its list. So a name that is missing is a member for [`RETURN_MS`] of
//!   time in which the store confirms the list, since nodes whose leases have ended register again
//!   within that time.
//! - **A node that has lost its own entry knows little.** What has ended its lease may have ended
//!   others. No name goes until it is listed again.
//! - **Whoever begins a duty waits.** A node may begin one once the list has been
//!   [unchanged](Membership::is_calm) for [`CALM_MS`]: those that had it before then know the
//!   same list, and have given it up.
//!
//! What remains: a node that the store turns away for longer than a lease and [`RETURN_MS`] is dropped
//! by the others, though it serves. The two parts each count with what they know.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Instant;

/// Milliseconds for which a name is a member after its entry has gone, while the store confirms the
/// list: a node learns by its next renewal that its lease has ended, and registers again.
pub const RETURN_MS: u64 = 10_000;
/// Milliseconds without a change after which nodes know the same list.
pub const CALM_MS: u64 = 1_000;

/// What a node knows of its own place among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether the others know the same members.
    pub is_calm: bool,
    /// Whether no process before this one on the same instance can have had duties a moment ago.
    pub is_first_start: bool,
}

/// The members, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeSet<String>,
    /// Members whose entries have gone, and when they are no members any more if the store confirms the
    /// list until then.
    missing: BTreeMap<String, Instant>,
    /// When a name last became a member or ceased to be one.
    changed_at: Instant,
    is_confirmed: bool,
    is_listed_itself: bool,
    is_first_start: bool,
}

impl Membership {
    /// Creates an empty membership.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this node, `local`, has read the list for the first time and not yet registered: a
    /// process before it on the same instance is listed until its lease ends.
    pub fn record_start(&mut self, local: &str) {
        self.is_first_start = !self.contains(local);
    }

    /// Records that the store lists `name`.
    pub fn list(&mut self, now: Instant, name: &str) {
        self.missing.remove(name);
        if !self.contains(name) {
            self.members.insert(name.to_owned());
            self.changed_at = now;
        }
    }

    /// Records that the entry of `name` has gone.
    pub fn unlist(&mut self, now: Instant, name: &str) {
        if self.contains(name) && !self.missing.contains_key(name) {
            let until = now.plus_millis(RETURN_MS);
            self.missing.insert(name.to_owned(), until);
        }
    }

    /// Records whether the store confirms the list to this node, `local`, and returns the names that
    /// are no members any more.
    pub fn observe(&mut self, now: Instant, local: &str, is_confirmed: bool) -> Vec<String> {
        let has_lost_itself = self.missing.contains_key(local);
        self.is_confirmed = is_confirmed;
        self.is_listed_itself = self.contains(local) && !has_lost_itself;
        if !is_confirmed || has_lost_itself {
            self.keep_missing(now);
            return Vec::new();
        }
        let over = self.missing.extract_if(.., |_, until| now >= *until);
        let gone: Vec<String> = over.map(|(name, _)| name).collect();
        for name in &gone {
            self.members.remove(name);
            self.changed_at = now;
        }
        gone
    }

    /// Keeps what is missing: nothing is known of it at this time.
    fn keep_missing(&mut self, now: Instant) {
        for until in self.missing.values_mut() {
            *until = now.plus_millis(RETURN_MS);
        }
    }

    /// Returns whether `name` is a member.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.members.contains(name)
    }

    /// Returns the names of all members, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.iter().map(String::as_str)
    }

    /// Returns the number of members; at least 1, since the entry of this node may not have arrived yet.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len().max(1)
    }

    /// Returns the number of members whose entries have gone.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Returns whether the store confirms the list.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether other nodes know the same members as this one: the store confirms the list, this
    /// node is in it, and no name has come or gone for [`CALM_MS`].
    #[must_use]
    pub fn is_calm(&self, now: Instant) -> bool {
        self.is_confirmed && self.is_listed_itself && now >= self.changed_at.plus_millis(CALM_MS)
    }

    /// Returns the place of this node among the members.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        Standing {
            is_calm: self.is_calm(now),
            is_first_start: self.is_first_start,
        }
    }
}
