//! The known targets and their health.

mod health;
mod registry;

pub use {
    health::Health,
    registry::{Fleet, RegisteredAdapter, RegisteredModel, Target, TargetState},
};
