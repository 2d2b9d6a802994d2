//! A budget of repeated sends that several hosts share without asking each other.

use {crate::Time, std::collections::VecDeque};

/// Slots that the window is counted in; a finer count needs more memory and gains nothing.
const SLOTS: u64 = 20;

/// Bounds of the budget for one service, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeated sends allowed for each request, in thousandths.
    pub ratio_milli: u64,
    /// Repeated sends allowed in a window beside that, over all hosts.
    pub free: u64,
}

/// Repeated sends of one host to one service in the sliding window.
///
/// Each host takes its own requests' part and an even share of the free part, so that the sum
/// over all hosts stays in bounds whatever they know of each other.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    first: u64,
    repeats: u64,
}

impl RetryWindow {
    /// Counts the first send of a request.
    pub fn first(&mut self, now: Time, bounds: &RetryBounds) {
        self.slot(now, bounds).first += 1;
    }

    /// Takes one repeated send; false when the budget of this host, one of `hosts`, is spent.
    pub fn take(&mut self, now: Time, bounds: &RetryBounds, hosts: u64) -> bool {
        self.slot(now, bounds);
        let first: u64 = self.slots.iter().map(|s| s.first).sum();
        let repeats: u64 = self.slots.iter().map(|s| s.repeats).sum();
        let allowed = first * bounds.ratio_milli / 1000 + bounds.free / hosts.max(1);
        if repeats >= allowed {
            return false;
        }
        self.slot(now, bounds).repeats += 1;
        true
    }

    fn slot(&mut self, now: Time, bounds: &RetryBounds) -> &mut Slot {
        let number = now.as_millis() / (bounds.window_ms / SLOTS).max(1);
        while self.slots.front().is_some_and(|s| s.number + SLOTS < number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|s| s.number < number) {
            self.slots.push_back(Slot { number, first: 0, repeats: 0 });
        }
        self.slots.back_mut().expect("a slot was just added")
    }
}
