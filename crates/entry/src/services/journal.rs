//! The journal: the queue of records to append to the log, and a replica built from its stream.

use {
    crate::state::Entry,
    egret_core::{AppendOutcome, Journal, JournalRecord, Time},
    egret_runtime::{Batch, LogError, Tail, events, now, unix_ms},
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, oneshot, watch},
};

/// Log stream of the journal.
const JOURNAL_STREAM: &str = "journal";

/// Timeout of one append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1500;

/// Limit of intents, and of settlements, in one append.
const APPEND_RECORDS_MAX: usize = 500;

/// Delay after an append of settlements has failed, in milliseconds.
const SETTLE_RETRY_MS: u64 = 500;

/// Time for which keys are kept after their expiry, in milliseconds, because the wall clocks of
/// hosts differ.
const EXPIRY_MARGIN_MS: u64 = 60_000;

struct PendingIntent {
    record: JournalRecord,
    result_tx: oneshot::Sender<AppendOutcome>,
}

/// Journal state of this entry.
#[derive(Debug)]
pub(crate) struct JournalState {
    replica: Mutex<Journal>,
    pending_intents: Mutex<Vec<PendingIntent>>,
    pending_settlements: Mutex<Vec<JournalRecord>>,
    settlements_written: watch::Sender<u64>,
    work_pending: Notify,
    caught_up: AtomicBool,
    next_number: AtomicU64,
}

impl std::fmt::Debug for PendingIntent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.record.fmt(f)
    }
}

impl JournalState {
    /// Creates a journal that has read no records.
    pub(crate) fn new(key_max_ms: u64) -> Self {
        Self {
            replica: Mutex::new(Journal::new(key_max_ms)),
            pending_intents: Mutex::default(),
            pending_settlements: Mutex::default(),
            settlements_written: watch::Sender::new(0),
            work_pending: Notify::new(),
            caught_up: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
        }
    }

    /// Returns true once the stream has been read to its end.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Calls `read` with the locked replica.
    pub(super) fn with_replica<T>(&self, read: impl FnOnce(&Journal) -> T) -> T {
        read(&self.replica.lock())
    }

    /// Returns the number of the next attempt of this entry.
    pub(super) fn next_attempt_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of keys and of pending settlements.
    pub(crate) fn sizes(&self) -> (usize, usize) {
        let keys = self.replica.lock().len();
        (keys, self.pending_settlements.lock().len())
    }

    /// Appends an intent to the log and returns the result.
    pub(super) async fn append_intent(&self, record: JournalRecord) -> AppendOutcome {
        let (result_tx, result_rx) = oneshot::channel();
        self.pending_intents.lock().push(PendingIntent { record, result_tx });
        self.work_pending.notify_one();
        result_rx.await.unwrap_or(AppendOutcome::Uncertain)
    }

    /// Queues a settlement and waits until it has been appended or `deadline` has passed. It stays
    /// queued after the deadline.
    pub(super) async fn settle_and_wait(&self, record: JournalRecord, deadline: Time) {
        let mut written = self.settlements_written.subscribe();
        let number = {
            let mut settlements = self.pending_settlements.lock();
            settlements.push(record);
            *written.borrow() + settlements.len() as u64
        };
        self.work_pending.notify_one();
        let remaining = Duration::from_millis(now().ms_until(deadline));
        let _ = tokio::time::timeout(remaining, written.wait_for(|count| *count >= number)).await;
    }

    /// Queues a settlement, which is retried until the append succeeds.
    pub(super) fn settle(&self, record: JournalRecord) {
        self.pending_settlements.lock().push(record);
        self.work_pending.notify_one();
    }

    /// Reads the stream to its end. Returns true if the end was reached before `deadline`: the
    /// replica then holds every record that was in the log when this call began.
    pub(super) async fn read_to_end(&self, entry: &Entry, deadline: Time) -> bool {
        loop {
            let from = self.replica.lock().next_offset();
            let read = entry.log.read(JOURNAL_STREAM, from, 0, deadline).await;
            let Ok(batch) = read else {
                return false;
            };
            let at_end = batch.reaches_end();
            self.apply(batch);
            if at_end {
                return true;
            }
        }
    }

    fn apply(&self, batch: Batch) {
        let mut replica = self.replica.lock();
        replica.set_stream_start(unix_ms(), batch.start);
        for (offset, record) in batch.decode::<JournalRecord>() {
            match record {
                Some(record) => replica.apply_record(offset, record),
                None => events::LOG_RECORD_UNKNOWN
                    .warn(format_args!("stream={JOURNAL_STREAM} offset={offset}")),
            }
        }
        replica.remove_expired(unix_ms(), EXPIRY_MARGIN_MS);
    }
}

/// Applies new records of the journal stream to the replica, forever.
pub(crate) async fn follow_journal(entry: Arc<Entry>) {
    let mut tail = Tail::new(entry.log.clone(), JOURNAL_STREAM);
    loop {
        let (_, batch) = tail.next_batch().await;
        let at_end = batch.reaches_end();
        entry.journal.apply(batch);
        if at_end {
            entry.journal.caught_up.store(true, Ordering::Release);
        }
    }
}

/// Appends pending records in batches, forever.
pub(crate) async fn append_journal(entry: Arc<Entry>) {
    let journal = &entry.journal;
    loop {
        journal.work_pending.notified().await;
        tokio::time::sleep(Duration::from_millis(entry.cfg.journal.gather_ms)).await;
        append_once(&entry).await;
        let more = !journal.pending_intents.lock().is_empty()
            || !journal.pending_settlements.lock().is_empty();
        if more {
            journal.work_pending.notify_one();
        }
    }
}

async fn append_once(entry: &Entry) {
    let journal = &entry.journal;
    let intents = take_batch(&mut journal.pending_intents.lock());
    let settlements: Vec<JournalRecord> = take_batch(&mut journal.pending_settlements.lock());
    // Settlements go first, because one may free a key that a later intent reuses.
    let mut records = settlements.clone();
    records.extend(intents.iter().map(|intent| intent.record.clone()));
    if records.is_empty() {
        return;
    }
    let appended =
        entry.log.append(JOURNAL_STREAM, &records, now().after_ms(APPEND_TIMEOUT_MS)).await;
    let settlement_count = settlements.len() as u64;
    for (i, intent) in intents.into_iter().enumerate() {
        let written = match &appended {
            Ok(appended) => AppendOutcome::Appended(appended.first + settlement_count + i as u64),
            Err(LogError::Refused(_)) => AppendOutcome::NotAppended,
            Err(LogError::Unknown(_)) => AppendOutcome::Uncertain,
        };
        let _ = intent.result_tx.send(written);
    }
    if appended.is_ok() {
        journal.settlements_written.send_modify(|count| *count += settlement_count);
    } else if !settlements.is_empty() {
        events::JOURNAL_UNSETTLED.warn(format_args!("count={}", settlements.len()));
        // Settlements are idempotent, so they are appended again if the answer was lost.
        journal.pending_settlements.lock().extend(settlements);
        tokio::time::sleep(Duration::from_millis(SETTLE_RETRY_MS)).await;
    }
}

fn take_batch<T>(list: &mut Vec<T>) -> Vec<T> {
    let count = list.len().min(APPEND_RECORDS_MAX);
    list.drain(..count).collect()
}
