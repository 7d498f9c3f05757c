//! Tests of admission under the load patterns that it handles.

use fescuerack_config::{Names, key};
use fescuerack_core::admission::{
    Completion, Controller, Permit, Reason, Request, Resolution, Thresholds, Verdict,
};
use fescuerack_core::clock::Instant;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const MAX_RUNNING: usize = 8;

struct Fixture {
    control: Controller,
    rng: Pcg64Mcg,
    names: Names,
}

impl Fixture {
    fn new() -> Self {
        Self {
            control: Controller::new(Thresholds::new(MAX_RUNNING)),
            rng: Pcg64Mcg::seed_from_u64(7),
            names: Names::new(),
        }
    }

    fn request(&mut self, organisation: &str, deadline_ms: u64) -> Request {
        Request {
            organisation: self.names.organisations.intern(organisation),
            weight: 1,
            session_hash: 0,
            class: None,
            priority: 1,
            long: false,
            deadline: Instant::from_millis(deadline_ms),
        }
    }

    fn offer(&mut self, now_ms: u64, request: &Request) -> Verdict {
        let now = Instant::from_millis(now_ms);
        self.control.offer(now, request, &mut self.rng)
    }

    fn poll(&mut self, now_ms: u64) -> Vec<Resolution> {
        let now = Instant::from_millis(now_ms);
        self.control.poll(now, &mut self.rng)
    }

    /// Takes every permit, after a first round of requests that each ran for `service_ms`.
    fn saturate(&mut self, service_ms: u64) -> Vec<Permit> {
        let request = self.request("filler", 1_000_000);
        let mut permits = Vec::new();
        for round in 0..2 {
            let now = round * service_ms;
            for permit in permits.drain(..) {
                let at = Instant::from_millis(now);
                self.control
                    .finish(at, permit, Completion::Answered { first: at });
            }
            for _ in 0..MAX_RUNNING {
                let Verdict::Run(permit) = self.offer(now, &request) else {
                    panic!("a permit is free");
                };
                permits.push(permit);
            }
        }
        permits
    }
}

// A request waits for a permit while all are taken, until its answer could no longer be in time.
// Served after that it would use a permit for nothing, so it must be refused at that moment and not
// only at its deadline.
#[test]
fn poll_refuses_when_too_late_to_finish() {
    let mut fixture = Fixture::new();
    let _grants = fixture.saturate(1_000);
    let request = fixture.request("small", 6_000);
    let Verdict::Wait(ticket) = fixture.offer(1_000, &request) else {
        panic!("it can still finish");
    };
    assert!(fixture.poll(4_900).is_empty());
    let resolutions = fixture.poll(5_001);
    assert!(
        matches!(resolutions[..], [Resolution::Refuse(refused, refusal)]
            if refused == ticket && refusal.reason == Reason::TooLate)
    );
    assert_eq!(fixture.control.load().1, 0);
}

#[test]
fn offer_refuses_at_once_what_cannot_finish() {
    let mut fixture = Fixture::new();
    let _grants = fixture.saturate(1_000);
    let request = fixture.request("small", 1_900);
    let Verdict::Refuse(refusal) = fixture.offer(1_000, &request) else {
        panic!("a second is needed and 0.9 remain");
    };
    assert_eq!(refusal.reason, Reason::TooLate);
    assert!(refusal.retry_at > Instant::from_millis(1_000));
}

// Many callers are refused at one moment. With equal retry times they would all retry at one
// moment too, and be refused again.
#[test]
fn refusal_spreads_returns() {
    let mut fixture = Fixture::new();
    let _grants = fixture.saturate(1_000);
    let request = fixture.request("small", 1_500);
    let mut returns = Vec::new();
    for _ in 0..100 {
        if let Verdict::Refuse(refusal) = fixture.offer(1_000, &request) {
            returns.push(refusal.retry_at);
        }
    }
    returns.sort_unstable();
    assert_eq!(returns.len(), 100);
    let spread = returns[99].since(returns[0]).as_millis();
    assert!(spread > 900, "all retry within {spread} ms");
    let latest_retry = Instant::from_millis(1_000 + 30_000);
    assert!(returns.iter().all(|retry| *retry <= latest_retry));
}

