//! Runs deployments of real processes on loopback addresses, for examples and tests.

mod crowd;
mod deployment;
mod layout;
mod process;

pub use {
    crowd::{Holdings, Sent, send_crowd},
    deployment::{Deployment, program_folder},
    layout::{DeploymentSpec, Layout},
    process::Process,
};
