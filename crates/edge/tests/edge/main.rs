//! Real edge processes before the platform in small.

mod hosts;
mod load;
mod requests;
mod settings;
mod support;
