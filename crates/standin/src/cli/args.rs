//! Arguments.

use {
    crate::platform::StreamFraming,
    clap::{Args as ClapArgs, Parser, Subcommand},
    std::{net::SocketAddr, path::PathBuf},
};

/// Stand-ins for the systems around egretshore, with fault switches over HTTP.
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
    #[command(name = "store")]
    WeightStore(WeightStoreArgs),
    /// The platform's host list
    Hosts(HostsArgs),
    /// A TCP relay that can cut or silence connections
    Relay(RelayArgs),
    /// The users' platform: its metadata store, engines and plain services
    Platform(PlatformArgs),
    /// Callers of edge hosts on the simulated platform; exits after the load
    Callers(CallersArgs),
    /// An engine or plain target of the users' platform; on SIGTERM it drains and exits
    Target(TargetArgs),
    /// The metadata store of the users' platform, where such targets register
    Metastore(MetastoreArgs),
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct EngineArgs {
    /// Address to listen on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Weight store to load adapters from
    #[arg(long = "store")]
    pub(crate) weight_store: SocketAddr,

    /// Adapters loaded at once
    #[arg(long, default_value_t = 16)]
    pub(crate) adapter_slots: usize,

    /// Sequences that run at once
    #[arg(long, default_value_t = 8)]
    pub(crate) batch: usize,

    /// Refuse orders with a stale fencing token
    #[arg(long)]
    pub(crate) checks_fence: bool,

    /// Milliseconds of a step without sequences and adapters
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
    /// Address to listen on
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
    /// Address to listen on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Records kept in each stream
    #[arg(long, default_value_t = 1_000_000)]
    pub(crate) keep_records: usize,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct WeightStoreArgs {
    /// Address to listen on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Milliseconds that a load takes at full speed
    #[arg(long, default_value_t = 250)]
    pub(crate) load_ms: u64,

    /// Concurrent loads up to which each goes at full speed
    #[arg(long = "full-speed-max", default_value_t = 8)]
    pub(crate) full_speed_loads: usize,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct HostsArgs {
    /// Address to listen on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Milliseconds by which the list lags
    #[arg(long, default_value_t = 500)]
    pub(crate) lag_ms: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct RelayArgs {
    /// Address to accept connections on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Address to forward connections to
    #[arg(long)]
    pub(crate) to: SocketAddr,

    /// Address of the fault switches
    #[arg(long)]
    pub(crate) control: SocketAddr,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct PlatformArgs {
    /// Address of the metadata store; targets listen on free ports of the same IP address
    #[arg(long = "store", default_value = "127.0.0.1:9000")]
    pub(crate) metastore: SocketAddr,

    /// Address of the fault switches
    #[arg(long, default_value = "127.0.0.1:9001")]
    pub(crate) control: SocketAddr,

    /// Number of data centres
    #[arg(long, default_value_t = 3)]
    pub(crate) data_centres: usize,

    /// Number of engines
    #[arg(long, default_value_t = 9)]
    pub(crate) engines: usize,

    /// Number of engines that run software version v2 instead of v1
    #[arg(long = "upgraded", default_value_t = 0)]
    pub(crate) upgraded_engines: usize,

    /// Number of targets of the plain service
    #[arg(long = "plain", default_value_t = 3)]
    pub(crate) plain_targets: usize,

    /// Adapters that an engine holds at most
    #[arg(long, default_value_t = 27)]
    pub(crate) adapter_slots: usize,

    /// Milliseconds that a load takes at full speed
    #[arg(long, default_value_t = 250)]
    pub(crate) load_ms: u64,

    /// Concurrent loads up to which each goes at full speed
    #[arg(long = "full-speed", default_value_t = 8)]
    pub(crate) full_speed_loads: usize,

    /// Requests that an engine runs at once
    #[arg(long, default_value_t = 64)]
    pub(crate) slots: usize,

    /// Tokens that fit into an engine's memory
    #[arg(long = "tokens", default_value_t = 156_000)]
    pub(crate) memory_tokens: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct CallersArgs {
    /// Hosts to send to, in turn
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) hosts: Vec<SocketAddr>,

    /// Requests per second
    #[arg(long, default_value_t = 60.0)]
    pub(crate) rate: f64,

    /// Seconds of load
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,

    /// Number of adapters that streams draw from
    #[arg(long, default_value_t = 3000)]
    pub(crate) adapters: usize,

    /// Zipf exponent of the adapters' popularity
    #[arg(long, default_value_t = 1.2)]
    pub(crate) exponent: f64,

    /// Share of requests that go to the plain service
    #[arg(long = "plain", default_value_t = 0.25)]
    pub(crate) plain_share: f64,

    /// Key of the account that the callers belong to
    #[arg(long)]
    pub(crate) key: Option<String>,

    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct TargetArgs {
    /// Key of its entry in the registry
    #[arg(long)]
    pub(crate) id: String,

    /// Address to listen on
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Address to register, for instance of a relay; without it, the one to listen on
    #[arg(long)]
    pub(crate) reached_at: Option<SocketAddr>,

    /// Version of its software
    #[arg(long, default_value = "v1")]
    pub(crate) software_version: String,

    /// Name of its service
    #[arg(long, default_value = "engines")]
    pub(crate) service: String,

    /// Name of its data centre
    #[arg(long, default_value = "dc-1")]
    pub(crate) data_centre: String,

    /// How the ends of answers are marked
    #[arg(long, value_enum, default_value = "chunked")]
    pub(crate) framing: StreamFraming,

    /// Events of streams whose requests name no number; 0 for a plain service
    #[arg(long, default_value_t = 6)]
    pub(crate) events: u64,

    /// Milliseconds between events
    #[arg(long, default_value_t = 15)]
    pub(crate) pause_ms: u64,

    /// Adapters that are loaded from the start
    #[arg(long, value_delimiter = ',')]
    pub(crate) adapters: Vec<String>,

    /// Address of the store's control
    #[arg(long)]
    pub(crate) registry: SocketAddr,

    /// Milliseconds between heartbeats
    #[arg(long, default_value_t = 500)]
    pub(crate) heartbeat_ms: u64,

    /// Milliseconds from SIGTERM for which it serves on in any case
    #[arg(long, default_value_t = 2000)]
    pub(crate) drain_ms: u64,

    /// File to which the ids of executed requests are appended, one a line
    #[arg(long)]
    pub(crate) executed: PathBuf,

    /// Milliseconds that a request to a plain service takes in a slot; 0 if it takes none
    #[arg(long, default_value_t = 0)]
    pub(crate) work_ms: u64,

    /// Requests that it can refuse in a second for want of room while it is brittle, from SIGUSR1 to
    /// SIGUSR2
    #[arg(long, default_value_t = 6)]
    pub(crate) refusals: usize,

    /// Milliseconds from then on until no requests may wait for a slot
    #[arg(long, default_value_t = 3000)]
    pub(crate) notice_ms: u64,

    /// Be brittle from the start
    #[arg(long)]
    pub(crate) brittle: bool,

    /// File to which a line is appended when it falls over
    #[arg(long)]
    pub(crate) falls: Option<PathBuf>,
}

#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct MetastoreArgs {
    /// Address of the store
    #[arg(long)]
    pub(crate) listen: SocketAddr,

    /// Address of its control: registrations, the operator's records and fault switches
    #[arg(long)]
    pub(crate) control: SocketAddr,

    /// Milliseconds between heartbeats, three of which an entry outlasts
    #[arg(long, default_value_t = 500)]
    pub(crate) heartbeat_ms: u64,

    /// Kill all processes of its group once the process that started it has ended
    #[arg(long)]
    pub(crate) ends_group: bool,
}
