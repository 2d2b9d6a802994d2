//! The requests of one run, which are the same for every policy.

use {
    crate::{
        cli::{BenchArgs, Fault},
        live::LoadShape,
        popularity::Popularity,
    },
    egret_core::{PriorityClass, Time},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Adapters of each deployment.
const ADAPTER_COUNT: usize = 3000;

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) adapter: usize,
    pub(crate) class: PriorityClass,
    pub(crate) tokens: u64,
    pub(crate) deadline: Time,
}

/// The requests in the order of their arrival, drawn on demand.
#[derive(Debug)]
pub(crate) struct Trace {
    shape: LoadShape,
    rng: ChaCha8Rng,
    popularity: Popularity,
    rate: f64,
    at_ms: f64,
    pub(crate) end: Time,
    reversal_at: Option<Time>,
}

/// Requests per second of a deployment.
fn default_rate(shape: LoadShape) -> f64 {
    match shape {
        LoadShape::Meteora => 12.0,
        LoadShape::Cronometria => 20.0,
    }
}

/// Time within which a request must start to run.
fn start_timeout_ms(class: PriorityClass) -> u64 {
    match class {
        PriorityClass::Live => 5000,
        PriorityClass::Interactive => 20_000,
        PriorityClass::Background => 120_000,
    }
}

impl Trace {
    /// Creates the trace of one run.
    pub(crate) fn new(shape: LoadShape, fault: Fault, seed: u64, args: &BenchArgs) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let popularity = Popularity::new(ADAPTER_COUNT, args.exponent, &mut rng);
        let end = Time::from_millis(args.seconds * 1000);
        let halfway = Time::from_millis(args.seconds * 500);
        Self {
            shape,
            rng,
            popularity,
            rate: args.rate.unwrap_or_else(|| default_rate(shape)),
            at_ms: 0.0,
            end,
            reversal_at: (fault == Fault::Reversal).then_some(halfway),
        }
    }

    /// Draws the next request, `None` after the end.
    pub(crate) fn next(&mut self) -> Option<Arrival> {
        // exponential inter-arrival times make a Poisson process
        self.at_ms += -(1.0 - self.rng.random::<f64>()).ln() * 1000.0 / self.rate;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "milliseconds of a run fit"
        )]
        let at = Time::from_millis(self.at_ms as u64);
        if at >= self.end {
            return None;
        }
        if self.reversal_at.is_some_and(|reversal| at >= reversal) {
            self.popularity.reverse();
            self.reversal_at = None;
        }
        let class = self.shape.draw_class(&mut self.rng);
        Some(Arrival {
            at,
            adapter: self.popularity.draw_adapter(&mut self.rng),
            class,
            tokens: self.shape.draw_tokens(&mut self.rng),
            deadline: at.after_ms(start_timeout_ms(class)),
        })
    }
}
