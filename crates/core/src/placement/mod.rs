//! Which engine a request goes to and which adapter gives way.

mod choose;
mod demand;
mod policy;
mod views;

pub use {
    choose::{Candidates, choose},
    demand::Demand,
    policy::{Eviction, Policy, Weights},
    views::{EngineView, Views},
};
