//! Repeating the state of the streams before the log drops the records it comes from.

use {
    crate::{ownership::CLAIM_STREAM, state::Keeper},
    egret_core::Time,
    egret_runtime::now,
    std::{sync::Arc, time::Duration},
};

/// How often is looked whether a snapshot is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// How long one append may take, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2000;

/// When a stream's newest snapshot was first seen.
#[derive(Clone, Copy, Debug)]
struct SnapshotTimer {
    snapshot_offset: u64,
    first_seen: Time,
}

impl SnapshotTimer {
    fn new() -> Self {
        Self { snapshot_offset: 0, first_seen: now() }
    }

    /// True when a snapshot is due. The first of the live keepers writes it, the next one
    /// if the first does not, and so on.
    fn is_due(&mut self, (at, age): (u64, u64), rank: u64, keeper: &Keeper) -> bool {
        if at != self.snapshot_offset {
            *self = Self { snapshot_offset: at, first_seen: now() };
        }
        let own = &keeper.cfg.ownership;
        let waited_ms = now().ms_since(self.first_seen);
        let many = age >= own.snapshot_records * (rank + 1);
        many || waited_ms >= own.snapshot_ms * (rank + 1)
    }
}

/// Appends snapshots for ever.
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
