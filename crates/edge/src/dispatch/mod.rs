//! A request's way from its caller to a target and back.

mod attempt;
mod crash_suspects;
mod placement;
mod request;
mod serve;
mod stream;

pub(crate) use serve::serve;
