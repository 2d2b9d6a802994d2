//! Read-only commands.

pub(crate) mod audit;
pub(crate) mod check;
pub(crate) mod explain;
pub(crate) mod status;
