//! Configuration: what operators declare and how it comes into force.

mod diff;
mod fold;
mod manifest;
mod validate;

pub use {
    diff::{Op, diff},
    fold::{Change, Config, ConfigLog, ConfigRecord, Rejection, Snapshot, Verdict},
    manifest::{
        Adapter, BaseModel, EngineSpec, Hosts, Manifest, ServiceSpec, ServiceTarget,
        WeightStoreSpec,
    },
    validate::{ManifestError, validate},
};
