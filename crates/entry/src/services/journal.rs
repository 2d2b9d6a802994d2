//! The journal of this entry: its records on the way to the log, and the fold of the stream.

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

/// Stream of the platform's log that carries the journal.
const JOURNAL_STREAM: &str = "journal";

/// How long one append may take, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1500;

/// Records in one append.
const APPEND_RECORDS_MAX: usize = 500;

/// Wait before settlements are tried again, in milliseconds.
const SETTLE_RETRY_MS: u64 = 500;

/// Keys are kept this long beyond their expiry, for differing wall clocks, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 60_000;

struct PendingIntent {
    record: JournalRecord,
    result_tx: oneshot::Sender<AppendOutcome>,
}

/// The journal of this entry.
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
    /// A journal that has read nothing yet.
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

    /// True once the stream was read to its end.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Looks into the fold.
    pub(super) fn with_replica<T>(&self, look: impl FnOnce(&Journal) -> T) -> T {
        look(&self.replica.lock())
    }

    /// A number for a new attempt of this entry.
    pub(super) fn next_attempt_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Keys held, and settlements that wait for the log.
    pub(crate) fn sizes(&self) -> (usize, usize) {
        let keys = self.replica.lock().len();
        (keys, self.pending_settlements.lock().len())
    }

    /// Writes an intent and tells what became of it.
    pub(super) async fn append_intent(&self, record: JournalRecord) -> AppendOutcome {
        let (tell, told) = oneshot::channel();
        self.pending_intents.lock().push(PendingIntent { record, result_tx: tell });
        self.work_pending.notify_one();
        told.await.unwrap_or(AppendOutcome::Uncertain)
    }

    /// Writes a settlement and waits until it is on the log, at most until `deadline`. It is
    /// written in any case.
    pub(super) async fn settle_and_wait(&self, record: JournalRecord, deadline: Time) {
        let mut written = self.settlements_written.subscribe();
        let number = {
            let mut settlements = self.pending_settlements.lock();
            settlements.push(record);
            *written.borrow() + settlements.len() as u64
        };
        self.work_pending.notify_one();
        let left = Duration::from_millis(now().ms_until(deadline));
        let _ = tokio::time::timeout(left, written.wait_for(|count| *count >= number)).await;
    }

    /// Writes a settlement some time, again and again until the log has it.
    pub(super) fn settle(&self, record: JournalRecord) {
        self.pending_settlements.lock().push(record);
        self.work_pending.notify_one();
    }

    /// Reads the stream to its end. True when it was reached before `deadline`: the fold then
    /// holds every record that was on the log when this call began.
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
        let mut fold = self.replica.lock();
        fold.set_stream_start(unix_ms(), batch.start);
        for (offset, record) in batch.decode::<JournalRecord>() {
            match record {
                Some(record) => fold.apply_record(offset, record),
                None => events::LOG_RECORD_UNKNOWN
                    .warn(format_args!("stream={JOURNAL_STREAM} offset={offset}")),
            }
        }
        fold.remove_expired(unix_ms(), EXPIRY_MARGIN_MS);
    }
}

/// Follows the journal stream for ever.
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

/// Appends what waits, gathered into as few appends as possible, for ever.
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
    // settlements first: one may free a key that an intent behind it uses again
    let mut records = settlements.clone();
    records.extend(intents.iter().map(|waiting| waiting.record.clone()));
    if records.is_empty() {
        return;
    }
    let appended =
        entry.log.append(JOURNAL_STREAM, &records, now().after_ms(APPEND_TIMEOUT_MS)).await;
    let skipped = settlements.len() as u64;
    for (i, waiting) in intents.into_iter().enumerate() {
        let written = match &appended {
            Ok(appended) => AppendOutcome::Appended(appended.first + skipped + i as u64),
            Err(LogError::Refused(_)) => AppendOutcome::NotAppended,
            Err(LogError::Unknown(_)) => AppendOutcome::Uncertain,
        };
        let _ = waiting.result_tx.send(written);
    }
    if appended.is_ok() {
        journal.settlements_written.send_modify(|count| *count += skipped);
    } else if !settlements.is_empty() {
        events::JOURNAL_UNSETTLED.warn(format_args!("count={}", settlements.len()));
        // settling twice changes nothing, so a lost answer is met by writing again
        journal.pending_settlements.lock().extend(settlements);
        tokio::time::sleep(Duration::from_millis(SETTLE_RETRY_MS)).await;
    }
}

fn take_batch<T>(list: &mut Vec<T>) -> Vec<T> {
    let count = list.len().min(APPEND_RECORDS_MAX);
    list.drain(..count).collect()
}
