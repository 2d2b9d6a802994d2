//! Limits how many adapters load from the weight store at once.
//!
//! In a deployment's first minute and when demand shifts, more loads are wanted than the store
//! serves at full speed, and no setting gives that number. Beyond it all loads take longer in
//! proportion, and nothing is gained. The limit therefore follows the time that loads take, by
//! additive increase in proportion and multiplicative decrease (Chiu and Jain 1989; the steps are
//! larger, since a day begins with its highest demand).
//!
//! The time of a load at full speed differs between stores and is learned. Beyond its capacity a
//! store's load times follow the number of loads, so a decrease that leaves the times as they were
//! shows that the store was not overloaded and that these times are full speed. Shorter times are
//! found by checks ahead of the expected end.

use {crate::Time, std::collections::VecDeque};

/// Time to load an adapter from the weight store at full speed, until another one is learned.
pub(crate) const COLD_LOAD_INITIAL_MS: u64 = 252;

/// Longest time of a load at full speed, for `COLD_LOAD_INITIAL_MS`.
const FULL_SPEED_LOAD_MAX_MS: u64 = 276;

/// Time from which on an unfinished load was slowed down by others, for `COLD_LOAD_INITIAL_MS`.
const SLOW_LOAD_MIN_MS: u64 = 280;

/// Shortest time that is learned: below it, the checks themselves are a large part of the time.
const COLD_LOAD_MIN_MS: u64 = 20;

/// Longest time that is learned; an engine's report decides about longer loads.
const COLD_LOAD_MAX_MS: u64 = 3000;

/// Periods between decreases that are kept for comparison.
const PERIODS_MAX: usize = 6;

/// Loads of a period that are kept.
const PERIOD_LOADS_MAX: usize = 16;

/// Loads needed for the median time of a period.
const PERIOD_LOADS_MIN: usize = 2;

/// Largest difference between the median times of two periods that count as equal, in percent. A
/// decrease shortens the loads of an overloaded store by a quarter.
const EQUAL_TIMES_PERCENT: u64 = 10;

/// Time within which a second short load confirms a first one.
const SHORTER_LOAD_TTL_MS: u64 = 30_000;

/// Lowest limit before the first load has finished.
const LIMIT_INITIAL_MIN: usize = 8;

const LIMIT_MIN: usize = 4;

/// Highest limit; a deployment of 3,500 servers is far below.
const LIMIT_MAX: usize = 4096;

/// Shortest time between two decreases, for `COLD_LOAD_INITIAL_MS`: loads that began before a
/// decrease say nothing about the new limit.
const DECREASE_INTERVAL_MS: u64 = 500;

/// Shortest time between two decreases for fast stores: other hosts' loads are known with a delay.
const DECREASE_INTERVAL_MIN_MS: u64 = 200;

/// Time at the lowest limit after which the loads are at full speed: by then the other hosts, which
/// see the same slow loads, have reached it too.
const LIMIT_MIN_SETTLE_MS: u64 = 2500;

/// Shortest time between two increases, however many loads a host has.
const INCREASE_INTERVAL_MS: u64 = 60;

/// Limit on the loads from the weight store over all engines, as estimated by one host.
#[derive(Clone, Debug)]
pub struct ColdLoadLimit {
    limit: usize,
    last_decreased_at: Option<Time>,
    last_increased_at: Option<Time>,
    full_speed_ms: u64,
    // a load shorter than `full_speed_ms`, which a second one is to confirm
    shorter_load: Option<(Time, u64)>,
    // set when `full_speed_ms` became shorter: the store may have been overloaded then too, which
    // a decrease shows
    is_shorter_time_unchecked: bool,
    // set when `full_speed_ms` became shorter, until an early check finds a load unfinished; all
    // loads of an overloaded store would count as full speed meanwhile
    is_time_uncertain: bool,
    // oldest first; the last one is in progress
    periods: VecDeque<Period>,
}

/// The time from one decrease to the next.
#[derive(Clone, Debug)]
struct Period {
    started_at: Time,
    // true after an increase: the loads then ran under several limits
    is_raised: bool,
    // times of the loads that started in this period
    load_times_ms: Vec<u64>,
}

impl Period {
    fn median_ms(&self) -> Option<u64> {
        let mut sorted = self.load_times_ms.clone();
        sorted.sort_unstable();
        (sorted.len() >= PERIOD_LOADS_MIN).then(|| sorted[sorted.len() / 2])
    }
}

