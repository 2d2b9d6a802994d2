//! Seeded load on a deployment, and a benchmark of policies in virtual time.

mod bench;
pub mod cli;
mod costs;
mod live;
mod popularity;

pub use {
    live::{LoadPlan, LoadReport, LoadShape, run_load},
    popularity::Popularity,
};
