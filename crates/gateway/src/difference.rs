//! A text as its difference from an earlier one.
//!
//! A configuration of 2,000 routes is 0.4 MB and most changes concern one route. Written as a
//! Zstandard frame that refers to the earlier text, such a change is some hundred bytes, and 1,400
//! routes that are new are a tenth of their text. Without an earlier text the frame
//! stands alone.

use std::io::{Cursor, Read as _};

use anyhow::{Context as _, ensure};
use xxhash_rust::xxh3::xxh3_64;
use zstd::stream::{read, write};

/// Effort, the least of the library's usual range: more makes a large change no smaller, and takes
/// longer for a small one.
const LEVEL: i32 = 1;
/// Smallest and largest window that the format has, as powers of two.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;

/// Returns a hash of `text`, by which a text that was put together is checked.
#[must_use]
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns `text` as its difference from `base`, which is empty if there is none.
///
/// # Errors
///
/// What the library says.
pub fn encode(base: &str, text: &str) -> anyhow::Result<Vec<u8>> {
    let mut frame = Vec::new();
    let mut encoder = write::Encoder::with_ref_prefix(&mut frame, LEVEL, base.as_bytes())?;
    // Only what lies within the window is referred to: both texts must fit.
    encoder.window_log(window_log(base.len() + text.len()))?;
    encoder.long_distance_matching(true)?;
    encoder.set_pledged_src_size(Some(u64::try_from(text.len())?))?;
    std::io::copy(&mut text.as_bytes(), &mut encoder)?;
    encoder.finish()?;
    Ok(frame)
}

/// Puts a text of `length` bytes together again and checks it against its digest.
///
/// # Errors
///
/// When the frame is damaged, refers to another text than `base`, or gives another text than
/// the one that was meant.
pub fn decode(base: &str, frame: &[u8], length: usize, expected: u64) -> anyhow::Result<String> {
    let mut decoder = read::Decoder::with_ref_prefix(Cursor::new(frame), base.as_bytes())?;
    decoder.window_log_max(*WINDOW_LOG.end())?;
    let mut text = String::with_capacity(length);
    // A byte more than expected, so that a longer text shows.
    let most = u64::try_from(length)?.saturating_add(1);
    let read = decoder.take(most).read_to_string(&mut text);
    read.context("the frame is damaged")?;
    ensure!(text.len() == length, "{} bytes, not {length}", text.len());
    ensure!(digest(&text) == expected, "the digest differs");
    Ok(text)
}

fn window_log(bytes: usize) -> u32 {
    let log = usize::BITS - bytes.leading_zeros();
    log.clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}
