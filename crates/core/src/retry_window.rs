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
    /// Time from which this host may repeat. An earlier process of the host may have used up its
    /// part in the same window, so it is a window after the start of this one, unless the sends of
    /// the earlier one are known.
    pub repeats_from: Time,
}

/// Sends of an earlier process of the host to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlierSends {
    /// When they were counted.
    pub at: Time,
    /// First sends of requests.
    pub first_sends: u64,
    /// Repeated sends.
    pub repeats: u64,
}

/// First and repeated sends of one host to one service in the sliding window.
///
/// Each host may repeat in proportion to its own requests, plus an even part of the fixed repeats.
/// The sum over all hosts thus stays within the bounds, whatever they know of each other. A process
/// that has just started goes on from the sends of the earlier one, or does not repeat for a window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
    // sends of an earlier process, oldest first
    earlier: VecDeque<Bucket>,
    // totals since the start of this process
    totals: SendTotals,
}

/// Sends of a process to one service since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendTotals {
    /// First sends of requests.
    pub first_sends: u64,
    /// Repeated sends.
    pub repeats: u64,
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
        self.totals.first_sends += 1;
    }

    /// Sends since the start of this process.
    #[must_use]
    pub fn totals(&self) -> SendTotals {
        self.totals
    }

    /// Goes on from the sends of an earlier process, oldest first. Of several reports that with most
    /// repeats counts.
    pub fn resume(&mut self, bounds: &RetryBounds, sends: &[EarlierSends]) {
        let repeats =
            |buckets: &VecDeque<Bucket>| -> u64 { buckets.iter().map(|b| b.repeats).sum() };
        let earlier: VecDeque<Bucket> = sends
            .iter()
            .map(|sends| Bucket {
                index: bucket_index(sends.at, bounds),
                first_sends: sends.first_sends,
                repeats: sends.repeats,
            })
            .collect();
        if self.earlier.is_empty() || repeats(&earlier) > repeats(&self.earlier) {
            self.earlier = earlier;
        }
    }

    /// Takes one repeated send out of the budget. Returns false when the budget of this host, one
    /// of `hosts`, is spent.
    pub fn try_take(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        let has_budget = self.has_budget(now, bounds, hosts);
        if has_budget {
            self.current_bucket(now, bounds).repeats += 1;
            self.totals.repeats += 1;
        }
        has_budget
    }

    /// True when a repeated send can be taken out of the budget of this host, one of `hosts`.
    pub fn has_budget(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        if now < bounds.repeats_from {
            return false;
        }
        self.current_bucket(now, bounds);
        let buckets = || self.earlier.iter().chain(&self.buckets);
        let first_sends: u64 = buckets().map(|bucket| bucket.first_sends).sum();
        let repeats: u64 = buckets().map(|bucket| bucket.repeats).sum();
        let fixed_part = bounds.fixed_repeats / hosts.max(1);
        let allowed = first_sends * bounds.ratio_milli / 1000 + fixed_part;
        repeats < allowed
    }

    fn current_bucket(&mut self, now: Time, bounds: &RetryBounds) -> &mut Bucket {
        let index = bucket_index(now, bounds);
        for buckets in [&mut self.earlier, &mut self.buckets] {
            while buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
                buckets.pop_front();
            }
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, first_sends: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}

fn bucket_index(at: Time, bounds: &RetryBounds) -> u64 {
    at.as_millis() / (bounds.window_ms / BUCKETS).max(1)
}
