//! Settings of the keeper.

use {
    egret_core::{EvictionPolicy, OwnershipTimes, SlotSettings, Weights},
    egret_runtime::{AuditSettings, LogSettings, PlatformSettings},
    faststr::FastStr,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of the keeper, as in `conf/keeper.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, as in the host list.
    pub host: FastStr,
    /// Data centre of this host.
    pub data_centre: FastStr,
    /// Address that accepts links from entries and other keepers. All keepers use the same port.
    pub links: SocketAddr,
    /// Address that serves health, metrics and status.
    pub http: SocketAddr,
    /// Secret shared by all links of the deployment.
    pub secret: String,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Ownership of engines and permits.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// Queues and tickets.
    #[serde(default)]
    pub slots: TicketSettings,
    /// Trade-offs between queueing, loading and batching.
    #[serde(default)]
    pub weights: Weights,
    /// Audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// Log of the process.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Ownership of engines and permits. All keepers must use the same values.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipSettings {
    /// Duration of the lease that a read of the log grants, in milliseconds. Orders are sent only
    /// under a valid lease.
    #[serde(rename = "right_ms")]
    pub lease_ms: u64,
    /// Margin added to each wait for another keeper's lease to end, in milliseconds.
    pub margin_ms: u64,
    /// Time without a heartbeat after which a keeper no longer counts as live, in milliseconds.
    pub suspect_ms: u64,
    /// Time for which the set of live keepers must be stable before a surplus of resources is
    /// released, in milliseconds.
    pub settle_ms: u64,
    /// Limit of keepers that this one sends heartbeats to.
    pub watched: usize,
    /// Number of records of a stream after which a snapshot is appended, so that the log's
    /// retention never drops the only record of a state.
    pub snapshot_records: u64,
    /// Time after which a snapshot of a stream is appended in any case, in milliseconds.
    pub snapshot_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3000,
            margin_ms: 300,
            suspect_ms: 2000,
            settle_ms: 10_000,
            watched: 8,
            snapshot_records: 5000,
            snapshot_ms: 600_000,
        }
    }
}

/// Queues and tickets.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TicketSettings {
    /// Limit of requests that wait for one engine.
    pub queue_max: usize,
    /// Limit of requests of one caller that wait for one engine.
    pub caller_queue_max: usize,
    /// Lifetime of a ticket that its entry does not renew, in milliseconds.
    pub ticket_ms: u64,
    /// Backoff after a failed load, in milliseconds. It doubles with each further failure.
    pub load_backoff_ms: u64,
    /// Time for which a crash suspect is kept, in milliseconds.
    pub suspect_ms: u64,
    /// Eviction policy for adapters.
    pub eviction: EvictionPolicy,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            queue_max: 256,
            caller_queue_max: 64,
            ticket_ms: 30_000,
            load_backoff_ms: 500,
            suspect_ms: 600_000,
            eviction: EvictionPolicy::ExpectedUse,
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
        require(self.ownership.lease_ms >= 1000, "ownership.right_ms", "must be at least 1000");
        require(self.ownership.margin_ms >= 50, "ownership.margin_ms", "must be at least 50");
        require(self.ownership.suspect_ms >= 500, "ownership.suspect_ms", "must be at least 500");
        require(self.ownership.watched >= 1, "ownership.watched", "must be at least 1");
        require(self.slots.queue_max >= 1, "slots.queue_max", "must be at least 1");
        require(self.slots.ticket_ms >= 2000, "slots.ticket_ms", "must be at least 2000");
        require(self.audit.interval_ms >= 100, "audit.interval_ms", "must be at least 100");
        faults
    }

    /// Returns the timing of ownership for a given load timeout.
    #[must_use]
    pub fn ownership_times(&self, load_timeout_ms: u64) -> OwnershipTimes {
        OwnershipTimes {
            lease_ms: self.ownership.lease_ms,
            margin_ms: self.ownership.margin_ms,
            load_timeout_ms,
            claim_retry_ms: self.ownership.lease_ms,
        }
    }

    /// Returns the slot settings of each engine for a given load timeout.
    #[must_use]
    pub fn slot_settings(&self, load_timeout_ms: u64) -> SlotSettings {
        SlotSettings {
            queue_max: self.slots.queue_max,
            caller_queue_max: self.slots.caller_queue_max,
            ticket_ms: self.slots.ticket_ms,
            order_timeout_ms: load_timeout_ms,
            load_backoff_ms: self.slots.load_backoff_ms,
            eviction: self.slots.eviction,
            weights: self.weights,
            ..SlotSettings::default()
        }
    }
}
