//! The manifest that the operators' pipeline generates.

use {
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Everything that operators declare, written as TOML in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Limits of the platform's weight store.
    #[serde(default)]
    pub weight_store: WeightStoreSpec,
    /// Base models by name.
    #[serde(default)]
    pub base_models: IndexMap<FastStr, BaseModel>,
    /// Adapters by `base/adapter`.
    #[serde(default)]
    pub adapters: IndexMap<FastStr, Adapter>,
    /// Model engines by host name.
    #[serde(default)]
    pub engines: IndexMap<FastStr, EngineSpec>,
    /// Plain services by name.
    #[serde(default)]
    pub services: IndexMap<FastStr, ServiceSpec>,
    /// Hosts to retire or stop.
    #[serde(default)]
    pub hosts: HostsOutOfService,
}

/// A base model. It has no settings of its own yet.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseModel {}

/// An adapter and the versions that requests may name.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Versions, each from 1.
    pub versions: Vec<u32>,
}

/// A model engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Base model it runs.
    pub base: FastStr,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Adapters it holds at once.
    pub adapter_slots: u16,
    /// Sequences it runs at once.
    pub batch: u16,
    /// True when it refuses an order with an old fencing token.
    pub checks_fence: bool,
}

/// A plain service and the targets that provide it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Targets by host name.
    pub targets: IndexMap<FastStr, ServiceTarget>,
}

/// A host that provides a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: FastStr,
}

/// Hosts that operators take out of service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsOutOfService {
    /// Hosts that get no new work.
    #[serde(default)]
    pub retire: IndexSet<FastStr>,
    /// Hosts that get no new work and whose own processes exit once nothing is open.
    #[serde(default)]
    pub stop: IndexSet<FastStr>,
}

/// Limits of the weight store, shared by all keepers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Loads that may be in transit at once, across all engines.
    pub in_transit_max: u16,
    /// Loads that may start in 1000 seconds.
    pub loads_per_1000_s: u32,
    /// Milliseconds after which a load counts as failed.
    pub load_timeout_ms: u64,
}

impl Default for WeightStoreSpec {
    fn default() -> Self {
        Self { in_transit_max: 8, loads_per_1000_s: 4000, load_timeout_ms: 2000 }
    }
}

impl HostsOutOfService {
    /// True when `host` must get no new work.
    #[must_use]
    pub fn is_leaving(&self, host: &str) -> bool {
        self.retire.contains(host) || self.stop.contains(host)
    }
}
