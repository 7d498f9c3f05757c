//! Service that callers get under load, compared with baselines over several
//! seeds.
//!
//! `cargo bench -p fescuerack-core --bench load [-- <part of a name>]` prints
//! tables of means with the minimum and maximum over the seeds. Baseline and
//! product run in the same process on the same load. The queue model is that of
//! `fescuerack-replay`. Time is simulated, so the figures are reproducible.

mod pacing;
mod store;

use std::collections::{BTreeMap, VecDeque};

use fescuerack_config::Names;
use fescuerack_core::admission::rate::RateLimits;
use fescuerack_core::clock::Instant;
use fescuerack_core::num::float;
use fescuerack_replay::{
    Admission, Choice, Fault, FaultKind, Figures, Policy, RefusedCallers, Retry, Scenario, Stream,
    run,
};

/// Seeds of each measurement.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Mean milliseconds for which a request of [`chat`] holds a slot: 80 ms to the
/// first token, 50 ms for the prompt and 60 tokens of 58 ms each (the mean of
/// the lognormal distribution is 1.083 times its median).
const CHAT_MS: f64 = 80.0 + 50.0 + 60.0 * 1.083 * 58.0;
/// Mean milliseconds for which a request of [`long`] holds a slot.
const LONG_MS: f64 = 80.0 + 300.0 + 600.0 * 1.083 * 58.0;

fn main() {
    let filter = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let parts: [(&str, fn()); 11] = [
        ("saturation", saturation),
        ("long", long_among_short),
        ("slow", slow_server),
        ("greedy", greedy),
        ("prefix", prefix),
        ("failing", failing),
        ("third", lost_third),
        ("crowd", crowd),
        ("fleet", fleet),
        ("rates", rates),
        ("store", store::recovery),
    ];
    for (name, part) in parts {
        if filter
            .as_ref()
            .is_none_or(|filter| name.contains(filter.as_str()))
        {
            part();
        }
    }
}

/// Returns the base scenario: the matching fleet of twelve servers behind nine
/// instances.
fn base_scenario() -> Scenario {
    Scenario {
        seconds: 150,
        warm_s: 50,
        token_ms: 58.0,
        ..Scenario::default()
    }
}

/// Returns chat requests that use a share of the capacity of `scenario`.
fn chat(scenario: &Scenario, share: f64) -> Stream {
    let slots = float(scenario.servers) * f64::from(scenario.slots);
    Stream {
        rate: share * slots / (CHAT_MS / 1000.0),
        deadline_ms: 15_000,
        ..Stream::default()
    }
}

/// Returns long requests that use a share of the capacity of `scenario`.
fn long(scenario: &Scenario, share: f64) -> Stream {
    let slots = float(scenario.servers) * f64::from(scenario.slots);
    Stream {
        name: "dossier".to_owned(),
        rate: share * slots / (LONG_MS / 1000.0),
        tokens: 600.0,
        prompt: 3_000,
        deadline_ms: 180_000,
        priority: 6,
        long: true,
        ..Stream::default()
    }
}

fn fifo() -> Policy {
    Policy {
        admission: Admission::Fifo,
        ..Policy::default()
    }
}

/// Figures of one scenario over all seeds.
#[derive(Default)]
struct Spread {
    values: BTreeMap<&'static str, Vec<f64>>,
    order: Vec<&'static str>,
}

