//! Settings of the entry.

use {
    egret_core::{PlacementPolicy, Weights},
    egret_runtime::{AuditSettings, LogSettings, PlatformSettings},
    faststr::FastStr,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of the entry, as in `conf/entry.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, as in the host list.
    pub host: FastStr,
    /// Data centre of this host.
    pub data_centre: FastStr,
    /// Address that callers connect to.
    pub http: SocketAddr,
    /// Port at which the keepers of all hosts accept links.
    pub keeper_port: u16,
    /// Secret shared by all links of the deployment.
    pub secret: String,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timeouts.
    #[serde(default)]
    pub times: TimeSettings,
    /// Journal of requests that run at most once.
    #[serde(default)]
    pub journal: JournalSettings,
    /// Selection of engines.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// Log of the process.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Size limit of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a body, in milliseconds.
    pub body_ms: u64,
    /// Memory of the host, in megabytes. The bodies of requests and the answers that are held take an
    /// eighth of it each, callers' connections a quarter.
    pub memory_mb: u64,
    /// Limit of open requests.
    pub requests: u32,
    /// Limit of open requests per caller.
    pub caller_requests: u32,
}

/// Part of the host's memory that answers which are held for their callers share.
const HELD_ANSWERS_PARTS: u64 = 8;

impl LimitSettings {
    /// Memory that all answers which are held share beyond the first part of each, in bytes.
    #[must_use]
    pub fn held_answers_bytes(&self) -> usize {
        let bytes = self.memory_mb.saturating_mul(1024 * 1024) / HELD_ANSWERS_PARTS;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            body_ms: 30_000,
            memory_mb: 512,
            requests: 2000,
            caller_requests: 1000,
        }
    }
}

/// Timeouts, in milliseconds.
#[expect(clippy::struct_field_names, reason = "settings state their unit")]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Default time within which a live request must start to run.
    pub live_ms: u64,
    /// Default time within which an interactive request must start to run.
    pub interactive_ms: u64,
    /// Default time within which a background request must start to run.
    pub background_ms: u64,
    /// Longest deadline that a caller may set.
    pub deadline_max_ms: u64,
    /// Time from sending a request to an engine until the first part of its answer.
    pub first_part_ms: u64,
    /// Time between two parts of an answer after which the connection counts as silent.
    pub silence_ms: u64,
    /// Time for the complete answer of a plain service.
    pub service_ms: u64,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            live_ms: 5000,
            interactive_ms: 20_000,
            background_ms: 120_000,
            deadline_max_ms: 3_600_000,
            first_part_ms: 5000,
            silence_ms: 3000,
            service_ms: 10_000,
        }
    }
}

/// Journal of requests that run at most once.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Time for which records are collected into one append, in milliseconds.
    pub gather_ms: u64,
    /// Longest validity of a key, in milliseconds. The log must retain records for longer.
    pub key_max_ms: u64,
    /// Timeout for appending and reading back an intent, in milliseconds.
    pub settle_ms: u64,
    /// Size limit of an answer that is stored for replay, in bytes.
    pub answer_bytes: usize,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self { gather_ms: 5, key_max_ms: 900_000, settle_ms: 2000, answer_bytes: 16 * 1024 }
    }
}

/// Selection of engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Routing policy. All policies but `weighted` are baselines for comparison.
    pub policy: PlacementPolicy,
    /// Trade-offs between queueing, loading and batching.
    pub weights: Weights,
    /// Cost added to engines in another data centre, in milliseconds.
    pub far_ms: u64,
    /// Interval of heartbeats to keepers, in milliseconds.
    pub beat_ms: u64,
    /// Time without an answer from a keeper after which its engines are not used, in milliseconds.
    pub keeper_silence_ms: u64,
    /// Time for which a crash suspect is kept, in milliseconds.
    pub suspect_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: PlacementPolicy::Weighted,
            weights: Weights::default(),
            far_ms: 1,
            beat_ms: 200,
            keeper_silence_ms: 1500,
            suspect_ms: 600_000,
        }
    }
}

impl Settings {
    /// Returns the invalid values as pairs of key and problem.
    #[must_use]
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, key: &'static str, rule: &str| {
            if !ok {
                faults.push((key, rule.to_owned()));
            }
        };
        require(!self.host.is_empty(), "host", "must be the host's name in the host list");
        require(!self.secret.is_empty(), "secret", "must not be empty");
        require(self.limits.body_bytes >= 1024, "limits.body_bytes", "must be at least 1024");
        require(self.limits.body_ms >= 1000, "limits.body_ms", "must be at least 1000");
        require(self.limits.memory_mb >= 32, "limits.memory_mb", "must be at least 32");
        require(self.limits.requests >= 1, "limits.requests", "must be at least 1");
        require(self.limits.caller_requests >= 1, "limits.caller_requests", "must be at least 1");
        require(self.times.silence_ms >= 100, "times.silence_ms", "must be at least 100");
        require(self.times.first_part_ms >= 100, "times.first_part_ms", "must be at least 100");
        require(self.journal.key_max_ms >= 1000, "journal.key_max_ms", "must be at least 1000");
        require(self.routing.beat_ms >= 20, "routing.beat_ms", "must be at least 20");
        faults
    }
}
