//! Fault switches of an engine.

use serde::{Deserialize, Serialize};

/// Fault switches. Those that count hold for the next so many times.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Faults {
    /// Crash now.
    pub(super) crash: bool,
    /// Crash when a prompt that contains this text has produced its first token.
    pub(super) crash_on: Option<String>,
    /// Silence connections that are open now; new ones work.
    pub(super) silence_open: bool,
    /// No step is run.
    pub(super) freeze: bool,
    /// Answers that break off half-way.
    pub(super) truncate: u32,
    /// Answers that name another request.
    pub(super) cross: u32,
    /// Answers that come from another version of the adapter.
    pub(super) wrong_version: u32,
    /// Answers whose parts come twice.
    pub(super) duplicate: u32,
    /// Loads that fail.
    pub(super) fail_loads: u32,
    /// Orders that are carried out but not answered.
    pub(super) lose_order_answers: u32,
    /// A load takes this much longer, in milliseconds.
    pub(super) load_extra_ms: u64,
    /// An unload waits this long before it is carried out, in milliseconds.
    pub(super) unload_extra_ms: u64,
}
