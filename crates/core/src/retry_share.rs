//! One host's share of a budget of repeated sends, which several hosts keep without communication.

use {crate::Time, std::collections::VecDeque};

/// A first send funds repeats for this part of the window. Callers move between hosts, and what they
/// have funded at the host that they left adds to what they fund at the next one.
const SAVINGS_PARTS: u64 = 14;

/// Savings are counted in this part of the window.
const BUCKET_PARTS: u64 = 200;

/// Added to the time for which a fixed repeat counts, since it may be sent late.
const FIXED_MARGIN_PARTS: u64 = 20;

/// Largest savings that do not expire, in thousandths of a repeat: hosts with few requests need more
/// than the time of their savings for a whole repeat.
const KEPT_MILLI_MAX: u64 = 1000;

/// Bounds of the budget of one service, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeated sends funded by a first send, in thousandths.
    pub ratio_milli: u64,
    /// Repeated sends allowed per window in addition, over all hosts.
    pub fixed_repeats: u64,
    /// Time from which this host may use its part of these. An earlier process of the host may have
    /// used it in the same window, so it is a window after the start of this one, unless the fixed
    /// repeats of the earlier one are known.
    pub fixed_from: Time,
}

/// Repeats that one host may send to one service.
///
/// Each first send funds a part of a repeat, once and for a short time only, so that the sum over all
/// hosts follows the requests wherever callers move, and a restarted host needs no history of it. The fixed
/// repeats are divided evenly, less one for each host: savings that do not expire take its place. A repeat
/// may have to wait for a target, so it is reserved when it is decided on and counted when it is sent.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    // oldest first
    savings: VecDeque<Savings>,
    // savings beyond their time
    kept_milli: u64,
    // times of fixed repeats, oldest first, and of those that earlier processes have sent
    fixed: VecDeque<Time>,
    earlier_fixed: VecDeque<Time>,
    // number of fixed repeats of this process
    fixed_count: u64,
    // repeats that were decided on and are not sent yet
    reserved: u64,
}

#[derive(Clone, Copy, Debug)]
struct Savings {
    bucket: u64,
    milli: u64,
}

impl RetryShare {
    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Time, bounds: &RetryBounds) {
        self.expire(now, bounds);
        let bucket = bucket_of(now, bounds);
        match self.savings.back_mut().filter(|last| last.bucket == bucket) {
            Some(last) => last.milli += bounds.ratio_milli,
            None => self.savings.push_back(Savings { bucket, milli: bounds.ratio_milli }),
        }
    }

    /// Reserves one repeat. Returns false if this host, one of `hosts`, has none left.
    pub fn try_reserve(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        let has_repeat = self.has_repeat(now, bounds, hosts);
        self.reserved += u64::from(has_repeat);
        has_repeat
    }

    /// Gives back a reserved repeat that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Counts a reserved repeat, which is sent now. Returns false if it must not be sent, since there have
    /// been too few requests since it was reserved.
    pub fn spend(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        self.release();
        self.expire(now, bounds);
        if self.saved_milli() < 1000 {
            let has_fixed = self.fixed_left(now, bounds, hosts) > 0;
            if has_fixed {
                self.fixed.push_back(now);
                self.fixed_count += 1;
            }
            return has_fixed;
        }
        let mut due = 1000 - std::mem::take(&mut self.kept_milli).min(1000);
        for savings in &mut self.savings {
            let paid = savings.milli.min(due);
            savings.milli -= paid;
            due -= paid;
        }
        true
    }

    /// True if this host, one of `hosts`, has a repeat left that is not reserved.
    pub fn has_repeat(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        self.expire(now, bounds);
        self.saved_milli() / 1000 + self.fixed_left(now, bounds, hosts) > self.reserved
    }

    /// Goes on from the fixed repeats of earlier processes, oldest first. Of several reports that with
    /// most repeats counts.
    pub fn resume(&mut self, sent_at: &[Time]) {
        if sent_at.len() > self.earlier_fixed.len() {
            self.earlier_fixed = sent_at.iter().copied().collect();
        }
    }

    /// Number of fixed repeats that this process has sent.
    #[must_use]
    pub fn fixed_count(&self) -> u64 {
        self.fixed_count
    }

    /// Times of the fixed repeats in the window, those of earlier processes first.
    pub fn fixed_repeats(&self) -> impl Iterator<Item = Time> {
        self.earlier_fixed.iter().chain(&self.fixed).copied()
    }

    fn fixed_left(&self, now: Time, bounds: &RetryBounds, hosts: u64) -> u64 {
        if now < bounds.fixed_from {
            return 0;
        }
        let hosts = hosts.max(1);
        let part = bounds.fixed_repeats.saturating_sub(hosts) / hosts;
        part.saturating_sub((self.fixed.len() + self.earlier_fixed.len()) as u64)
    }

    fn saved_milli(&self) -> u64 {
        self.kept_milli + self.savings.iter().map(|savings| savings.milli).sum::<u64>()
    }

    fn expire(&mut self, now: Time, bounds: &RetryBounds) {
        let current = bucket_of(now, bounds);
        while let Some(oldest) = self.savings.front()
            && oldest.bucket + BUCKET_PARTS / SAVINGS_PARTS < current
        {
            self.kept_milli = (self.kept_milli + oldest.milli).min(KEPT_MILLI_MAX);
            self.savings.pop_front();
        }
        let counted_ms = bounds.window_ms + bounds.window_ms / FIXED_MARGIN_PARTS;
        for fixed in [&mut self.fixed, &mut self.earlier_fixed] {
            while fixed.front().is_some_and(|sent_at| now >= sent_at.after_ms(counted_ms)) {
                fixed.pop_front();
            }
        }
    }
}

fn bucket_of(at: Time, bounds: &RetryBounds) -> u64 {
    at.as_millis() / (bounds.window_ms / BUCKET_PARTS).max(1)
}
