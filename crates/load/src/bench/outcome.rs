//! The outcome of one run.

/// Counters and times of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    /// Requests that were the first to use their adapter. They stall unless it was prefetched.
    pub(crate) first_uses: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    /// Requests aborted by an engine crash, one count for each attempt.
    pub(crate) broken: u64,
    /// Requests that waited for an adapter load.
    pub(crate) stalled: u64,
    pub(crate) stall_ms: Vec<u64>,
    pub(crate) stalled_live: u64,
    /// Requests that started to run after their deadline.
    pub(crate) late: u64,
    pub(crate) loads: u64,
    /// Highest number of concurrent loads.
    pub(crate) in_transit_max: usize,
    pub(crate) steps: u64,
    /// Running sequences, summed over all engine steps.
    pub(crate) sequences: u64,
    /// Distinct adapters in use, summed over all engine steps.
    pub(crate) adapters: u64,
    /// Seconds from the fault until stalls and refusals are back near the rate before it.
    pub(crate) recovery_s: Option<u64>,
    pub(crate) decision_ns_sum: u64,
    pub(crate) decisions: u64,
    /// Stalls and refusals in each second of the run.
    pub(crate) stalls_by_second: Vec<u64>,
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run fit a f64")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl Outcome {
    /// Stalled or refused requests of 1000.
    pub(crate) fn stalled_or_refused_per_1000(&self) -> f64 {
        1000.0 * ratio(self.stalled + self.refused, self.requests)
    }

    /// First uses of an adapter of 1000 requests: the stalls that no policy avoids without a
    /// prefetch.
    pub(crate) fn first_uses_per_1000(&self) -> f64 {
        1000.0 * ratio(self.first_uses, self.requests)
    }

    /// Refused requests of 1000.
    pub(crate) fn refused_per_1000(&self) -> f64 {
        1000.0 * ratio(self.refused, self.requests)
    }

    /// 95th percentile of the waiting time of stalled requests, in milliseconds.
    pub(crate) fn stall_p95_ms(&self) -> u64 {
        let mut all = self.stall_ms.clone();
        all.sort_unstable();
        all.get(all.len() * 95 / 100).copied().unwrap_or(0)
    }

    /// Sequences per distinct adapter in a step.
    pub(crate) fn batch_efficiency(&self) -> f64 {
        ratio(self.sequences, self.adapters)
    }

    /// Mean duration of the choice of an engine, in nanoseconds.
    pub(crate) fn mean_decision_ns(&self) -> u64 {
        self.decision_ns_sum / self.decisions.max(1)
    }

    /// Computes the recovery time from a fault at second `fault_s`. The run has recovered when the
    /// stalls and refusals of 10 s exceed the mean of 10 s in the minute before the fault by no
    /// more than a quarter plus two.
    pub(crate) fn compute_recovery(&mut self, fault_s: usize) {
        const WINDOW_S: usize = 10;
        let before =
            &self.stalls_by_second[fault_s.saturating_sub(60).min(self.stalls_by_second.len())
                ..fault_s.min(self.stalls_by_second.len())];
        let usual = before.iter().sum::<u64>() * WINDOW_S as u64 / before.len().max(1) as u64;
        let windows = self.stalls_by_second.get(fault_s..).unwrap_or(&[]).windows(WINDOW_S);
        let has_recovered = |window: &[u64]| window.iter().sum::<u64>() <= usual + usual / 4 + 2;
        self.recovery_s =
            windows.enumerate().find(|(_, w)| has_recovered(w)).map(|(s, _)| s as u64);
    }
}
