//! Instances, their shared soft state and their messages.

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

fn know(exchange: &mut Exchange, names: &[&str]) {
    let list = names
        .iter()
        .map(|name| (*name, "espoo-a", "address:1", State::Live));
    exchange.view.observe(Instant::ORIGIN, list);
}

/// Lets `one` exchange with `other`, merging by taking the larger number, and
/// returns what each was brought.
fn exchange(one: &mut Exchange, other: &mut Exchange, millis: u64) -> (Payload, Payload) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, request) = one.begin(time(millis), 1, &mut rng).expect("a partner");
    let about = (request.origin.clone(), request.sequence);
    let hashes = request.hashes.clone();
    let brought = other.receive(time(millis), request).expect("accepted");
    take_larger(other, &brought.states);
    let answer = other.answer(time(millis), 1, about.clone(), &hashes);
    let answered = one.receive_answer(time(millis), about.1, answer);
    let answered = answered.expect("accepted");
    take_larger(one, &answered.states);
    (brought, answered)
}

fn take_larger(exchange: &mut Exchange, states: &BTreeMap<String, Value>) {
    let theirs = states.get("halts").and_then(Value::as_u64);
    let own = exchange.replica.get("halts").and_then(Value::as_u64);
    if let Some(larger) = theirs.max(own) {
        exchange.replica.set("halts", json!(larger), 2);
    }
}

// A halt is known to one instance only, and the instance that is told of it
// lost the message that would have told it at once. The next exchange between
// the two must bring both to the same state, whoever begins it.
#[rstest]
#[case::knowing_begins(true)]
#[case::unknowing_begins(false)]
fn replica_differing_converges(#[case] knowing_begins: bool) {
    let mut knowing = instance("a", 1);
    let mut unknowing = instance("b", 1);
    know(&mut knowing, &["b"]);
    know(&mut unknowing, &["a"]);
    knowing.replica.set("halts", json!(0), 2);
    unknowing.replica.set("halts", json!(0), 2);
    for _ in 0..8 {
        knowing.replica.recent_changes();
        unknowing.replica.recent_changes();
    }
    knowing.replica.set("halts", json!(7), 2);
    if knowing_begins {
        exchange(&mut knowing, &mut unknowing, 1);
    } else {
        exchange(&mut unknowing, &mut knowing, 1);
    }
    assert_eq!(knowing.replica.hashes(), unknowing.replica.hashes());
    assert_eq!(unknowing.replica.get("halts"), Some(&json!(7)));
}

#[test]
fn replica_same_sends_no_state() {
    let mut one = instance("a", 1);
    let mut other = instance("b", 1);
    know(&mut one, &["b"]);
    one.replica.set("halts", json!(7), 2);
    other.replica.set("halts", json!(7), 2);
    for _ in 0..8 {
        one.replica.recent_changes();
    }
    let (brought, answered) = exchange(&mut one, &mut other, 1);
    assert!(brought.states.is_empty() && answered.states.is_empty());
}

// An attacker records the message with which an instance said that it leaves
// and sends it again after the instance has restarted: a peer that believed it
// would stop counting on a live instance.
#[test]
fn receive_repeated_is_refused() {
    let mut leaving = instance("a", 1);
    let mut peer = instance("b", 1);
    know(&mut leaving, &["b"]);
    leaving.leave();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, word) = leaving.begin(time(1), 1, &mut rng).expect("a partner");
    assert!(peer.receive(time(1), word.clone()).is_ok());
    assert_eq!(peer.receive(time(2), word.clone()), Err(Refusal::Replayed));
    let mut restarted = instance("a", 2);
    know(&mut restarted, &["b"]);
    let (_, hello) = restarted.begin(time(3), 1, &mut rng).expect("a partner");
    assert!(peer.receive(time(3), hello).is_ok());
    assert_eq!(peer.receive(time(4), word), Err(Refusal::Replayed));
    let key = peer.view.find("a").expect("known");
    assert!(peer.view.is_live(Instant::from_millis(4), key));
}

