//! Instances of the fleet: the platform's list combined with direct evidence.
//!
//! - A listed instance is live until it announces that it is leaving, the list
//!   reports it as leaving, or exchanges with it fail repeatedly.
//! - An instance that the list drops is known for a while: the list may have lost it, with others, though it
//!   serves ([`membership`](crate::membership)).
//! - An instance that sends messages is live even if the list does not show it
//!   yet, because the list lags for joining instances too.
//! - An instance's announcement that it is leaving holds for that incarnation
//!   only. After a restart it has a higher incarnation and is live again.
//! - Suspicion is local and expires. A region that is cut off must stay known,
//!   so that its instances are found again when the network heals.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt as _};
use slotmap::SlotMap;

use super::Key;
use crate::clock::Instant;
use crate::membership::Membership;

/// Whether an instance accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work.
    Live,
    /// Finishes its work and accepts no more.
    Leaving,
}

/// Recorded state of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which it accepts messages of peers, as `host:port`.
    pub address: String,
    /// Incarnation: a later start of the process has a higher number. 0 until a
    /// message was received.
    pub incarnation: u64,
    /// Whether it accepts work.
    pub state: State,
    /// Whether the platform's list shows it.
    pub listed: bool,
    /// When its last message was received.
    pub last_received: Option<Instant>,
    /// Exchanges that failed since its last message.
    pub failures: u32,
    /// End of the time in which it counts as failed.
    pub suspected_until: Instant,
}

/// Other instances of the fleet, as recorded by this process.
#[derive(Clone, Debug)]
pub struct View {
    local_id: String,
    local_zone: String,
    instances: SlotMap<Key, Instance>,
    index: BTreeMap<String, Key>,
    /// Who is there by the platform's list.
    membership: Membership,
}

impl View {
    /// Failed exchanges in a row after which an instance is suspected. A single
    /// failure may come from a connection that is re-established; three in a
    /// row at one exchange a second do not.
    pub const SUSPICION_FAILURES: u32 = 3;
    /// Milliseconds for which a suspected instance is not contacted. Long enough
    /// that a dead instance costs few failed exchanges before the list drops
    /// it, short enough that a healed partition is found within seconds.
    pub const SUSPICION_MS: u64 = 5_000;
    /// Milliseconds after its last message for which an instance that the list
    /// does not show is kept.
    pub const UNLISTED_RETENTION_MS: u64 = 30_000;
    /// One exchange in this many goes to another availability zone. Most traffic
    /// stays within a zone, where it is cheap, and updates still cross quickly.
    pub const CROSS_ZONE_INTERVAL: u32 = 4;

    /// Creates the view of the instance `id` in `zone`, without peers.
    #[must_use]
    pub fn new(id: &str, zone: &str) -> Self {
        Self {
            local_id: id.to_owned(),
            local_zone: zone.to_owned(),
            instances: SlotMap::with_key(),
            index: BTreeMap::new(),
            membership: Membership::new(),
        }
    }

    /// Applies the platform's list: name, zone, address and state of each
    /// instance.
    pub fn observe<'a>(
        &mut self,
        now: Instant,
        list: impl Iterator<Item = (&'a str, &'a str, &'a str, State)>,
    ) {
        let mut listed = BTreeSet::new();
        for (id, zone, address, state) in list {
            listed.insert(id);
            self.membership.list(now, id);
            if id == self.local_id {
                continue;
            }
            let key = self.find_or_insert(id, zone, address);
            let instance = &mut self.instances[key];
            instance.listed = true;
            instance.zone.clear();
            instance.zone.push_str(zone);
            if state == State::Leaving {
                instance.state = State::Leaving;
            }
        }
        for instance in self.instances.values_mut() {
            instance.listed = listed.contains(instance.id.as_str());
        }
        let known: Vec<String> = self.membership.names().map(str::to_owned).collect();
        for name in known.iter().filter(|name| !listed.contains(name.as_str())) {
            self.membership.unlist(now, name);
        }
        self.membership.observe(now, &self.local_id, true);
        self.expire_unlisted(now);
    }

