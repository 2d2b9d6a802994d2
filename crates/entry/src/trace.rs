//! Traces of recent requests, for `egretctl explain`.

use {
    egret_core::Time,
    egret_runtime::{now, unix_ms},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::Serialize,
};

/// Limit of stored traces.
const TRACES_MAX: usize = 4096;

/// Limit of steps in one trace. Later steps are dropped.
const STEPS_MAX: usize = 32;

/// One step of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Step {
    after_ms: u64,
    what: String,
}

/// Trace of one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Trace {
    request: FastStr,
    at_unix_ms: u64,
    subject: String,
    caller: FastStr,
    #[serde(skip)]
    started_at: Time,
    steps: Vec<Step>,
}

/// Traces of the newest requests.
#[derive(Debug, Default)]
pub(crate) struct Traces {
    traces: Mutex<IndexMap<FastStr, Trace>>,
}

impl Traces {
    /// Starts the trace of a request.
    pub(crate) fn begin(&self, request_id: &FastStr, subject: &str, caller: &FastStr) {
        let trace = Trace {
            request: request_id.clone(),
            at_unix_ms: unix_ms(),
            subject: subject.to_owned(),
            caller: caller.clone(),
            started_at: now(),
            steps: Vec::new(),
        };
        let mut traces = self.traces.lock();
        traces.insert(request_id.clone(), trace);
        // Drops the oldest quarter at once, so that the cost falls on few requests.
        if traces.len() > TRACES_MAX {
            traces.drain(..TRACES_MAX / 4);
        }
    }

    /// Adds a step to the trace of a request, if it is stored.
    pub(crate) fn add_step(&self, request_id: &str, what: String) {
        let mut traces = self.traces.lock();
        let Some(trace) = traces.get_mut(request_id) else {
            return;
        };
        if trace.steps.len() < STEPS_MAX {
            let after_ms = now().ms_since(trace.started_at);
            trace.steps.push(Step { after_ms, what });
        }
    }

    /// Returns the trace of a request, if it is stored.
    pub(crate) fn get(&self, request_id: &str) -> Option<Trace> {
        self.traces.lock().get(request_id).cloned()
    }
}
