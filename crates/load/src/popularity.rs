//! Random choice of the adapter that a request names.

use {rand::Rng, rand_chacha::ChaCha8Rng};

/// A Zipf distribution over adapters: the adapter of rank `r` is drawn with a probability
/// proportional to `r` to the power of `-exponent`. The assignment of ranks can change.
#[derive(Clone, Debug)]
pub struct Popularity {
    cumulative_weights: Vec<f64>,
    adapters_by_rank: Vec<usize>,
}

impl Popularity {
    /// Creates a distribution over `count` adapters with randomly assigned ranks.
    #[must_use]
    pub fn new(count: usize, exponent: f64, rng: &mut ChaCha8Rng) -> Self {
        let mut cumulative_weights = Vec::with_capacity(count);
        let mut sum = 0.0;
        for rank in 1..=count {
            #[expect(clippy::cast_precision_loss, reason = "ranks are small")]
            let weight = (rank as f64).powf(-exponent);
            sum += weight;
            cumulative_weights.push(sum);
        }
        let mut popularity = Self { cumulative_weights, adapters_by_rank: (0..count).collect() };
        popularity.shuffle(rng, 1.0);
        popularity
    }

    /// Draws an adapter.
    pub fn draw_adapter(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let drawn_weight = rng.random::<f64>() * total;
        let rank = self.cumulative_weights.partition_point(|sum| *sum < drawn_weight);
        self.adapters_by_rank[rank.min(self.adapters_by_rank.len() - 1)]
    }

    /// Gives about this share of the adapters new ranks.
    pub fn shuffle(&mut self, rng: &mut ChaCha8Rng, share: f64) {
        for i in 0..self.adapters_by_rank.len() {
            if rng.random::<f64>() < share {
                let j = rng.random_range(0..self.adapters_by_rank.len());
                self.adapters_by_rank.swap(i, j);
            }
        }
    }

    /// Reverses the ranks.
    pub fn reverse(&mut self) {
        self.adapters_by_rank.reverse();
    }
}
