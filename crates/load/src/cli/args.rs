//! Arguments.

use {
    crate::live::{LoadPlan, LoadShape},
    clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum},
    std::net::SocketAddr,
};

/// Sends seeded load to a deployment, or compares policies in virtual time.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Send load to running entries; stops by itself
    Run(RunArgs),
    /// Compare policies by deployment and fault, in virtual time
    Bench(BenchArgs),
    /// Measure what state, messages and decisions cost, at several sizes
    Slopes,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct RunArgs {
    /// Entries to send to, in turn, as a balancer would
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) entries: Vec<SocketAddr>,

    /// Engines whose steps are counted for the batch efficiency
    #[arg(long, value_delimiter = ',')]
    pub(crate) engines: Vec<SocketAddr>,

    /// Shape of the load
    #[arg(long, value_enum, default_value_t = LoadShape::Meteora)]
    pub(crate) shape: LoadShape,

    /// Base model that requests name
    #[arg(long, default_value = "base")]
    pub(crate) base: String,

    /// Adapters that requests name: a0, a1, and so on, in version 1
    #[arg(long, default_value_t = 3000)]
    pub(crate) adapters: usize,

    /// Requests a second
    #[arg(long, default_value_t = 40.0)]
    pub(crate) rate: f64,

    /// Seconds of load
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,

    /// Exponent of the popularity
    #[arg(long, default_value_t = 1.1)]
    pub(crate) exponent: f64,

    /// Seconds after which popularity shifts for a third of the adapters; 0 for never
    #[arg(long, default_value_t = 0)]
    pub(crate) shift_every: u64,

    /// Share of requests that go to a plain service and may not be repeated
    #[arg(long, default_value_t = 0.05)]
    pub(crate) publications: f64,

    /// Service for those
    #[arg(long, default_value = "studio")]
    pub(crate) service: String,

    /// Seed of everything random
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,

    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Fault {
    /// No fault
    None,
    /// Popularity is reversed half-way
    Reversal,
    /// An engine restarts cold half-way
    EngineRestart,
    /// An engine is lost for good half-way
    EngineLost,
    /// A third of the engines is lost half-way
    DataCentreLost,
    /// The store takes ten times as long in the third quarter
    StoreSlow,
    /// Half of the keepers are lost half-way: their engines can't load for a while
    KeepersLost,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct BenchArgs {
    /// Shapes to compare
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [LoadShape::Meteora, LoadShape::Cronometria])]
    pub(crate) shapes: Vec<LoadShape>,

    /// Faults to compare
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Fault::None])]
    pub(crate) faults: Vec<Fault>,

    /// Seeds, each a run of its own; medians and spreads are printed
    #[arg(long, default_value_t = 5)]
    pub(crate) seeds: u64,

    /// Seconds of virtual time in each run
    #[arg(long, default_value_t = 600)]
    pub(crate) seconds: u64,

    /// Exponent of the popularity
    #[arg(long, default_value_t = 1.1)]
    pub(crate) exponent: f64,

    /// Requests a second in place of the shape's own
    #[arg(long)]
    pub(crate) rate: Option<f64>,

    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
}

impl From<&RunArgs> for LoadPlan {
    fn from(args: &RunArgs) -> Self {
        Self {
            entries: args.entries.clone(),
            engines: args.engines.clone(),
            shape: args.shape,
            base_model: args.base.clone(),
            adapters: args.adapters,
            rate: args.rate,
            seconds: args.seconds,
            exponent: args.exponent,
            shift_interval_s: args.shift_every,
            publication_share: args.publications,
            service: args.service.clone(),
            seed: args.seed,
        }
    }
}