impl Default for ColdLoadLimit {
    fn default() -> Self {
        Self {
            limit: LIMIT_INITIAL_MIN,
            last_decreased_at: None,
            last_increased_at: None,
            full_speed_ms: COLD_LOAD_INITIAL_MS,
            shorter_load: None,
            is_shorter_time_unchecked: false,
            is_time_uncertain: false,
            periods: VecDeque::new(),
        }
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

    /// Time of a load at full speed, as learned so far.
    #[must_use]
    pub fn full_speed_ms(&self) -> u64 {
        self.full_speed_ms
    }

    /// Of how many loads one is checked before its expected end, which finds shorter times.
    #[must_use]
    pub fn early_check_every(&self) -> u64 {
        if self.is_time_uncertain {
            1
        } else if self.full_speed_ms > COLD_LOAD_INITIAL_MS {
            2
        } else {
            4
        }
    }

    /// Records a load that finished after `took_ms`, with `running` loads in progress over all
    /// engines. `held_back` is true when this host wanted more loads than its share. Loads from an
    /// engine's own copies are ignored; they take about a tenth of the time.
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
        if took_ms < self.full_speed_ms / 2 {
            return;
        }
        self.learn_full_speed(now, took_ms);
        if self.is_shorter_time_unchecked {
            self.decrease(now);
        }
        let at_full_speed =
            (self.full_speed_ms..=self.scaled(FULL_SPEED_LOAD_MAX_MS)).contains(&took_ms);
        let ms_since_increase = self.last_increased_at.map_or(u64::MAX, |at| now.ms_since(at));
        if at_full_speed
            && held_back
            && !self.is_time_uncertain
            && ms_since_increase >= INCREASE_INTERVAL_MS
        {
            self.last_increased_at = Some(now);
            // slow stores finish fewer loads a second, and fast ones are overshot more easily
            let load_ms =
                self.full_speed_ms.clamp(COLD_LOAD_INITIAL_MS / 2, COLD_LOAD_INITIAL_MS * 2);
            let step = (self.limit as u64 * load_ms).div_ceil(COLD_LOAD_INITIAL_MS * 8);
            let step = usize::try_from(step).unwrap_or(1);
            let raised = (self.limit + step).min(running * 2);
            self.limit = raised.max(self.limit).min(LIMIT_MAX);
            if let Some(period) = self.periods.back_mut() {
                period.is_raised = true;
            }
        }
    }

    /// Records a load that is unfinished after `elapsed_ms`.
    pub fn record_unfinished_load(&mut self, now: Time, elapsed_ms: u64) {
        if elapsed_ms < self.full_speed_ms {
            // an early check
            self.is_time_uncertain &= elapsed_ms * 10 < self.full_speed_ms * 7;
        }
        if elapsed_ms >= self.scaled(SLOW_LOAD_MIN_MS) {
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: Time) {
        let ms_since_decrease = self.last_decreased_at.map_or(u64::MAX, |at| now.ms_since(at));
        if ms_since_decrease < self.scaled(DECREASE_INTERVAL_MS).max(DECREASE_INTERVAL_MIN_MS) {
            return;
        }
        self.last_decreased_at = Some(now);
        self.is_shorter_time_unchecked = false;
        if self.periods.is_empty() {
            self.start_period(Time::ZERO);
        }
        if self.limit > LIMIT_MIN {
            self.limit = (self.limit * 3 / 4).max(LIMIT_MIN);
            self.start_period(now);
        }
    }

    // `ms` is given for loads of `COLD_LOAD_INITIAL_MS`
    fn scaled(&self, ms: u64) -> u64 {
        ms * self.full_speed_ms / COLD_LOAD_INITIAL_MS
    }

    fn start_period(&mut self, now: Time) {
        let period = Period { started_at: now, is_raised: false, load_times_ms: Vec::new() };
        self.periods.push_back(period);
        if self.periods.len() > PERIODS_MAX {
            self.periods.pop_front();
        }
    }

    fn learn_full_speed(&mut self, now: Time, took_ms: u64) {
        if took_ms < self.full_speed_ms {
            match self.shorter_load.take() {
                Some((at, ms)) if now.ms_since(at) <= SHORTER_LOAD_TTL_MS => {
                    self.full_speed_ms = ms.max(took_ms).max(COLD_LOAD_MIN_MS);
                    self.is_shorter_time_unchecked = true;
                    self.is_time_uncertain = true;
                }
                _ => self.shorter_load = Some((now, took_ms)),
            }
            return;
        }
        if self.periods.is_empty() {
            self.start_period(Time::ZERO);
        }
        let started_at_ms = now.as_millis().saturating_sub(took_ms);
        let Some(index) =
            self.periods.iter().rposition(|period| period.started_at.as_millis() <= started_at_ms)
        else {
            return;
        };
        let period = &mut self.periods[index];
        if period.load_times_ms.len() >= PERIOD_LOADS_MAX {
            period.load_times_ms.remove(0);
        }
        period.load_times_ms.push(took_ms);
        if let Some(ms) = self.times_unchanged_by_decrease(now, index)
            && ms > self.scaled(FULL_SPEED_LOAD_MAX_MS)
        {
            self.full_speed_ms = ms.min(COLD_LOAD_MAX_MS);
            self.shorter_load = None;
        }
    }

    // The shorter of the median times of the period at `index` and of the one before, if the
    // decrease between them did not shorten the loads. At the lowest limit, nothing would.
    fn times_unchanged_by_decrease(&self, now: Time, index: usize) -> Option<u64> {
        let after = &self.periods[index];
        if self.limit == LIMIT_MIN && index + 1 == self.periods.len() {
            let is_settled = now.ms_since(after.started_at) >= LIMIT_MIN_SETTLE_MS;
            return after
                .median_ms()
                .filter(|_| is_settled)
                .and(after.load_times_ms.iter().min().copied());
        }
        let before = self.periods.get(index.checked_sub(1)?)?;
        // a limit that rises and falls around the store's capacity has equal times in each period
        if before.is_raised || after.is_raised {
            return None;
        }
        let (before_ms, after_ms) = (before.median_ms()?, after.median_ms()?);
        let is_equal = before_ms.abs_diff(after_ms) * 100 <= before_ms * EQUAL_TIMES_PERCENT;
        is_equal.then(|| before_ms.min(after_ms))
    }
}
