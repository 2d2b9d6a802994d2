//! HTTP by volo-http: the server's frame, answers, and the client.

mod answer;
mod client;
mod server;

pub(crate) use client::before;
pub use {
    answer::{Answer, error_json, json_response, text_response},
    client::{CallError, Caller, ENGINE_HEADERS, Reply},
    server::{read_limited, serve_http},
};
