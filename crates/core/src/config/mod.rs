//! Configuration: the manifest that operators declare and the stream that brings it into force.

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
