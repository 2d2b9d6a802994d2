//! Recent demand for each adapter.

use {
    crate::{ModelName, Time},
    indexmap::IndexMap,
};

/// Uses below this count are dropped.
const USES_KEPT_MIN: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Count {
    uses: f64,
    counted_at: Time,
}

impl Count {
    fn decayed(&self, now: Time, half_life_ms: f64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "hours in milliseconds fit a f64")]
        let elapsed = now.ms_since(self.counted_at) as f64;
        self.uses * (-elapsed / half_life_ms).exp2()
    }
}

/// Uses of each adapter, where each use counts half after a half-life.
#[derive(Clone, Debug)]
pub struct Demand {
    half_life_ms: f64,
    counts: IndexMap<ModelName, Count>,
    sweep_index: usize,
}

impl Demand {
    /// Creates the state without uses.
    #[must_use]
    pub fn new(half_life_ms: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "days in milliseconds fit a f64")]
        let half_life_ms = half_life_ms.max(1) as f64;
        Self { half_life_ms, counts: IndexMap::new(), sweep_index: 0 }
    }

    /// Counts a use of `model`.
    pub fn record_use(&mut self, now: Time, model: &ModelName) {
        let uses = self.decayed_uses(now, model) + 1.0;
        self.counts.insert(model.clone(), Count { uses, counted_at: now });
        self.sweep_one(now);
    }

    /// Number of uses of `model`, decayed by the half-life.
    #[must_use]
    pub fn decayed_uses(&self, now: Time, model: &ModelName) -> f64 {
        let count = self.counts.get(model);
        count.map_or(0.0, |c| c.decayed(now, self.half_life_ms))
    }

    /// Recent uses of `model` per millisecond.
    #[must_use]
    pub fn uses_per_ms(&self, now: Time, model: &ModelName) -> f64 {
        self.decayed_uses(now, model) * std::f64::consts::LN_2 / self.half_life_ms
    }

    /// The adapter with the most decayed uses among those that `filter` accepts, if it has at least
    /// `uses_min` of them.
    #[must_use]
    pub fn most_used(
        &self,
        now: Time,
        uses_min: f64,
        filter: impl Fn(&ModelName) -> bool,
    ) -> Option<ModelName> {
        let candidates = self.counts.iter().filter(|(model, _)| filter(model));
        let uses = candidates.map(|(model, c)| (c.decayed(now, self.half_life_ms), model));
        let best = uses.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 >= uses_min).then(|| best.1.clone())
    }

    /// Number of adapters tracked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// True when no adapter is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    // Checks one adapter per use, so that no call has to scan all adapters.
    fn sweep_one(&mut self, now: Time) {
        if self.sweep_index >= self.counts.len() {
            self.sweep_index = 0;
        }
        let Some((_, count)) = self.counts.get_index(self.sweep_index) else {
            return;
        };
        if count.decayed(now, self.half_life_ms) < USES_KEPT_MIN {
            self.counts.swap_remove_index(self.sweep_index);
        } else {
            self.sweep_index += 1;
        }
    }
}
