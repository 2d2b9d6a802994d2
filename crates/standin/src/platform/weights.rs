//! The weight store that all engines load from.

use {
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Loads from an engine's own copy take this part of the time.
const COPY_PART: u32 = 10;

/// A weight store. Beyond `full_speed` loads at once each takes longer in proportion.
#[derive(Debug)]
pub struct Weights {
    load: Duration,
    full_speed: usize,
    under_way: Mutex<UnderWay>,
}

#[derive(Debug, Default)]
struct UnderWay {
    ends: Vec<Instant>,
    begun: u64,
    most: usize,
}

impl Weights {
    /// A store from which an adapter takes `load` while no more than `full_speed` are under way.
    #[must_use]
    pub fn new(load: Duration, full_speed: usize) -> Self {
        Self { load, full_speed: full_speed.max(1), under_way: Mutex::default() }
    }

    /// Begins a load at `now`; when it is there. `copy` tells that the engine has a copy.
    pub fn begin(&self, now: Instant, copy: bool) -> Instant {
        if copy {
            return now + self.load / COPY_PART;
        }
        let mut under_way = self.under_way.lock();
        under_way.ends.retain(|end| *end > now);
        under_way.begun += 1;
        let at_once = under_way.ends.len() + 1;
        under_way.most = under_way.most.max(at_once);
        let parts = u32::try_from(at_once.max(self.full_speed)).unwrap_or(u32::MAX);
        let end = now + self.load * parts / u32::try_from(self.full_speed).unwrap_or(u32::MAX);
        under_way.ends.push(end);
        end
    }

    /// Loads that were begun, and the most that were under way at once.
    #[must_use]
    pub fn loads(&self) -> (u64, usize) {
        let under_way = self.under_way.lock();
        (under_way.begun, under_way.most)
    }
}
