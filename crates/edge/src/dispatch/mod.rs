//! A request's way from its caller to a target and back.

mod attempt;
mod crash;
mod place;
mod request;
mod serve;
mod stream;

pub(crate) use serve::serve;
