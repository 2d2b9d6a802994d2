//! Whether this host reaches any target of a service.
//!
//! Answers the load that comes to a host whose links to all targets are cut while callers still reach
//! it: each request would wait for connections that do not open.

use {crate::Time, faststr::FastStr, indexmap::IndexSet};

/// Targets that fail without a new connection that works in between, before others are probed.
const SUSPECT_TARGETS: usize = 2;

/// Shortest time between two rounds of probes.
const PROBE_INTERVAL_MS: u64 = 500;

/// Time after which a failure is no longer a reason to probe.
const FAILURE_VALID_MS: u64 = 3000;

/// What this host knows of its way to the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct TargetReach {
    // targets at which a connection failed since a new one has worked, and the time of the last failure
    failed: IndexSet<FastStr>,
    failed_at: Time,
    probed_at: Option<Time>,
    cut_off_since: Option<Time>,
    // true if a probe is due whatever has failed
    is_suspect: bool,
}

impl TargetReach {
    /// Records that a new connection to a target works. Returns true if the host was cut off. Connections
    /// from before a cut may live on.
    pub fn record_opened(&mut self) -> bool {
        self.failed.clear();
        self.cut_off_since.take().is_some()
    }

    /// Records that a connection to `target` could not be opened, broke or fell silent.
    pub fn record_failure(&mut self, now: Time, target: &FastStr) {
        if now >= self.failed_at.after_ms(FAILURE_VALID_MS) {
            self.failed.clear();
        }
        self.failed_at = now;
        if self.failed.len() < SUSPECT_TARGETS {
            self.failed.insert(target.clone());
        }
    }

    /// Has targets probed although none has failed, since another service is not reached.
    pub fn suspect(&mut self, now: Time) {
        self.failed_at = now;
        self.is_suspect = true;
    }

    /// True if this host is cut off or a connection has failed lately.
    #[must_use]
    pub fn has_failures(&self, now: Time) -> bool {
        let is_recent = now < self.failed_at.after_ms(FAILURE_VALID_MS);
        self.is_cut_off() || is_recent && (self.is_suspect || !self.failed.is_empty())
    }

    /// True if targets are to be probed, of which there are `targets`. The time counts as that of the probe.
    pub fn try_begin_probe(&mut self, now: Time, targets: usize) -> bool {
        let is_suspect = now < self.failed_at.after_ms(FAILURE_VALID_MS)
            && (self.is_suspect || self.failed.len() >= SUSPECT_TARGETS.min(targets));
        let is_due =
            self.probed_at.is_none_or(|probed_at| now >= probed_at.after_ms(PROBE_INTERVAL_MS));
        let begins = targets > 0 && is_due && (is_suspect || self.cut_off_since.is_some());
        if begins {
            self.probed_at = Some(now);
            self.is_suspect = false;
        }
        begins
    }

    /// Records that no probed target took a connection. Returns true if the host was not cut off before.
    pub fn record_failed_probe(&mut self, now: Time) -> bool {
        let was_connected = self.cut_off_since.is_none();
        self.cut_off_since.get_or_insert(now);
        was_connected
    }

    /// True if this host reaches no target.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }
}
