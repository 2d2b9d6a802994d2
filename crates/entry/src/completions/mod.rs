//! Completion requests, from the caller's request body to the final answer.

mod attempt;
mod handler;
mod labels;
mod parse;
mod sse;
mod stream;

pub(crate) use {
    handler::serve_completion,
    parse::{Endpoint, identify_caller},
};
