//! A small simulation of the users' platform: the metadata store, the targets that register in it,
//! the weight store and the callers. It runs inside a test or as a process of its own, has fault
//! switches, and records the requests that each target executes.

mod batch;
mod brittle;
mod callers;
mod connection_owner;
mod engine;
mod metastore;
mod processes;
mod raw_http;
mod simulated;
mod target;
mod weight_store;

pub use {
    batch::{Batch, BatchConf, SequenceHandle},
    brittle::BrittleConf,
    callers::{CallersConf, CallersReport, RouteCounts, call_hosts},
    metastore::{Metastore, StoreCopy, StoreFault},
    processes::{Registry, RegistryCall, TargetProcessConf, serve_metastore, serve_target},
    simulated::{
        BASE_MODEL, EVENTS_PER_STREAM, PlatformConf, ROUTE_HOST, SimulatedPlatform, add_accounts,
        config,
    },
    target::{EngineConf, ExecutedRequest, StreamFraming, Target, TargetConf, TargetFault},
    weight_store::WeightStore,
};
