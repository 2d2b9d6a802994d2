//! What happened to each request, for `egretctl explain`.

use {
    egret_core::Time,
    egret_runtime::{now, unix_ms},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::Serialize,
};

/// Requests remembered.
const TRACES_MAX: usize = 4096;

/// Steps remembered of one request.
const STEPS_MAX: usize = 32;

/// One step in the course of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Step {
    after_ms: u64,
    what: String,
}

/// The course of one request.
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

/// The courses of the newest requests.
#[derive(Debug, Default)]
pub(crate) struct Traces {
    traces: Mutex<IndexMap<FastStr, Trace>>,
}

impl Traces {
    /// Begins the course of a request.
    pub(crate) fn begin(&self, request: &FastStr, subject: &str, caller: &FastStr) {
        let trace = Trace {
            request: request.clone(),
            at_unix_ms: unix_ms(),
            subject: subject.to_owned(),
            caller: caller.clone(),
            started_at: now(),
            steps: Vec::new(),
        };
        let mut traces = self.traces.lock();
        traces.insert(request.clone(), trace);
        // drops a quarter at once, so that most requests pay nothing for it
        if traces.len() > TRACES_MAX {
            traces.drain(..TRACES_MAX / 4);
        }
    }

    /// Adds a step.
    pub(crate) fn add_step(&self, request: &str, what: String) {
        let mut traces = self.traces.lock();
        let Some(trace) = traces.get_mut(request) else {
            return;
        };
        if trace.steps.len() < STEPS_MAX {
            let after_ms = now().ms_since(trace.started_at);
            trace.steps.push(Step { after_ms, what });
        }
    }

    /// The course of a request, if it is remembered.
    pub(crate) fn get(&self, request: &str) -> Option<Trace> {
        self.traces.lock().get(request).cloned()
    }
}
