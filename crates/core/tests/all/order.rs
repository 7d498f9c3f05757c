//! Orders to engines: leases, plans and grace periods.

use std::collections::BTreeSet;

use fescuerack_config::{Names, key};
use fescuerack_core::clock::Instant;
use fescuerack_core::order::{
    Engine, GracePeriod, LEASE_MARGIN_MS, LEASE_TTL_MS, LeaseHolder, PlannedOrder, plan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Milliseconds within which an order takes effect after it was sent. An order
/// ends by its deadline, which may shorten this.
const MAX_TRANSIT_MS: u64 = 900;

/// Model of the store, one engine and two instances that send it orders.
struct World {
    now_ms: u64,
    writes: u64,
    /// Instance that holds the lease at the store, and its end.
    lease: Option<(usize, u64)>,
    holders: [LeaseHolder; 2],
    paused_until_ms: [u64; 2],
    /// Orders in transit: time of arrival and fencing token.
    in_transit: Vec<(u64, u64)>,
    fences: bool,
    /// Highest fencing token that the engine received.
    highest_token: u64,
    /// Fencing tokens of the orders that took effect.
    effects: Vec<u64>,
    refused: usize,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    AcquireOrRenew(usize),
    Order(usize, u64),
    Pause(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3_000_u64).prop_map(Step::Wait),
        (0..2_usize).prop_map(Step::AcquireOrRenew),
        (0..2_usize, 0..MAX_TRANSIT_MS).prop_map(|(index, transit)| Step::Order(index, transit)),
        (0..2_usize, 1..40_000_u64).prop_map(|(index, pause)| Step::Pause(index, pause)),
    ]
}

impl World {
    fn new(fences: bool) -> Self {
        Self {
            now_ms: 0,
            writes: 0,
            lease: None,
            holders: [LeaseHolder::new(), LeaseHolder::new()],
            paused_until_ms: [0; 2],
            in_transit: Vec::new(),
            fences,
            highest_token: 0,
            effects: Vec::new(),
            refused: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(millis) => self.wait(millis),
            Step::Pause(index, millis) => self.paused_until_ms[index] = self.now_ms + millis,
            Step::AcquireOrRenew(index) if self.now_ms >= self.paused_until_ms[index] => {
                self.acquire_or_renew(index);
            }
            Step::Order(index, transit_ms) if self.now_ms >= self.paused_until_ms[index] => {
                self.order(index, transit_ms);
            }
            Step::AcquireOrRenew(_) | Step::Order(..) => {}
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now_ms += millis;
        self.in_transit.sort_unstable();
        let arrived = self
            .in_transit
            .partition_point(|(at, _)| *at <= self.now_ms);
        for (_, fencing_token) in self.in_transit.drain(..arrived) {
            if self.fences && fencing_token < self.highest_token {
                self.refused += 1;
                continue;
            }
            self.highest_token = self.highest_token.max(fencing_token);
            self.effects.push(fencing_token);
        }
        if self.lease.is_some_and(|(_, until)| until <= self.now_ms) {
            self.lease = None;
        }
    }

    fn acquire_or_renew(&mut self, index: usize) {
        let sent = Instant::from_millis(self.now_ms);
        match self.lease {
            None => {
                self.writes += 1;
                self.lease = Some((index, self.now_ms + LEASE_TTL_MS));
                self.holders[index].acquire(sent, self.writes, self.writes);
            }
            Some((holder, _)) if holder == index => {
                self.lease = Some((index, self.now_ms + LEASE_TTL_MS));
                self.holders[index].renew(sent);
            }
            Some(_) => {}
        }
    }

    fn order(&mut self, index: usize, transit_ms: u64) {
        let now = Instant::from_millis(self.now_ms);
        let Some(permit) = self.holders[index].permit(now, self.fences) else {
            return;
        };
        let deadline_ms = permit.deadline.0 / 1_000;
        let arrival_ms = (self.now_ms + transit_ms).min(deadline_ms);
        self.in_transit.push((arrival_ms, permit.fencing_token));
    }
}

fn run(fences: bool, seed: u64) {
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..120);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new(fences);
        for step in steps {
            world.apply(step);
        }
        world.wait(LEASE_TTL_MS);
        prop_assert!(world.effects.is_sorted(), "{:?}", world.effects);
        Ok(())
    });
    result.expect("an older holder's order took effect after a newer one's");
}

