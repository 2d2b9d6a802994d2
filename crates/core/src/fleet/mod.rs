//! The targets that are known, and what is known of each.

mod health;
mod registry;

pub use {
    health::Health,
    registry::{Fleet, HeldAdapter, HeldModel, Target, TargetState},
};
