//! The engines that this keeper holds.

mod effects;
mod orders;
mod probe;
mod shard;

pub(crate) use {
    effects::run_effects,
    probe::{probe, probe_all, probe_anew},
    shard::{EngineShard, Verdict},
};
