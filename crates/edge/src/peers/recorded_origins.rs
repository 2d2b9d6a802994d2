//! Origins of streams in the platform's store, for callers that resume streams after all hosts were
//! killed.
//!
//! Hosts send origins in batches to the recorder of their partition, which appends them. A host reads
//! them when it finds several software versions at its start, and when no host knows the origin of a
//! stream.

use {
    super::{
        gossip, links,
        stream_origins::{origin_message, record_from_message},
    },
    crate::state::Edge,
    bytes::Bytes,
    egret_core::{
        OriginBatch, OriginQueue, OriginSlots, StoredOrigin, StoredOrigins, StreamOriginRecord,
        Time, WRITE_INTERVAL_MS, origin_partition, origin_partitions, read_interval_ms,
        recorder_key, send_interval_ms,
    },
    egret_platform::{Page, StoreError, Topic},
    egret_runtime::{Body, StreamOriginsMsg, events, now, unix_ms, with_deadline},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Longest wait for the answer of a recorder.
const RECORDER_TIMEOUT_MS: u64 = 500;

/// Longest wait for an answer of the store.
const STORE_TIMEOUT_MS: u64 = 1500;

/// Longest wait of a resumed stream for a read of the store.
const FIND_TIMEOUT_MS: u64 = 500;

/// Pause after a failed read.
const FAILURE_PAUSE_MS: u64 = 100;

type Queues = Mutex<IndexMap<u64, OriginQueue>>;

/// Origins on their way to the store, and those read from it.
#[derive(Debug, Default)]
pub(crate) struct OriginRecording {
    // by partition, for its recorder
    sends: Queues,
    // by partition, of which this host is a recorder
    writes: Queues,
    slots: Mutex<OriginSlots>,
    // notified when an origin waits or a batch was handed on
    is_due: Notify,
    is_write_failing: AtomicBool,
    stored: Mutex<StoredOrigins>,
    is_read_wanted: Notify,
    // start of the last read that reached the end of the topic
    read_at: watch::Sender<Time>,
}

/// Has the origins of `records` written to the store.
pub(super) fn record(edge: &Edge, records: impl IntoIterator<Item = StreamOriginRecord>) {
    enqueue(edge, &edge.origin_recording.sends, records);
}

/// Takes over origins that another host has sent to this one as their recorder.
pub(super) fn accept(edge: &Edge, message: StreamOriginsMsg) {
    let records = message.origins.into_iter().map(record_from_message);
    enqueue(edge, &edge.origin_recording.writes, records);
}

fn enqueue(edge: &Edge, queues: &Queues, records: impl IntoIterator<Item = StreamOriginRecord>) {
    let partitions = origin_partitions(host_count(edge));
    let mut dropped = 0;
    {
        let mut queues = queues.lock();
        for record in records {
            let partition = origin_partition(&record.request_id, partitions);
            dropped += queues.entry(partition).or_default().push(now(), record);
        }
    }
    record_dropped(edge, dropped);
    edge.origin_recording.is_due.notify_one();
}

fn host_count(edge: &Edge) -> usize {
    usize::try_from(edge.budget_host_count()).unwrap_or(usize::MAX)
}

fn record_dropped(edge: &Edge, dropped: usize) {
    if dropped > 0 {
        edge.counts.origins_dropped.inc_by(dropped as u64);
        events::ORIGINS_DROPPED.warn(format_args!("origins={dropped}"));
    }
}

/// Sends origins to their recorders, and writes those of which this host is the recorder.
pub(super) async fn write(edge: Arc<Edge>) {
    let recording = &edge.origin_recording;
    loop {
        for (partition, batch) in take(&recording.sends, send_interval_ms(host_count(&edge))) {
            tokio::spawn(send_batch(edge.clone(), partition, batch));
        }
        for (partition, batch) in take(&recording.writes, WRITE_INTERVAL_MS) {
            tokio::spawn(write_batch(edge.clone(), partition, batch));
        }
        let next_sends = next_at(&recording.sends);
        let next_writes = next_at(&recording.writes);
        match next_sends.into_iter().chain(next_writes).min() {
            Some(next) => {
                let pause = Duration::from_millis(now().ms_until(next).max(1));
                let _ = tokio::time::timeout(pause, recording.is_due.notified()).await;
            }
            None => recording.is_due.notified().await,
        }
    }
}

fn take(queues: &Queues, interval_ms: u64) -> Vec<(u64, Vec<StreamOriginRecord>)> {
    let mut queues = queues.lock();
    let batches = queues.iter_mut();
    batches
        .filter_map(|(partition, queue)| Some((*partition, queue.take(now(), interval_ms)?)))
        .collect()
}

fn next_at(queues: &Queues) -> Option<Time> {
    queues.lock().values().filter_map(OriginQueue::next_at).min()
}

fn finish_batch(edge: &Edge, queues: &Queues, partition: u64, is_done: bool) {
    let dropped = {
        let mut queues = queues.lock();
        let queue = queues.entry(partition).or_default();
        if is_done {
            queue.record_done();
            0
        } else {
            queue.record_failed(now())
        }
    };
    record_dropped(edge, dropped);
    edge.origin_recording.is_due.notify_one();
}

async fn send_batch(edge: Arc<Edge>, partition: u64, batch: Vec<StreamOriginRecord>) {
    let sends = &edge.origin_recording.sends;
    let Some(recorder) = gossip::first_other_recorder(&edge, &recorder_key(partition)) else {
        enqueue(&edge, &edge.origin_recording.writes, batch);
        finish_batch(&edge, sends, partition, true);
        return;
    };
    let origins = batch.iter().map(origin_message).collect();
    let message = Body::StreamOrigins(StreamOriginsMsg { origins, is_for_store: true });
    let deadline = now().after_ms(RECORDER_TIMEOUT_MS);
    let answer = links::call(&edge, &recorder, message, deadline).await;
    finish_batch(&edge, sends, partition, matches!(answer, Ok(Body::Ok(_))));
}

async fn write_batch(edge: Arc<Edge>, partition: u64, batch: Vec<StreamOriginRecord>) {
    let recording = &edge.origin_recording;
    let slot = recording.slots.lock().next(unix_ms());
    let key = FastStr::from_string(format!("{partition}/{}/{slot}", edge.cfg.host));
    let value = serde_json::to_vec(&OriginBatch::new(now(), unix_ms(), &batch))
        .expect("batch of origins serializes to JSON");
    let records = [(key, Bytes::from(value))];
    let deadline = now().after_ms(STORE_TIMEOUT_MS);
    let appended = edge.store.append(Topic::StreamOrigins, &records, None, deadline).await;
    let was_failing = recording.is_write_failing.swap(appended.is_err(), Ordering::AcqRel);
    if let (Err(e), false) = (&appended, was_failing) {
        events::ORIGINS_NOT_WRITTEN.warn(format_args!("origins={} problem={e}", batch.len()));
    }
    finish_batch(&edge, &recording.writes, partition, appended.is_ok());
}

/// True if this process has not read the topic yet.
pub(crate) fn is_read_due(edge: &Edge) -> bool {
    *edge.origin_recording.read_at.borrow() == Time::ZERO
}

/// Has the topic read up to its end.
pub(crate) fn request_read(edge: &Edge) {
    edge.origin_recording.is_read_wanted.notify_one();
}

/// Reads the topic when that was requested, one read after the other.
pub(super) async fn read(edge: Arc<Edge>) {
    let recording = &edge.origin_recording;
    let mut position = None;
    let mut is_failing = false;
    loop {
        recording.is_read_wanted.notified().await;
        let started = now();
        let deadline = started.after_ms(STORE_TIMEOUT_MS);
        let page = match position {
            Some(from) => edge.store.read(Topic::StreamOrigins, from, 0, deadline).await,
            None => edge.store.read_newest(Topic::StreamOrigins, deadline).await,
        };
        let mut pause_ms = read_interval_ms(host_count(&edge));
        match page {
            Ok(page) => {
                let is_at_end = page.next_offset >= page.end_offset;
                merge_page(&edge, &page, position.is_none());
                position = Some(page.next_offset);
                is_failing = false;
                if is_at_end {
                    recording.read_at.send_replace(started);
                } else {
                    recording.is_read_wanted.notify_one();
                }
            }
            Err(StoreError::Gone | StoreError::Restored) => {
                position = None;
                recording.is_read_wanted.notify_one();
            }
            Err(e) => {
                if !std::mem::replace(&mut is_failing, true) {
                    events::ORIGINS_NOT_READ.warn(format_args!("problem={e}"));
                }
                pause_ms = FAILURE_PAUSE_MS;
                if recording.read_at.receiver_count() > 0 {
                    recording.is_read_wanted.notify_one();
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn merge_page(edge: &Edge, page: &Page, is_listing: bool) {
    let (now, unix_ms) = (now(), unix_ms());
    let mut stored = edge.origin_recording.stored.lock();
    for record in &page.records {
        let Some(value) = &record.value else {
            continue;
        };
        match serde_json::from_slice::<OriginBatch>(value) {
            Ok(batch) => stored.merge(now, unix_ms, batch),
            Err(e) => events::LOG_RECORD_UNKNOWN
                .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset)),
        }
    }
    stored.remove_expired(now);
    let count = stored.len();
    drop(stored);
    if is_listing {
        events::ORIGINS_READ.info(format_args!("records={} origins={count}", page.records.len()));
    }
}

/// What has been read from the store about the stream that request `request_id` began.
fn stored_origin(edge: &Edge, request_id: &str) -> Option<StoredOrigin> {
    edge.origin_recording.stored.lock().find(now(), request_id)
}

/// What the store says about the stream that request `request_id` began. If nothing has been read about
/// it, this reads the topic up to its end, within [`FIND_TIMEOUT_MS`].
pub(crate) async fn find_stored(edge: &Edge, request_id: &str) -> Option<StoredOrigin> {
    if let Some(found) = stored_origin(edge, request_id) {
        return Some(found);
    }
    let asked_at = now();
    let mut reads = edge.origin_recording.read_at.subscribe();
    request_read(edge);
    let read = reads.wait_for(|read_at| *read_at >= asked_at);
    // a read that comes too late leaves the stream unknown
    let _ = with_deadline(asked_at.after_ms(FIND_TIMEOUT_MS), read).await;
    stored_origin(edge, request_id)
}
