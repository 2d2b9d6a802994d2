//! Policies of placement and eviction, and their weights.

use serde::{Deserialize, Serialize};

/// How the engine for a request is chosen. All but [`PlacementPolicy::Weighted`] are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// A random engine.
    Random,
    /// The first engine in rendezvous order of the adapter.
    Rendezvous,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The lowest cost by [`Weights`].
    #[default]
    Weighted,
}

/// Which resident adapter is evicted for another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionPolicy {
    /// The least recently used adapter.
    Lru,
    /// The adapter whose next use on this engine is expected last. Other engines on which it is
    /// resident serve a part of its uses.
    #[default]
    ExpectedUse,
}

/// Trade-offs of placement and dispatch, stated by the settings of each deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Cost of a millisecond spent on a load, in milliseconds spent in a queue, times 1000.
    pub stall_milli: u64,
    /// Longest time a background request waits for others of its adapter, in milliseconds.
    pub gather_ms: u64,
    /// Number of waiting requests that ends the gathering for an adapter early.
    pub gather_most: u32,
    /// A background request stops gathering when its deadline is nearer than this, in milliseconds.
    pub gather_slack_ms: u64,
    /// Half-life of demand, in milliseconds.
    pub demand_half_life_ms: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            stall_milli: 4000,
            gather_ms: 0,
            gather_most: 1,
            gather_slack_ms: 5000,
            demand_half_life_ms: 300_000,
        }
    }
}
