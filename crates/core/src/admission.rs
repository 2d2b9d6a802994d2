//! Bounds on the requests that one caller may have open.

use {faststr::FastStr, indexmap::IndexMap};

/// Open requests by caller. While others also have requests open, a caller gets at most
/// its even share of what the host takes; alone it may use up to `caller_max`.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    open: IndexMap<FastStr, u32>,
    total: u32,
    total_max: u32,
    caller_max: u32,
}

impl CallerLimits {
    /// Limits for a host that takes `total_max` requests, `caller_max` of one caller.
    #[must_use]
    pub fn new(total_max: u32, caller_max: u32) -> Self {
        Self { open: IndexMap::new(), total: 0, total_max, caller_max }
    }

    /// Requests open now.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Counts a request of `caller` as open. False when it is over its share.
    pub fn open(&mut self, caller: &FastStr) -> bool {
        let own = self.open.get(caller).copied().unwrap_or(0);
        let callers = self.open.len() + usize::from(own == 0);
        let share = self.total_max / u32::try_from(callers).unwrap_or(u32::MAX).max(1);
        let limit = self.caller_max.min(share.max(1));
        if own >= limit || self.total >= self.total_max {
            return false;
        }
        self.open.insert(caller.clone(), own + 1);
        self.total += 1;
        true
    }

    /// Counts a request of `caller` as ended.
    pub fn close(&mut self, caller: &FastStr) {
        let Some(own) = self.open.get_mut(caller) else {
            return;
        };
        *own -= 1;
        self.total -= 1;
        if *own == 0 {
            self.open.swap_remove(caller);
        }
    }
}
