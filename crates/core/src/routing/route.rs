//! Routes, services and the bounds on callers, as the operator declares them.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// What may be done with a request whose fate is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    Once,
    /// Its answer is a stream of numbered events, which another target can go on with.
    ResumableStream,
    /// Its answer is a stream of numbered events, which runs once at most.
    Stream,
}

impl RouteKind {
    /// True when a request that may have run can be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// True when the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: FastStr,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route: the requests of one host name under one path prefix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in one revision.
    pub name: FastStr,
    /// Host name that callers use.
    pub host: FastStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: FastStr,
    /// What may be done with a request whose fate is not known.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_goal_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    #[serde(rename = "pause_ms")]
    pub event_gap_max_ms: u64,
    /// Rank among the routes of a service, 0 first.
    pub urgency: u8,
    /// Targets that one request may be sent to.
    pub targets_max: u32,
    /// Where its requests go; not empty.
    pub shares: Vec<WeightedService>,
}

/// What is common to the engines of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that an engine runs at once.
    pub batch: u32,
    /// Adapters that an engine holds at most, those on their way included.
    pub adapter_slots: u32,
    /// Base models, by name.
    pub models: Vec<FastStr>,
    /// Loads of base models that the weight store starts a second, in thousandths.
    pub loads_per_s_milli: u64,
}

/// A service: a set of targets that serve the same requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in one revision.
    pub name: FastStr,
    /// Connections that one target takes from all hosts together.
    pub connections_max: u32,
    /// Set when its targets are model engines.
    pub engine: Option<EngineTraits>,
}

/// Bounds on what a caller sends and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerBounds {
    /// Bounds before the first revision is known.
    fn default() -> Self {
        Self { head_bytes: 16 * 1024, body_bytes: 4 * 1024 * 1024, head_ms: 5000, idle_ms: 15_000 }
    }
}
