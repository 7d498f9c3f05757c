//! Cost at the quality target on the users' mixes.

use std::path::Path;

use fescuerack_config::{Catalog, Folder, Merged, Names, key};
use fescuerack_core::cascade::{Context, Learner, Request, Selector, Steps, choose};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::Registry;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{SEEDS, spread};

const REQUESTS: u32 = 40_000;
/// Share of direct answers that are rated.
const SAMPLED: f64 = 0.1;
/// Standard deviation of the rating service's own error.
const RATING_ERROR: f64 = 0.03;
/// Standard deviation of answers' quality about their mean.
const SPREAD: f64 = 0.09;
/// By how much the configuration's expectation may be wrong.
const WRONG: f64 = 0.03;
/// Threshold of the static cascade.
const STATIC: f64 = 0.8;

/// Class, share of requests, input and output tokens.
type Mix = [(&'static str, f64, u64, u64); 3];
const HOIVAPOLKU: Mix = [
    ("chat-reply", 0.8, 300, 120),
    ("shortlist", 0.14, 800, 300),
    ("vetting-summary", 0.06, 2000, 600),
];
const OPOZIVNIK: Mix = [
    ("shelf-alert", 0.75, 250, 80),
    ("batch-summary", 0.2, 1500, 400),
    ("dossier", 0.05, 4000, 1500),
];

struct Job {
    class: key::Class,
    share: f64,
    input: u64,
    output: u64,
    target: f64,
    cascades: bool,
    cheap: key::Version,
    dear: key::Version,
    /// True mean quality of both.
    truth: [f64; 2],
}

struct Market {
    names: Names,
    catalog: Catalog,
    jobs: Vec<Job>,
}

fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn draw(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    // Narrow enough that the cut at 1 does not lower the mean.
    let spread = SPREAD.min((1.0 - mean) / 2.5);
    (mean + spread * normal(rng)).clamp(0.0, 1.0)
}

impl Market {
    fn new(folder: &str, mix: &Mix, models: [&str; 2], rng: &mut Pcg64Mcg) -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(folder);
        let folder = Folder::read(&path).expect("the example is readable");
        let merged = Merged::new(&folder).expect("the example merges");
        let mut names = Names::new();
        let catalog = Catalog::new(1, &merged, &mut names).expect("the example compiles");
        let version = |model: &str| {
            names
                .versions
                .get(&format!("{model}@1"))
                .expect("a version")
        };
        let [cheap, dear] = models.map(version);
        let mut jobs = Vec::new();
        for (name, share, input, output) in *mix {
            let class = names.classes.get(name).expect("a class");
            let entry = &catalog.classes[class];
            let truth = [cheap, dear].map(|version| {
                let wrong = rng.random_range(-WRONG..WRONG);
                // A world in which no version meets the target has no best.
                let least = if version == dear {
                    entry.quality + 0.01
                } else {
                    0.0
                };
                (catalog.quality(version, class) + wrong).max(least)
            });
            jobs.push(Job {
                class,
                share,
                input,
                output,
                target: entry.quality,
                cascades: entry.cascade,
                cheap,
                dear,
                truth,
            });
        }
        Self {
            names,
            catalog,
            jobs,
        }
    }

    fn cost(&self, version: key::Version, job: &Job) -> f64 {
        let cost = self.catalog.versions[version]
            .cost
            .of(job.input, job.output);
        f64::from(u32::try_from(cost).expect("a small cost"))
    }

    fn job(&self, rng: &mut Pcg64Mcg) -> &Job {
        let mut dice = rng.random::<f64>();
        let found = self.jobs.iter().find(|job| {
            dice -= job.share;
            dice < 0.0
        });
        found.unwrap_or(&self.jobs[0])
    }

    /// Mean cost of the cheapest plan that meets the target, for who knows the
    /// true qualities and each answer's.
    fn best(&self, rng: &mut Pcg64Mcg) -> f64 {
        self.jobs
            .iter()
            .map(|job| job.share * self.best_of(job, rng))
            .sum()
    }

    fn best_of(&self, job: &Job, rng: &mut Pcg64Mcg) -> f64 {
        let mut best = self.cost(job.dear, job);
        if job.truth[0] >= job.target {
            return self.cost(job.cheap, job);
        }
        if !job.cascades {
            return best;
        }
        let mut draws: Vec<f64> = (0..20_000).map(|_| draw(rng, job.truth[0])).collect();
        draws.sort_by(f64::total_cmp);
        let count = f64::from(u32::try_from(draws.len()).expect("few"));
        let total: f64 = draws.iter().sum();
        let mut below = 0.0;
        for (position, quality) in draws.iter().enumerate() {
            let escalated = f64::from(u32::try_from(position).expect("few")) / count;
            let mean = (total - below) / count + escalated * job.truth[1];
            if mean >= job.target {
                let cost = self.cost(job.cheap, job) + escalated * self.cost(job.dear, job);
                best = best.min(cost);
                break;
            }
            below += quality;
        }
        best
    }
}

#[derive(Default)]
struct Totals {
    cost: f64,
    below: f64,
    refused: f64,
    quality: [f64; 3],
    count: [f64; 3],
}

impl Totals {
    fn add(&mut self, place: usize, job: &Job, cost: f64, quality: f64) {
        self.cost += cost;
        self.below += f64::from(u8::from(quality < job.target));
        self.quality[place] += quality;
        self.count[place] += 1.0;
    }

    fn per_request(&self) -> f64 {
        self.cost / self.count.iter().sum::<f64>()
    }

    fn share_below(&self) -> f64 {
        100.0 * self.below / self.count.iter().sum::<f64>()
    }

    /// By how much the worst class's mean lies above its target.
    fn margin(&self, market: &Market) -> f64 {
        let classes = market.jobs.iter().enumerate();
        let above =
            classes.map(|(place, job)| self.quality[place] / self.count[place] - job.target);
        above.fold(f64::INFINITY, f64::min)
    }
}

/// Which third of the run has no ratings.
fn learned(market: &Market, rng: &mut Pcg64Mcg, gone: bool) -> Totals {
    let mut board = Registry::new("one");
    board.configure(Instant::ORIGIN, &market.catalog, &market.names);
    let mut learner = Learner::new("one");
    let dear = market.jobs[0].dear;
    let mut organisations = market.catalog.organisations.iter();
    let (organisation, _) = organisations
        .find(|(_, entry)| entry.allowed.contains(&dear))
        .expect("an organisation that may use all");
    let mut totals = Totals::default();
    for count in 0..REQUESTS {
        let now = Instant::from_millis(u64::from(count) * 100);
        let down = gone && count > REQUESTS / 3 && count < 2 * REQUESTS / 3;
        let job = market.job(rng);
        let place = market
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("its place");
        let session = count.to_be_bytes();
        let request = Request {
            organisation,
            selector: Selector::Class(job.class),
            session: &session,
            pinned: None,
            stream: false,
            remaining_ms: 120_000,
            input_tokens: job.input,
            random: rng.random(),
        };
        let world = Context {
            catalog: &market.catalog,
            names: &market.names,
            rollouts: &board,
            learner: &learner,
            now,
        };
        let Ok(choice) = choose(world, request) else {
            totals.refused += 1.0;
            continue;
        };
        let plan = choice.plans[0];
        let rate = |learner: &mut Learner, version, quality: f64, rng: &mut Pcg64Mcg| {
            if down {
                learner.record_rating_failure(now);
                return None;
            }
            let rating = (quality + RATING_ERROR * normal(rng)).clamp(0.0, 1.0);
            learner.record_rating_ms(100.0);
            learner.record_rating(&market.catalog, job.class, version, rating);
            Some(rating)
        };
        let truth = |version| {
            if version == job.dear {
                job.truth[1]
            } else {
                job.truth[0]
            }
        };
        let (cost, quality) = match plan.steps {
            Steps::Direct(version) => {
                let quality = draw(rng, truth(version));
                if rng.random_bool(SAMPLED) {
                    rate(&mut learner, version, quality, rng);
                }
                (market.cost(version, job), quality)
            }
            Steps::Cascade {
                first,
                second,
                accept,
            } => {
                let quality = draw(rng, truth(first));
                let rating = rate(&mut learner, first, quality, rng);
                let cost = market.cost(first, job);
                if rating.is_some_and(|rating| rating >= accept) {
                    (cost, quality)
                } else {
                    let instead = draw(rng, truth(second));
                    if rng.random_bool(SAMPLED) {
                        rate(&mut learner, second, instead, rng);
                    }
                    (cost + market.cost(second, job), instead)
                }
            }
        };
        let tokens = u32::try_from(job.output).expect("few");
        learner.record_answer(job.class, plan.first(), 500.0, tokens);
        totals.add(place, job, cost, quality);
    }
    totals
}

fn strongest(market: &Market, rng: &mut Pcg64Mcg) -> Totals {
    let mut totals = Totals::default();
    for _ in 0..REQUESTS {
        let job = market.job(rng);
        let place = market
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("its place");
        totals.add(
            place,
            job,
            market.cost(job.dear, job),
            draw(rng, job.truth[1]),
        );
    }
    totals
}

fn cheap_first(market: &Market, rng: &mut Pcg64Mcg) -> Totals {
    let mut totals = Totals::default();
    for _ in 0..REQUESTS {
        let job = market.job(rng);
        let place = market
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("its place");
        let quality = draw(rng, job.truth[0]);
        let cost = market.cost(job.cheap, job);
        let rating = quality + RATING_ERROR * normal(rng);
        if !job.cascades || rating >= STATIC {
            totals.add(place, job, cost, quality);
        } else {
            let cost = cost + market.cost(job.dear, job);
            totals.add(place, job, cost, draw(rng, job.truth[1]));
        }
    }
    totals
}

pub fn run() {
    let worlds: [(&str, &Mix, [&str; 2]); 2] = [
        ("hoivapolku", &HOIVAPOLKU, ["kaisla-mini", "kaisla-max"]),
        ("opozivnik", &OPOZIVNIK, ["skica", "dosje"]),
    ];
    println!(
        "mix | policy | cost per request over the offline best | over always-strongest | worst class's mean above its target | answers below target | refused"
    );
    for (name, mix, models) in worlds {
        let mut rows: [[Vec<f64>; 5]; 4] = Default::default();
        for seed in SEEDS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let market = Market::new(name, mix, models, &mut rng);
            let best = market.best(&mut rng);
            let dear = strongest(&market, &mut rng);
            let runs = [
                learned(&market, &mut rng, false),
                learned(&market, &mut rng, true),
                cheap_first(&market, &mut rng),
            ];
            for (row, totals) in rows.iter_mut().zip(runs.iter().chain([&dear])) {
                row[0].push(totals.per_request() / best);
                row[1].push(totals.per_request() / dear.per_request());
                row[2].push(totals.margin(&market));
                row[3].push(totals.share_below());
                row[4].push(100.0 * totals.refused / f64::from(REQUESTS));
            }
        }
        let policies = [
            "learned",
            "learned, ratings gone for a third",
            "cheap first at 0.8",
            "strongest",
        ];
        for (policy, row) in policies.iter().zip(&rows) {
            let [over, part, margin, below, refused] = row;
            println!(
                "{name} | {policy} | {} | {} | {} | {}% | {}%",
                spread(over),
                spread(part),
                spread(margin),
                spread(below),
                spread(refused),
            );
        }
    }
}