impl Spread {
    fn of(scenario: &Scenario, measure: impl Fn(&Figures) -> Vec<(&'static str, f64)>) -> Self {
        let mut spread = Self::default();
        for seed in SEEDS {
            let scenario = Scenario {
                seed,
                ..scenario.clone()
            };
            for (name, value) in measure(&run(&scenario)) {
                if !spread.order.contains(&name) {
                    spread.order.push(name);
                }
                spread.values.entry(name).or_default().push(value);
            }
        }
        spread
    }

    fn print_heading(&self, first: &str) {
        println!("| {first} | {} |", self.order.join(" | "));
        println!("|---|{}", "---:|".repeat(self.order.len()));
    }

    fn print_row(&self, label: &str) {
        let cell = |name: &&str| {
            let values = &self.values[*name];
            let mean = values.iter().sum::<f64>() / float(values.len());
            let min = values.iter().copied().fold(f64::INFINITY, f64::min);
            let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            let digits = if max >= 100.0 { 0 } else { 3 };
            format!("{mean:.digits$} ({min:.digits$}–{max:.digits$})")
        };
        let cells: Vec<_> = self.order.iter().map(cell).collect();
        println!("| {label} | {} |", cells.join(" | "));
    }
}

/// Prints one table with a row for each labelled scenario.
fn report(
    title: &str,
    first: &str,
    rows: &[(String, Scenario)],
    measure: impl Fn(&Figures) -> Vec<(&'static str, f64)> + Copy,
) {
    println!("\n### {title}\n");
    for (index, (label, scenario)) in rows.iter().enumerate() {
        let spread = Spread::of(scenario, measure);
        if index == 0 {
            spread.print_heading(first);
        }
        spread.print_row(label);
    }
}

fn saturation() {
    let mut rows = Vec::new();
    for times in [0.8, 1.2, 2.0, 5.0] {
        for (name, policy) in [("fifo", fifo()), ("fair", Policy::default())] {
            let mut scenario = base_scenario();
            scenario.streams = vec![chat(&scenario, times)];
            scenario.policy = policy;
            rows.push((format!("{times} × capacity, {name}"), scenario));
        }
    }
    report("Saturation", "load", &rows, |figures| {
        let row = &figures.rows[0];
        let late = float(usize::try_from(row.late).unwrap_or(0));
        let offered = float(usize::try_from(row.offered).unwrap_or(1));
        vec![
            ("goodput of capacity", figures.goodput()),
            ("ran in vain", late / offered),
            ("limits over slots", limits(figures)),
            ("first p50 ms", row.first_token_ms(0.5)),
            ("first p99 ms", row.first_token_ms(0.99)),
        ]
    });
}

/// Returns the sum of the instances' concurrency limits, divided by the slots of
/// [`base_scenario`], averaged over the time that is counted.
fn limits(figures: &Figures) -> f64 {
    let counted = figures.limits.iter().skip(50);
    let counted: Vec<_> = counted
        .map(|limit| float(usize::try_from(*limit).unwrap_or(0)))
        .collect();
    counted.iter().sum::<f64>() / float(counted.len()) / 384.0
}

fn long_among_short() {
    let mut rows = Vec::new();
    let mut alone = base_scenario();
    alone.streams = vec![chat(&alone, 0.4)];
    rows.push(("chat alone, fair".to_owned(), alone.clone()));
    for times in [1.0, 3.0] {
        for (name, policy) in [("fifo", fifo()), ("fair", Policy::default())] {
            let mut scenario = alone.clone();
            scenario.seconds = 400;
            scenario.warm_s = 200;
            scenario.streams.push(long(&alone, times));
            scenario.policy = policy;
            rows.push((
                format!("with long work of {times} × capacity, {name}"),
                scenario,
            ));
        }
    }
    report("Long work among short", "load", &rows, |figures| {
        let row = figures.row("chat");
        let other = figures.rows.get(1);
        vec![
            ("chat first p50 ms", row.first_token_ms(0.5)),
            ("chat first p95 ms", row.first_token_ms(0.95)),
            ("chat first p99 ms", row.first_token_ms(0.99)),
            ("chat in time", row.good_share()),
            ("capacity used in time", figures.goodput()),
            (
                "dossiers in time",
                other.map_or(0.0, fescuerack_replay::Row::good_share),
            ),
        ]
    });
}

fn slow_server() {
    let mut rows = Vec::new();
    for (name, choice) in [
        ("round robin", Choice::Round),
        ("two choices", Choice::Two),
        ("scored", Choice::Scored),
    ] {
        for slow in [1.0, 10.0] {
            let mut scenario = base_scenario();
            scenario.streams = vec![chat(&scenario, 0.6)];
            scenario.streams[0].deadline_ms = 60_000;
            scenario.policy.choice = choice;
            scenario.faults = vec![Fault {
                kind: FaultKind::Slow(slow),
                servers: 1,
                from_s: 40.0,
                to_s: 150.0,
            }];
            rows.push((format!("{name}, one server {slow} × slower"), scenario));
        }
    }
    report("One slow server", "choice", &rows, |figures| {
        let row = &figures.rows[0];
        vec![
            ("first p95 ms", row.first_token_ms(0.95)),
            ("first p99 ms", row.first_token_ms(0.99)),
            ("first p99.9 ms", row.first_token_ms(0.999)),
            ("whole p99 ms", row.answer_ms(0.99)),
        ]
    });
}

fn greedy() {
    let mut rows = Vec::new();
    for (name, policy) in [("fifo", fifo()), ("fair", Policy::default())] {
        let mut scenario = base_scenario();
        let base = chat(&scenario, 1.0);
        scenario.streams = (0..10)
            .map(|index| Stream {
                name: format!("org-{index}"),
                organisation: format!("org-{index}"),
                rate: base.rate * if index == 0 { 3.0 } else { 0.08 },
                ..base.clone()
            })
            .collect();
        scenario.policy = policy;
        rows.push((
            format!("one organisation of ten sends 4 of 5, {name}"),
            scenario,
        ));
    }
    report("A greedy organisation", "load", &rows, |figures| {
        let shares = figures.shares();
        let worst = shares.values().copied().fold(f64::INFINITY, f64::min);
        let others = &figures.rows[1];
        vec![
            ("Jain index", figures.jain_index()),
            ("worst share", worst),
            ("goodput of capacity", figures.goodput()),
            ("small: in time", others.good_share()),
            ("small: first p99 ms", others.first_token_ms(0.99)),
        ]
    });
    let mut rows = Vec::new();
    for (name, policy) in [("fifo", fifo()), ("fair", Policy::default())] {
        let mut scenario = base_scenario();
        let base = chat(&scenario, 1.0);
        let greedy = Stream {
            name: "script".to_owned(),
            rate: base.rate * 3.0,
            callers: 1,
            ..base.clone()
        };
        let parents = Stream {
            name: "parents".to_owned(),
            rate: base.rate * 0.3,
            ..base
        };
        scenario.streams = vec![greedy, parents];
        scenario.policy = policy;
        rows.push((format!("one session sends 10 of 11, {name}"), scenario));
    }
    report(
        "A greedy caller of one organisation",
        "load",
        &rows,
        |figures| {
            let parents = figures.row("parents");
            vec![
                ("parents in time", parents.good_share()),
                ("parents first p99 ms", parents.first_token_ms(0.99)),
                ("goodput of capacity", figures.goodput()),
            ]
        },
    );
}

fn prefix() {
    let mut rows = Vec::new();
    for (name, choice) in [
        ("round robin", Choice::Round),
        ("two choices", Choice::Two),
        ("scored, no affinity", Choice::Blind),
        ("scored", Choice::Scored),
    ] {
        let mut scenario = base_scenario();
        scenario.cached = 60;
        scenario.streams = vec![chat(&scenario, 0.6)];
        let stream = &mut scenario.streams[0];
        stream.prefixes = 600;
        stream.skew = 1.5;
        stream.prompt = 2_000;
        scenario.policy.choice = choice;
        rows.push((name.to_owned(), scenario));
    }
    report("Prefix-cache affinity", "choice", &rows, |figures| {
        let row = &figures.rows[0];
        let computed = 1.0 - 0.9 * row.hit_rate();
        vec![
            ("hit rate", row.hit_rate()),
            ("prompt work left", computed),
            ("first p50 ms", row.first_token_ms(0.5)),
            ("first p99 ms", row.first_token_ms(0.99)),
            ("busiest server over mean", busiest(figures)),
        ]
    });
}

fn busiest(figures: &Figures) -> f64 {
    let sum: f64 = figures.servers.iter().sum();
    let mean = sum / float(figures.servers.len());
    let max = figures.servers.iter().copied().fold(0.0, f64::max);
    max / mean.max(1e-9)
}

fn failing() {
    let mut rows = Vec::new();
    for share in [0.02, 0.3, 1.0] {
        for (name, retry) in [("three retries", Retry::Three), ("budget", Retry::Budget)] {
            let mut scenario = base_scenario();
            scenario.streams = vec![chat(&scenario, 0.7)];
            scenario.policy.retry = retry;
            scenario.faults = vec![Fault {
                kind: FaultKind::Failing(share),
                servers: 12,
                from_s: 60.0,
                to_s: 90.0,
            }];
            rows.push((
                format!("{share} of attempts fail for 30 s, {name}"),
                scenario,
            ));
        }
    }
    report("A failing pool", "load", &rows, |figures| {
        let row = &figures.rows[0];
        let failed = float(usize::try_from(row.failed).unwrap_or(0));
        let offered = float(usize::try_from(row.offered).unwrap_or(1));
        vec![
            ("attempts per request", row.attempts_per_request()),
            ("failed", failed / offered),
            ("in time", row.good_share()),
        ]
    });
}

fn lost_third() {
    let mut rows = Vec::new();
    for (name, policy) in [
        (
            "fifo, two choices, three retries",
            Policy {
                admission: Admission::Fifo,
                choice: Choice::Two,
                retry: Retry::Three,
                ..Policy::default()
            },
        ),
        ("product", Policy::default()),
    ] {
        let mut scenario = base_scenario();
        scenario.streams = vec![chat(&scenario, 0.8)];
        scenario.policy = policy;
        scenario.faults = vec![Fault {
            kind: FaultKind::Down,
            servers: 4,
            from_s: 60.0,
            to_s: 100.0,
        }];
        rows.push((name.to_owned(), scenario));
    }
    report(
        "A third of the pool lost for 40 s at 0.8 of capacity",
        "policy",
        &rows,
        |figures| {
            let row = &figures.rows[0];
            let failed = float(usize::try_from(row.failed).unwrap_or(0));
            let offered = float(usize::try_from(row.offered).unwrap_or(1));
            vec![
                ("in time", row.good_share()),
                ("failed", failed / offered),
                ("attempts per request", row.attempts_per_request()),
                ("first p99 ms", row.first_token_ms(0.99)),
            ]
        },
    );
}

fn crowd() {
    let mut rows = Vec::new();
    for (name, policy) in [("fifo", fifo()), ("fair", Policy::default())] {
        let mut scenario = base_scenario();
        scenario.streams = vec![chat(&scenario, 0.7), chat(&scenario, 2.0)];
        "burst".clone_into(&mut scenario.streams[1].name);
        scenario.streams[1].from_s = 60.0;
        scenario.streams[1].to_s = 80.0;
        scenario.crowd = RefusedCallers { returns: 10 };
        scenario.policy = policy;
        rows.push((
            format!("burst of 20 s whose callers come back, {name}"),
            scenario,
        ));
    }
    report("A retrying crowd", "load", &rows, |figures| {
        let row = figures.row("burst");
        let refusals = float(usize::try_from(row.refusals).unwrap_or(0));
        let offered = float(usize::try_from(row.offered).unwrap_or(1));
        vec![
            ("chat in time", figures.row("chat").good_share()),
            ("burst in time", row.good_share()),
            ("refusals per request", refusals / offered),
            ("goodput of capacity", figures.goodput()),
        ]
    });
}

fn fleet() {
    let mut rows = Vec::new();
    for (nodes, servers) in [(9, 12), (340, 910)] {
        for lag_ms in [1_000, 5_000] {
            for (name, choice) in [("two choices", Choice::Two), ("scored", Choice::Scored)] {
                rows.push(fleet_row(nodes, servers, lag_ms, name, choice, 12.0));
            }
        }
    }
    for subset in [8.0, 16.0, 32.0, 64.0, 910.0] {
        rows.push(fleet_row(340, 910, 1_000, "scored", Choice::Scored, subset));
    }
    // The interval of real instances: each reads one engine a second, twelve in
    // turn.
    for (nodes, servers) in [(9, 12), (340, 910)] {
        let (label, mut scenario) =
            fleet_row(nodes, servers, 1_000, "scored", Choice::Scored, 12.0);
        scenario.report_ms = 12_000;
        rows.push((format!("{label}, read every 12 s"), scenario));
    }
    report(
        "Stale views and subsets at 0.7 of capacity",
        "fleet",
        &rows,
        |figures| {
            let row = &figures.rows[0];
            vec![
                ("first p95 ms", row.first_token_ms(0.95)),
                ("first p99 ms", row.first_token_ms(0.99)),
                ("busiest server over mean", busiest(figures)),
            ]
        },
    );
}

fn fleet_row(
    nodes: usize,
    servers: usize,
    lag_ms: u64,
    name: &str,
    choice: Choice,
    subset: f64,
) -> (String, Scenario) {
    let mut scenario = Scenario {
        nodes,
        servers,
        lag_ms,
        slots: if servers > 100 { 8 } else { 32 },
        seconds: if servers > 100 { 40 } else { 100 },
        warm_s: 20,
        ..base_scenario()
    };
    scenario.streams = vec![chat(&scenario, 0.7)];
    scenario.policy.choice = choice;
    scenario
        .policy
        .limits
        .insert("route.subset".to_owned(), subset);
    let label = format!("{nodes} × {servers}, lag {lag_ms} ms, {name}, subset {subset}");
    (label, scenario)
}

/// Measures a rate limit: an organisation sends three times its limit of 1,000
/// requests a second through all instances, and then through a tenth of them.
fn rates() {
    println!("\n### A limit of 1,000 requests a second across instances\n");
    println!(
        "| instances, age of views | most in a second | mean, all send | mean, a tenth send |"
    );
    println!("|---|---:|---:|---:|");
    for instances in [9, 340] {
        for lag_s in [1, 3, 10] {
            let passed = rate_run(instances, lag_s);
            let mean =
                |from: usize, to: usize| passed[from..to].iter().sum::<usize>() / (to - from);
            let max = passed.iter().max().copied().unwrap_or(0);
            println!(
                "| {instances}, {lag_s} s | {max} | {} | {} |",
                mean(20, 60),
                mean(90, 120)
            );
        }
    }
}

fn rate_run(count: usize, lag_s: u64) -> Vec<usize> {
    const LIMIT: f64 = 1_000.0;
    let mut names = Names::new();
    let organisation = names.organisations.intern("one");
    let mut instances: Vec<_> = (0..count).map(|_| RateLimits::new()).collect();
    for instance in &mut instances {
        instance.register(Instant::ORIGIN, organisation, LIMIT, count);
    }
    let mut in_transit = VecDeque::new();
    let mut passed = Vec::new();
    for second in 0..120_u64 {
        let now = Instant::from_millis(second * 1_000 + 1);
        let digests: Vec<_> = instances.iter().map(|it| it.digest(&names, now)).collect();
        in_transit.push_back(digests);
        if in_transit.len() > usize::try_from(lag_s).unwrap_or(0) {
            for (from, digest) in in_transit.pop_front().into_iter().flatten().enumerate() {
                for (index, instance) in instances.iter_mut().enumerate() {
                    if index != from {
                        instance.merge(&names, now, &from.to_string(), &digest);
                    }
                }
            }
        }
        let senders = if second < 60 {
            count
        } else {
            count.div_ceil(10)
        };
        let each = u64::try_from(3_000 / senders).unwrap_or(1);
        let mut all = 0;
        for instance in &mut instances {
            instance.refresh(now, count);
        }
        for instance in &mut instances[..senders] {
            for step in 0..each {
                let at = now.plus_millis(step * 990 / each);
                let spent = instance.try_acquire(at, organisation, LIMIT, count);
                all += usize::from(spent.is_ok());
            }
        }
        passed.push(all);
    }
    passed
}
