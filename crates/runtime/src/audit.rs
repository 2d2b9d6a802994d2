//! Audit trail of changes: a bounded list in memory, appended to the platform's log.

use {
    crate::{EventId, LogClient, now, unix_ms},
    faststr::FastStr,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Stream of the platform's log that stores the audit trail.
pub(crate) const AUDIT_STREAM: &str = "audit";

/// Limit of records kept in memory for queries.
const RECENT_RECORDS_MAX: usize = 2000;

/// Limit of records queued for the log. Beyond it the oldest are dropped and counted.
const QUEUED_RECORDS_MAX: usize = 2000;

/// Timeout of one append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2000;

/// One recorded change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Host on which the change was decided or carried out.
    pub host: FastStr,
    /// Code of the event, for example `E1203`.
    pub event: FastStr,
    /// Meaning of the event.
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
    /// Creates an empty audit trail for the process on `host`.
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
        let mut buffers = self.buffers.lock();
        push_bounded(&mut buffers.recent, record.clone(), RECENT_RECORDS_MAX);
        if push_bounded(&mut buffers.queued, record, QUEUED_RECORDS_MAX) {
            buffers.dropped += 1;
        }
    }

    /// Returns the records in memory whose detail contains `text`, oldest first.
    #[must_use]
    pub fn find_recent(&self, text: &str) -> Vec<AuditRecord> {
        let buffers = self.buffers.lock();
        buffers.recent.iter().filter(|r| r.detail.contains(text)).cloned().collect()
    }

    /// Returns how many records were dropped because the log was unreachable for too long.
    #[must_use]
    pub fn dropped_records(&self) -> u64 {
        self.buffers.lock().dropped
    }

    /// Appends the queued records to the log every `interval_ms`, all records in one append.
    pub async fn flush_periodically(&self, log: LogClient, interval_ms: u64) {
        loop {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            self.flush(&log).await;
        }
    }

    /// Appends the queued records to the log. After a lost answer they are appended again, so the
    /// log may hold a record twice but does not miss it.
    pub async fn flush(&self, log: &LogClient) {
        let batch: Vec<AuditRecord> = self.buffers.lock().queued.iter().cloned().collect();
        if batch.is_empty() {
            return;
        }
        let deadline = now().after_ms(APPEND_TIMEOUT_MS);
        if log.append(AUDIT_STREAM, &batch, deadline).await.is_ok() {
            let mut buffers = self.buffers.lock();
            let written = batch.len().min(buffers.queued.len());
            buffers.queued.drain(..written);
        }
    }
}

/// Appends to a bounded list. Returns true if the oldest record was dropped.
fn push_bounded(list: &mut VecDeque<AuditRecord>, record: AuditRecord, capacity: usize) -> bool {
    list.push_back(record);
    let overflow = list.len() > capacity;
    if overflow {
        list.pop_front();
    }
    overflow
}
