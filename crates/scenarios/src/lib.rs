//! Deployments of real processes on loopback, for examples and tests.

mod deployment;
mod layout;
mod process;

pub use {
    deployment::{Deployment, programs},
    layout::{Layout, Plan},
    process::Process,
};
