//! Watcher of the configuration, which comes from the log or from peers.

use {
    crate::{LogClient, Tail, event::events},
    egret_core::{Config, ConfigLog, ConfigRecord, ConfigSnapshot},
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    tokio::sync::watch,
};

/// Stream of the platform's log that stores the configuration.
const CONFIG_STREAM: &str = "config";

/// Holds the configuration in force and replaces it only by a newer revision.
#[derive(Debug)]
pub struct ConfigWatch {
    config_log: Mutex<ConfigLog>,
    in_force: watch::Sender<Arc<Config>>,
    is_read_to_end: AtomicBool,
    snapshot_offset: AtomicU64,
    read_offset: AtomicU64,
}

impl Default for ConfigWatch {
    fn default() -> Self {
        Self {
            config_log: Mutex::default(),
            in_force: watch::Sender::new(Arc::default()),
            is_read_to_end: AtomicBool::new(false),
            snapshot_offset: AtomicU64::new(0),
            read_offset: AtomicU64::new(0),
        }
    }
}

impl ConfigWatch {
    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<Config> {
        self.in_force.borrow().clone()
    }

    /// Returns a receiver that is notified of each newer configuration.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Config>> {
        self.in_force.subscribe()
    }

    /// Returns true once a configuration is known, from the log or from a peer.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.in_force.borrow().revision > 0
    }

    /// Returns true once the stream has been read to its end.
    #[must_use]
    pub fn is_read_to_end(&self) -> bool {
        self.is_read_to_end.load(Ordering::Acquire)
    }

    /// Encodes the configuration in force as JSON for a peer. The result is empty unless
    /// it is newer than `revision`.
    #[must_use]
    pub fn encode_if_newer(&self, revision: u64) -> Vec<u8> {
        if self.in_force.borrow().revision <= revision {
            return Vec::new();
        }
        let snapshot = self.config_log.lock().snapshot();
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Applies a configuration from a peer if it is newer.
    pub fn apply_if_newer(&self, json: &[u8]) {
        let Ok(snapshot) = serde_json::from_slice::<ConfigSnapshot>(json) else {
            return;
        };
        self.config_log.lock().apply_snapshot(&snapshot);
        self.publish("peer");
    }

    /// Returns the configuration as a snapshot record for the log. Returns `None` until the stream
    /// has been read to its end.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        if !self.has_config() || !self.is_read_to_end() {
            return None;
        }
        Some(ConfigRecord::Snapshot(self.config_log.lock().snapshot()))
    }

    /// Returns the offset of the newest snapshot and how many records came after it.
    #[must_use]
    pub fn snapshot_age(&self) -> (u64, u64) {
        let snapshot_offset = self.snapshot_offset.load(Ordering::Acquire);
        (snapshot_offset, self.read_offset.load(Ordering::Acquire).saturating_sub(snapshot_offset))
    }

    /// Follows the configuration stream, forever.
    pub async fn follow(&self, log: LogClient) {
        let mut tail = Tail::new(log, CONFIG_STREAM);
        loop {
            let (_, batch) = tail.next_batch().await;
            let (at_end, next_offset) = (batch.reaches_end(), batch.next_offset());
            self.config_log.lock().set_stream_start(batch.start);
            for (offset, record) in batch.decode::<ConfigRecord>() {
                self.apply_record(offset, record);
            }
            self.read_offset.store(next_offset, Ordering::Release);
            self.publish("log");
            if at_end {
                self.is_read_to_end.store(true, Ordering::Release);
            }
        }
    }

    fn apply_record(&self, offset: u64, record: Option<ConfigRecord>) {
        let Some(record) = record else {
            let stream = CONFIG_STREAM;
            events::LOG_RECORD_UNKNOWN.warn(format_args!("stream={stream} offset={offset}"));
            return;
        };
        if matches!(record, ConfigRecord::Snapshot(_)) {
            self.snapshot_offset.store(offset, Ordering::Release);
        }
        self.config_log.lock().apply_record(offset, record);
    }

    fn publish(&self, source: &str) {
        let newest = self.config_log.lock().current().clone();
        let published = self.in_force.send_if_modified(|current| {
            let is_newer = newest.revision > current.revision;
            if is_newer {
                *current = newest.clone();
            }
            is_newer
        });
        if published {
            let (revision, operator) = (newest.revision, &newest.operator);
            events::CONFIG_APPLIED
                .info(format_args!("revision={revision} operator={operator} source={source}"));
        }
    }
}
