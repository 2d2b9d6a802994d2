//! Tests whether what is refused still crashes targets.

use {
    crate::state::Edge,
    egret_core::Suspect,
    egret_runtime::now,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// A test by one request. Dropping it takes the test back, unless a target may have got the request.
#[derive(Debug)]
pub(crate) struct CrashTest {
    edge: Arc<Edge>,
    suspects: Arc<[Suspect]>,
    may_be_sent: AtomicBool,
}

impl CrashTest {
    /// A test of what is refused of `suspects`.
    pub(super) fn new(edge: &Arc<Edge>, suspects: Arc<[Suspect]>) -> Self {
        Self { edge: edge.clone(), suspects, may_be_sent: AtomicBool::new(false) }
    }

    /// Records that the request is about to be sent.
    pub(super) fn record_send(&self) {
        self.may_be_sent.store(true, Ordering::Release);
    }

    /// Records that the request has reached no target.
    pub(super) fn record_unsent(&self) {
        self.may_be_sent.store(false, Ordering::Release);
    }
}

impl Drop for CrashTest {
    fn drop(&mut self) {
        if !self.may_be_sent.load(Ordering::Acquire) {
            self.edge.crash_reports.lock().return_test(now(), &self.suspects);
        }
    }
}
