//! What is believed to be cached on engines.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::warm::{Contents, Hub, Part};

const SERVER: u32 = 5;

fn parts(keys: &[u32]) -> Vec<Part> {
    let part = |&key| Part { key, tokens: 1_000 };
    keys.iter().map(part).collect()
}

fn at(ms: u64) -> Instant {
    Instant::ORIGIN.plus_millis(ms)
}

#[test]
fn cached_counts_up_to_the_first_gap() {
    let mut contents = Contents::default();
    contents.read(at(0), SERVER, &parts(&[1, 2]), None);
    assert_eq!(contents.cached(SERVER, &parts(&[1, 2, 3])), 2_000);
    assert_eq!(contents.cached(SERVER, &parts(&[1, 9, 2])), 1_000);
    assert_eq!(contents.cached(SERVER, &parts(&[9, 1])), 0);
    assert_eq!(contents.cached(6, &parts(&[1])), 0);
}

/// An engine's memory is full: what was not used for longest is gone, so a prompt is not sent
/// there for it; what is asked for again and again stays.
#[test]
fn read_forgets_what_was_not_used_for_longest() {
    let mut contents = Contents::default();
    for key in 0..20 {
        contents.read(
            at(u64::from(key)),
            SERVER,
            &parts(&[1_000, key]),
            Some(10_000),
        );
    }
    assert_eq!(contents.cached(SERVER, &parts(&[1_000])), 1_000);
    assert_eq!(contents.cached(SERVER, &parts(&[19])), 1_000);
    assert_eq!(contents.cached(SERVER, &parts(&[0])), 0);
}

/// Seven nodes see a seventh of the requests each. What one of them had read is known to all
/// after a telling; what all know already is not told again.
#[test]
fn tell_all_nodes_know_what_one_had_read() {
    let mut hub = Hub::default();
    let mut nodes = vec![Contents::default(); 7];
    nodes[2].read(at(0), SERVER, &parts(&[1, 2]), None);
    for round in 1..3 {
        for (number, node) in nodes.iter_mut().enumerate() {
            let now = at(round * 250);
            let told = hub.tell(now, &number.to_string(), node.fresh(now));
            node.hear(now, &told);
        }
    }
    for node in &nodes {
        assert_eq!(node.cached(SERVER, &parts(&[1, 2])), 2_000);
    }
    let now = at(2_000);
    nodes[4].read(now, SERVER, &parts(&[1, 2]), None);
    assert!(nodes[4].fresh(now).is_empty());
}

/// Groups hear of each other through the top.
#[test]
fn group_and_hear_pass_on_between_groups() {
    let (mut near, mut far, mut top) = (Hub::default(), Hub::default(), Hub::default());
    near.tell(at(0), "n", vec![(SERVER, 1, 10)]);
    top.tell(at(10), "near", near.group(at(10)));
    let elsewhere = top.tell(at(20), "far", far.group(at(20)));
    far.hear(at(20), elsewhere);
    assert_eq!(far.tell(at(30), "f", Vec::new()), [(SERVER, 1, 10)]);
    assert!(far.tell(at(5_000), "f", Vec::new()).is_empty());
}

/// Instances are replaced every day: what nobody uses any more is not remembered for ever.
#[test]
fn hear_drops_engines_that_are_gone() {
    let mut contents = Contents::default();
    contents.read(at(0), SERVER, &parts(&[1]), None);
    contents.hear(at(60_000), &[(6, 1, 10)]);
    assert_eq!(contents.cached(SERVER, &parts(&[1])), 1_000);
    contents.hear(at(400_000), &[]);
    assert_eq!(contents.cached(SERVER, &parts(&[1])), 0);
}
