//! Configuration: what operators declare and how it comes into force.

mod diff;
mod fold;
mod manifest;
mod validate;

pub use {
    diff::{ManifestOp, diff},
    fold::{
        ChangeResult, Config, ConfigChange, ConfigLog, ConfigRecord, ConfigSnapshot, Rejection,
    },
    manifest::{
        Adapter, BaseModel, EngineSpec, HostsOutOfService, Manifest, ServiceSpec, ServiceTarget,
        WeightStoreSpec,
    },
    validate::{ManifestError, validate},
};
