//! Membership, shared soft state and messages of instances.

use std::collections::BTreeMap;

use fescuerack_core::clock::Instant;
use fescuerack_core::member::{
    DigestScheduler, Exchange, Identity, Message, Payload, Refusal, ReplayWindow, State, Time,
    View, owner, owners,
};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

fn time(millis: u64) -> Time {
    Time {
        now: Instant::from_millis(millis),
        wall: Instant::from_millis(1_000_000 + millis),
    }
}

fn instance(name: &str, incarnation: u64) -> Exchange {
    let identity = Identity {
        fleet: "fescuerack".to_owned(),
        id: name.to_owned(),
        zone: "espoo-a".to_owned(),
        address: format!("{name}:1"),
        incarnation,
    };
    Exchange::new(identity)
}

fn observe(exchange: &mut Exchange, names: &[&str]) {
    let list = names
        .iter()
        .map(|name| (*name, "espoo-a", "address:1", State::Live));
    exchange.view.observe(Instant::ORIGIN, list);
}

/// Runs one exchange that `one` starts with `other`; both merge by taking the
/// larger number. Returns the payloads that `other` and `one` received.
fn exchange(one: &mut Exchange, other: &mut Exchange, millis: u64) -> (Payload, Payload) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, request) = one.begin(time(millis), 1, &mut rng).expect("a peer");
    let request_id = (request.origin.clone(), request.sequence);
    let hashes = request.hashes.clone();
    let received = other.receive(time(millis), request).expect("accepted");
    merge_max(other, &received.states);
    let answer = other.answer(time(millis), 1, request_id.clone(), &hashes);
    let answered = one.receive_answer(time(millis), request_id.1, answer);
    let answered = answered.expect("accepted");
    merge_max(one, &answered.states);
    (received, answered)
}

fn merge_max(exchange: &mut Exchange, states: &BTreeMap<String, Value>) {
    let remote = states.get("halts").and_then(Value::as_u64);
    let local = exchange.replica.get("halts").and_then(Value::as_u64);
    if let Some(larger) = remote.max(local) {
        exchange.replica.set("halts", json!(larger), 2);
    }
}

// Only one instance has a halt, and the message that should have carried it to
// the other at once was lost. The next exchange between the two must bring both
// to the same state, whichever starts it.
#[rstest]
#[case::newer_begins(true)]
#[case::older_begins(false)]
fn replica_differing_converges(#[case] newer_begins: bool) {
    let mut newer = instance("a", 1);
    let mut older = instance("b", 1);
    observe(&mut newer, &["b"]);
    observe(&mut older, &["a"]);
    newer.replica.set("halts", json!(0), 2);
    older.replica.set("halts", json!(0), 2);
    for _ in 0..8 {
        newer.replica.recent_changes();
        older.replica.recent_changes();
    }
    newer.replica.set("halts", json!(7), 2);
    if newer_begins {
        exchange(&mut newer, &mut older, 1);
    } else {
        exchange(&mut older, &mut newer, 1);
    }
    assert_eq!(newer.replica.hashes(), older.replica.hashes());
    assert_eq!(older.replica.get("halts"), Some(&json!(7)));
}

#[test]
fn replica_same_sends_no_state() {
    let mut one = instance("a", 1);
    let mut other = instance("b", 1);
    observe(&mut one, &["b"]);
    one.replica.set("halts", json!(7), 2);
    other.replica.set("halts", json!(7), 2);
    for _ in 0..8 {
        one.replica.recent_changes();
    }
    let (received, answered) = exchange(&mut one, &mut other, 1);
    assert!(received.states.is_empty() && answered.states.is_empty());
}

// An attacker records the message that announces that an instance is leaving and
// replays it after the instance has restarted. A peer that accepted it would
// treat a live instance as leaving.
#[test]
fn receive_replayed_is_refused() {
    let mut leaving = instance("a", 1);
    let mut peer = instance("b", 1);
    observe(&mut leaving, &["b"]);
    leaving.leave();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, announcement) = leaving.begin(time(1), 1, &mut rng).expect("a peer");
    assert!(peer.receive(time(1), announcement.clone()).is_ok());
    assert_eq!(
        peer.receive(time(2), announcement.clone()),
        Err(Refusal::Replayed)
    );
    let mut restarted = instance("a", 2);
    observe(&mut restarted, &["b"]);
    let (_, first) = restarted.begin(time(3), 1, &mut rng).expect("a peer");
    assert!(peer.receive(time(3), first).is_ok());
    assert_eq!(peer.receive(time(4), announcement), Err(Refusal::Replayed));
    let key = peer.view.find("a").expect("known");
    assert!(peer.view.is_live(Instant::from_millis(4), key));
}

