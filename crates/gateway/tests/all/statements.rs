//! The size of what nodes tell each other about servers.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::blame::Weight;
use fescuerack_core::gateway::crash::report::End;
use fescuerack_core::gateway::crash::{self, Key, Observation, Suspects};
use fescuerack_core::gateway::load;
use fescuerack_core::gateway::stated_limit::StatedLimits;
use fescuerack_core::route::leaving::LeavingServers;
use fescuerack_gateway::server::leaving_key;
use fescuerack_gateway::server_leaving::{MAX_SHARED, SHARE_MS};
use fescuerack_gateway::statements::Digest;

/// Bytes of control traffic that a node may send in a second.
const MAX_BYTES_PER_S: usize = 5_000;
/// Servers that state something at the same time.
const SERVERS: u64 = 10_000;

/// Guards against messages between nodes that fill their links when most servers of a large fleet
/// are in need or leave at the same time.
#[test]
fn digest_fits_the_budget_of_control_traffic() {
    let now = Instant::from_millis(1_000_000);
    let (mut limits, mut leaving) = (StatedLimits::new(), LeavingServers::new());
    for server in 0..SERVERS {
        let identity = server.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        limits.record(now, now, identity, Some(4_000.5));
        leaving.record(now, &leaving_key(identity));
    }
    assert_eq!(limits.limited_count(), 10_000, "none is dropped");
    let later = now.plus_millis(9_000);
    let digest = Digest {
        limits: limits.digest(later, "hub"),
        leaving: leaving.in_turn(later, SHARE_MS, MAX_SHARED, "hub"),
    };
    let mut suspects = Suspects::default();
    for key in 0..SERVERS {
        // As many crashes as it takes while servers end one after the other.
        for server in 0..8 {
            let end = End::Crashed {
                server: u32::MAX - server,
                age_ms: 0,
                ran_ms: 0,
                weight: Weight(116),
                proved_ms: Some(30_000),
            };
            let key = Key(u64::MAX - key);
            suspects.observe(now, Observation { key, end });
        }
    }
    let marks = suspects.marks(later, "hub");
    let crashes: usize = marks.iter().map(|mark| mark.crashes.len()).sum();
    assert_eq!(crashes, crash::MAX_SHARED_CRASHES);
    let bytes = postcard::to_stdvec(&(digest, marks)).expect("bytes").len();
    let messages_per_s = usize::try_from(1_000 / load::REPORT_INTERVAL_MS).expect("few");
    assert!(bytes * messages_per_s <= MAX_BYTES_PER_S, "{bytes} bytes");
}
