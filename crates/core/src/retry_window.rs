//! A budget of repeated sends that several hosts share without communication.

use {crate::Time, std::collections::VecDeque};

/// Buckets that the window is counted in; a finer count needs more memory and gains nothing.
const BUCKETS: u64 = 20;

/// Bounds of the budget of one service, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeated sends allowed per request, in thousandths.
    pub ratio_milli: u64,
    /// Repeated sends allowed per window in addition, over all hosts.
    pub fixed_repeats: u64,
    /// Time from which this host may use its part of the fixed repeats. An earlier process of the
    /// host may have used it in the same window, so it is a window after the start of this one.
    pub fixed_from: Time,
}

/// First and repeated sends of one host to one service in the sliding window.
///
/// Each host may repeat in proportion to its own requests, plus an even part of the fixed repeats.
/// The sum over all hosts thus stays within the bounds, whatever they know of each other and of
/// their earlier processes.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    first_sends: u64,
    repeats: u64,
}

impl RetryWindow {
    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Time, bounds: &RetryBounds) {
        self.current_bucket(now, bounds).first_sends += 1;
    }

    /// Takes one repeated send out of the budget. Returns false when the budget of this host, one
    /// of `hosts`, is spent.
    pub fn try_take(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        let has_budget = self.has_budget(now, bounds, hosts);
        if has_budget {
            self.current_bucket(now, bounds).repeats += 1;
        }
        has_budget
    }

    /// True when a repeated send can be taken out of the budget of this host, one of `hosts`.
    pub fn has_budget(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        self.current_bucket(now, bounds);
        let first_sends: u64 = self.buckets.iter().map(|bucket| bucket.first_sends).sum();
        let repeats: u64 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let fixed_part =
            if now < bounds.fixed_from { 0 } else { bounds.fixed_repeats / hosts.max(1) };
        let allowed = first_sends * bounds.ratio_milli / 1000 + fixed_part;
        repeats < allowed
    }

    fn current_bucket(&mut self, now: Time, bounds: &RetryBounds) -> &mut Bucket {
        let index = now.as_millis() / (bounds.window_ms / BUCKETS).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, first_sends: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
