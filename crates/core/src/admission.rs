//! Bounds on the requests that one caller may have open.

use {faststr::FastStr, indexmap::IndexMap};

/// Open requests by caller. While others also have requests open, a caller gets at most
/// its even share of what the host takes; alone it may use up to `caller_max`.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    open_by_caller: IndexMap<FastStr, u32>,
    open_count: u32,
    total_max: u32,
    caller_max: u32,
}

impl CallerLimits {
    /// Limits for a host that takes `total_max` requests, `caller_max` of one caller.
    #[must_use]
    pub fn new(total_max: u32, caller_max: u32) -> Self {
        Self { open_by_caller: IndexMap::new(), open_count: 0, total_max, caller_max }
    }

    /// Requests open now.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.open_count
    }

    /// Counts a request of `caller` as open. False when it is over its share.
    pub fn try_open(&mut self, caller: &FastStr) -> bool {
        let own = self.open_by_caller.get(caller).copied().unwrap_or(0);
        let callers = self.open_by_caller.len() + usize::from(own == 0);
        let share = self.total_max / u32::try_from(callers).unwrap_or(u32::MAX).max(1);
        let limit = self.caller_max.min(share.max(1));
        if own >= limit || self.open_count >= self.total_max {
            return false;
        }
        self.open_by_caller.insert(caller.clone(), own + 1);
        self.open_count += 1;
        true
    }

    /// Counts a request of `caller` as ended.
    pub fn close(&mut self, caller: &FastStr) {
        let Some(own) = self.open_by_caller.get_mut(caller) else {
            return;
        };
        *own -= 1;
        self.open_count -= 1;
        if *own == 0 {
            self.open_by_caller.swap_remove(caller);
        }
    }
}
