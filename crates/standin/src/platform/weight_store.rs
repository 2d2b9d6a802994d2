//! The weight store that all engines load adapters from.

use {
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// How many times faster an engine loads from its local copy.
const LOCAL_COPY_SPEEDUP: u32 = 10;

/// A weight store. Beyond `full_speed_loads` concurrent loads, a new load takes proportionally
/// longer.
#[derive(Debug)]
pub struct WeightStore {
    load_time: Duration,
    full_speed_loads: usize,
    transfers: Mutex<Transfers>,
}

#[derive(Debug, Default)]
struct Transfers {
    end_times: Vec<Instant>,
    started: u64,
    concurrent_max: usize,
}

impl WeightStore {
    /// Creates a store whose loads take `load_time` up to `full_speed_loads` concurrent ones.
    #[must_use]
    pub fn new(load_time: Duration, full_speed_loads: usize) -> Self {
        Self { load_time, full_speed_loads: full_speed_loads.max(1), transfers: Mutex::default() }
    }

    /// Starts a load at `now` and returns when it ends. A load from a local copy bypasses the
    /// store.
    pub fn start_load(&self, now: Instant, has_copy: bool) -> Instant {
        if has_copy {
            return now + self.load_time / LOCAL_COPY_SPEEDUP;
        }
        let mut transfers = self.transfers.lock();
        transfers.end_times.retain(|end| *end > now);
        transfers.started += 1;
        let concurrent = transfers.end_times.len() + 1;
        transfers.concurrent_max = transfers.concurrent_max.max(concurrent);
        let shares = u32::try_from(concurrent.max(self.full_speed_loads)).unwrap_or(u32::MAX);
        let end = now
            + self.load_time * shares / u32::try_from(self.full_speed_loads).unwrap_or(u32::MAX);
        transfers.end_times.push(end);
        end
    }

    /// The number of loads started, and the highest number of concurrent loads.
    #[must_use]
    pub fn load_counts(&self) -> (u64, usize) {
        let transfers = self.transfers.lock();
        (transfers.started, transfers.concurrent_max)
    }
}
