//! How old a change is when it is in force.

use fescuerack_core::clock::Instant;
use fescuerack_gateway::arrival::{Arrival, Arrivals};

fn at(ms: u64) -> Instant {
    Instant::ORIGIN.plus_millis(ms)
}

#[test]
fn at_is_when_the_revision_came() {
    let mut arrivals = Arrivals::default();
    arrivals.record(10, at(1_000));
    arrivals.record(14, at(2_000));
    arrivals.record(12, at(3_000));
    assert_eq!(arrivals.at(10), Some(at(1_000)));
    assert_eq!(arrivals.at(11), Some(at(2_000)));
    assert_eq!(arrivals.at(14), Some(at(2_000)));
    assert_eq!(arrivals.at(15), None);
}

/// A node has just started and hears of a change from long ago: its age is not known.
#[test]
fn at_before_the_first_is_unknown() {
    let mut arrivals = Arrivals::default();
    arrivals.record(10, at(1_000));
    assert_eq!(arrivals.at(9), None);
}

/// The one who is told goes on counting from the first one's moment.
#[test]
fn since_tells_ages() {
    let mut first = Arrivals::default();
    first.record(10, at(1_000));
    first.record(14, at(2_000));
    let told = first.since(at(2_300), 10);
    let expected = [(10, 1_300), (14, 300)].map(|(revision, age_ms)| Arrival { revision, age_ms });
    assert_eq!(told, expected);
    let mut second = Arrivals::default();
    let here = at(90_000);
    for arrival in told {
        second.record(arrival.revision, here.minus_millis(arrival.age_ms));
    }
    assert_eq!(second.at(14), Some(here.minus_millis(300)));
}
