//! Memory of the bodies of callers' requests.

/// Capacity in bytes with which a buffer begins at least.
const FIRST_BYTES: usize = 16 << 10;

/// Returns the capacity in bytes of a buffer of `capacity` that must hold `needed`, and of which at most
/// `max` will be needed. It doubles, so that bytes are copied twice at most.
#[must_use]
pub fn next_capacity(capacity: usize, needed: usize, max: usize) -> usize {
    if needed <= capacity {
        return capacity;
    }
    let doubled = (capacity * 2).max(FIRST_BYTES);
    doubled.min(max).max(needed)
}
