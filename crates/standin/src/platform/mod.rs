//! The users' platform in small: its metadata store, the targets that register there, the weight
//! store and the callers. Runs inside a test or by itself, with fault switches and a record of
//! what each target ran.

mod batch;
mod callers;
mod engine;
mod metastore;
mod raw_http;
mod simulated;
mod target;
mod weight_store;

pub use {
    batch::{Batch, BatchConf, SequenceHandle},
    callers::{CallersConf, CallersReport, RouteCounts, call_hosts},
    metastore::{Metastore, StoreFault},
    simulated::{
        BASE_MODEL, EVENTS_PER_STREAM, PlatformConf, ROUTE_HOST, SimulatedPlatform, config,
    },
    target::{EngineConf, ExecutedRequest, Target, TargetConf, TargetFault},
    weight_store::WeightStore,
};
