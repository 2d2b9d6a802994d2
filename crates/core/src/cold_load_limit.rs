//! How many adapters may be on their way from the weight store.
//!
//! Answers the load pattern of a deployment's first minute and of shifts of demand: more loads
//! are wanted than the store serves at full speed, and no setting says how many those are. Beyond
//! that number all loads take longer in proportion, and nothing is gained. So the limit follows
//! the time that loads take, by additive increase in proportion and multiplicative decrease
//! (Chiu and Jain 1989; the steps are larger, since a day begins with its highest demand).

use crate::Time;

/// Load of an adapter from the weight store at full speed, in milliseconds.
pub(crate) const COLD_LOAD_MS: u64 = 252;

/// A load that is there by this time went at full speed, in milliseconds.
const FULL_SPEED_LOAD_MAX_MS: u64 = 276;

/// A load that is still on its way after this time did not, in milliseconds.
const SLOW_LOAD_MIN_MS: u64 = 280;

/// Lowest limit before any load was seen.
const LIMIT_INITIAL_MIN: usize = 8;

/// Lowest limit.
const LIMIT_MIN: usize = 4;

/// Highest limit; a deployment of 3,500 servers is far below.
const LIMIT_MAX: usize = 4096;

/// The limit falls once in this time, in milliseconds: the loads that began before it fell say
/// nothing of the new one.
const DECREASE_INTERVAL_MS: u64 = 500;

/// The limit rises once in this time, in milliseconds, however many loads a host has.
const INCREASE_INTERVAL_MS: u64 = 60;

/// Limit on adapters under way, over all engines, as one host sees it.
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
    /// Notes that there are `engines` engines: until loads have told more, a store is taken to
    /// serve one load at once for each two of them. Stores are sized by their deployments.
    pub fn initialize_for_engines(&mut self, engines: usize) {
        if self.last_decreased_at.is_none() && self.last_increased_at.is_none() {
            self.limit = (engines / 2).clamp(LIMIT_INITIAL_MIN, LIMIT_MAX);
        }
    }

    /// The limit.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Loads that a host may have under way that wants `mine` of them, while the other hosts want
    /// `theirs`. Shares go by what is wanted and not by what is under way elsewhere: that is known
    /// late, and hosts that all saw the same room would all fill it. Each host may have one.
    #[must_use]
    pub fn share_of_host(&self, mine: usize, theirs: usize) -> usize {
        let all = (mine + theirs).max(1);
        ((self.limit * mine + all / 2) / all).max(1)
    }

    /// True when so many are under way that a copy elsewhere is better than one more load.
    #[must_use]
    pub fn is_near_limit(&self, in_transit: usize) -> bool {
        in_transit * 4 >= self.limit * 3
    }

    /// Notes a load that is there after `took_ms`, with `in_transit` under way over all engines.
    /// `held_back` tells that this host wanted more loads than its share. Loads from an engine's
    /// own copies say nothing.
    ///
    /// The limit stays near what was seen to go at full speed: of hosts that each raised their own
    /// the one that has most under way would raise it most.
    pub fn record_finished_load(
        &mut self,
        now: Time,
        took_ms: u64,
        in_transit: usize,
        held_back: bool,
    ) {
        let from_store = (COLD_LOAD_MS..=FULL_SPEED_LOAD_MAX_MS).contains(&took_ms);
        let since_last = self.last_increased_at.map_or(u64::MAX, |rose| now.ms_since(rose));
        if from_store && held_back && since_last >= INCREASE_INTERVAL_MS {
            self.last_increased_at = Some(now);
            let raised = (self.limit + self.limit.div_ceil(8)).min(in_transit * 2);
            self.limit = raised.max(self.limit).min(LIMIT_MAX);
        }
    }

    /// Notes a load that is still under way after `since_ms`.
    pub fn record_unfinished_load(&mut self, now: Time, since_ms: u64) {
        let since_last = self.last_decreased_at.map_or(u64::MAX, |fell| now.ms_since(fell));
        if since_ms >= SLOW_LOAD_MIN_MS && since_last >= DECREASE_INTERVAL_MS {
            self.limit = (self.limit * 3 / 4).max(LIMIT_MIN);
            self.last_decreased_at = Some(now);
        }
    }
}
