//! The known targets and their health.

mod adapter_versions;
mod aggregators;
mod changes;
mod departures;
mod digest;
mod health;
mod registry;
mod starts;

pub use {
    adapter_versions::AdapterVersions,
    aggregators::Aggregators,
    changes::{
        ChangedTarget, ChangesApplied, Divergence, RemovedTarget, SentChanges, TargetChanges,
    },
    departures::Departure,
    health::Health,
    registry::{Fleet, RegisteredAdapter, RegisteredModel, Target, TargetState},
    starts::{ConfirmedConnection, StartCheck, TargetStarts},
};
