//! Routes, services and caller bounds as declared by the operator.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// What is allowed with a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of numbered events that another target can continue.
    ResumableStream,
    /// The answer is a stream of numbered events, and the request runs at most once.
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

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: FastStr,
    /// Weight among the route's services.
    pub weight: u32,
}

/// A route: the requests of one host name under one path prefix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in one revision.
    pub name: FastStr,
    /// Host name used by callers.
    pub host: FastStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: FastStr,
    /// What is allowed with a request whose outcome is unknown.
    pub kind: RouteKind,
    /// Longest time until the whole answer.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time.
    #[serde(rename = "aim_ms")]
    pub latency_goal_ms: u64,
    /// Longest gap between two events of a stream that is on time.
    #[serde(rename = "pause_ms")]
    pub event_gap_max_ms: u64,
    /// Rank among the routes of a service; 0 comes first.
    pub urgency: u8,
    /// Highest number of targets that one request is sent to.
    pub targets_max: u32,
    /// Services that get the requests; not empty.
    pub shares: Vec<WeightedService>,
    /// True if its requests need no key, although there are client accounts.
    #[serde(default)]
    pub is_public: bool,
}

impl Route {
    /// Names of the services that get the requests.
    pub fn services(&self) -> impl Iterator<Item = &FastStr> {
        self.shares.iter().map(|share| &share.service)
    }
}

/// Properties shared by the engines of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that an engine runs at once.
    pub batch: u32,
    /// Adapters that an engine holds at most, including those being loaded.
    pub adapter_slots: u32,
    /// Names of the base models.
    pub models: Vec<FastStr>,
    /// Loads of base models that the weight store starts per second, in thousandths.
    pub loads_per_s_milli: u64,
}

/// A service: a set of targets that serve the same requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in one revision.
    pub name: FastStr,
    /// Connections that one target accepts from all hosts together.
    pub connections_max: u32,
    /// Set when its targets are model engines.
    pub engine: Option<EngineTraits>,
}

/// Bounds on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_ms: u64,
    /// Longest idle time of a connection.
    pub idle_ms: u64,
}

impl Default for CallerBounds {
    /// Bounds until the first revision is known.
    fn default() -> Self {
        Self { head_bytes: 16 * 1024, body_bytes: 4 * 1024 * 1024, head_ms: 5000, idle_ms: 15_000 }
    }
}
