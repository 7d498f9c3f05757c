//! Delta compression of a text against an earlier text.
//!
//! A configuration of 2,000 routes has 0.4 MB, and most changes concern one route. Encoded as a
//! Zstandard frame with the earlier text as its prefix, such a change has a few hundred bytes, and
//! the frame of 1,400 new routes has a tenth of the size of their text. Without an earlier text the
//! frame is self-contained.

use std::io::{Cursor, Read as _};

use anyhow::{Context as _, ensure};
use xxhash_rust::xxh3::xxh3_64;
use zstd::stream::{read, write};

/// Compression level, the lowest of the library's usual range. A higher one takes longer for a
/// small change and makes the frame of a large change no smaller.
const COMPRESSION_LEVEL: i32 = 1;
/// Range of the window sizes that the format supports, as powers of two.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;

/// Returns the digest of `text`, against which a decoded text is checked.
#[must_use]
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Encodes `text` as a delta against `base`, which is empty if there is none.
///
/// # Errors
///
/// When the library fails.
pub fn encode(base: &str, text: &str) -> anyhow::Result<Vec<u8>> {
    let mut frame = Vec::new();
    let mut encoder =
        write::Encoder::with_ref_prefix(&mut frame, COMPRESSION_LEVEL, base.as_bytes())?;
    // The frame can refer only to data within the window, so both texts must fit into it.
    encoder.window_log(window_log(base.len() + text.len()))?;
    encoder.long_distance_matching(true)?;
    encoder.set_pledged_src_size(Some(u64::try_from(text.len())?))?;
    std::io::copy(&mut text.as_bytes(), &mut encoder)?;
    encoder.finish()?;
    Ok(frame)
}

/// Decodes a text of `length` bytes and checks it against its digest.
///
/// # Errors
///
/// When the frame is damaged, was encoded against another text than `base`, or does not decode to
/// the expected text.
pub fn decode(base: &str, frame: &[u8], length: usize, expected: u64) -> anyhow::Result<String> {
    let mut decoder = read::Decoder::with_ref_prefix(Cursor::new(frame), base.as_bytes())?;
    decoder.window_log_max(*WINDOW_LOG.end())?;
    let mut text = String::with_capacity(length);
    // Reads up to one byte more than expected, so that a longer text is detected.
    let limit = u64::try_from(length)?.saturating_add(1);
    let read = decoder.take(limit).read_to_string(&mut text);
    read.context("frame is damaged")?;
    ensure!(
        text.len() == length,
        "decoded text has {} bytes, not {length}",
        text.len()
    );
    ensure!(
        digest(&text) == expected,
        "digest of the decoded text does not match"
    );
    Ok(text)
}

fn window_log(bytes: usize) -> u32 {
    let log = usize::BITS - bytes.leading_zeros();
    log.clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}
