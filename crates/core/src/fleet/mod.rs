//! The known targets and their health.

mod departures;
mod health;
mod registry;

pub use {
    departures::Departure,
    health::Health,
    registry::{Fleet, RegisteredAdapter, RegisteredModel, Target, TargetState},
};
