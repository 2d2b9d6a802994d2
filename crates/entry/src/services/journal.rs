//! The journal of this entry: its records on the way to the log, and the fold of the stream.

use {
    crate::state::Entry,
    egret_core::{Journal, JournalRecord, Time, Written},
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
const APPEND_MS: u64 = 1500;

/// Records in one append.
const APPEND_RECORDS_MAX: usize = 500;

/// Wait before settlements are tried again, in milliseconds.
const RETRY_MS: u64 = 500;

/// Keys are kept this long beyond their expiry, for differing wall clocks, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 60_000;

struct Waiting {
    record: JournalRecord,
    tell: oneshot::Sender<Written>,
}

/// The journal of this entry.
#[derive(Debug)]
pub(crate) struct JournalState {
    fold: Mutex<Journal>,
    intents: Mutex<Vec<Waiting>>,
    settlements: Mutex<Vec<JournalRecord>>,
    written: watch::Sender<u64>,
    work: Notify,
    read: AtomicBool,
    numbers: AtomicU64,
}

impl std::fmt::Debug for Waiting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.record.fmt(f)
    }
}

impl JournalState {
    /// A journal that has read nothing yet.
    pub(crate) fn new(key_max_ms: u64) -> Self {
        Self {
            fold: Mutex::new(Journal::new(key_max_ms)),
            intents: Mutex::default(),
            settlements: Mutex::default(),
            written: watch::Sender::new(0),
            work: Notify::new(),
            read: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
        }
    }

    /// True once the stream was read to its end.
    pub(crate) fn ready(&self) -> bool {
        self.read.load(Ordering::Acquire)
    }

    /// Looks into the fold.
    pub(super) fn with<T>(&self, look: impl FnOnce(&Journal) -> T) -> T {
        look(&self.fold.lock())
    }

    /// A number for a new attempt of this entry.
    pub(super) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Keys held, and settlements that wait for the log.
    pub(crate) fn sizes(&self) -> (usize, usize) {
        let keys = self.fold.lock().len();
        (keys, self.settlements.lock().len())
    }

    /// Writes an intent and tells what became of it.
    pub(super) async fn write(&self, record: JournalRecord) -> Written {
        let (tell, told) = oneshot::channel();
        self.intents.lock().push(Waiting { record, tell });
        self.work.notify_one();
        told.await.unwrap_or(Written::Maybe)
    }

    /// Writes a settlement and waits until it is on the log, at most until `deadline`. It is
    /// written in any case.
    pub(super) async fn settle_by(&self, record: JournalRecord, deadline: Time) {
        let mut written = self.written.subscribe();
        let number = {
            let mut settlements = self.settlements.lock();
            settlements.push(record);
            *written.borrow() + settlements.len() as u64
        };
        self.work.notify_one();
        let left = Duration::from_millis(now().ms_until(deadline));
        let _ = tokio::time::timeout(left, written.wait_for(|count| *count >= number)).await;
    }

    /// Writes a settlement some time, again and again until the log has it.
    pub(super) fn settle(&self, record: JournalRecord) {
        self.settlements.lock().push(record);
        self.work.notify_one();
    }

    /// Reads the stream to its end. True when it was reached before `deadline`: the fold then
    /// holds every record that was on the log when this call began.
    pub(super) async fn refresh(&self, entry: &Entry, deadline: Time) -> bool {
        loop {
            let from = self.fold.lock().read_to();
            let read = entry.log.read(JOURNAL_STREAM, from, 0, deadline).await;
            let Ok(batch) = read else {
                return false;
            };
            let at_end = batch.reaches_end();
            self.take(batch);
            if at_end {
                return true;
            }
        }
    }

    fn take(&self, batch: Batch) {
        let mut fold = self.fold.lock();
        fold.starts_at(unix_ms(), batch.start);
        for (offset, record) in batch.decode::<JournalRecord>() {
            match record {
                Some(record) => fold.observe(offset, record),
                None => events::LOG_RECORD_UNKNOWN
                    .warn(format_args!("stream={JOURNAL_STREAM} offset={offset}")),
            }
        }
        fold.expire(unix_ms(), EXPIRY_MARGIN_MS);
    }
}

/// Follows the journal stream for ever.
pub(crate) async fn follow_journal(entry: Arc<Entry>) {
    let mut tail = Tail::new(entry.log.clone(), JOURNAL_STREAM);
    loop {
        let (_, batch) = tail.next_batch().await;
        let at_end = batch.reaches_end();
        entry.journal.take(batch);
        if at_end {
            entry.journal.read.store(true, Ordering::Release);
        }
    }
}

/// Appends what waits, gathered into as few appends as possible, for ever.
pub(crate) async fn append_journal(entry: Arc<Entry>) {
    let journal = &entry.journal;
    loop {
        journal.work.notified().await;
        tokio::time::sleep(Duration::from_millis(entry.cfg.journal.gather_ms)).await;
        append_once(&entry).await;
        let more = !journal.intents.lock().is_empty() || !journal.settlements.lock().is_empty();
        if more {
            journal.work.notify_one();
        }
    }
}

async fn append_once(entry: &Entry) {
    let journal = &entry.journal;
    let intents = drain(&mut journal.intents.lock());
    let settlements: Vec<JournalRecord> = drain(&mut journal.settlements.lock());
    // settlements first: one may free a key that an intent behind it uses again
    let mut records = settlements.clone();
    records.extend(intents.iter().map(|waiting| waiting.record.clone()));
    if records.is_empty() {
        return;
    }
    let appended = entry.log.append(JOURNAL_STREAM, &records, now().after_ms(APPEND_MS)).await;
    let skipped = settlements.len() as u64;
    for (i, waiting) in intents.into_iter().enumerate() {
        let written = match &appended {
            Ok(appended) => Written::At(appended.first + skipped + i as u64),
            Err(LogError::Refused(_)) => Written::Not,
            Err(LogError::Unknown(_)) => Written::Maybe,
        };
        let _ = waiting.tell.send(written);
    }
    if appended.is_ok() {
        journal.written.send_modify(|count| *count += skipped);
    } else if !settlements.is_empty() {
        events::JOURNAL_UNSETTLED.warn(format_args!("count={}", settlements.len()));
        // settling twice changes nothing, so a lost answer is met by writing again
        journal.settlements.lock().extend(settlements);
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

fn drain<T>(list: &mut Vec<T>) -> Vec<T> {
    let count = list.len().min(APPEND_RECORDS_MAX);
    list.drain(..count).collect()
}
