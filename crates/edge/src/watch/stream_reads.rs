//! Timeouts of calls to the store, and the turns of this host at its streams.

use {
    crate::{peers, state::Edge},
    egret_core::{ReadTurns, Time},
    egret_platform::StoreError,
    egret_runtime::{events, now},
    std::time::Duration,
};

/// Longest wait for an answer, in addition to the time that the store is asked to wait. A slow
/// store takes some hundred milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1500;

/// Time that the reading host asks the store to wait for the next record. A dead connection is
/// noticed within this time.
pub(crate) const READER_POLL_MS: u64 = 700;

/// Interval of checks of what the other hosts have read.
pub(crate) const CHECK_INTERVAL_MS: u64 = 200;

/// Time that a host waits for records that another host has read, before it reads them from the store
/// itself.
const UPDATE_WAIT_MS: u64 = 400;

/// Since when this host has been behind others without an update from them.
#[derive(Debug, Default)]
pub(crate) struct ReadLag {
    // its position then
    since: Option<(u64, Time)>,
}

impl ReadLag {
    /// Records that this host is no longer behind.
    pub(crate) fn end(&mut self) {
        self.since = None;
    }

    /// True until no update has moved this host's position for too long.
    pub(crate) fn awaits_update(&mut self, next_offset: u64) -> bool {
        let (offset, since) = self.since.get_or_insert((next_offset, now()));
        if *offset != next_offset {
            (*offset, *since) = (next_offset, now());
        }
        now() < since.after_ms(UPDATE_WAIT_MS)
    }
}

/// Deadline of a call in which the store waits up to `wait_ms` for records.
pub(crate) fn call_deadline(wait_ms: u64) -> Time {
    now().after_ms(wait_ms + ANSWER_TIMEOUT_MS)
}

/// Interval of checks whether it is this host's turn to read.
const TURN_INTERVAL_MS: u64 = 50;

/// The reads of one stream of the store by this host.
#[derive(Debug)]
pub(crate) struct StreamReads {
    stream: &'static str,
    turns: ReadTurns,
}

impl StreamReads {
    pub(crate) fn new(stream: &'static str, seed: u64) -> Self {
        Self { stream, turns: ReadTurns::new(seed) }
    }

    /// Records that the read of another host serves this one.
    pub(crate) fn record_served(&mut self) {
        self.turns.record_served();
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self) {
        let failures = self.turns.record_answer();
        if failures > 0 {
            events::LOG_REACHABLE.info(format_args!("stream={} failures={failures}", self.stream));
        }
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, edge: &Edge, e: &StoreError) {
        if self.turns.record_failure(now(), peers::host_rank(edge)) == 1 {
            events::LOG_UNREACHABLE.warn(format_args!("stream={} problem={e}", self.stream));
        }
    }

    /// True if it is this host's turn to read the stream, or if it needs what only a read of its own
    /// brings and no failure is too recent. If not, this waits a while first.
    pub(crate) async fn is_due(&mut self, edge: &Edge, needs_own_read: bool) -> bool {
        let rank = if needs_own_read { 0 } else { peers::host_rank(edge) };
        let is_due = self.turns.is_due(now(), rank);
        if !is_due {
            tokio::time::sleep(Duration::from_millis(TURN_INTERVAL_MS)).await;
        }
        is_due
    }
}
