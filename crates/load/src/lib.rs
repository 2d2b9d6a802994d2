//! Seeded load on a deployment, and experiments with policies in virtual time.

mod bench;
pub mod cli;
mod live;
mod popularity;
mod slopes;

pub use {
    live::{LoadPlan, LoadReport, Shape, run_load},
    popularity::Popularity,
};
