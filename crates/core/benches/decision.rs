//! Time of one decision: the choice of a server in fleets of 12, 100 and 910
//! servers, and one request through admission.
//!
//! `cargo bench -p fescuerack-core --bench decision`

use std::collections::BTreeSet;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuerack_config::Names;
use fescuerack_core::admission::{Completion, Controller, Request, Thresholds, Verdict};
use fescuerack_core::clock::Instant;
use fescuerack_core::route::subset::Position;
use fescuerack_core::route::{self, Listed, State, Table};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for (servers, subset) in [(12, 32), (100, 32), (910, 32), (100, 910), (910, 910)] {
        let mut names = Names::new();
        let fleet = names.fleets.intern("fleet");
        let mut table = Table::new("zone-0");
        table.set_position(Position {
            index: 3,
            instances: 340,
            size: subset,
        });
        let listed = (0..servers).map(|index| {
            let id = format!("server-{index}");
            let listed = Listed {
                id: id.clone(),
                fleet,
                zone: format!("zone-{}", index % 8),
                address: String::new(),
                state: State::Live,
                slots: 8,
            };
            (names.servers.intern(&id), listed)
        });
        table.apply_list(Instant::ORIGIN, listed.collect());
        let fleets = [fleet];
        let avoid = BTreeSet::new();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let id = BenchmarkId::from_parameter(format!("{servers} servers, subset {subset}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                let request = route::Request {
                    fleets: &fleets,
                    avoid: &avoid,
                    work: 300,
                    prompt_tokens: 1_000,
                    prefix: Some(rng.random()),
                    adapter: None,
                };
                let now = Instant::from_millis(1);
                let server = table.choose(now, &request, &mut rng).expect("a server");
                table.start_attempt(now, server, request.work);
                table.end_attempt(now, server, request.work, route::Outcome::Ignored, false);
                black_box(server)
            });
        });
    }
    group.finish();
}

fn admit(criterion: &mut Criterion) {
    let mut names = Names::new();
    let organisations: Vec<_> = (0..100)
        .map(|index| names.organisations.intern(&format!("organisation-{index}")))
        .collect();
    let mut control = Controller::new(Thresholds::new(64));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut permits = Vec::new();
    let mut now = Instant::ORIGIN;
    criterion.bench_function("admission, 100 organisations, saturated", |bencher| {
        bencher.iter(|| {
            now = now.plus_millis(1);
            let request = Request {
                organisation: organisations[rng.random_range(0..100)],
                weight: 1,
                session_hash: rng.random_range(0..1_000),
                class: None,
                priority: 1,
                long: false,
                deadline: now.plus_millis(10_000),
            };
            if let Verdict::Run(permit) = control.offer(now, &request, &mut rng) {
                permits.push(permit);
            }
            if permits.len() >= 64 {
                let permit = permits.swap_remove(0);
                control.finish(now, permit, Completion::Answered { first: now });
            }
            for resolution in control.poll(now, &mut rng) {
                if let fescuerack_core::admission::Resolution::Run(_, permit) = resolution {
                    permits.push(permit);
                }
            }
            black_box(permits.len())
        });
    });
}

criterion_group!(benches, choose, admit);
criterion_main!(benches);
