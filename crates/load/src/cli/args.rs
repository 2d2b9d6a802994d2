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
    /// Send load to running entries, then exit
    Run(RunArgs),
    /// Compare policies by deployment and fault, in virtual time
    Bench(BenchArgs),
    /// Measure the cost of state, messages and decisions at several sizes
    #[command(name = "slopes")]
    Costs,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct RunArgs {
    /// Entries to send to, in turn, like a round-robin load balancer
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) entries: Vec<SocketAddr>,

    /// Engines whose step counters are read for the batch efficiency
    #[arg(long, value_delimiter = ',')]
    pub(crate) engines: Vec<SocketAddr>,

    /// Shape of the load
    #[arg(long, value_enum, default_value_t = LoadShape::Meteora)]
    pub(crate) shape: LoadShape,

    /// Base model that requests name
    #[arg(long = "base", default_value = "base")]
    pub(crate) base_model: String,

    /// Number of adapters that requests draw from: a0, a1, and so on, in version 1
    #[arg(long, default_value_t = 3000)]
    pub(crate) adapters: usize,

    /// Requests per second
    #[arg(long, default_value_t = 40.0)]
    pub(crate) rate: f64,

    /// Seconds of load
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,

    /// Zipf exponent of the adapters' popularity
    #[arg(long, default_value_t = 1.1)]
    pub(crate) exponent: f64,

    /// Seconds between two shifts of the popularity of a third of the adapters; 0 disables them
    #[arg(long = "shift-every", default_value_t = 0)]
    pub(crate) shift_interval_s: u64,

    /// Share of requests that are publications to a plain service, which must not be repeated
    #[arg(long = "publications", default_value_t = 0.05)]
    pub(crate) publication_share: f64,

    /// Service that receives the publications
    #[arg(long, default_value = "studio")]
    pub(crate) service: String,

    /// Seed of all random draws
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
    /// An engine is lost permanently half-way
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

    /// Number of seeds, one run each; medians and spreads are printed
    #[arg(long, default_value_t = 5)]
    pub(crate) seeds: u64,

    /// Seconds of virtual time in each run
    #[arg(long, default_value_t = 600)]
    pub(crate) seconds: u64,

    /// Zipf exponent of the adapters' popularity
    #[arg(long, default_value_t = 1.1)]
    pub(crate) exponent: f64,

    /// Requests per second, overriding the shape's default
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
            base_model: args.base_model.clone(),
            adapters: args.adapters,
            rate: args.rate,
            seconds: args.seconds,
            exponent: args.exponent,
            shift_interval_s: args.shift_interval_s,
            publication_share: args.publication_share,
            service: args.service.clone(),
            seed: args.seed,
        }
    }
}
