//! Splitting of event streams at the boundaries of events.

use fescuerack_gateway::events::Splitter;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// A server fails within an event and another one continues. Nothing of the partial event may
/// have been forwarded.
#[test]
fn push_partial_event_is_not_forwarded() {
    let mut splitter = Splitter::new(None);
    let text = format!("{}id: 2\nda", event(1));
    assert_eq!(splitter.push(text.as_bytes()).expect("short"), event(1));
    assert!(splitter.is_partial());
    splitter.drop_partial();
    assert_eq!(splitter.push(event(2).as_bytes()).expect("short"), event(2));
    assert_eq!((splitter.last(), splitter.count()), (Some(2), 2));
}

#[test]
fn push_event_without_end_is_refused() {
    let mut splitter = Splitter::new(None);
    assert!(splitter.push(&vec![b'x'; 2 << 20]).is_err());
}

#[test]
fn push_crlf_and_comments_are_forwarded() {
    let mut splitter = Splitter::new(Some(3));
    let text = ": ping\r\n\r\nid: 3\r\ndata: a\r\n\r\nid: 4\r\ndata: b\r\n\r\n";
    let whole = splitter.push(text.as_bytes()).expect("short");
    assert_eq!(whole, ": ping\r\n\r\nid: 4\r\ndata: b\r\n\r\n");
}

proptest! {
    /// However the bytes are split into pieces, the output is the same, and ends with a whole event
    /// after each piece.
    #[test]
    fn push_any_pieces_give_the_same_output(count in 1u64..12, cuts in prop::collection::vec(0usize..200, 0..20)) {
        let text: String = (1..=count).map(event).collect::<Vec<_>>().concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % text.len()).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut splitter = Splitter::new(None);
        let mut output = Vec::new();
        for piece in cuts.windows(2) {
            let whole = splitter.push(&text.as_bytes()[piece[0]..piece[1]]).expect("short");
            output.extend_from_slice(&whole);
            prop_assert!(output.is_empty() || output.ends_with(b"\n\n"));
        }
        prop_assert_eq!(String::from_utf8(output).expect("text"), text);
        prop_assert_eq!(splitter.count(), count);
    }
}
