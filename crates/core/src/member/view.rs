//! The instances of the fleet: the platform's list joined with direct
//! evidence.
//!
//! - An instance that the list shows is live until it says that it leaves, the
//!   list says so, or exchanges with it fail repeatedly.
//! - An instance that sends messages is live although the list does not show
//!   it yet: the list lags for joining instances too.
//! - The word of an instance that it leaves holds for that start of it only;
//!   a restarted one has a higher incarnation and is live again.
//! - Suspicion is local and ends by itself: a lost region must not be
//!   forgotten, and must be found again when the network heals.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt as _};
use slotmap::SlotMap;

use super::Key;
use crate::clock::Instant;

/// Whether an instance takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes work.
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}

/// What is known of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address of its port for peers, as `host:port`.
    pub address: String,
    /// Start of the process; a later start has a higher number. 0 until the
    /// instance has been heard.
    pub incarnation: u64,
    /// Whether it takes part.
    pub state: State,
    /// Whether the platform's list shows it.
    pub listed: bool,
    /// When it was last heard.
    pub last_received: Option<Instant>,
    /// Exchanges that failed since it was last heard.
    pub failures: u32,
    /// Until when it is not chosen for an exchange.
    pub suspected_until: Instant,
}

/// The instances that this process knows, itself left out.
#[derive(Clone, Debug)]
pub struct View {
    own: String,
    zone: String,
    instances: SlotMap<Key, Instance>,
    index: BTreeMap<String, Key>,
}

impl View {
    /// Failures after which an instance is suspected. One may be a restart of
    /// a connection; three in a row at one exchange a second are not.
    pub const SUSPICION_FAILURES: u32 = 3;
    /// Milliseconds for which a suspected instance is left alone. Long enough
    /// that a dead instance costs few failed exchanges before the list drops
    /// it, short enough that a healed partition is found within seconds.
    pub const SUSPICION_MS: u64 = 5_000;
    /// Milliseconds for which an instance that the list does not show stays
    /// known after it was last heard.
    pub const UNLISTED_RETENTION_MS: u64 = 30_000;
    /// One exchange in this many goes to another availability zone, so that
    /// most traffic stays where it is cheap and news still crosses quickly.
    pub const CROSS_ZONE_INTERVAL: u32 = 4;

    /// Creates a view of the process `own` in `zone`.
    #[must_use]
    pub fn new(own: &str, zone: &str) -> Self {
        Self {
            own: own.to_owned(),
            zone: zone.to_owned(),
            instances: SlotMap::with_key(),
            index: BTreeMap::new(),
        }
    }

    /// Takes over a reading of the platform's list: name, zone, address and
    /// state of each instance.
    pub fn observe<'a>(
        &mut self,
        now: Instant,
        list: impl Iterator<Item = (&'a str, &'a str, &'a str, State)>,
    ) {
        let mut listed = BTreeSet::new();
        for (id, zone, address, state) in list {
            if id == self.own {
                continue;
            }
            let key = self.enter(id, zone, address);
            listed.insert(key);
            let instance = &mut self.instances[key];
            instance.listed = true;
            instance.zone.clear();
            instance.zone.push_str(zone);
            if state == State::Leaving {
                instance.state = State::Leaving;
            }
        }
        for (key, instance) in &mut self.instances {
            instance.listed = listed.contains(&key);
        }
        self.forget(now);
    }

    /// Records a message of an instance; a message of an earlier start of it
    /// is passed over, and `false` is returned.
    pub fn record_message(
        &mut self,
        now: Instant,
        id: &str,
        zone: &str,
        address: &str,
        incarnation: u64,
        state: State,
    ) -> bool {
        if id == self.own {
            return false;
        }
        let key = self.enter(id, zone, address);
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

    /// Returns whether an instance counts as live.
    #[must_use]
    pub fn is_live(&self, now: Instant, key: Key) -> bool {
        self.instances.get(key).is_some_and(|instance| {
            instance.state == State::Live && instance.suspected_until <= now
        })
    }

    /// Iterates over the names of the live instances, the own one among them.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &str> {
        let others = self
            .instances
            .iter()
            .filter(move |(key, _)| self.is_live(now, *key))
            .map(|(_, instance)| instance.id.as_str());
        std::iter::once(self.own.as_str()).chain(others)
    }

    /// Returns the number of instances that are listed or were heard, the own
    /// one among them.
    #[must_use]
    pub fn size(&self) -> usize {
        self.instances.len() + 1
    }

    /// Chooses an instance for an exchange: mostly one of the own availability
    /// zone, sometimes one of another. Suspected and leaving ones are left out.
    pub fn choose_peer<R: Rng>(&self, now: Instant, rng: &mut R) -> Option<Key> {
        let cross = rng.random_ratio(1, Self::CROSS_ZONE_INTERVAL);
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (key, instance) in &self.instances {
            if !self.is_live(now, key) {
                continue;
            }
            if instance.zone == self.zone {
                near.push(key);
            } else {
                far.push(key);
            }
        }
        let pool = match (near.is_empty(), far.is_empty()) {
            (true, _) => far,
            (false, false) if cross => far,
            (false, _) => near,
        };
        if pool.is_empty() {
            return None;
        }
        Some(pool[rng.random_range(0..pool.len())])
    }

    /// Returns an instance.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Instance> {
        self.instances.get(key)
    }

    /// Returns the key of an instance.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.index.get(id).copied()
    }

    /// Iterates over all instances but the own one.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Instance)> {
        self.instances.iter()
    }

    fn enter(&mut self, id: &str, zone: &str, address: &str) -> Key {
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

    fn forget(&mut self, now: Instant) {
        let index = &mut self.index;
        self.instances.retain(|_, instance| {
            let recent = instance
                .last_received
                .is_some_and(|heard| now < heard.plus_millis(Self::UNLISTED_RETENTION_MS));
            let keep = instance.listed || recent;
            if !keep {
                index.remove(&instance.id);
            }
            keep
        });
    }
}
