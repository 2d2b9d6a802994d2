//! Policies and their weights.

use serde::{Deserialize, Serialize};

/// How an engine is chosen. All but [`Policy::Weighted`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any engine.
    Random,
    /// The first engine in rendezvous order of the adapter.
    Rendezvous,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The lowest cost by [`Weights`].
    #[default]
    Weighted,
}

/// Which resident adapter gives way to another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionPolicy {
    /// The least recently used one.
    Lru,
    /// The one whose next use is expected last, a second copy before an only one.
    #[default]
    ExpectedUse,
}

/// What the users weigh against each other. Settings state them for each deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Cost of a millisecond spent on a load, in milliseconds spent in a queue, times 1000.
    pub stall_milli: u64,
    /// Longest time a background request waits for others of its adapter, in milliseconds.
    pub gather_ms: u64,
    /// Waiting requests that end the gathering for an adapter early.
    pub gather_most: u32,
    /// A background request stops gathering when its deadline is nearer than this.
    pub gather_slack_ms: u64,
    /// Time after which demand counts half, in milliseconds.
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