// The batch of one organisation has filled the queue when another sends a single request. In order
// of arrival the single request would wait for the whole batch.
#[rstest]
#[case::equal(1, 1)]
#[case::heavier(3, 2)]
fn pop_shares_between_organisations(#[case] weight: u32, #[case] within: usize) {
    let mut fixture = Fixture::new();
    let mut permits = fixture.saturate(1_000);
    let greedy = fixture.request("greedy", 1_000_000);
    for _ in 0..20 {
        fixture.offer(1_000, &greedy);
    }
    let small = Request {
        weight,
        ..fixture.request("small", 1_000_000)
    };
    let Verdict::Wait(ticket) = fixture.offer(1_000, &small) else {
        panic!("it waits");
    };
    let mut position = 0;
    for (index, permit) in permits.drain(..3).enumerate() {
        let now = Instant::from_millis(2_000);
        fixture.control.finish(now, permit, Completion::Ignored);
        if fixture
            .poll(2_000)
            .iter()
            .any(|resolution| matches!(resolution, Resolution::Run(run, _) if *run == ticket))
        {
            position = index + 1;
        }
    }
    assert!(
        (1..=within.max(2)).contains(&position),
        "served as number {position}"
    );
}

// Within one organisation, a script without a session sends many requests and another caller's
// session sends one, which must not wait for all of them.
#[test]
fn pop_shares_between_callers() {
    let mut fixture = Fixture::new();
    let mut permits = fixture.saturate(1_000);
    let script = fixture.request("one", 1_000_000);
    for _ in 0..30 {
        fixture.offer(1_000, &script);
    }
    let parent = Request {
        session_hash: 9,
        ..script
    };
    let Verdict::Wait(ticket) = fixture.offer(1_000, &parent) else {
        panic!("it waits");
    };
    let mut run = Vec::new();
    for permit in permits.drain(..2) {
        fixture
            .control
            .finish(Instant::from_millis(2_000), permit, Completion::Ignored);
        run.extend(fixture.poll(2_000));
    }
    assert!(
        run.iter()
            .any(|resolution| matches!(resolution, Resolution::Run(run, _) if *run == ticket))
    );
}

// Long work holds its permits a hundred times longer than chat. Any amount of it must leave permits
// for chat, and chat must leave some permits for it.
#[test]
fn offer_bounds_long_work_and_keeps_its_floor() {
    let mut fixture = Fixture::new();
    let long_request = Request {
        long: true,
        ..fixture.request("one", 1_000_000)
    };
    let running = |verdict: &Verdict| matches!(verdict, Verdict::Run(_));
    let long = (0..20)
        .filter(|_| running(&fixture.offer(0, &long_request)))
        .count();
    assert_eq!(long, 2, "0.3 of 8 permits");
    let chat = fixture.request("one", 1_000_000);
    let short = (0..20)
        .filter(|_| running(&fixture.offer(0, &chat)))
        .count();
    assert_eq!(short, MAX_RUNNING - 2);
}