    /// Records a message of an instance. Returns `false` and changes nothing if
    /// the message is from this process or from an earlier incarnation.
    pub fn record_message(
        &mut self,
        now: Instant,
        id: &str,
        zone: &str,
        address: &str,
        incarnation: u64,
        state: State,
    ) -> bool {
        if id == self.local_id {
            return false;
        }
        let key = self.find_or_insert(id, zone, address);
        let instance = &mut self.instances[key];
        if incarnation < instance.incarnation {
            return false;
        }
        if incarnation > instance.incarnation {
            instance.incarnation = incarnation;
            instance.state = state;
            address.clone_into(&mut instance.address);
        }
        if state == State::Leaving {
            instance.state = State::Leaving;
        }
        instance.last_received = Some(now);
        instance.failures = 0;
        instance.suspected_until = Instant::ORIGIN;
        true
    }

    /// Records that an exchange with an instance failed.
    pub fn record_failure(&mut self, now: Instant, key: Key) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.failures += 1;
            if instance.failures >= Self::SUSPICION_FAILURES {
                instance.suspected_until = now.plus_millis(Self::SUSPICION_MS);
            }
        }
    }

    /// Returns whether an instance counts as live: known, not leaving and not
    /// suspected.
    #[must_use]
    pub fn is_live(&self, now: Instant, key: Key) -> bool {
        self.instances.get(key).is_some_and(|instance| {
            instance.state == State::Live && instance.suspected_until <= now
        })
    }

    /// Iterates over the names of the live instances, this one included.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &str> {
        let others = self
            .instances
            .iter()
            .filter(move |(key, _)| self.is_live(now, *key))
            .map(|(_, instance)| instance.id.as_str());
        std::iter::once(self.local_id.as_str()).chain(others)
    }

    /// Returns the number of instances in the view, plus this one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.instances.len() + 1
    }

    /// Chooses a random live instance for an exchange, mostly from the local
    /// availability zone and sometimes from another one.
    pub fn choose_peer<R: Rng>(&self, now: Instant, rng: &mut R) -> Option<Key> {
        let is_cross_zone = rng.random_ratio(1, Self::CROSS_ZONE_INTERVAL);
        let mut same_zone = Vec::new();
        let mut other_zones = Vec::new();
        for (key, instance) in &self.instances {
            if !self.is_live(now, key) {
                continue;
            }
            if instance.zone == self.local_zone {
                same_zone.push(key);
            } else {
                other_zones.push(key);
            }
        }
        let candidates = match (same_zone.is_empty(), other_zones.is_empty()) {
            (true, _) => other_zones,
            (false, false) if is_cross_zone => other_zones,
            (false, _) => same_zone,
        };
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }

    /// Returns the instance with a key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Instance> {
        self.instances.get(key)
    }

    /// Returns the key of the instance with a name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.index.get(id).copied()
    }

    /// Iterates over all other instances.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Instance)> {
        self.instances.iter()
    }

    fn find_or_insert(&mut self, id: &str, zone: &str, address: &str) -> Key {
        if let Some(key) = self.index.get(id) {
            return *key;
        }
        let key = self.instances.insert(Instance {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            incarnation: 0,
            state: State::Live,
            listed: false,
            last_received: None,
            failures: 0,
            suspected_until: Instant::ORIGIN,
        });
        self.index.insert(id.to_owned(), key);
        key
    }

    /// Removes the instances that are neither members by the list nor recently active.
    fn expire_unlisted(&mut self, now: Instant) {
        let index = &mut self.index;
        let membership = &self.membership;
        self.instances.retain(|_, instance| {
            let is_recent = instance
                .last_received
                .is_some_and(|received| now < received.plus_millis(Self::UNLISTED_RETENTION_MS));
            let is_kept = membership.contains(&instance.id) || is_recent;
            if !is_kept {
                index.remove(&instance.id);
            }
            is_kept
        });
    }
}
