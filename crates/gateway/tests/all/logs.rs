//! Tests of the rate limit on log lines.

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

static BURST: Site = Site(1);
static OTHER: Site = Site(2);

/// A service fails and every request writes the same line. The burst must be limited and must not
/// suppress lines of other call sites.
#[test]
fn try_acquire_burst_of_one_site_leaves_the_others() {
    let budget = Budget::new();
    let burst = Identifier(&BURST);
    let passed = (0..10 * MAX_LINES_PER_SECOND)
        .filter(|_| budget.try_acquire(burst.clone()))
        .count();
    let most = usize::try_from(2 * MAX_LINES_PER_SECOND).expect("few");
    assert!((1..=most).contains(&passed), "{passed}");
    assert!(budget.try_acquire(Identifier(&OTHER)));
}
