//! What a node may hold for its callers, by the size of its machine.

use std::net::{Ipv4Addr, SocketAddr};

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::body_memory::BodyMemory;
use fescuerack_core::gateway::budget::Bound;
use fescuerack_gateway::catalog::Limits;
use fescuerack_gateway::resources::Resources;
use fescuerack_gateway::settings::{Excess, Settings};
use rstest::rstest;

const MEGABYTE: usize = 1 << 20;

fn settings(memory_mb: usize, descriptors: usize) -> Settings {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: "n0".to_owned(),
        zone: "a".to_owned(),
        link_mbps: 0,
        memory_bytes: memory_mb * MEGABYTE,
        descriptors,
        regions: [].into(),
        callers: address,
        readiness: address,
        readiness_path: "/".to_owned(),
        peers: address,
        metrics: None,
        store: address,
        lease_ms: 1_000,
        grace_ms: 5_000,
        retries: Bound {
            ratio: 0.9,
            slack: 50.0,
            window_ms: 10_000,
        },
        session_ms: 5_000,
        exposure: 0.15,
        warmup: Excess {
            overage: 1.0,
            slack: 0.0,
        },
    }
}

/// Guards against shares that together are more than a machine has, or that lawful callers meet.
#[rstest]
#[case::smallest(120, 3_075, 480)]
#[case::small(160, 4_100, 640)]
#[case::edge(260, 4_100, 1_040)]
#[case::large(512, 8_192, 2_048)]
#[case::unknown(0, 0, 329)]
fn new_shares_fit_the_machine(
    #[case] memory_mb: usize,
    #[case] descriptors: usize,
    #[case] connections: usize,
) {
    let settings = settings(memory_mb, descriptors);
    let resources = Resources::new(&settings, &Limits::default());
    let memory = if memory_mb == 0 { 256 } else { memory_mb } * MEGABYTE;
    assert_eq!(resources.connections, connections);
    assert_eq!(resources.body_bytes, memory / 8);
    assert_eq!(resources.answer_bytes, (memory / 8).min(32 * MEGABYTE));
}

/// Guards against a body of the largest allowed size that no memory is left for.
#[rstest]
#[case::usual(4)]
#[case::large(12)]
#[case::half_of_the_memory(60)]
fn new_largest_body_fits(#[case] largest_mb: usize) {
    let limits = Limits {
        body_bytes: largest_mb * MEGABYTE,
        ..Limits::default()
    };
    let resources = Resources::new(&settings(120, 3_075), &limits);
    let mut memory = BodyMemory::new(resources.body_bytes);
    let key = memory.begin(Instant::ORIGIN);
    assert_eq!(
        memory.check(Instant::ORIGIN, key, limits.body_bytes),
        Ok(())
    );
}
