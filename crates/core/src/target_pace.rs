//! Learns how fast each target works compared with the others of its service.
//!
//! Load pattern: a third of the engines takes 2.4 times as long for the same work as the others, and
//! some become five times slower for a while. Shares by the number of requests then keep the slow
//! ones overloaded. The pace of a target is the time that it takes for its work, divided by the
//! median of its service: 2 is half as fast.
//!
//! A larger batch makes each step longer, and a slow target has a larger batch, so times alone would
//! overstate its pace. How much times grow with the number of running requests is estimated from the
//! differences within each target, not from those between targets.

use {crate::Time, faststr::FastStr, indexmap::IndexMap, std::sync::Arc};

/// Pace of a target of which nothing is known, in thousandths.
pub const PACE_EVEN_MILLI: u64 = 1000;

/// Paces in this range, in thousandths, count as even, so that noise does not move load.
const EVEN_RANGE_MILLI: std::ops::RangeInclusive<u64> = 667..=1500;

/// Bounds of a pace, in thousandths.
const PACE_MIN_MILLI: f64 = 250.0;
const PACE_MAX_MILLI: f64 = 8000.0;

/// Time after the last sample from which on a pace decays, and time for which it decays.
const FRESH_MS: u64 = 10_000;
const DECAY_MS: u64 = 10_000;

/// Time after which a target without samples is forgotten.
const FORGET_MS: u64 = 600_000;

/// Weight of a full stream sample in the averages of a target.
const STREAM_WEIGHT: f64 = 0.1;

/// Weight of a plain answer. Their durations differ by what they ask for, by as much as their mean.
const PLAIN_WEIGHT: f64 = 0.005;

/// Weight of four full stream samples, and of 200 plain answers, from which on a pace is used.
const STREAM_WEIGHT_MIN: f64 = 0.34;
const PLAIN_WEIGHT_MIN: f64 = 0.63;

/// Time between events of which one full stream sample consists; shorter ones weigh less.
pub const STREAM_SAMPLE_MS: u64 = 600;

/// Targets of a service that need samples before a median of them is used.
const TARGETS_MIN: usize = 3;

/// A target counts as slowed when its pace exceeds its usual one this many times, in tenths, and
/// until it is below the second value.
const SLOWED_FROM_TENTHS: f64 = 20.0;
const SLOWED_UNTIL_TENTHS: f64 = 15.0;

/// Time constant with which the usual pace follows, and the one while a target is slowed.
const USUAL_MS: f64 = 60_000.0;
const USUAL_SLOWED_MS: f64 = 300_000.0;

/// A row is written when the pace differs from even by more than this, in thousandths.
const ROW_DIFFERENCE_MILLI: u64 = 200;

/// A row is written again when the pace has changed by more than one part in this many.
const ROW_CHANGE_PARTS: u64 = 10;

/// What a sample was taken from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PaceSource {
    /// The time between events of a stream.
    Events,
    /// The duration of a plain answer.
    PlainAnswer,
}

/// One measurement at a target.
#[derive(Clone, Copy, Debug)]
pub struct PaceSample {
    /// What it was taken from.
    pub source: PaceSource,
    /// Milliseconds for one event, or for the answer.
    pub ms: f64,
    /// Milliseconds over which the events were counted.
    pub span_ms: u64,
    /// Requests running at the target.
    pub running: u64,
}

/// Pace of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetPace {
    /// Pace in thousandths: 2000 takes twice as long as the median.
    pub milli: u64,
    /// True when it has become over twice slower than it usually is.
    pub is_slowed: bool,
}

impl TargetPace {
    /// Pace of a target of which nothing is known.
    pub const EVEN: Self = Self { milli: PACE_EVEN_MILLI, is_slowed: false };

    // decays to even between `FRESH_MS` and `FRESH_MS + DECAY_MS`
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // within the bounds
    fn decayed(ratio_milli: f64, is_slowed: bool, age_ms: u64) -> Self {
        let left = DECAY_MS.saturating_sub(age_ms.saturating_sub(FRESH_MS));
        let ratio = ratio_milli.clamp(PACE_MIN_MILLI, PACE_MAX_MILLI);
        #[allow(clippy::cast_precision_loss)]
        let milli = 1000.0 + (ratio - 1000.0) * left as f64 / DECAY_MS as f64;
        Self { milli: milli.round() as u64, is_slowed: is_slowed && left == DECAY_MS }
    }

