//! The users' platform in small: its metadata store, the targets that register there, the weight
//! store and the callers. Runs inside a test or by itself, with fault switches and a record of
//! what each target ran.

mod batch;
mod callers;
mod engine;
mod metastore;
mod raw;
mod scene;
mod target;
mod weights;

pub use {
    batch::{Batch, BatchConf, Place},
    callers::{CallersConf, CallersReport, RouteCounts, call_hosts},
    metastore::{Metastore, StoreFault},
    scene::{EVENTS, HOST, MODEL, Scene, SceneConf, config},
    target::{EngineConf, Run, Target, TargetConf, TargetFault},
    weights::Weights,
};
