//! Requests to models: from the caller's body to the whole answer.

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
