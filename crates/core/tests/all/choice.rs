//! The choice of versions under random configurations, ratings and halts.

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Names, key};
use fescuerack_core::cascade::{
    Basis, Choice, Context, Learner, Refusal, Request, Selector, Steps, choose,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Cause, Halt, Record, Registry};
use fescuerack_core::session::Place;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use crate::fleet::compile;
use crate::rollout::config;

const STATES: [&str; 3] = ["open", "closed", "withdrawn"];
const VERSIONS: [&str; 4] = ["a@1", "a@2", "b@1", "c@1"];

#[derive(Clone, Debug)]
struct Case {
    states: Vec<usize>,
    qualities: Vec<f64>,
    allowed: Vec<bool>,
    below_target: bool,
    cascade: bool,
    target: f64,
    stage: usize,
    halted: bool,
    ratings: Vec<(usize, f64)>,
    pinned: Option<usize>,
    session: u64,
    dice: f64,
    wanted: usize,
}

fn case() -> impl Strategy<Value = Case> {
    let versions = VERSIONS.len();
    (
        (
            prop::collection::vec(0..STATES.len(), versions),
            prop::collection::vec(0.4..1.0_f64, versions),
            prop::collection::vec(prop::bool::weighted(0.8), versions),
            any::<bool>(),
            any::<bool>(),
            0.5..0.95_f64,
        ),
        (
            0..5_usize,
            any::<bool>(),
            prop::collection::vec((0..versions, 0.0..1.0_f64), 0..60),
            prop::option::of(0..versions),
            any::<u64>(),
            0.0..1.0_f64,
            0..3_usize,
        ),
    )
        .prop_map(|(first, second)| Case {
            states: first.0,
            qualities: first.1,
            allowed: first.2,
            below_target: first.3,
            cascade: first.4,
            target: first.5,
            stage: second.0,
            halted: second.1,
            ratings: second.2,
            pinned: second.3,
            session: second.4,
            dice: second.5,
            wanted: second.6,
        })
}

struct Market {
    names: Names,
    catalog: Catalog,
    board: Registry,
    learner: Learner,
}

impl Market {
    fn new(case: &Case) -> Self {
        let version = |place: usize| {
            format!(
                "  {}: {{cost_input: {cost}, cost_output: {cost}, state: {}, quality: {{default: {}}}}}\n",
                VERSIONS[place],
                STATES[case.states[place]],
                case.qualities[place],
                cost = 10 + 100 * place,
            )
        };
        let versions: String = (0..VERSIONS.len()).map(version).collect();
        let allowed = VERSIONS.iter().zip(&case.allowed);
        let allowed: Vec<_> = allowed.filter(|pair| *pair.1).map(|pair| *pair.0).collect();
        let file = format!(
            "models: {{a: {{}}, b: {{}}, c: {{}}}}\nversions:\n{versions}\
             targets:\n  work: {{quality: {}, models: [a, b, c], cascade: {}, explore: 0.2}}\n\
             rollouts:\n  a: {{current: a@1, candidate: a@2, stage: {}, word: 3}}\n\
             organisations:\n  o: {{allow: [{}], below_target: {}}}\n",
            case.target,
            case.cascade,
            case.stage,
            allowed.join(", "),
            case.below_target,
        );
        let mut names = Names::new();
        let catalog = compile(1, &file, &mut names);
        let now = Instant::ORIGIN;
        let mut board = Registry::new("one");
        board.mark_informed();
        if case.halted {
            let mut record = Record::default();
            let halt = Halt {
                word: 3,
                fallback: "a@1".to_owned(),
                cause: Cause::Ratings,
            };
            record.halt("a@2", halt);
            board.merge_stored_record(now, "a", &record);
        }
        board.configure(now, &catalog, &names);
        let mut learner = Learner::new("one");
        let class = names.classes.get("work").expect("a class");
        for (place, quality) in &case.ratings {
            let version = names.versions.get(VERSIONS[*place]).expect("a version");
            learner.record_rating(&catalog, class, version, *quality);
        }
        Self {
            names,
            catalog,
            board,
            learner,
        }
    }

    fn version(&self, place: usize) -> key::Version {
        self.names.versions.get(VERSIONS[place]).expect("a version")
    }

    fn choose(&self, case: &Case) -> Result<Choice, Refusal> {
        let wanted = match case.wanted {
            0 => Selector::Class(self.names.classes.get("work").expect("a class")),
            1 => Selector::Model(self.names.models.get("a").expect("a model")),
            _ => Selector::Version(self.version(1)),
        };
        let session = case.session.to_be_bytes();
        let request = Request {
            organisation: self.names.organisations.get("o").expect("an organisation"),
            selector: wanted,
            session: &session,
            pinned: case.pinned.map(|place| self.version(place)),
            stream: false,
            remaining_ms: 60_000,
            input_tokens: 100,
            random: case.dice,
        };
        let world = Context {
            catalog: &self.catalog,
            names: &self.names,
            rollouts: &self.board,
            learner: &self.learner,
            now: Instant::ORIGIN,
        };
        choose(world, request)
    }

