//! The plan of a load: its shape, size and seed.

use {
    clap::ValueEnum, egret_core::PriorityClass, rand::Rng, rand_chacha::ChaCha8Rng,
    std::net::SocketAddr,
};

/// Share of live requests in Meteora's load.
const LIVE_SHARE: f64 = 0.3;

/// Share of interactive requests in Cronometría's load.
const INTERACTIVE_SHARE: f64 = 0.1;

/// The deployment whose load is simulated.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum LoadShape {
    /// Weather graphics: live and interactive requests, short answers.
    Meteora,
    /// Calibration certificates: mostly background requests, longer answers.
    Cronometria,
}

impl LoadShape {
    /// Draws the priority class of a request.
    pub(crate) fn draw_class(self, rng: &mut ChaCha8Rng) -> PriorityClass {
        let draw: f64 = rng.random();
        match self {
            Self::Meteora if draw < LIVE_SHARE => PriorityClass::Live,
            Self::Meteora => PriorityClass::Interactive,
            Self::Cronometria if draw < INTERACTIVE_SHARE => PriorityClass::Interactive,
            Self::Cronometria => PriorityClass::Background,
        }
    }

    /// Draws the number of tokens of an answer.
    pub(crate) fn draw_tokens(self, rng: &mut ChaCha8Rng) -> u64 {
        match self {
            Self::Meteora => rng.random_range(8..40),
            Self::Cronometria => rng.random_range(20..80),
        }
    }

    /// The name used in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Meteora => "meteora",
            Self::Cronometria => "cronometria",
        }
    }
}

/// A run of load. The same plan always sends the same requests at the same times.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entries to send to, in turn.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins whose step counters are read for the batch efficiency.
    pub engines: Vec<SocketAddr>,
    /// Shape of the load.
    pub shape: LoadShape,
    /// Base model that requests name.
    pub base_model: String,
    /// Number of adapters that requests draw from.
    pub adapters: usize,
    /// Requests per second.
    pub rate: f64,
    /// Seconds of load.
    pub seconds: u64,
    /// Zipf exponent of the adapters' popularity.
    pub exponent: f64,
    /// Seconds between two shifts of the popularity; 0 disables them.
    pub shift_interval_s: u64,
    /// Share of requests that are publications to a plain service.
    pub publication_share: f64,
    /// Service that receives the publications.
    pub service: String,
    /// Seed of all random draws.
    pub seed: u64,
}
