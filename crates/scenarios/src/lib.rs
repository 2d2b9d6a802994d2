//! Deployments of real processes on loopback, for examples and tests.

mod deployment;
mod layout;
mod process;

pub use {
    deployment::{Deployment, program_folder},
    layout::{DeploymentSpec, Layout},
    process::Process,
};