    fn is_gone(&self, case: &Case, version: key::Version) -> bool {
        let place = (0..VERSIONS.len()).find(|place| self.version(*place) == version);
        let place = place.expect("a known version");
        case.states[place] == 2 || (case.halted && VERSIONS[place] == "a@2")
    }
}

fn check(case: &Case) {
    let market = Market::new(case);
    let Ok(choice) = market.choose(case) else {
        return;
    };
    for plan in &choice.plans {
        let versions = match plan.steps {
            Steps::Direct(version) => vec![version],
            Steps::Cascade { first, second, .. } => vec![first, second],
        };
        for version in versions {
            let place = (0..VERSIONS.len()).find(|place| market.version(*place) == version);
            let place = place.expect("a known version");
            assert!(case.allowed[place], "{} is not allowed", VERSIONS[place]);
            assert!(
                !market.is_gone(case, version),
                "{} is gone",
                VERSIONS[place]
            );
            let kept = case.pinned == Some(place);
            let closed = market.catalog.versions[version].state == State::Closed;
            assert!(kept || !closed, "a new session on {}", VERSIONS[place]);
        }
        if case.wanted == 0 && !case.below_target && plan.basis == Basis::Bound {
            assert!(plan.bound >= case.target);
        }
    }
    let pinned = case.pinned.filter(|place| case.allowed[*place]);
    if let Some(pinned) = pinned.map(|place| market.version(place)) {
        let moved = matches!(choice.place, Place::Move { .. });
        assert_eq!(moved, market.is_gone(case, pinned));
    }
}

#[test]
fn choose_random_worlds_keeps_what_must_hold() {
    let mut runner = TestRunner::new(proptest::test_runner::Config {
        cases: config().cases * 8,
        ..config()
    });
    let result = runner.run(&case(), |case| {
        check(&case);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn usual() -> Case {
    Case {
        states: vec![0; VERSIONS.len()],
        qualities: vec![0.6, 0.6, 0.7, 0.95],
        allowed: vec![true; VERSIONS.len()],
        below_target: false,
        cascade: true,
        target: 0.85,
        stage: 0,
        halted: false,
        ratings: Vec::new(),
        pinned: None,
        session: 7,
        dice: 0.9,
        wanted: 0,
    }
}

// The rating service is down. Nobody can judge a cheap answer, so the version
// whose bound meets the target by itself answers.
#[test]
fn choose_without_ratings_falls_back_to_the_dear_version() {
    let case = usual();
    let mut market = Market::new(&case);
    let plan = market.choose(&case).expect("a plan").plans[0];
    assert!(matches!(plan.steps, Steps::Cascade { .. }));
    for _ in 0..3 {
        market.learner.record_rating_failure(Instant::ORIGIN);
    }
    let plan = market.choose(&case).expect("a plan").plans[0];
    assert_eq!(plan.steps, Steps::Direct(market.version(3)));
}

// A session drafts with the cheap version, judged answer by answer. The rating
// service goes down: its next answer must not be an unjudged cheap one, and the
// session must not leave its version either.
#[test]
fn choose_for_session_without_ratings_does_not_hand_on_unjudged() {
    let mut case = usual();
    case.pinned = Some(0);
    let mut market = Market::new(&case);
    let choice = market.choose(&case).expect("a plan");
    assert!(
        matches!(choice.plans[0].steps, Steps::Cascade { first, .. } if first == market.version(0))
    );
    for _ in 0..3 {
        market.learner.record_rating_failure(Instant::ORIGIN);
    }
    let choice = market.choose(&case).expect("a plan");
    assert_eq!(choice.plans[0].steps, Steps::Direct(market.version(3)));
    assert_eq!(choice.place, Place::Keep(market.version(0)));
}

// No version that is allowed meets the target: the refusal says so, unless the
// organisation takes less rather than nothing.
#[rstest]
#[case(false)]
#[case(true)]
fn choose_below_target_only_with_leave(#[case] leave: bool) {
    let mut case = usual();
    case.allowed[3] = false;
    case.below_target = leave;
    let market = Market::new(&case);
    let choice = market.choose(&case);
    if leave {
        assert_eq!(
            choice.expect("a plan").plans[0].basis,
            Basis::BelowTargetAllowed
        );
    } else {
        assert_eq!(choice, Err(Refusal::BelowTarget));
    }
}
