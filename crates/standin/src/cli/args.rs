//! Arguments.

use {
    clap::{Args as ClapArgs, Parser, Subcommand},
    std::net::SocketAddr,
};

/// Stand-ins for what egretshore meets, with fault switches over HTTP.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) role: Role,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Role {
    /// A model engine with continuous batching and adapter slots
    Engine(EngineArgs),
    /// A plain service that records every effect
    Service(ServiceArgs),
    /// The platform's append-only log
    Log(LogArgs),
    /// The platform's weight store
    Store(StoreArgs),
    /// The platform's host list
    Hosts(HostsArgs),
    /// A TCP relay that can cut or silence connections
    Relay(RelayArgs),
    /// The users' platform: its store, engines and plain services
    Platform(PlatformArgs),
    /// Callers of edge hosts on that platform; stops by itself
    Callers(CallersArgs),
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct EngineArgs {
    /// Where to listen
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Weight store to load adapters from
    #[arg(long)]
    pub(crate) store: SocketAddr,

    /// Adapters held at once
    #[arg(long, default_value_t = 16)]
    pub(crate) adapter_slots: usize,

    /// Sequences run at once
    #[arg(long, default_value_t = 8)]
    pub(crate) batch: usize,

    /// Refuse orders with an old fencing number
    #[arg(long)]
    pub(crate) checks_fence: bool,

    /// Milliseconds of a step before what its sequences and adapters add
    #[arg(long, default_value_t = 4)]
    pub(crate) step_ms: u64,

    /// Microseconds that each sequence adds to a step
    #[arg(long, default_value_t = 100)]
    pub(crate) sequence_us: u64,

    /// Microseconds that each distinct adapter adds to a step
    #[arg(long, default_value_t = 500)]
    pub(crate) adapter_us: u64,

    /// Milliseconds between a crash and the next start
    #[arg(long, default_value_t = 500)]
    pub(crate) restart_ms: u64,

    /// Milliseconds by which the load report lags
    #[arg(long, default_value_t = 1000)]
    pub(crate) report_lag_ms: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ServiceArgs {
    /// Where to listen
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Milliseconds from a request to its effect
    #[arg(long, default_value_t = 5)]
    pub(crate) work_ms: u64,

    /// Milliseconds between a crash and the next start
    #[arg(long, default_value_t = 500)]
    pub(crate) restart_ms: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct LogArgs {
    /// Where to listen
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Records kept in each stream
    #[arg(long, default_value_t = 1_000_000)]
    pub(crate) keep_records: usize,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct StoreArgs {
    /// Where to listen
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Milliseconds that a load takes at full speed
    #[arg(long, default_value_t = 250)]
    pub(crate) load_ms: u64,

    /// Loads in transit up to which each goes at full speed
    #[arg(long, default_value_t = 8)]
    pub(crate) full_speed_max: usize,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct HostsArgs {
    /// Where to listen
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Milliseconds by which the list lags
    #[arg(long, default_value_t = 500)]
    pub(crate) lag_ms: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct RelayArgs {
    /// Where to take connections
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Where to pass them on
    #[arg(long)]
    pub(crate) to: SocketAddr,

    /// Where the fault switches are
    #[arg(long)]
    pub(crate) control: SocketAddr,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct PlatformArgs {
    /// Where the store listens; targets listen at free ports of the same address
    #[arg(long, default_value = "127.0.0.1:9000")]
    pub(crate) store: SocketAddr,

    /// Where the fault switches are
    #[arg(long, default_value = "127.0.0.1:9001")]
    pub(crate) control: SocketAddr,

    /// Data centres
    #[arg(long, default_value_t = 3)]
    pub(crate) data_centres: usize,

    /// Engines
    #[arg(long, default_value_t = 9)]
    pub(crate) engines: usize,

    /// Targets of the plain service
    #[arg(long, default_value_t = 3)]
    pub(crate) plain: usize,

    /// Adapters that an engine holds
    #[arg(long, default_value_t = 27)]
    pub(crate) adapter_slots: usize,

    /// Milliseconds that a load takes at full speed
    #[arg(long, default_value_t = 250)]
    pub(crate) load_ms: u64,

    /// Loads at once that go at full speed
    #[arg(long, default_value_t = 8)]
    pub(crate) full_speed: usize,

    /// Requests that an engine runs at once
    #[arg(long, default_value_t = 64)]
    pub(crate) slots: usize,

    /// Tokens that an engine's memory holds
    #[arg(long, default_value_t = 156_000)]
    pub(crate) tokens: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct CallersArgs {
    /// Hosts to send to, in turn
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) hosts: Vec<SocketAddr>,

    /// Requests a second
    #[arg(long, default_value_t = 60.0)]
    pub(crate) rate: f64,

    /// Seconds of load
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,

    /// Adapters that streams name
    #[arg(long, default_value_t = 3000)]
    pub(crate) adapters: usize,

    /// Exponent of their popularity
    #[arg(long, default_value_t = 1.2)]
    pub(crate) exponent: f64,

    /// Share of requests that go to the plain service
    #[arg(long, default_value_t = 0.25)]
    pub(crate) plain: f64,

    /// Seed of everything random
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}
