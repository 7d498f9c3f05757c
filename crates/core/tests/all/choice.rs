//! Property tests of the choice of versions under random configurations, ratings and halts.

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Names, key};
use fescuerack_core::cascade::{
    Basis, Choice, Context, Learner, Refusal, Request, Selector, Steps, choose,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Cause, Halt, Record, Registry};
use fescuerack_core::session::Placement;
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
    random: f64,
    selector: usize,
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
            random: second.5,
            selector: second.6,
        })
}

/// The state that a choice depends on, built from a case.
struct Setup {
    names: Names,
    catalog: Catalog,
    rollouts: Registry,
    learner: Learner,
}

impl Setup {
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
        let mut rollouts = Registry::new("one");
        rollouts.mark_informed();
        if case.halted {
            let mut record = Record::default();
            let halt = Halt {
                word: 3,
                fallback: "a@1".to_owned(),
                cause: Cause::Ratings,
            };
            record.halt("a@2", halt);
            rollouts.merge_stored_record(now, "a", &record);
        }
        rollouts.configure(now, &catalog, &names);
        let mut learner = Learner::new("one");
        let class = names.classes.get("work").expect("a class");
        for (place, quality) in &case.ratings {
            let version = names.versions.get(VERSIONS[*place]).expect("a version");
            learner.record_rating(&catalog, class, version, *quality);
        }
        Self {
            names,
            catalog,
            rollouts,
            learner,
        }
    }

    fn version(&self, place: usize) -> key::Version {
        self.names.versions.get(VERSIONS[place]).expect("a version")
    }

    fn choose(&self, case: &Case) -> Result<Choice, Refusal> {
        let selector = match case.selector {
            0 => Selector::Class(self.names.classes.get("work").expect("a class")),
            1 => Selector::Model(self.names.models.get("a").expect("a model")),
            _ => Selector::Version(self.version(1)),
        };
        let session = case.session.to_be_bytes();
        let request = Request {
            organisation: self.names.organisations.get("o").expect("an organisation"),
            selector,
            session: &session,
            pinned: case.pinned.map(|place| self.version(place)),
            stream: false,
            remaining_ms: 60_000,
            input_tokens: 100,
            random: case.random,
        };
        let context = Context {
            catalog: &self.catalog,
            names: &self.names,
            rollouts: &self.rollouts,
            learner: &self.learner,
            now: Instant::ORIGIN,
        };
        choose(context, request)
    }

    /// Returns whether a version is withdrawn or halted.
    fn is_withdrawn(&self, case: &Case, version: key::Version) -> bool {
        let place = (0..VERSIONS.len()).find(|place| self.version(*place) == version);
        let place = place.expect("a known version");
        case.states[place] == 2 || (case.halted && VERSIONS[place] == "a@2")
    }
}

fn check(case: &Case) {
    let setup = Setup::new(case);
    let Ok(choice) = setup.choose(case) else {
        return;
    };
    for plan in &choice.plans {
        let versions = match plan.steps {
            Steps::Direct(version) => vec![version],
            Steps::Cascade { first, second, .. } => vec![first, second],
        };
        for version in versions {
            let place = (0..VERSIONS.len()).find(|place| setup.version(*place) == version);
            let place = place.expect("a known version");
            assert!(case.allowed[place], "{} is not allowed", VERSIONS[place]);
            assert!(
                !setup.is_withdrawn(case, version),
                "{} is withdrawn",
                VERSIONS[place]
            );
            let kept = case.pinned == Some(place);
            let closed = setup.catalog.versions[version].state == State::Closed;
            assert!(kept || !closed, "a new session on {}", VERSIONS[place]);
        }
        if case.selector == 0 && !case.below_target && plan.basis == Basis::Bound {
            assert!(plan.bound >= case.target);
        }
    }
    let pinned = case.pinned.filter(|place| case.allowed[*place]);
    if let Some(pinned) = pinned.map(|place| setup.version(place)) {
        let moved = matches!(choice.place, Placement::Move { .. });
        assert_eq!(moved, setup.is_withdrawn(case, pinned));
    }
}

#[test]
fn choose_random_states_keeps_invariants() {
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

/// Returns a case without faults in which one expensive version meets the target by itself.
fn healthy() -> Case {
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
        random: 0.9,
        selector: 0,
    }
}

// The rating service is down. The answer of a cheap version cannot be rated, so the version whose
// bound meets the target by itself answers.
#[test]
fn choose_without_ratings_falls_back_to_the_expensive_version() {
    let case = healthy();
    let mut setup = Setup::new(&case);
    let plan = setup.choose(&case).expect("a plan").plans[0];
    assert!(matches!(plan.steps, Steps::Cascade { .. }));
    for _ in 0..3 {
        setup.learner.record_rating_failure(Instant::ORIGIN);
    }
    let plan = setup.choose(&case).expect("a plan").plans[0];
    assert_eq!(plan.steps, Steps::Direct(setup.version(3)));
}

// The answers of a session on the cheap version are rated one by one. After the rating service
// goes down, the next answer must not be an unrated one of the cheap version, and the session must
// keep its version.
#[test]
fn choose_for_session_without_ratings_returns_no_unrated_answer() {
    let mut case = healthy();
    case.pinned = Some(0);
    let mut setup = Setup::new(&case);
    let choice = setup.choose(&case).expect("a plan");
    assert!(
        matches!(choice.plans[0].steps, Steps::Cascade { first, .. } if first == setup.version(0))
    );
    for _ in 0..3 {
        setup.learner.record_rating_failure(Instant::ORIGIN);
    }
    let choice = setup.choose(&case).expect("a plan");
    assert_eq!(choice.plans[0].steps, Steps::Direct(setup.version(3)));
    assert_eq!(choice.place, Placement::Keep(setup.version(0)));
}

// No allowed version meets the target. The request is refused for this reason, unless the
// organisation accepts answers below the target.
#[rstest]
#[case(false)]
#[case(true)]
fn choose_below_target_only_with_permission(#[case] is_permitted: bool) {
    let mut case = healthy();
    case.allowed[3] = false;
    case.below_target = is_permitted;
    let setup = Setup::new(&case);
    let choice = setup.choose(&case);
    if is_permitted {
        assert_eq!(
            choice.expect("a plan").plans[0].basis,
            Basis::BelowTargetAllowed
        );
    } else {
        assert_eq!(choice, Err(Refusal::BelowTarget));
    }
}
