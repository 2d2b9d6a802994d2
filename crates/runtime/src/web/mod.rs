//! HTTP server, responses, clients and connections, built on volo-http and hyper.

mod answer_body;
mod answer_stream;
mod bodies;
mod client;
mod client_pool;
mod conn;
mod connections;
mod held_answers;
mod linger;
mod listen;
mod pieces;
mod response;
mod server;

pub use {
    answer_body::AnswerBody,
    bodies::{BodyBounds, BodyMemory, BodyReadError, RequestBodies},
    client::{CallError, ENGINE_ECHO_HEADERS, HttpClient, Reply, with_deadline},
    conn::{Conn, ConnPool, HttpError, read_incoming},
    connections::{ConnectionPlace, Connections, client_connections_max},
    held_answers::{AnswerReadError, HeldAnswers, WholeAnswer},
    linger::{EndsWithConnection, LingeringStream, lingering_connections},
    listen::{SocketBuffers, listen},
    pieces::Pieces,
    response::{ErrorResponse, error_json, json_response, text_response},
    server::{HttpLimits, discard_body, read_limited, serve_http},
};
