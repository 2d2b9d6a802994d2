//! Placement of requests on engines, and the policies of placement and eviction.

mod choose;
mod demand;
mod policy;
mod views;

pub use {
    choose::{PlacementRequest, choose_engine},
    demand::Demand,
    policy::{EvictionPolicy, PlacementPolicy, Weights},
    views::{EngineView, EngineViews},
};
