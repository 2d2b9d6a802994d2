//! Runs deployments of real processes on loopback addresses, for examples and tests.

mod deployment;
mod layout;
mod process;

pub use {
    deployment::{Deployment, program_folder},
    layout::{DeploymentSpec, Layout},
    process::Process,
};