    fn is_even(self) -> bool {
        EVEN_RANGE_MILLI.contains(&self.milli) && !self.is_slowed
    }
}

/// Paces that differ from even, by target.
pub type UnevenPaces = Arc<IndexMap<FastStr, TargetPace>>;

// exponentially weighted averages over the samples of a target
#[derive(Clone, Copy, Debug, Default)]
struct Averages {
    weight: f64,
    ms: f64,
    running: f64,
    running_variance: f64,
    // covariance of the running requests and the time, over the mean time
    relative_covariance: f64,
    sampled_at: Time,
    // in thousandths; zero before the first one
    pace: f64,
    usual_pace: f64,
    is_slowed: bool,
    refreshed_at: Time,
}

impl Averages {
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, now: Time, sample: &PaceSample) {
        let part = match sample.source {
            PaceSource::Events => {
                STREAM_WEIGHT * (sample.span_ms as f64 / STREAM_SAMPLE_MS as f64).min(1.0)
            }
            PaceSource::PlainAnswer => PLAIN_WEIGHT,
        };
        // the first samples are averaged evenly
        self.weight = self.weight * (1.0 - part) + part;
        let part = part / self.weight;
        let (ms_off, running_off) = (sample.ms - self.ms, sample.running as f64 - self.running);
        if part < 1.0 && self.ms > 0.0 {
            let keep = 1.0 - part;
            self.running_variance = keep * (self.running_variance + part * running_off.powi(2));
            self.relative_covariance =
                keep * (self.relative_covariance + part * running_off * ms_off / self.ms);
        }
        self.ms += part * ms_off;
        self.running += part * running_off;
        self.sampled_at = now;
    }

    fn has_enough(&self, source: PaceSource) -> bool {
        let weight_min = match source {
            PaceSource::Events => STREAM_WEIGHT_MIN,
            PaceSource::PlainAnswer => PLAIN_WEIGHT_MIN,
        };
        self.weight >= weight_min && self.ms > 0.0
    }

    #[allow(clippy::cast_precision_loss)]
    fn refresh(&mut self, now: Time, pace: f64) {
        self.pace = pace;
        if self.usual_pace == 0.0 {
            self.usual_pace = pace;
        }
        let tenths = pace * 10.0 / self.usual_pace;
        self.is_slowed =
            tenths > SLOWED_FROM_TENTHS || self.is_slowed && tenths > SLOWED_UNTIL_TENTHS;
        let constant_ms = if self.is_slowed { USUAL_SLOWED_MS } else { USUAL_MS };
        let part = (now.ms_since(self.refreshed_at) as f64 / constant_ms).min(1.0);
        if self.refreshed_at > Time::ZERO {
            self.usual_pace += part * (pace - self.usual_pace);
        }
        self.refreshed_at = now;
    }
}

#[derive(Clone, Debug)]
struct RowPace {
    writer: FastStr,
    pace: TargetPace,
    written_at: Time,
}

/// Paces of all targets, as known to one host.
#[derive(Debug, Default)]
pub struct TargetPaces {
    groups: IndexMap<(FastStr, PaceSource), IndexMap<FastStr, Averages>>,
    // rows of other hosts
    rows: IndexMap<FastStr, RowPace>,
    // paces in the rows of this host
    written: IndexMap<FastStr, TargetPace>,
    uneven: UnevenPaces,
}

impl TargetPaces {
    /// Records a sample of a target. Targets are compared with those that do the same `work`.
    pub fn record(&mut self, now: Time, work: &FastStr, target: &FastStr, sample: &PaceSample) {
        let group = self.groups.entry((work.clone(), sample.source)).or_default();
        group.entry(target.clone()).or_default().add(now, sample);
    }

    /// Records the pace in a row of another host.
    pub fn apply_row(
        &mut self,
        writer: &FastStr,
        target: &FastStr,
        pace: TargetPace,
        written_at: Time,
    ) {
        self.rows.insert(target.clone(), RowPace { writer: writer.clone(), pace, written_at });
    }

    /// Removes the pace of a row that `writer` has removed.
    pub fn remove_row(&mut self, writer: &FastStr, target: &str) {
        // another host may have become the target's aggregator meanwhile
        if self.rows.get(target).is_some_and(|row| row.writer == *writer) {
            self.rows.swap_remove(target);
        }
    }

