//! Tests of delta compression.

use fescuerack_gateway::delta_codec::{decode, digest, encode};
use proptest::prelude::*;
use rstest::rstest;

/// Returns a configuration of `count` routes, of which the first `other` have other names.
fn configuration(count: usize, other: usize) -> String {
    let routes = (0..count).map(|number| {
        let salt = u64::from(number < other);
        let name = (number as u64 + 1 + salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        format!(
            r#"{{"name":"r-{name:x}","hostname":"books.example","prefix":"/{:07x}/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"books","max_attempts":2,"public":false}}"#,
            name >> 36
        )
    });
    format!("[{}]", routes.collect::<Vec<_>>().join(","))
}

/// Maximum size of a frame that can be sent, in base64, to twenty nodes of a zone over one link of
/// 10 Mbit/s within 1.5 s, half of the time in which a change must become active.
const MAX_FRAME_BYTES: usize = 70_000;

#[rstest]
#[case::no_base(0, 2_000, 0)]
#[case::most_routes_added(50, 1_450, 0)]
#[case::routes_added(2_000, 3_400, 0)]
fn encode_large_change_fits_the_link(
    #[case] before: usize,
    #[case] after: usize,
    #[case] other: usize,
) {
    assert!(frame(before, after, other).0 < MAX_FRAME_BYTES);
}

/// A change of one route must take less than a twentieth of the full text.
#[rstest]
#[case::changed(2_000, 2_000, 1)]
#[case::added(2_000, 2_001, 0)]
#[case::both_in_a_larger_one(4_000, 4_001, 1)]
fn encode_one_route_costs_little(
    #[case] before: usize,
    #[case] after: usize,
    #[case] other: usize,
) {
    let (frame, whole) = frame(before, after, other);
    assert!(frame * 20 < whole, "{frame} of {whole} bytes");
}

/// Encodes and decodes a change; returns the sizes of the frame and of the new text in bytes.
fn frame(before: usize, after: usize, other: usize) -> (usize, usize) {
    let base = configuration(before, 0);
    let text = configuration(after, other);
    let frame = encode(&base, &text).expect("a frame");
    let decoded = decode(&base, &frame, text.len(), digest(&text)).expect("the text");
    assert_eq!(decoded, text);
    (frame.len(), text.len())
}

/// A node has another base than the one against which the frame was encoded, so the decoded text
/// would be wrong.
#[test]
fn decode_other_base_is_refused() {
    let text = configuration(2_000, 1);
    let frame = encode(&configuration(2_000, 0), &text).expect("a frame");
    let other = configuration(2_000, 7);
    assert!(decode(&other, &frame, text.len(), digest(&text)).is_err());
    assert!(decode("", &frame, text.len(), digest(&text)).is_err());
}

/// A small frame that decodes to a text of any length must not exhaust the memory.
#[test]
fn decode_longer_text_is_refused() {
    let text = "a".repeat(8 << 20);
    let frame = encode("", &text).expect("a frame");
    assert!(decode("", &frame, 1_000, digest(&text)).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        ..ProptestConfig::default()
    })]

    /// A truncated frame or one with a changed byte decodes to the original text or fails.
    #[test]
    fn decode_damaged_frame_gives_nothing_else(at in 0..4_000_usize, byte: u8, cut: bool) {
        let base = configuration(60, 0);
        let text = configuration(90, 3);
        let mut frame = encode(&base, &text).expect("a frame");
        let at = at % frame.len();
        if cut {
            frame.truncate(at);
        } else {
            frame[at] = byte;
        }
        if let Ok(decoded) = decode(&base, &frame, text.len(), digest(&text)) {
            prop_assert_eq!(decoded, text);
        }
    }

    /// Any text encoded against any other decodes to itself.
    #[test]
    fn encode_any_texts_come_back(base in ".{0,400}", text in ".{0,400}") {
        let frame = encode(&base, &text).expect("a frame");
        prop_assert_eq!(decode(&base, &frame, text.len(), digest(&text)).expect("the text"), text);
    }
}