#[rstest]
#[case::other_fleet(|message: &mut Message| message.fleet = "other".to_owned(), Refusal::Fleet)]
#[case::too_old(|message: &mut Message| message.sent = Instant::ORIGIN, Refusal::Time)]
#[case::old_protocol(|message: &mut Message| message.protocol = 0, Refusal::Protocol)]
#[case::own_name(|message: &mut Message| message.origin = "b".to_owned(), Refusal::Replayed)]
fn receive_foreign_is_refused(#[case] change: fn(&mut Message), #[case] refusal: Refusal) {
    let mut sender = instance("a", 1);
    let mut peer = instance("b", 1);
    observe(&mut sender, &["b"]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, mut message) = sender.begin(time(1), 1, &mut rng).expect("a peer");
    change(&mut message);
    assert_eq!(peer.receive(time(1), message), Err(refusal));
    assert_eq!(peer.view.size(), 1, "a refused message changed the view");
}

// Two answers arrive in swapped order. Without the check, the answer to the
// second request would be taken for that to the first and count as a message of
// the wrong peer.
#[test]
fn receive_answer_mismatched_is_refused() {
    let mut asking = instance("a", 1);
    let mut peer = instance("b", 1);
    observe(&mut asking, &["b"]);
    let answer = peer.answer(time(1), 1, ("a".to_owned(), 9), &BTreeMap::new());
    let refused = asking.receive_answer(time(1), 8, answer);
    assert_eq!(refused, Err(Refusal::Mismatched));
}

// During a rolling upgrade a later release sends a higher protocol number, and
// fields and slices that this release does not support. Its messages must be
// accepted.
#[test]
fn receive_later_version_is_accepted() {
    let mut later = instance("a", 1);
    let mut peer = instance("b", 1);
    observe(&mut later, &["b"]);
    later.set_digests([("unknown-slice".to_owned(), json!({"x": 1}))].into());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, message) = later.begin(time(1), 1, &mut rng).expect("a peer");
    let mut json = serde_json::to_value(message).expect("plain fields");
    json["v"] = json!(2);
    json["new"] = json!("field");
    let message: Message = serde_json::from_value(json).expect("unknown fields are ignored");
    let received = peer.receive(time(1), message).expect("accepted");
    assert_eq!(received.digests.len(), 1);
}

#[test]
fn replay_window_accept_takes_each_sequence_once() {
    let mut window = ReplayWindow::new();
    let sequences = [5, 3, 4, 70, 6, 5, 3, 70, 69];
    let accepted: Vec<bool> = sequences
        .iter()
        .map(|sequence| window.accept("a", 1, *sequence))
        .collect();
    // 6 is 64 behind 70 and can no longer be distinguished from a repetition.
    assert_eq!(
        accepted,
        [true, true, true, true, false, false, false, false, true]
    );
}

// The platform's list lags and still shows an instance that was killed. After
// three failed exchanges it is not contacted for a while, and then tried again,
// because a partitioned region comes back.
#[test]
fn view_record_failure_suspects_for_a_while() {
    let mut view = View::new("a", "espoo-a");
    view.observe(
        Instant::ORIGIN,
        [("b", "espoo-a", "b:1", State::Live)].into_iter(),
    );
    let key = view.find("b").expect("listed");
    let now = Instant::from_millis(10);
    for _ in 0..View::SUSPICION_FAILURES {
        assert!(view.is_live(now, key));
        view.record_failure(now, key);
    }
    assert!(!view.is_live(now, key));
    assert!(view.is_live(now.plus_millis(View::SUSPICION_MS), key));
}

// An instance that announces that it is leaving gets no more work although the
// list shows it as live for some more seconds. After a restart it is live again.
#[test]
fn view_leaving_holds_for_one_incarnation() {
    let mut view = View::new("a", "espoo-a");
    let now = Instant::from_millis(10);
    assert!(view.record_message(now, "b", "espoo-a", "b:1", 1, State::Leaving));
    view.observe(now, [("b", "espoo-a", "b:1", State::Live)].into_iter());
    let key = view.find("b").expect("known");
    assert!(!view.is_live(now, key));
    assert!(!view.record_message(now, "b", "espoo-a", "b:1", 0, State::Live));
    assert!(!view.is_live(now, key));
    assert!(view.record_message(now, "b", "espoo-a", "b:2", 2, State::Live));
    assert!(view.is_live(now, key));
}

