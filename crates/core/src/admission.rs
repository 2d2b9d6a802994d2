//! Limits the open requests of each caller.

use {faststr::FastStr, indexmap::IndexMap};

/// Open requests by caller. While other callers have open requests too, a caller gets at most an
/// even share of the host's total; otherwise it may use up to `caller_max`.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    open_by_caller: IndexMap<FastStr, u32>,
    open_count: u32,
    total_max: u32,
    caller_max: u32,
}

impl CallerLimits {
    /// Creates limits for a host that takes `total_max` requests, and `caller_max` of one caller.
    #[must_use]
    pub fn new(total_max: u32, caller_max: u32) -> Self {
        Self { open_by_caller: IndexMap::new(), open_count: 0, total_max, caller_max }
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.open_count
    }

    /// Opens a request of `caller`. Returns false when the caller or the host is at its limit.
    pub fn try_open(&mut self, caller: &FastStr) -> bool {
        let caller_open = self.open_by_caller.get(caller).copied().unwrap_or(0);
        let callers = self.open_by_caller.len() + usize::from(caller_open == 0);
        let share = self.total_max / u32::try_from(callers).unwrap_or(u32::MAX).max(1);
        let limit = self.caller_max.min(share.max(1));
        if caller_open >= limit || self.open_count >= self.total_max {
            return false;
        }
        self.open_by_caller.insert(caller.clone(), caller_open + 1);
        self.open_count += 1;
        true
    }

    /// Closes a request of `caller`.
    pub fn close(&mut self, caller: &FastStr) {
        let Some(caller_open) = self.open_by_caller.get_mut(caller) else {
            return;
        };
        *caller_open -= 1;
        self.open_count -= 1;
        if *caller_open == 0 {
            self.open_by_caller.swap_remove(caller);
        }
    }
}
