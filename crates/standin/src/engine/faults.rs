//! Fault switches of an engine.

use serde::{Deserialize, Serialize};

/// Fault switches. A counter applies to that many of the next occasions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Faults {
    /// Crash at once.
    pub(super) crash: bool,
    /// Crash when a prompt that contains this text has produced its first token.
    pub(super) crash_on: Option<String>,
    /// Time after a crash during which connections are accepted and broken, in milliseconds. It is
    /// part of the time until the next start.
    pub(super) break_ms: u64,
    /// Requests on connections that are open now get no answer; new connections work.
    pub(super) silence_open: bool,
    /// No steps run.
    pub(super) freeze: bool,
    /// Number of answers to cut off half-way.
    pub(super) truncate: u32,
    /// Number of answers to give the id of another request.
    #[serde(rename = "cross")]
    pub(super) wrong_request_id: u32,
    /// Number of answers to give from another version of the adapter.
    pub(super) wrong_version: u32,
    /// Bytes that each answer which is no stream has in addition.
    pub(super) answer_bytes: usize,
    /// Number of streams to send with each event twice.
    pub(super) duplicate: u32,
    /// Number of loads to fail.
    pub(super) fail_loads: u32,
    /// Number of orders to carry out but leave unanswered.
    pub(super) lose_order_answers: u32,
    /// Extra duration of each load, in milliseconds.
    pub(super) load_extra_ms: u64,
    /// Delay before each unload, in milliseconds.
    pub(super) unload_extra_ms: u64,
}
