//! Appends snapshots of the config and claim streams before the log drops their older records.

use {
    crate::{ownership::CLAIM_STREAM, state::Keeper},
    egret_core::Time,
    egret_runtime::now,
    std::{sync::Arc, time::Duration},
};

/// Interval between checks whether a snapshot is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// Timeout of one append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2000;

/// Offset of a stream's newest snapshot, and the time at which it was first seen.
#[derive(Clone, Copy, Debug)]
struct SnapshotTimer {
    snapshot_offset: u64,
    first_seen: Time,
}

impl SnapshotTimer {
    fn new() -> Self {
        Self { snapshot_offset: 0, first_seen: now() }
    }

    /// Returns true if a snapshot is due. `rank` is this keeper's position among the live ones. The
    /// first of them appends the snapshot, and each next one steps in later if it is still missing.
    fn is_due(&mut self, (offset, age): (u64, u64), rank: u64, keeper: &Keeper) -> bool {
        if offset != self.snapshot_offset {
            *self = Self { snapshot_offset: offset, first_seen: now() };
        }
        let settings = &keeper.cfg.ownership;
        let waited_ms = now().ms_since(self.first_seen);
        let has_many_records = age >= settings.snapshot_records * (rank + 1);
        has_many_records || waited_ms >= settings.snapshot_ms * (rank + 1)
    }
}

/// Appends snapshots when they are due, forever.
pub(crate) async fn run(keeper: Arc<Keeper>) {
    let (mut config, mut claims) = (SnapshotTimer::new(), SnapshotTimer::new());
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let rank = keeper.live_hosts().iter().position(|h| *h == keeper.host).unwrap_or(0) as u64;
        if config.is_due(keeper.config.snapshot_age(), rank, &keeper)
            && let Some(record) = keeper.config.snapshot()
        {
            let deadline = now().after_ms(APPEND_TIMEOUT_MS);
            let _ = keeper.log.append("config", &[record], deadline).await;
        }
        let age = keeper.ownership.lock().claims().snapshot_age();
        let record = keeper.ownership.lock().claims().snapshot();
        if claims.is_due(age, rank, &keeper)
            && let Some(record) = record
        {
            let deadline = now().after_ms(APPEND_TIMEOUT_MS);
            let _ = keeper.log.append(CLAIM_STREAM, &[record], deadline).await;
        }
    }
}
