//! The users' platform in small: its metadata store and the targets that register there. Runs
//! inside a test, with fault switches and a record of what each target ran.

mod metastore;
mod raw;
mod target;

pub use {
    metastore::{Metastore, StoreFault},
    target::{EngineConf, Run, Target, TargetConf, TargetFault},
};
