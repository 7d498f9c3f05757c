//! Who is there: the nodes that this one counts with, by name.
//!
//! Whatever a node decides by the other nodes takes its answer from here: which nodes send to a server
//! with a limit, which one owns a brittle server, by how many the slack of retries is divided, which
//! nodes collect, watch and pass on for the others. The list in the store is a hint for it:
//!
//! - **A name whose entry is gone is not gone.** Its lease may have ended though the node serves, in an
//!   outage of the store or because its renewals were late; if many leases end, each node is alone
//!   in its list. So a name that is [missing](Presence::Missing) is a member for [`RETURN_MS`] of
//!   time in which the store confirms the list, since nodes whose leases have ended register again
//!   within that time.
//! - **A node that is not listed itself knows little.** What has ended its own lease may have ended
//!   others. No name goes while the entry of this node is missing.
//! - **Whoever begins a duty waits.** A node may begin one once the list has been
//!   [unchanged](Membership::is_calm) for [`CALM_MS`]: those that had it before then know the
//!   same list, and have given it up.
//!
//! What remains: a node that the store turns away for longer than a lease and [`RETURN_MS`] is dropped
//! by the others, though it serves. The two parts each count with what they know.

use std::collections::BTreeMap;

use super::duty::Standing;
use crate::clock::Instant;

/// Milliseconds for which a name is a member after its entry has gone, while the store confirms the
/// list: a node learns by its next renewal that its lease has ended, and registers again.
pub const RETURN_MS: u64 = 10_000;
/// Milliseconds without a change after which nodes know the same list.
pub const CALM_MS: u64 = 1_000;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The store lists it.
    Listed,
    /// Its entry has gone; it is a member until the given time.
    Missing {
        /// When it is no member any more, if the store confirms the list until then.
        until: Instant,
    },
}

/// The members, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<String, Presence>,
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
        self.is_first_start = !self.members.contains_key(local);
    }

    /// Records that the store lists `name`.
    pub fn list(&mut self, now: Instant, name: &str) {
        if self.members.get(name) == Some(&Presence::Listed) {
            return;
        }
        let before = self.members.insert(name.to_owned(), Presence::Listed);
        if before.is_none() {
            self.changed_at = now;
        }
    }

    /// Records that the entry of `name` has gone.
    pub fn unlist(&mut self, now: Instant, name: &str) {
        let Some(presence) = self.members.get_mut(name) else {
            return;
        };
        if *presence == Presence::Listed {
            let until = now.plus_millis(RETURN_MS);
            *presence = Presence::Missing { until };
        }
    }

    /// Records whether the store confirms the list to this node, `local`, and returns the names that
    /// are no members any more.
    pub fn observe(&mut self, now: Instant, local: &str, is_confirmed: bool) -> Vec<String> {
        self.is_confirmed = is_confirmed;
        self.is_listed_itself = self.members.get(local) == Some(&Presence::Listed);
        if !is_confirmed || !self.is_listed_itself {
            self.keep_missing(now);
            return Vec::new();
        }
        let is_over = |presence: &mut Presence| match presence {
            Presence::Listed => false,
            Presence::Missing { until } => now >= *until,
        };
        let gone = self.members.extract_if(.., |_, presence| is_over(presence));
        let gone: Vec<String> = gone.map(|(name, _)| name).collect();
        if !gone.is_empty() {
            self.changed_at = now;
        }
        gone
    }

    /// Keeps what is missing: nothing is known of it at this time.
    fn keep_missing(&mut self, now: Instant) {
        for presence in self.members.values_mut() {
            if let Presence::Missing { until } = presence {
                *until = now.plus_millis(RETURN_MS);
            }
        }
    }

    /// Returns the names of all members, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Returns the number of members; at least 1, since the entry of this node may not have arrived yet.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len().max(1)
    }

    /// Returns the number of members whose entries have gone.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        let presences = self.members.values();
        presences
            .filter(|presence| **presence != Presence::Listed)
            .count()
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
