//! Load on running entries.

mod plan;
mod report;
mod request;
mod run;

pub use {
    plan::{LoadPlan, LoadShape},
    report::LoadReport,
    run::run_load,
};
