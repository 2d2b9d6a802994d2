//! The engines that this keeper owns.

mod effects;
mod orders;
mod owned_engine;
mod probe;

pub(crate) use {
    effects::run_effects,
    owned_engine::{OwnedEngine, TicketDecision},
    probe::{check_for_crash, probe, probe_all},
};
