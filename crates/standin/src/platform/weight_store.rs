//! The weight store that all engines load from.

use {
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Loads from an engine's own copy take this part of the time.
const LOCAL_COPY_SPEEDUP: u32 = 10;

/// A weight store. Beyond `full_speed` loads at once each takes longer in proportion.
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
    /// A store from which an adapter takes `load` while no more than `full_speed` are under way.
    #[must_use]
    pub fn new(load: Duration, full_speed: usize) -> Self {
        Self { load_time: load, full_speed_loads: full_speed.max(1), transfers: Mutex::default() }
    }

    /// Begins a load at `now`; when it is there. `copy` tells that the engine has a copy.
    pub fn start_load(&self, now: Instant, copy: bool) -> Instant {
        if copy {
            return now + self.load_time / LOCAL_COPY_SPEEDUP;
        }
        let mut under_way = self.transfers.lock();
        under_way.end_times.retain(|end| *end > now);
        under_way.started += 1;
        let at_once = under_way.end_times.len() + 1;
        under_way.concurrent_max = under_way.concurrent_max.max(at_once);
        let parts = u32::try_from(at_once.max(self.full_speed_loads)).unwrap_or(u32::MAX);
        let end =
            now + self.load_time * parts / u32::try_from(self.full_speed_loads).unwrap_or(u32::MAX);
        under_way.end_times.push(end);
        end
    }

    /// Loads that were begun, and the most that were under way at once.
    #[must_use]
    pub fn load_counts(&self) -> (u64, usize) {
        let under_way = self.transfers.lock();
        (under_way.started, under_way.concurrent_max)
    }
}
