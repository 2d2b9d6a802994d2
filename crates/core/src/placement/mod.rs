//! Which engine a request goes to and which adapter gives way.

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
