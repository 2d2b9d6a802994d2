//! The known targets and their health.

mod health;
mod registry;

pub use {
    health::Health,
    registry::{Fleet, HeldAdapter, HeldModel, Target, TargetState},
};
