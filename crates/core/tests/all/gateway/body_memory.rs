//! Tests of the memory of requests' bodies, under crowds that would take all of it.

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::body_memory::{
    BodyMemory, Key, Refused, SMALL_BYTES, STALL_MS, next_capacity,
};
use proptest::prelude::*;

const MAX: usize = 16 << 20;
const LARGE: usize = 1 << 20;

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Begins a body that holds `bytes`, if it may.
fn hold(memory: &mut BodyMemory, millis: u64, bytes: usize) -> Option<Key> {
    let key = memory.begin(at(millis));
    if memory.resize(at(millis), key, bytes).is_ok() {
        return Some(key);
    }
    memory.end(key);
    None
}

#[test]
fn resize_alone_takes_all() {
    let mut memory = BodyMemory::new(MAX);
    let key = memory.begin(at(0));
    assert_eq!(memory.resize(at(0), key, MAX), Ok(Vec::new()));
    assert!(memory.resize(at(0), key, MAX + 1).is_err());
    assert_eq!(memory.held(), MAX);
    memory.end(key);
    assert_eq!(memory.held(), 0);
}

/// Guards against large bodies that keep out small ones.
#[test]
fn resize_large_bodies_leave_a_part_to_small_ones() {
    let mut memory = BodyMemory::new(MAX);
    let large = (0..100).filter_map(|_| hold(&mut memory, 0, LARGE)).count();
    assert!((5..=12).contains(&large), "{large} large bodies");
    let small = (0..1_000).filter_map(|_| hold(&mut memory, 0, SMALL_BYTES));
    assert!(small.count() * SMALL_BYTES >= MAX / 4);
    assert!(memory.held() <= MAX);
}

/// Guards against bodies that have stopped and keep out those that go on.
#[test]
fn resize_longest_stopped_yields_first() {
    let mut memory = BodyMemory::new(MAX);
    let first = hold(&mut memory, 0, LARGE).expect("there is room");
    let second = hold(&mut memory, 100, LARGE).expect("there is room");
    memory.record_read(at(150), first, LARGE / 2);
    while hold(&mut memory, 200, LARGE).is_some() {}
    let next = memory.begin(at(1_000));
    let refused = memory.resize(at(1_099), next, LARGE);
    assert!(matches!(refused, Err(Refused::Full { .. })), "{refused:?}");
    let yielding = memory.resize(at(100 + STALL_MS), next, LARGE);
    assert_eq!(yielding, Ok(vec![second]));
    let gone = memory.resize(at(1_100), second, LARGE + 1);
    assert_eq!(gone, Err(Refused::Yielded));
    assert_eq!(memory.check(at(1_100), first, LARGE), Ok(()));
}

/// Guards against a complete request that yields to one that is not.
#[test]
fn resize_complete_bodies_never_yield() {
    let mut memory = BodyMemory::new(MAX);
    while let Some(key) = hold(&mut memory, 0, LARGE) {
        memory.complete(key);
    }
    let held = memory.held();
    assert_eq!(hold(&mut memory, 60_000, LARGE), None);
    assert_eq!(memory.held(), held);
}

/// Guards against a body that keeps its memory by a few bytes at a time.
#[test]
fn record_read_few_bytes_are_no_progress() {
    let mut memory = BodyMemory::new(MAX);
    let slow = hold(&mut memory, 0, LARGE).expect("there is room");
    while hold(&mut memory, 500, LARGE).is_some() {}
    memory.record_read(at(900), slow, 100);
    let next = memory.begin(at(1_000));
    assert_eq!(memory.resize(at(1_000), next, LARGE), Ok(vec![slow]));
}

/// Guards against a body that is refused, and for which others have yielded in vain.
#[test]
fn resize_none_yields_in_vain() {
    let mut memory = BodyMemory::new(MAX);
    let stopped = hold(&mut memory, 0, SMALL_BYTES).expect("there is room");
    while hold(&mut memory, 900, LARGE).is_some() {}
    assert_eq!(hold(&mut memory, 1_500, MAX / 2), None);
    assert_eq!(memory.resize(at(1_500), stopped, 1), Ok(Vec::new()));
}

#[test]
fn next_capacity_doubles_up_to_the_expected_length() {
    assert_eq!(next_capacity(0, 10, 1 << 20), 16 << 10);
    assert_eq!(next_capacity(0, 10, 10), 10);
    assert_eq!(next_capacity(16 << 10, (16 << 10) + 1, 1 << 20), 32 << 10);
    assert_eq!(next_capacity(700_000, 700_001, 1_000_000), 1_000_000);
    assert_eq!(next_capacity(16 << 10, 100_000, 1 << 20), 100_000);
}

proptest! {
    /// Guards against a sum that differs from what the bodies hold, and exceeds its bound.
    #[test]
    fn resize_sum_is_kept(steps in prop::collection::vec((0_u8..4, 0_usize..8, 0_usize..4 << 20), 1..200)) {
        let mut memory = BodyMemory::new(MAX);
        let mut held: Vec<(Key, usize)> = Vec::new();
        for (number, (step, index, bytes)) in steps.into_iter().enumerate() {
            let now = at(100 * u64::try_from(number).unwrap_or_default());
            let index = index % held.len().max(1);
            match (step, held.get(index).copied()) {
                (0, _) | (_, None) => held.push((memory.begin(now), 0)),
                (1, Some((key, _))) => {
                    memory.end(key);
                    held.remove(index);
                }
                (2, Some((key, _))) => memory.complete(key),
                (_, Some((key, _))) => {
                    if let Ok(yielding) = memory.resize(now, key, bytes) {
                        held[index].1 = bytes;
                        held.retain(|(other, _)| !yielding.contains(other));
                    }
                }
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(memory.held(), sum);
            prop_assert!(sum <= MAX);
        }
    }
}