#[test]
fn owner_leaving_moves_only_its_keys() {
    let names: Vec<String> = (0..9).map(|index| format!("entry-{index}")).collect();
    let mut moved = 0;
    for key in 0..1_000_u32 {
        let key = key.to_be_bytes();
        let all = owner(&key, names.iter().map(String::as_str)).expect("nine are live");
        let fewer = names.iter().skip(1).map(String::as_str);
        let after = owner(&key, fewer).expect("eight are live");
        assert!(all == after || all == "entry-0");
        moved += u32::from(all != after);
        let best = owners(&key, names.iter().map(String::as_str), 2);
        assert_eq!(best[0], all);
    }
    // A ninth of 1,000 keys is 111. Fewer than 60 or more than 180 would mean
    // that the hash is uneven.
    assert!((60..180).contains(&moved), "{moved} keys moved");
}

// Three slices report more than messages may carry, and the digest of one is as
// large as a message allows. Each must be sent repeatedly within the budget.
#[test]
fn digest_scheduler_select_takes_turns() {
    let digest = |bytes| json!("x".repeat(bytes - 2));
    let digests = [
        ("a".to_owned(), digest(400)),
        ("b".to_owned(), digest(DigestScheduler::MAX_BYTES)),
        ("c".to_owned(), digest(400)),
    ];
    let digests = digests.into_iter().collect();
    let mut scheduler = DigestScheduler::new();
    let mut times_sent = BTreeMap::new();
    let mut bytes = 0;
    let messages = 100;
    for _ in 0..messages {
        for (slice, digest) in scheduler.select(&digests) {
            *times_sent.entry(slice).or_insert(0) += 1;
            bytes += digest.to_string().len();
        }
    }
    assert!(bytes <= messages * DigestScheduler::MEAN_BYTES_PER_MESSAGE);
    // Waiting for the large digest may waste a fifth of the rounds that fit.
    let round_bytes = DigestScheduler::MAX_BYTES + 2 * 400;
    let rounds = messages * DigestScheduler::MEAN_BYTES_PER_MESSAGE / round_bytes * 4 / 5;
    let is_each_sent = times_sent.values().all(|times| *times >= rounds);
    assert!(
        times_sent.len() == 3 && is_each_sent,
        "{times_sent:?}, {rounds} rounds"
    );
}

#[test]
fn digest_scheduler_select_omits_what_never_fits() {
    let large = json!("x".repeat(DigestScheduler::MAX_BYTES + 1));
    let digests = [("a".to_owned(), large), ("b".to_owned(), json!(1))];
    let digests = digests.into_iter().collect();
    let mut scheduler = DigestScheduler::new();
    for _ in 0..3 {
        let selected: Vec<String> = scheduler.select(&digests).into_keys().collect();
        assert_eq!(selected, ["b"]);
    }
}

/// Guards against instances that each take most of what all may have together, the store's rate and the
/// limits of organisations, since the list has lost most of the others for a moment.
#[test]
fn observe_list_that_has_lost_most_instances_counts_them_on() {
    let names: Vec<String> = (0..340).map(|number| format!("n{number}")).collect();
    let mut view = View::new("n0", "espoo-a");
    let list = |names: &[String], view: &mut View, millis: u64| {
        let list = names
            .iter()
            .map(|name| (name.as_str(), "espoo-a", "address:1", State::Live));
        view.observe(Instant::from_millis(millis), list);
        view.size()
    };
    assert_eq!(list(&names, &mut view, 0), 340);
    assert_eq!(
        list(&names[..20], &mut view, 500),
        340,
        "most entries have gone"
    );
    assert_eq!(list(&[], &mut view, 1_000), 340, "all have gone");
    assert_eq!(list(&names, &mut view, 60_000), 340, "all are back");
    assert_eq!(list(&names[..20], &mut view, 60_500), 340);
    assert_eq!(
        list(&names[..20], &mut view, 90_000),
        20,
        "320 are gone for good"
    );
}
