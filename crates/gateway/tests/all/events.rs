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

/// Line ends of an event stream.
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];
/// Lines that dispatch nothing.
const SILENT_LINES: [&str; 4] = ["", ": ping", ":", "retry: 1000"];

/// The events that a reader of the format dispatches from `text`, and whether one has begun that is not
/// dispatched. Reads line by line, as the format is specified.
fn dispatched(text: &str) -> (Vec<(String, String)>, bool) {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let (mut events, mut id, mut data) = (Vec::new(), String::new(), None::<String>);
    let mut has_field = false;
    // What follows the last line end is a line only if there is something.
    for line in text.split_inclusive('\n') {
        let line = line.trim_end_matches('\n');
        match line.split_once(':') {
            _ if line.is_empty() => {
                events.extend(data.take().map(|data| (id.clone(), data)));
                has_field = false;
            }
            Some(("" | "retry", _)) => {}
            Some(("data", value)) => {
                has_field = true;
                data = Some(data.unwrap_or_default() + value + "\n");
            }
            Some((name, value)) => {
                has_field = true;
                if name == "id" {
                    value.trim().clone_into(&mut id);
                }
            }
            None => has_field |= line != "retry",
        }
    }
    (events, has_field)
}

/// Returns a lawful stream of `count` events, with line ends and silent lines by `draws`.
fn lawful(count: u64, draws: &[usize], has_mark: bool) -> String {
    let mut draws = draws.iter().copied().cycle();
    let mut text = if has_mark { "\u{feff}" } else { "" }.to_owned();
    let mut add = |text: &mut String, line: &str| {
        // A lone line feed behind a carriage return would belong to it.
        let joins = text.ends_with('\r') && line.is_empty();
        let line_ends = &LINE_ENDS[usize::from(joins)..];
        let end = line_ends[draws.next().expect("endless") % line_ends.len()];
        text.push_str(line);
        text.push_str(end);
        draws.next().expect("endless")
    };
    for id in 1..=count {
        let draw = add(&mut text, &format!("id: {id}"));
        if draw.is_multiple_of(3) {
            add(&mut text, "event: token");
        }
        let draw = add(&mut text, &format!("data: {id}"));
        add(&mut text, "");
        if draw.is_multiple_of(2) {
            add(&mut text, SILENT_LINES[draw % SILENT_LINES.len()]);
        }
    }
    text
}

proptest! {
    /// Guards against lawful streams that count as broken, and against events that are lost or changed,
    /// wherever the bytes are cut into pieces.
    #[test]
    fn push_lawful_stream_is_whole(
        count in 1u64..8,
        draws in prop::collection::vec(0usize..60, 1..40),
        cuts in prop::collection::vec(0usize..400, 0..20),
        has_mark in any::<bool>(),
    ) {
        let text = lawful(count, &draws, has_mark);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % text.len()).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut splitter = Splitter::new(None);
        let mut output = Vec::new();
        for piece in cuts.windows(2) {
            output.extend_from_slice(&splitter.push(&text.as_bytes()[piece[0]..piece[1]]).expect("short"));
        }
        prop_assert!(!splitter.is_partial(), "{text:?}");
        let output = String::from_utf8(output).expect("text");
        prop_assert_eq!(dispatched(&output).0, dispatched(&text).0);
        prop_assert_eq!(splitter.count(), count);
    }

    /// Guards against a stream that ends within an event and counts as whole, and the other way round.
    #[test]
    fn is_partial_stream_that_ends_anywhere(
        count in 1u64..6,
        draws in prop::collection::vec(0usize..60, 1..40),
        end in 0usize..400,
    ) {
        let whole = lawful(count, &draws, false);
        let text = &whole[..end % (whole.len() + 1)];
        let mut splitter = Splitter::new(None);
        splitter.push(text.as_bytes()).expect("short");
        prop_assert_eq!(splitter.is_partial(), dispatched(text).1, "{:?}", text);
    }
}
