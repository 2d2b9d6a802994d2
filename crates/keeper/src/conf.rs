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
    /// Where links from entries and other keepers are taken. Other keepers use the same port.
    pub links: SocketAddr,
    /// Where health, metrics and status are served.
    pub http: SocketAddr,
    /// Shared secret of the deployment's links.
    pub secret: String,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Ownership of engines and permits.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// Queues and tickets.
    #[serde(default)]
    pub slots: TicketSettings,
    /// What the users weigh.
    #[serde(default)]
    pub weights: Weights,
    /// The audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// The program's own log.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Ownership of engines and permits. All keepers must agree on these.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipSettings {
    /// Milliseconds that a read of the log gives the right to order.
    pub right_ms: u64,
    /// Milliseconds added to each wait for another's right to end.
    pub margin_ms: u64,
    /// Milliseconds of silence after which a keeper is no longer counted as live.
    pub suspect_ms: u64,
    /// Milliseconds without change in the view of the keepers before a surplus is given up.
    pub settle_ms: u64,
    /// Keepers that this one sends heartbeats to, at most.
    pub watched: usize,
    /// Records of a stream after which its state is appended again, so that the log's retention
    /// never drops the only record of it.
    pub snapshot_records: u64,
    /// Milliseconds after which the state of a stream is appended again in any case.
    pub snapshot_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            right_ms: 3000,
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
    /// Requests that may wait for one engine.
    pub queue_max: usize,
    /// Requests of one caller that may wait for one engine.
    pub caller_queue_max: usize,
    /// Milliseconds that a ticket lasts unless its entry renews it.
    pub ticket_ms: u64,
    /// Milliseconds of the first wait after a failed load; doubles with each further one.
    pub load_backoff_ms: u64,
    /// Milliseconds for which a crash suspect is remembered.
    pub suspect_ms: u64,
    /// How adapters give way.
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
        need(self.ownership.right_ms >= 1000, "ownership.right_ms", "must be at least 1000");
        need(self.ownership.margin_ms >= 50, "ownership.margin_ms", "must be at least 50");
        need(self.ownership.suspect_ms >= 500, "ownership.suspect_ms", "must be at least 500");
        need(self.ownership.watched >= 1, "ownership.watched", "must be at least 1");
        need(self.slots.queue_max >= 1, "slots.queue_max", "must be at least 1");
        need(self.slots.ticket_ms >= 2000, "slots.ticket_ms", "must be at least 2000");
        need(self.audit.interval_ms >= 100, "audit.interval_ms", "must be at least 100");
        faults
    }

    /// Lengths of time for ownership, with the load timeout in force.
    #[must_use]
    pub fn ownership_times(&self, load_timeout_ms: u64) -> OwnershipTimes {
        OwnershipTimes {
            lease_ms: self.ownership.right_ms,
            margin_ms: self.ownership.margin_ms,
            load_timeout_ms,
            claim_retry_ms: self.ownership.right_ms,
        }
    }

    /// Settings of the slots of each engine, with the load timeout in force.
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
