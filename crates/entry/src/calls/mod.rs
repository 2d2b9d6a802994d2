//! Requests to models: from the caller's body to the whole answer.

mod attempt;
mod check;
mod parse;
mod run;
mod sse;
mod stream;

pub(crate) use {
    parse::{Kind, caller},
    run::complete,
};
