//! The sum of the further attempts of all nodes, by the windows in which operators count them.

use fescuerack_core::gateway::budget::Bound;

/// The requests that callers sent to a service, and the further attempts that its servers got, each
/// with its time in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests, in the order of their times.
    pub requests: Vec<u64>,
    /// Further attempts, in the order of their times.
    pub further: Vec<u64>,
}

impl Record {
    /// Returns the largest excess over the bound in any window, which is negative if the bound holds,
    /// with the further attempts of that window and the beginning of the window. Requests count in
    /// the window, the one before it or the one half a window before it, whichever has most.
    pub fn excess(&self, bound: &Bound) -> (f64, usize, u64) {
        let within = |times: &[u64], from: u64| {
            let to = from + bound.window_ms;
            times.partition_point(|&time| time < to) - times.partition_point(|&time| time < from)
        };
        let last = self.requests.last().copied().unwrap_or_default();
        let windows = (0..last).step_by(50).map(|from| {
            let earlier = |by: u64| within(&self.requests, from.saturating_sub(by));
            let windows = [0, bound.window_ms / 2, bound.window_ms].map(earlier);
            let requests = windows.into_iter().max().unwrap_or_default();
            let further = within(&self.further, from);
            let max = bound.ratio * count(requests) + bound.slack;
            (count(further) - max, further, from)
        });
        windows
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .expect("a window")
    }

    /// Returns the further attempts from `from` on, as a part of those that the bound allows by the
    /// requests in that time and the slack of its windows.
    pub fn used(&self, bound: &Bound, from: u64) -> f64 {
        let after = |times: &[u64]| count(times.iter().filter(|&&time| time >= from).count());
        let last = self.requests.last().copied().unwrap_or_default();
        let windows = count(usize::try_from(last - from).expect("short"))
            / count(usize::try_from(bound.window_ms).expect("short"));
        after(&self.further) / (bound.ratio * after(&self.requests) + bound.slack * windows)
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("few"))
}
