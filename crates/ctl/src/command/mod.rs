//! Commands that change something.

pub(crate) mod apply;
