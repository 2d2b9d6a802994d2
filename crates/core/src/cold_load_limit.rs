//! Limits how many adapters load from the weight store at once.
//!
//! In a deployment's first minute and when demand shifts, more loads are wanted than the store
//! serves at full speed, and no setting gives that number. Beyond it all loads take longer in
//! proportion, and nothing is gained. The limit therefore follows the time that loads take, by
//! additive increase in proportion and multiplicative decrease (Chiu and Jain 1989; the steps are
//! larger, since a day begins with its highest demand).

use crate::Time;

/// Time to load an adapter from the weight store at full speed.
pub(crate) const COLD_LOAD_MS: u64 = 252;

/// Longest time of a load at full speed.
const FULL_SPEED_LOAD_MAX_MS: u64 = 276;

/// Time from which on an unfinished load was slowed down by others.
const SLOW_LOAD_MIN_MS: u64 = 280;

/// Lowest limit before the first load has finished.
const LIMIT_INITIAL_MIN: usize = 8;

const LIMIT_MIN: usize = 4;

/// Highest limit; a deployment of 3,500 servers is far below.
const LIMIT_MAX: usize = 4096;

/// Shortest time between two decreases: loads that began before a decrease say nothing about the
/// new limit.
const DECREASE_INTERVAL_MS: u64 = 500;

/// Shortest time between two increases, however many loads a host has.
const INCREASE_INTERVAL_MS: u64 = 60;

/// Limit on the loads from the weight store over all engines, as estimated by one host.
#[derive(Clone, Debug)]
pub struct ColdLoadLimit {
    limit: usize,
    last_decreased_at: Option<Time>,
    last_increased_at: Option<Time>,
}

impl Default for ColdLoadLimit {
    fn default() -> Self {
        Self { limit: LIMIT_INITIAL_MIN, last_decreased_at: None, last_increased_at: None }
    }
}

impl ColdLoadLimit {
    /// Sets the limit for `engines` engines as long as no load has changed it. A store is assumed
    /// to serve one load for every two engines at once, since deployments size their stores.
    pub fn initialize_for_engines(&mut self, engines: usize) {
        if self.last_decreased_at.is_none() && self.last_increased_at.is_none() {
            self.limit = (engines / 2).clamp(LIMIT_INITIAL_MIN, LIMIT_MAX);
        }
    }

    /// Highest number of loads over all engines.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of loads that this host may run when it wants `own_wanted` of them and the other
    /// hosts want `others_wanted`, at least one. Shares follow the wanted loads and not the running
    /// ones: those are known late, and hosts that all see the same free capacity would all fill it.
    #[must_use]
    pub fn share_of_host(&self, own_wanted: usize, others_wanted: usize) -> usize {
        let wanted = (own_wanted + others_wanted).max(1);
        ((self.limit * own_wanted + wanted / 2) / wanted).max(1)
    }

    /// True when so many loads are running that a replica elsewhere is better than one more load.
    #[must_use]
    pub fn is_near_limit(&self, running: usize) -> bool {
        running * 4 >= self.limit * 3
    }

    /// Records a load that finished after `took_ms`, with `running` loads in progress over all
    /// engines. `held_back` is true when this host wanted more loads than its share. Loads from an
    /// engine's own copies are ignored.
    ///
    /// The limit stays close to the number of loads seen at full speed. If each host raised its own
    /// limit freely, the host with the most running loads would raise it most.
    pub fn record_finished_load(
        &mut self,
        now: Time,
        took_ms: u64,
        running: usize,
        held_back: bool,
    ) {
        let from_store = (COLD_LOAD_MS..=FULL_SPEED_LOAD_MAX_MS).contains(&took_ms);
        let ms_since_increase = self.last_increased_at.map_or(u64::MAX, |at| now.ms_since(at));
        if from_store && held_back && ms_since_increase >= INCREASE_INTERVAL_MS {
            self.last_increased_at = Some(now);
            let raised = (self.limit + self.limit.div_ceil(8)).min(running * 2);
            self.limit = raised.max(self.limit).min(LIMIT_MAX);
        }
    }

    /// Records a load that is unfinished after `elapsed_ms`.
    pub fn record_unfinished_load(&mut self, now: Time, elapsed_ms: u64) {
        let ms_since_decrease = self.last_decreased_at.map_or(u64::MAX, |at| now.ms_since(at));
        if elapsed_ms >= SLOW_LOAD_MIN_MS && ms_since_decrease >= DECREASE_INTERVAL_MS {
            self.limit = (self.limit * 3 / 4).max(LIMIT_MIN);
            self.last_decreased_at = Some(now);
        }
    }
}
