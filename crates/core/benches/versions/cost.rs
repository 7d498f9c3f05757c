//! Processor time of an instance's decisions about versions.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant as Clock;

use fescuerack_config::{Catalog, Names};
use fescuerack_core::cascade::{Context, Learner, Request, Selector, choose};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Event, Registry};

use crate::fleet::compile;
use crate::spread;

const MODELS: usize = 10;
const INSTANCES: usize = 340;
const CALLS_PER_RUN: u32 = 20_000;

fn setup() -> (Names, Catalog) {
    let mut file = String::from("models:\n");
    for model in 0..MODELS {
        let _ = writeln!(file, "  m{model}: {{}}");
    }
    file.push_str("versions:\n");
    for model in 0..MODELS {
        for version in 1..=2 {
            let _ = writeln!(
                file,
                "  m{model}@{version}: {{cost_input: 10, cost_output: {}, quality: {{default: 0.{}}}}}",
                10 + model,
                80 + model
            );
        }
    }
    file.push_str("rollouts:\n");
    for model in 0..MODELS {
        let _ = writeln!(
            file,
            "  m{model}: {{current: m{model}@1, candidate: m{model}@2}}"
        );
    }
    let models: Vec<String> = (0..MODELS).map(|model| format!("m{model}")).collect();
    let models = models.join(", ");
    let _ = writeln!(
        file,
        "targets:\n  work: {{quality: 0.82, cascade: true, models: [{models}]}}"
    );
    let _ = writeln!(file, "organisations:\n  o: {{allow: [{models}]}}");
    let mut names = Names::new();
    let catalog = compile(1, &file, &mut names);
    (names, catalog)
}

/// Returns the microseconds of one call, over five runs.
fn time(mut call: impl FnMut(u32)) -> String {
    let runs: Vec<f64> = (0..5)
        .map(|_| {
            let start = Clock::now();
            for index in 0..CALLS_PER_RUN {
                call(index);
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS_PER_RUN)
        })
        .collect();
    spread(&runs)
}

pub fn run() {
    let (names, catalog) = setup();
    let now = Instant::ORIGIN;
    let mut registries: Vec<Registry> = (0..INSTANCES)
        .map(|index| Registry::new(&format!("{index:016x}")))
        .collect();
    for registry in &mut registries {
        registry.configure(now, &catalog, &names);
        registry.mark_informed();
        for (version, _) in names.versions.iter() {
            registry.observe(
                now,
                version,
                Event::Answered {
                    missed_target: false,
                },
            );
        }
    }
    let mut registry = registries.remove(0);
    for peer in &mut registries {
        for _ in 0..MODELS {
            registry.merge(now, &peer.digest());
        }
    }
    let version = names.versions.get("m0@2").expect("a version");
    let bytes = serde_json::to_string(&registry.digest()).map_or(0, |text| text.len());
    println!("{MODELS} roll-outs, counts of {INSTANCES} instances; microseconds");
    println!("digest: {bytes} bytes");
    let rated = Event::Rated {
        quality_milli: 900,
        bad: false,
    };
    println!(
        "observe an answer: {}",
        time(|_| registry.observe(now, version, rated))
    );
    println!(
        "judge all roll-outs: {}",
        time(|_| drop(black_box(registry.decide(now))))
    );
    let digest = registries[7].digest();
    println!("merge a digest: {}", time(|_| registry.merge(now, &digest)));
    let learner = Learner::new("one");
    let context = Context {
        catalog: &catalog,
        names: &names,
        rollouts: &registry,
        learner: &learner,
        now,
    };
    let organisation = names.organisations.get("o").expect("an organisation");
    let class = names.classes.get("work").expect("a class");
    let choice = time(|index| {
        let session = index.to_be_bytes();
        let request = Request {
            organisation,
            selector: Selector::Class(class),
            session: &session,
            pinned: None,
            stream: false,
            remaining_ms: 30_000,
            input_tokens: 500,
            random: 0.5,
        };
        let _ = black_box(choose(context, request));
    });
    println!("choose among {MODELS} models with cascades: {choice}");
}
