//! HTTP by volo-http: the server's frame, answers, and the client.

mod client;
mod conn;
mod response;
mod server;

pub use {
    client::{CallError, ENGINE_ECHO_HEADERS, HttpClient, Reply, with_deadline},
    conn::{Conn, ConnPool, HttpError, read_incoming},
    response::{ErrorResponse, error_json, json_response, text_response},
    server::{read_limited, serve_http},
};