#[rstest]
#[case::other_fleet(|message: &mut Message| message.fleet = "other".to_owned(), Refusal::Fleet)]
#[case::too_old(|message: &mut Message| message.sent = Instant::ORIGIN, Refusal::Time)]
#[case::old_protocol(|message: &mut Message| message.protocol = 0, Refusal::Protocol)]
#[case::own(|message: &mut Message| message.origin = "b".to_owned(), Refusal::Replayed)]
fn receive_foreign_is_refused(#[case] change: fn(&mut Message), #[case] refusal: Refusal) {
    let mut sender = instance("a", 1);
    let mut peer = instance("b", 1);
    know(&mut sender, &["b"]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, mut message) = sender.begin(time(1), 1, &mut rng).expect("a partner");
    change(&mut message);
    assert_eq!(peer.receive(time(1), message), Err(refusal));
    assert_eq!(peer.view.size(), 1, "nothing is learnt from it");
}

// Two answers cross on the network. The second would be taken for the answer
// to the first request and mark the wrong peer as heard.
#[test]
fn receive_answer_crossed_is_refused() {
    let mut asking = instance("a", 1);
    let mut peer = instance("b", 1);
    know(&mut asking, &["b"]);
    let answer = peer.answer(time(1), 1, ("a".to_owned(), 9), &BTreeMap::new());
    let refused = asking.receive_answer(time(1), 8, answer);
    assert_eq!(refused, Err(Refusal::Mismatched));
}

// During a rolling upgrade a later version sends a later protocol number,
// fields and slices that this version does not know. It must still be heard.
#[test]
fn receive_later_version_is_heard() {
    let mut later = instance("a", 1);
    let mut peer = instance("b", 1);
    know(&mut later, &["b"]);
    later.set_digests([("unknown-slice".to_owned(), json!({"x": 1}))].into());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (_, message) = later.begin(time(1), 1, &mut rng).expect("a partner");
    let mut json = serde_json::to_value(message).expect("plain fields");
    json["v"] = json!(2);
    json["new"] = json!("field");
    let message: Message = serde_json::from_value(json).expect("unknown fields are passed over");
    let brought = peer.receive(time(1), message).expect("accepted");
    assert_eq!(brought.digests.len(), 1);
}

#[test]
fn replay_window_accept_accepts_each_position_once() {
    let mut window = ReplayWindow::new();
    let order = [5, 3, 4, 70, 6, 5, 3, 70, 69];
    let taken: Vec<bool> = order
        .iter()
        .map(|position| window.accept("a", 1, *position))
        .collect();
    // 6 is 64 behind 70 and can no longer be told from a repeated one.
    assert_eq!(
        taken,
        [true, true, true, true, false, false, false, false, true]
    );
}

// The list lags: it still shows an instance that was killed. After three
// failed exchanges it is left alone, and it is tried again later, because a
// parted region comes back.
#[test]
fn view_failing_is_suspected_for_a_while() {
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

// An instance that says that it leaves gets no more work although the list
// shows it as live for some seconds more; after a restart it is live again.
#[test]
fn view_leaving_holds_for_one_start() {
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
    // A ninth of 1,000 is 111; fewer than 60 or more than 180 would be a
    // lopsided hash.
    assert!((60..180).contains(&moved), "{moved} keys moved");
}

// Three slices have more to tell than messages may carry, one of them more
// than one message. Each must be heard again and again, within the budget.
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
    let mut heard = BTreeMap::new();
    let mut bytes = 0;
    let messages = 100;
    for _ in 0..messages {
        for (slice, digest) in scheduler.select(&digests) {
            *heard.entry(slice).or_insert(0) += 1;
            bytes += digest.to_string().len();
        }
    }
    assert!(bytes <= messages * DigestScheduler::AVERAGE_BYTES);
    // The wait for the large one may waste a fifth of the rounds that fit.
    let round = DigestScheduler::MAX_BYTES + 2 * 400;
    let rounds = messages * DigestScheduler::AVERAGE_BYTES / round * 4 / 5;
    let all_heard = heard.values().all(|times| *times >= rounds);
    assert!(heard.len() == 3 && all_heard, "{heard:?}, {rounds} rounds");
}

#[test]
fn digest_scheduler_select_leaves_out_what_never_fits() {
    let large = json!("x".repeat(DigestScheduler::MAX_BYTES + 1));
    let digests = [("a".to_owned(), large), ("b".to_owned(), json!(1))];
    let digests = digests.into_iter().collect();
    let mut scheduler = DigestScheduler::new();
    for _ in 0..3 {
        let chosen: Vec<String> = scheduler.select(&digests).into_keys().collect();
        assert_eq!(chosen, ["b"]);
    }
}
