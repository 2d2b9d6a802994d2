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
    /// Where callers connect.
    pub http: SocketAddr,
    /// Port at which the keepers of all hosts take links.
    pub keeper_port: u16,
    /// Shared secret of the deployment's links.
    pub secret: String,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Times allowed.
    #[serde(default)]
    pub times: TimeSettings,
    /// The journal of requests that may not be repeated.
    #[serde(default)]
    pub journal: JournalSettings,
    /// How engines are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// The audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// The program's own log.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Requests open at once.
    pub requests: u32,
    /// Requests of one caller open at once.
    pub caller_requests: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { body_bytes: 1024 * 1024, requests: 2000, caller_requests: 1000 }
    }
}

/// Times allowed, in milliseconds.
#[expect(clippy::struct_field_names, reason = "settings state their unit")]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Until a live request must have begun to run, unless it says otherwise.
    pub live_ms: u64,
    /// The same for interactive requests.
    pub interactive_ms: u64,
    /// The same for background requests.
    pub background_ms: u64,
    /// Longest deadline that a caller may ask for.
    pub deadline_max_ms: u64,
    /// From sending a request to an engine to the first part of its answer.
    pub first_part_ms: u64,
    /// Between two parts of an answer, before the connection counts as silent.
    pub silence_ms: u64,
    /// For the whole answer of a plain service.
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

/// The journal of requests that may not be repeated.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Milliseconds for which records are gathered into one append.
    pub gather_ms: u64,
    /// Longest time that a key may be valid, in milliseconds; the log must keep records longer.
    pub key_max_ms: u64,
    /// Longest time to write and read back an intent, in milliseconds.
    pub settle_ms: u64,
    /// Largest answer that is kept for repeats, in bytes.
    pub answer_bytes: usize,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self { gather_ms: 5, key_max_ms: 900_000, settle_ms: 2000, answer_bytes: 16 * 1024 }
    }
}

/// How engines are chosen.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// The policy; all but `weighted` are baselines for comparison.
    pub policy: PlacementPolicy,
    /// What the users weigh.
    pub weights: Weights,
    /// Cost of another data centre, in milliseconds.
    pub far_ms: u64,
    /// Milliseconds between heartbeats to keepers.
    pub beat_ms: u64,
    /// Milliseconds without an answer after which a keeper's engines are not used.
    pub keeper_silence_ms: u64,
    /// Milliseconds for which a crash suspect is remembered.
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
    /// Values that can't be used, as pairs of key and problem.
    #[must_use]
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let mut need = |ok: bool, key: &'static str, right: &str| {
            if !ok {
                faults.push((key, right.to_owned()));
            }
        };
        need(!self.host.is_empty(), "host", "must be the host's name in the host list");
        need(!self.secret.is_empty(), "secret", "must not be empty");
        need(self.limits.body_bytes >= 1024, "limits.body_bytes", "must be at least 1024");
        need(self.limits.requests >= 1, "limits.requests", "must be at least 1");
        need(self.limits.caller_requests >= 1, "limits.caller_requests", "must be at least 1");
        need(self.times.silence_ms >= 100, "times.silence_ms", "must be at least 100");
        need(self.times.first_part_ms >= 100, "times.first_part_ms", "must be at least 100");
        need(self.journal.key_max_ms >= 1000, "journal.key_max_ms", "must be at least 1000");
        need(self.routing.beat_ms >= 20, "routing.beat_ms", "must be at least 20");
        faults
    }
}
