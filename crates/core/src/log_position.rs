//! Tracks a reader's position in a log whose oldest records may be truncated.

/// Decides which records of a log are folded into a state, and which wait for a snapshot.
///
/// A reader that has missed records which the log no longer holds keeps back the records it reads
/// until a snapshot reflects all records before them. All readers thus fold the same records in the
/// same order.
#[derive(Clone, Debug)]
pub(crate) struct LogPosition<R> {
    folded_to: u64,
    read_to: u64,
    snapshot_needed_from: Option<u64>,
    pending: Vec<(u64, R)>,
}

impl<R> Default for LogPosition<R> {
    fn default() -> Self {
        Self { folded_to: 0, read_to: 0, snapshot_needed_from: None, pending: Vec::new() }
    }
}

impl<R> LogPosition<R> {
    /// Offset below which all records are folded.
    pub(crate) fn folded_to(&self) -> u64 {
        self.folded_to
    }

    /// False while records before the held-back ones are missing.
    pub(crate) fn is_contiguous(&self) -> bool {
        self.snapshot_needed_from.is_none()
    }

    /// Records that the log now begins at `start`.
    pub(crate) fn set_log_start(&mut self, start: u64) {
        // records held back before the log dropped them still count as read
        if start > self.folded_to.max(self.read_to) {
            self.read_to = start;
            self.snapshot_needed_from = Some(start);
            self.pending.clear();
        }
    }

    /// Returns the record if it is to be folded now; otherwise holds it back or drops it.
    pub(crate) fn admit(&mut self, offset: u64, record: R) -> Option<R> {
        if offset < self.folded_to {
            return None;
        }
        self.read_to = self.read_to.max(offset + 1);
        if self.snapshot_needed_from.is_some() {
            self.pending.push((offset, record));
            return None;
        }
        self.folded_to = offset + 1;
        Some(record)
    }

    /// Skips the record at `offset`, which was read and changes nothing by itself.
    pub(crate) fn skip(&mut self, offset: u64) {
        self.read_to = self.read_to.max(offset + 1);
        if self.snapshot_needed_from.is_none() {
            self.folded_to = self.folded_to.max(offset + 1);
        }
    }

    /// Moves to a snapshot that reflects all records below `as_of`. Returns the held-back records
    /// that follow it, or none if the snapshot is older than the folded state or would leave a gap.
    pub(crate) fn apply_snapshot(&mut self, as_of: u64) -> Option<Vec<(u64, R)>> {
        let closes_gap = self.snapshot_needed_from.is_none_or(|from| as_of >= from);
        if !closes_gap || as_of <= self.folded_to {
            return None;
        }
        self.folded_to = as_of;
        self.snapshot_needed_from = None;
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|(offset, _)| *offset >= as_of);
        self.folded_to = self.folded_to.max(self.read_to);
        Some(pending)
    }
}