    /// Computes all paces from the samples.
    pub fn refresh(&mut self, now: Time) {
        let mut uneven: IndexMap<FastStr, TargetPace> = IndexMap::new();
        self.rows.retain(|_, row| now.ms_since(row.written_at) < FRESH_MS + DECAY_MS);
        for (target, row) in &self.rows {
            let age_ms = now.ms_since(row.written_at);
            #[allow(clippy::cast_precision_loss)]
            let ratio = row.pace.milli as f64;
            let pace = TargetPace::decayed(ratio, row.pace.is_slowed, age_ms);
            uneven.insert(target.clone(), pace);
        }
        for ((_, source), group) in &mut self.groups {
            group.retain(|_, averages| now.ms_since(averages.sampled_at) < FORGET_MS);
            refresh_group(now, *source, group);
        }
        self.groups.retain(|_, group| !group.is_empty());
        for (target, pace) in self.own_paces(now) {
            uneven.insert(target, pace);
        }
        uneven.retain(|_, pace| !pace.is_even());
        if *self.uneven != uneven {
            self.uneven = Arc::new(uneven);
        }
    }

    // paces from this host's own samples; those from events count more than those from answers
    fn own_paces(&self, now: Time) -> IndexMap<FastStr, TargetPace> {
        let mut paces = IndexMap::new();
        for source in [PaceSource::PlainAnswer, PaceSource::Events] {
            let groups = self.groups.iter().filter(|((_, of), _)| *of == source);
            for (target, averages) in groups.flat_map(|(_, group)| group) {
                let age_ms = now.ms_since(averages.sampled_at);
                if averages.pace > 0.0 && age_ms < FRESH_MS {
                    let pace = TargetPace::decayed(averages.pace, averages.is_slowed, age_ms);
                    paces.insert(target.clone(), pace);
                } else if averages.pace > 0.0
                    && age_ms < FRESH_MS + DECAY_MS
                    && !self.rows.contains_key(target)
                {
                    let pace = TargetPace::decayed(averages.pace, averages.is_slowed, age_ms);
                    paces.entry(target.clone()).or_insert(pace);
                }
            }
        }
        paces
    }

    /// The paces outside of 0.67 to 1.5 as of the last `refresh`; all others count as even.
    #[must_use]
    pub fn uneven(&self) -> UnevenPaces {
        self.uneven.clone()
    }

    /// The paces from this host's samples that are told to other hosts. They stay as told before
    /// until they have changed enough.
    pub fn rows_to_write(&mut self, now: Time) -> IndexMap<FastStr, TargetPace> {
        let mut rows = IndexMap::new();
        for (target, pace) in self.own_paces(now) {
            if pace.milli.abs_diff(PACE_EVEN_MILLI) <= ROW_DIFFERENCE_MILLI && !pace.is_slowed {
                continue;
            }
            let before = self.written.get(&target).filter(|before| {
                pace.milli.abs_diff(before.milli) * ROW_CHANGE_PARTS <= before.milli
                    && pace.is_slowed == before.is_slowed
            });
            rows.insert(target, before.copied().unwrap_or(pace));
        }
        self.written.clone_from(&rows);
        rows
    }
}

// the pace of each target is its time, at the same number of running requests, over the median
fn refresh_group(now: Time, source: PaceSource, group: &mut IndexMap<FastStr, Averages>) {
    let fresh = |averages: &&Averages| {
        averages.has_enough(source) && now.ms_since(averages.sampled_at) < FRESH_MS + DECAY_MS
    };
    let (mut covariance, mut variance) = (0.0, 1.0);
    for averages in group.values().filter(fresh) {
        covariance += averages.relative_covariance;
        variance += averages.running_variance;
    }
    // growth of the time for one more request, over the time at the mean number of requests
    let relative_growth = (covariance / variance).clamp(0.0, 0.2);
    let idle_ms = |averages: &Averages| {
        // limited, since a line through the means says little about an idle target
        averages.ms * (1.0 - (relative_growth * averages.running).min(0.6))
    };
    let mut times: Vec<f64> = group.values().filter(fresh).map(idle_ms).collect();
    if times.len() < TARGETS_MIN {
        return;
    }
    times.sort_unstable_by(f64::total_cmp);
    let median_ms = times[times.len() / 2];
    for averages in group.values_mut() {
        if fresh(&&*averages) && median_ms > 0.0 {
            let pace =
                (idle_ms(averages) / median_ms * 1000.0).clamp(PACE_MIN_MILLI, PACE_MAX_MILLI);
            averages.refresh(now, pace);
        }
    }
}