// The lease of a paused holder expires, and another instance acquires it and
// sends an order. The first one resumes and sends an order as well, which must
// not take effect.
#[test]
fn permit_older_order_has_no_effect_when_engine_fences() {
    run(true, 7);
}

#[test]
fn permit_older_order_has_no_effect_when_engine_ignores_tokens() {
    run(false, 8);
}

// The check of the randomised runs must be able to fail: a holder that counts
// its lease from when it resumes instead of from its request sends a late order.
#[test]
fn permit_late_order_is_detected_by_the_run() {
    let mut world = World::new(false);
    world.apply(Step::AcquireOrRenew(0));
    world.wait(LEASE_TTL_MS);
    world.apply(Step::AcquireOrRenew(1));
    world.apply(Step::Order(1, 0));
    let late = Instant::from_millis(world.now_ms);
    world.holders[0].renew(late);
    world.wait(1);
    world.apply(Step::Order(0, 0));
    world.wait(1);
    assert!(!world.effects.is_sorted());
}

#[test]
fn permit_ends_a_margin_before_the_lease() {
    let mut holder = LeaseHolder::new();
    holder.acquire(Instant::ORIGIN, 1, 1);
    let last = Instant::from_millis(LEASE_TTL_MS - LEASE_MARGIN_MS);
    let permit = holder.permit(Instant::from_millis(1), false).expect("held");
    assert_eq!(permit.deadline, last);
    assert!(!permit.is_valid(last));
    assert_eq!(holder.permit(last, false), None);
    let fenced = holder.permit(last, true).expect("held");
    assert_eq!(fenced.deadline, Instant::from_millis(LEASE_TTL_MS));
}

fn versions<const N: usize>(names: &mut Names) -> [key::Version; N] {
    std::array::from_fn(|index| names.versions.intern(&format!("m@{index}")))
}

fn engines(names: &mut Names, loaded: &[&[key::Version]]) -> Vec<Engine> {
    let engines = loaded.iter().enumerate();
    engines
        .map(|(index, loaded)| Engine {
            server: names.servers.intern(&format!("engine-{index}")),
            loaded: loaded.iter().copied().collect(),
        })
        .collect()
}

// A roll-out adds a new version while an engine also lacks an old one. The new
// version must be loaded on one engine before the old one is loaded on all.
#[test]
fn plan_loads_the_rarest_first() {
    let mut names = Names::new();
    let [old, new] = versions(&mut names);
    let engines = engines(&mut names, &[&[old], &[old], &[]]);
    let wanted = BTreeSet::from([old, new]);
    let orders = plan(&wanted, &BTreeSet::new(), &engines, 2);
    let loaded: Vec<key::Version> = orders
        .iter()
        .filter_map(|order| match order {
            PlannedOrder::Load(_, version) => Some(*version),
            PlannedOrder::Unload(..) => None,
        })
        .collect();
    assert_eq!(loaded, [new, new]);
}

// A zone returns and 40 engines have no version loaded. Without the bound, the
// weight store would receive 80 loads at once.
#[test]
fn plan_burst_is_bounded() {
    let mut names = Names::new();
    let [first, second] = versions(&mut names);
    let nothing: &[key::Version] = &[];
    let engines = engines(&mut names, &[nothing; 40]);
    let wanted = BTreeSet::from([first, second]);
    assert_eq!(plan(&wanted, &BTreeSet::new(), &engines, 4).len(), 4);
}

// An operator removes a version from a fleet while its answers are in progress.
// An immediate unload would cut them.
#[test]
fn grace_period_update_waits_for_running_answers() {
    let mut names = Names::new();
    let [removed] = versions(&mut names);
    let idle = BTreeSet::from([removed]);
    let mut grace = GracePeriod::new();
    assert!(grace.update(Instant::ORIGIN, &idle).is_empty());
    let before = Instant::from_millis(GracePeriod::DURATION_MS - 1);
    assert!(grace.update(before, &idle).is_empty());
    assert_eq!(
        grace.update(Instant::from_millis(GracePeriod::DURATION_MS), &idle),
        idle
    );
    assert!(grace.update(before, &BTreeSet::new()).is_empty());
    assert!(
        grace
            .update(Instant::from_millis(GracePeriod::DURATION_MS), &idle)
            .is_empty()
    );
}
