//! Commands that change the system.

pub(crate) mod apply;
