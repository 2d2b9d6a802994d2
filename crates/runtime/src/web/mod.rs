//! HTTP by volo-http: the server's frame, answers, and the client.

mod answer;
mod client;
mod conn;
mod server;

pub use {
    answer::{Answer, error_json, json_response, text_response},
    client::{CallError, Caller, ENGINE_HEADERS, Reply, before},
    conn::{Conn, ConnSet, HttpError, read_whole},
    server::{read_limited, serve_http},
};
