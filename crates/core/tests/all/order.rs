//! Orders under a lease.

use std::collections::BTreeSet;

use fescuerack_config::{Names, key};
use fescuerack_core::clock::Instant;
use fescuerack_core::order::{
    Engine, GracePeriod, LEASE_MARGIN_MS, LEASE_TTL_MS, LeaseHolder, PlannedOrder, plan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Milliseconds that an order may travel before it takes effect. It ends by
/// its deadline, so only what is left until then counts.
const TRAVEL_MS: u64 = 900;

/// Store, engine and two instances, as far as orders go.
struct World {
    now: u64,
    writes: u64,
    lease: Option<(usize, u64)>,
    holders: [LeaseHolder; 2],
    paused_until: [u64; 2],
    /// Orders on their way: when they arrive, and their number.
    travelling: Vec<(u64, u64)>,
    fences: bool,
    highest: u64,
    effects: Vec<u64>,
    refused: usize,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    Try(usize),
    Order(usize, u64),
    Pause(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3_000_u64).prop_map(Step::Wait),
        (0..2_usize).prop_map(Step::Try),
        (0..2_usize, 0..TRAVEL_MS).prop_map(|(who, travel)| Step::Order(who, travel)),
        (0..2_usize, 1..40_000_u64).prop_map(|(who, pause)| Step::Pause(who, pause)),
    ]
}

impl World {
    fn new(fences: bool) -> Self {
        Self {
            now: 0,
            writes: 0,
            lease: None,
            holders: [LeaseHolder::new(), LeaseHolder::new()],
            paused_until: [0; 2],
            travelling: Vec::new(),
            fences,
            highest: 0,
            effects: Vec::new(),
            refused: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(millis) => self.pass(millis),
            Step::Pause(who, millis) => self.paused_until[who] = self.now + millis,
            Step::Try(who) if self.now >= self.paused_until[who] => self.hold(who),
            Step::Order(who, travel) if self.now >= self.paused_until[who] => {
                self.order(who, travel);
            }
            Step::Try(_) | Step::Order(..) => {}
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now += millis;
        self.travelling.sort_unstable();
        let arrived = self.travelling.partition_point(|(at, _)| *at <= self.now);
        for (_, number) in self.travelling.drain(..arrived) {
            if self.fences && number < self.highest {
                self.refused += 1;
                continue;
            }
            self.highest = self.highest.max(number);
            self.effects.push(number);
        }
        if self.lease.is_some_and(|(_, until)| until <= self.now) {
            self.lease = None;
        }
    }

    fn hold(&mut self, who: usize) {
        let sent = Instant::from_millis(self.now);
        match self.lease {
            None => {
                self.writes += 1;
                self.lease = Some((who, self.now + LEASE_TTL_MS));
                self.holders[who].acquire(sent, self.writes, self.writes);
            }
            Some((holder, _)) if holder == who => {
                self.lease = Some((who, self.now + LEASE_TTL_MS));
                self.holders[who].renew(sent);
            }
            Some(_) => {}
        }
    }

    fn order(&mut self, who: usize, travel: u64) {
        let now = Instant::from_millis(self.now);
        let Some(permit) = self.holders[who].permit(now, self.fences) else {
            return;
        };
        let deadline = permit.deadline.0 / 1_000;
        let arrives = (self.now + travel).min(deadline);
        self.travelling.push((arrives, permit.fencing_token));
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
        world.pass(LEASE_TTL_MS);
        prop_assert!(world.effects.is_sorted(), "{:?}", world.effects);
        Ok(())
    });
    result.expect("an older holder's order took effect after a newer one's");
}

// The holder is paused, its lease lapses, another instance takes over and
// orders. The paused one wakes and orders too. Its order must not take effect.
#[test]
fn order_older_takes_no_effect_when_the_engine_fences() {
    run(true, 7);
}

#[test]
fn order_older_takes_no_effect_when_the_engine_ignores_numbers() {
    run(false, 8);
}

// The check of the run above must be able to fail: a holder that counts its
// lease from when it wakes, not from when it asked, gives a late order.
#[test]
fn order_late_is_caught_by_the_run() {
    let mut world = World::new(false);
    world.apply(Step::Try(0));
    world.pass(LEASE_TTL_MS);
    world.apply(Step::Try(1));
    world.apply(Step::Order(1, 0));
    let late = Instant::from_millis(world.now);
    world.holders[0].renew(late);
    world.pass(1);
    world.apply(Step::Order(0, 0));
    world.pass(1);
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

// A roll-out names a new version while an engine lacks an old one as well. The
// new one must be somewhere before the old one is everywhere.
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

// A zone comes back and 40 engines lack everything. The weight store would be
// asked for 80 loads at once.
#[test]
fn plan_burst_is_bounded() {
    let mut names = Names::new();
    let [first, second] = versions(&mut names);
    let nothing: &[key::Version] = &[];
    let engines = engines(&mut names, &[nothing; 40]);
    let wanted = BTreeSet::from([first, second]);
    assert_eq!(plan(&wanted, &BTreeSet::new(), &engines, 4).len(), 4);
}

// An operator takes a version from a fleet while answers of it still run. An
// unload at once would cut them.
#[test]
fn grace_period_update_waits_for_running_answers() {
    let mut names = Names::new();
    let [gone] = versions(&mut names);
    let idle = BTreeSet::from([gone]);
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
