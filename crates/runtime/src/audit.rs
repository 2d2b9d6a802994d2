//! The audit trail of changes: a bounded list in memory, passed on to the platform's log.

use {
    crate::{EventId, LogClient, now, unix_ms},
    faststr::FastStr,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Stream of the platform's log that keeps the trail.
pub(crate) const AUDIT_STREAM: &str = "audit";

/// Records kept in memory for questions.
const RECENT_RECORDS_MAX: usize = 2000;

/// Records that wait for the log; beyond that the oldest are dropped and counted.
const QUEUED_RECORDS_MAX: usize = 2000;

/// How long one append may take, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2000;

/// One change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// When, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// Host on which it was decided or carried out.
    pub host: FastStr,
    /// Event number, as `E1203`.
    pub event: FastStr,
    /// What the event means.
    pub meaning: FastStr,
    /// Actor, cause and objects, as `key=value` pairs.
    pub detail: FastStr,
}

#[derive(Debug, Default)]
struct AuditBuffers {
    recent: VecDeque<AuditRecord>,
    queued: VecDeque<AuditRecord>,
    dropped: u64,
}

/// The audit trail of one process.
#[derive(Debug)]
pub struct AuditTrail {
    host: FastStr,
    buffers: Mutex<AuditBuffers>,
}

impl AuditTrail {
    /// An empty trail of the process on `host`.
    #[must_use]
    pub fn new(host: FastStr) -> Self {
        Self { host, buffers: Mutex::default() }
    }

    /// Records a change and logs it.
    pub fn record(&self, event: EventId, detail: &str) {
        event.info(format_args!("{detail}"));
        let record = AuditRecord {
            at_unix_ms: unix_ms(),
            host: self.host.clone(),
            event: FastStr::from_string(event.code()),
            meaning: FastStr::from_static_str(event.meaning),
            detail: FastStr::new(detail),
        };
        let mut trail = self.buffers.lock();
        push_bounded(&mut trail.recent, record.clone(), RECENT_RECORDS_MAX);
        if push_bounded(&mut trail.queued, record, QUEUED_RECORDS_MAX) {
            trail.dropped += 1;
        }
    }

    /// Changes recorded lately whose detail contains `text`, oldest first.
    #[must_use]
    pub fn find_recent(&self, text: &str) -> Vec<AuditRecord> {
        let trail = self.buffers.lock();
        trail.recent.iter().filter(|r| r.detail.contains(text)).cloned().collect()
    }

    /// Records that could not be kept for the log because it was down too long.
    #[must_use]
    pub fn dropped_records(&self) -> u64 {
        self.buffers.lock().dropped
    }

    /// Appends what waits to the log every `interval_ms`, all records in one append.
    pub async fn flush_periodically(&self, log: LogClient, interval_ms: u64) {
        loop {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            self.flush(&log).await;
        }
    }

    /// Appends what waits to the log. A lost answer may leave a record there twice, never none.
    pub async fn flush(&self, log: &LogClient) {
        let batch: Vec<AuditRecord> = self.buffers.lock().queued.iter().cloned().collect();
        if batch.is_empty() {
            return;
        }
        let deadline = now().after_ms(APPEND_TIMEOUT_MS);
        if log.append(AUDIT_STREAM, &batch, deadline).await.is_ok() {
            let mut trail = self.buffers.lock();
            let written = batch.len().min(trail.queued.len());
            trail.queued.drain(..written);
        }
    }
}

/// Adds to a bounded list. True when the oldest had to go.
fn push_bounded(list: &mut VecDeque<AuditRecord>, record: AuditRecord, most: usize) -> bool {
    list.push_back(record);
    let full = list.len() > most;
    if full {
        list.pop_front();
    }
    full
}
