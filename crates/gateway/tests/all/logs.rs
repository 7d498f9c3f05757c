//! The budget of log lines.

use fescuerack_gateway::logs::{Budget, MAX_LINES_PER_SECOND};
use tracing::Callsite;
use tracing::callsite::Identifier;
use tracing::metadata::Metadata;
use tracing::subscriber::Interest;

struct Site(u8);

impl Callsite for Site {
    fn set_interest(&self, _: Interest) {}

    fn metadata(&self) -> &Metadata<'_> {
        unreachable!("only its identity is used, {}", self.0)
    }
}

static STORM: Site = Site(1);
static OTHER: Site = Site(2);

/// A service fails and each request writes the same line. The storm must cost a bounded
/// number of lines and none of another kind.
#[test]
fn try_acquire_burst_of_one_site_leaves_the_others() {
    let budget = Budget::new();
    let storm = Identifier(&STORM);
    let passed = (0..10 * MAX_LINES_PER_SECOND)
        .filter(|_| budget.try_acquire(storm.clone()))
        .count();
    let most = usize::try_from(2 * MAX_LINES_PER_SECOND).expect("few");
    assert!((1..=most).contains(&passed), "{passed}");
    assert!(budget.try_acquire(Identifier(&OTHER)));
}
