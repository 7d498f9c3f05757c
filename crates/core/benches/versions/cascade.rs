//! Cost of meeting the quality target on the request mixes of the users.

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
const RATED_SHARE: f64 = 0.1;
/// Standard deviation of the error of the rating service.
const RATING_ERROR: f64 = 0.03;
/// Standard deviation of the quality of answers about their mean.
const QUALITY_DEVIATION: f64 = 0.09;
/// Maximum error of the quality that the configuration states.
const MAX_PRIOR_ERROR: f64 = 0.03;
/// Acceptance threshold of the static cascade.
const STATIC_THRESHOLD: f64 = 0.8;

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
    expensive: key::Version,
    /// True mean quality of the cheap and the expensive version.
    true_quality: [f64; 2],
}

/// A deployment with its request mix.
struct Workload {
    names: Names,
    catalog: Catalog,
    jobs: Vec<Job>,
}

fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn sample_quality(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    // Narrow enough that clamping at 1 does not lower the mean.
    let deviation = QUALITY_DEVIATION.min((1.0 - mean) / 2.5);
    (mean + deviation * normal(rng)).clamp(0.0, 1.0)
}

impl Workload {
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
        let [cheap, expensive] = models.map(version);
        let mut jobs = Vec::new();
        for (name, share, input, output) in *mix {
            let class = names.classes.get(name).expect("a class");
            let entry = &catalog.classes[class];
            let true_quality = [cheap, expensive].map(|version| {
                let error = rng.random_range(-MAX_PRIOR_ERROR..MAX_PRIOR_ERROR);
                // If no version met the target, there would be no best plan.
                let min = if version == expensive {
                    entry.quality + 0.01
                } else {
                    0.0
                };
                (catalog.quality(version, class) + error).max(min)
            });
            jobs.push(Job {
                class,
                share,
                input,
                output,
                target: entry.quality,
                cascades: entry.cascade,
                cheap,
                expensive,
                true_quality,
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
            .for_tokens(job.input, job.output);
        f64::from(u32::try_from(cost).expect("a small cost"))
    }

    fn job(&self, rng: &mut Pcg64Mcg) -> &Job {
        let mut remaining = rng.random::<f64>();
        let found = self.jobs.iter().find(|job| {
            remaining -= job.share;
            remaining < 0.0
        });
        found.unwrap_or(&self.jobs[0])
    }

    /// Returns the mean cost of the cheapest plan that meets the target, given
    /// the true quality of the versions and of each answer.
    fn best(&self, rng: &mut Pcg64Mcg) -> f64 {
        self.jobs
            .iter()
            .map(|job| job.share * self.best_of(job, rng))
            .sum()
    }

    fn best_of(&self, job: &Job, rng: &mut Pcg64Mcg) -> f64 {
        let mut best = self.cost(job.expensive, job);
        if job.true_quality[0] >= job.target {
            return self.cost(job.cheap, job);
        }
        if !job.cascades {
            return best;
        }
        let mut samples: Vec<f64> = (0..20_000)
            .map(|_| sample_quality(rng, job.true_quality[0]))
            .collect();
        samples.sort_by(f64::total_cmp);
        let count = f64::from(u32::try_from(samples.len()).expect("few"));
        let total: f64 = samples.iter().sum();
        let mut below = 0.0;
        for (position, quality) in samples.iter().enumerate() {
            let escalated = f64::from(u32::try_from(position).expect("few")) / count;
            let mean = (total - below) / count + escalated * job.true_quality[1];
            if mean >= job.target {
                let cost = self.cost(job.cheap, job) + escalated * self.cost(job.expensive, job);
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
    fn add(&mut self, job_index: usize, job: &Job, cost: f64, quality: f64) {
        self.cost += cost;
        self.below += f64::from(u8::from(quality < job.target));
        self.quality[job_index] += quality;
        self.count[job_index] += 1.0;
    }

    fn per_request(&self) -> f64 {
        self.cost / self.count.iter().sum::<f64>()
    }

    fn share_below(&self) -> f64 {
        100.0 * self.below / self.count.iter().sum::<f64>()
    }

    /// Returns how far the mean of the worst class lies above its target.
    fn margin(&self, workload: &Workload) -> f64 {
        let classes = workload.jobs.iter().enumerate();
        let above = classes
            .map(|(job_index, job)| self.quality[job_index] / self.count[job_index] - job.target);
        above.fold(f64::INFINITY, f64::min)
    }
}

/// Runs the learned policy. With `has_outage`, there are no ratings in the middle
/// third of the run.
fn learned(workload: &Workload, rng: &mut Pcg64Mcg, has_outage: bool) -> Totals {
    let mut registry = Registry::new("one");
    registry.configure(Instant::ORIGIN, &workload.catalog, &workload.names);
    let mut learner = Learner::new("one");
    let expensive = workload.jobs[0].expensive;
    let mut organisations = workload.catalog.organisations.iter();
    let (organisation, _) = organisations
        .find(|(_, entry)| entry.allowed.contains(&expensive))
        .expect("an organisation that may use all");
    let mut totals = Totals::default();
    for count in 0..REQUESTS {
        let now = Instant::from_millis(u64::from(count) * 100);
        let is_down = has_outage && count > REQUESTS / 3 && count < 2 * REQUESTS / 3;
        let job = workload.job(rng);
        let job_index = workload
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("the job is in the workload");
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
        let context = Context {
            catalog: &workload.catalog,
            names: &workload.names,
            rollouts: &registry,
            learner: &learner,
            now,
        };
        let Ok(choice) = choose(context, request) else {
            totals.refused += 1.0;
            continue;
        };
        let plan = choice.plans[0];
        let rate = |learner: &mut Learner, version, quality: f64, rng: &mut Pcg64Mcg| {
            if is_down {
                learner.record_rating_failure(now);
                return None;
            }
            let rating = (quality + RATING_ERROR * normal(rng)).clamp(0.0, 1.0);
            learner.record_rating_ms(100.0);
            learner.record_rating(&workload.catalog, job.class, version, rating);
            Some(rating)
        };
        let true_quality = |version| {
            if version == job.expensive {
                job.true_quality[1]
            } else {
                job.true_quality[0]
            }
        };
        let (cost, quality) = match plan.steps {
            Steps::Direct(version) => {
                let quality = sample_quality(rng, true_quality(version));
                if rng.random_bool(RATED_SHARE) {
                    rate(&mut learner, version, quality, rng);
                }
                (workload.cost(version, job), quality)
            }
            Steps::Cascade {
                first,
                second,
                accept,
            } => {
                let quality = sample_quality(rng, true_quality(first));
                let rating = rate(&mut learner, first, quality, rng);
                let cost = workload.cost(first, job);
                if rating.is_some_and(|rating| rating >= accept) {
                    (cost, quality)
                } else {
                    let escalated = sample_quality(rng, true_quality(second));
                    if rng.random_bool(RATED_SHARE) {
                        rate(&mut learner, second, escalated, rng);
                    }
                    (cost + workload.cost(second, job), escalated)
                }
            }
        };
        let tokens = u32::try_from(job.output).expect("few");
        learner.record_answer(job.class, plan.first(), 500.0, tokens);
        totals.add(job_index, job, cost, quality);
    }
    totals
}

fn strongest(workload: &Workload, rng: &mut Pcg64Mcg) -> Totals {
    let mut totals = Totals::default();
    for _ in 0..REQUESTS {
        let job = workload.job(rng);
        let job_index = workload
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("the job is in the workload");
        totals.add(
            job_index,
            job,
            workload.cost(job.expensive, job),
            sample_quality(rng, job.true_quality[1]),
        );
    }
    totals
}

fn cheap_first(workload: &Workload, rng: &mut Pcg64Mcg) -> Totals {
    let mut totals = Totals::default();
    for _ in 0..REQUESTS {
        let job = workload.job(rng);
        let job_index = workload
            .jobs
            .iter()
            .position(|other| other.class == job.class)
            .expect("the job is in the workload");
        let quality = sample_quality(rng, job.true_quality[0]);
        let cost = workload.cost(job.cheap, job);
        let rating = quality + RATING_ERROR * normal(rng);
        if !job.cascades || rating >= STATIC_THRESHOLD {
            totals.add(job_index, job, cost, quality);
        } else {
            let cost = cost + workload.cost(job.expensive, job);
            totals.add(
                job_index,
                job,
                cost,
                sample_quality(rng, job.true_quality[1]),
            );
        }
    }
    totals
}

pub fn run() {
    let workloads: [(&str, &Mix, [&str; 2]); 2] = [
        ("hoivapolku", &HOIVAPOLKU, ["kaisla-mini", "kaisla-max"]),
        ("opozivnik", &OPOZIVNIK, ["skica", "dosje"]),
    ];
    println!(
        "mix | policy | cost per request over the offline best | over always-strongest | worst class's mean above its target | answers below target | refused"
    );
    for (name, mix, models) in workloads {
        let mut rows: [[Vec<f64>; 5]; 4] = Default::default();
        for seed in SEEDS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let workload = Workload::new(name, mix, models, &mut rng);
            let best = workload.best(&mut rng);
            let expensive = strongest(&workload, &mut rng);
            let runs = [
                learned(&workload, &mut rng, false),
                learned(&workload, &mut rng, true),
                cheap_first(&workload, &mut rng),
            ];
            for (row, totals) in rows.iter_mut().zip(runs.iter().chain([&expensive])) {
                row[0].push(totals.per_request() / best);
                row[1].push(totals.per_request() / expensive.per_request());
                row[2].push(totals.margin(&workload));
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