// Backend servers refuse work for a while (a third of the pool is lost), then answer as before. The
// limit must follow in both directions and never reach zero.
#[test]
fn limit_follows_what_backend_servers_finish() {
    let mut fixture = Fixture::new();
    let request = fixture.request("one", u64::MAX / 2_000);
    let mut now = 0;
    for _ in 0..50 {
        now += 300;
        if let Verdict::Run(permit) = fixture.offer(now, &request) {
            let at = Instant::from_millis(now);
            fixture.control.finish(at, permit, Completion::Overloaded);
        }
    }
    let lowest = fixture.control.summary().limit;
    assert!(
        (1..MAX_RUNNING).contains(&lowest),
        "the limit fell to {lowest}"
    );
    let mut permits = Vec::new();
    for _ in 0..400 {
        now += 100;
        let at = Instant::from_millis(now);
        for permit in permits.drain(..) {
            fixture
                .control
                .finish(at, permit, Completion::Answered { first: at });
        }
        for _ in 0..MAX_RUNNING {
            if let Verdict::Run(permit) = fixture.offer(now, &request) {
                permits.push(permit);
            }
        }
        for resolution in fixture.poll(now) {
            if let Resolution::Run(_, permit) = resolution {
                permits.push(permit);
            }
        }
    }
    assert_eq!(fixture.control.summary().limit, MAX_RUNNING);
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        organisation: usize,
        caller: u64,
        priority: u8,
        long: bool,
        within_ms: u64,
    },
    Finish {
        index: usize,
        how: u8,
    },
    Cancel {
        index: usize,
    },
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize, 0..5_u64, 0..3_u8, any::<bool>(), 1..5_000_u64).prop_map(
            |(organisation, caller, priority, long, within_ms)| Step::Offer {
                organisation, caller, priority, long, within_ms,
            }
        ),
        3 => (any::<usize>(), 0..3_u8).prop_map(|(index, how)| Step::Finish { index, how }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        2 => (0..500_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// Requests by state, as the callers of a random run see them.
#[derive(Default)]
struct Callers {
    running: Vec<Permit>,
    waiting: Vec<fescuerack_core::admission::Ticket>,
    offered: usize,
    refused: usize,
    ended: usize,
}

impl Callers {
    fn record_verdict(&mut self, verdict: Verdict) {
        self.offered += 1;
        match verdict {
            Verdict::Run(permit) => self.running.push(permit),
            Verdict::Wait(ticket) => self.waiting.push(ticket),
            Verdict::Refuse(_) => self.refused += 1,
        }
    }

    /// Records a resolution. It must belong to a waiting request, so that none is answered twice.
    fn record_resolution(&mut self, resolution: Resolution) {
        let ticket = match resolution {
            Resolution::Run(ticket, permit) => {
                self.running.push(permit);
                ticket
            }
            Resolution::Refuse(ticket, _) => {
                self.refused += 1;
                ticket
            }
        };
        let at = self.waiting.iter().position(|known| *known == ticket);
        self.waiting.swap_remove(at.expect("it waits"));
    }
}

fn run_steps(steps: &[Step]) {
    let mut names = Names::new();
    let organisations: Vec<key::Organisation> = (0..4)
        .map(|index| names.organisations.intern(&index.to_string()))
        .collect();
    let mut control = Controller::new(Thresholds::new(6));
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut callers = Callers::default();
    let mut now = Instant::ORIGIN;
    for step in steps {
        match *step {
            Step::Offer {
                organisation,
                caller,
                priority,
                long,
                within_ms,
            } => {
                let request = Request {
                    organisation: organisations[organisation],
                    weight: u32::try_from(organisation).unwrap_or(0) + 1,
                    session_hash: caller,
                    class: None,
                    priority,
                    long,
                    deadline: now.plus_millis(within_ms),
                };
                callers.record_verdict(control.offer(now, &request, &mut rng));
            }
            Step::Finish { index, how } if !callers.running.is_empty() => {
                let permit = callers.running.swap_remove(index % callers.running.len());
                let ended = match how {
                    0 => Completion::Answered { first: now },
                    1 => Completion::Overloaded,
                    _ => Completion::Ignored,
                };
                control.finish(now, permit, ended);
                callers.ended += 1;
            }
            Step::Cancel { index } if !callers.waiting.is_empty() => {
                let ticket = callers.waiting.swap_remove(index % callers.waiting.len());
                assert!(control.cancel(ticket), "it waits");
                assert!(!control.cancel(ticket), "it waits no more");
                callers.ended += 1;
            }
            Step::Pass { ms } => now = now.plus_millis(ms),
            Step::Finish { .. } | Step::Cancel { .. } => {}
        }
        for resolution in control.poll(now, &mut rng) {
            callers.record_resolution(resolution);
        }
        let known = (callers.running.len(), callers.waiting.len());
        assert_eq!(control.load(), known);
        let accounted = callers.refused + callers.ended + known.0 + known.1;
        assert_eq!(
            accounted, callers.offered,
            "a request was lost or answered twice"
        );
        assert!(known.0 <= 6 + 1, "more requests run than there are permits");
        assert!(control.next_expiry().is_none_or(|expiry| expiry > now));
    }
}

// Requests arrive, wait, end and are cancelled in random order: none may be lost or answered twice,
// and none may wait past the time at which it could still finish.
#[test]
fn controller_random_steps_lose_and_double_none() {
    let steps = std::env::var("FESCUERACK_STEPS").ok();
    let steps = steps.and_then(|steps| steps.parse().ok()).unwrap_or(200);
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = proptest::collection::vec(step(), 1..=steps);
    let result = TestRunner::new(config).run(&strategy, |steps| {
        run_steps(&steps);
        Ok(())
    });
    result.expect("the invariants hold");
}
