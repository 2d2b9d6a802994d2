//! Decides when the origins of streams are written to the store, by whom, and what a host takes from
//! the records that it reads there.
//!
//! The load that this addresses: all hosts are killed at once while targets of several software
//! versions serve, and callers resume many streams at hosts that have just started. Up to 34,000
//! streams a second begin meanwhile, at up to 410 hosts, and each call to the store is charged.

use {
    crate::{
        StreamOrigin, StreamOriginRecord, Time, hash::text_hash,
        stream_origins::CLOCK_DIFFERENCE_MAX_MS,
    },
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Hosts for which there is one partition of the origins.
const HOSTS_PER_PARTITION: usize = 16;

/// Most partitions. Each has at most one call to the store in flight.
const PARTITIONS_MAX: usize = 8;

/// Shortest time from one write of a partition to the next: at most 20 calls a second.
pub const WRITE_INTERVAL_MS: u64 = 50;

/// Shortest time from one message of a host to a recorder to the next, in fleets of up to
/// [`HOSTS_PER_SEND_INTERVAL`] hosts. In larger ones it rises with their number, so that a recorder
/// gets about 400 messages a second.
const SEND_INTERVAL_MS: u64 = 20;

const HOSTS_PER_SEND_INTERVAL: u64 = 8;

/// Longest time from one message to a recorder to the next.
const SEND_INTERVAL_MAX_MS: u64 = 500;

/// Time that one host adds to the shortest time between its reads, so that all hosts together make
/// about 500 reading calls a second.
const READ_INTERVAL_PER_HOST_MS: u64 = 2;

/// Longest of these times; a resumed stream waits for about one read.
const READ_INTERVAL_MAX_MS: u64 = 400;

/// Time after which an origin that could not be written is dropped.
const WAIT_MAX_MS: u64 = 30_000;

/// Origins in one batch.
const BATCH_MAX: usize = 2_000;

/// Origins that wait in one queue; the oldest are dropped beyond that.
const WAITING_MAX: usize = 32_768;

/// Pause after a batch that could not be handed on.
const FAILURE_PAUSE_MS: u64 = 200;

/// Keys of one recorder in the topic. Each write of a recorder takes the next one, so a record stays
/// for 51 s, which exceeds the longest time from the first event of a stream to its resumption.
const SLOTS: u64 = 1024;

/// Origins read from the store that are kept; the oldest are dropped beyond that.
const STORED_MAX: usize = 1 << 18;

/// Longest time for which an origin read from the store is kept.
const STORED_LIFE_MAX_MS: u64 = SLOTS * WRITE_INTERVAL_MS;

/// Number of partitions of the origins in a fleet of `hosts` hosts.
#[must_use]
pub fn origin_partitions(hosts: usize) -> u64 {
    hosts.div_ceil(HOSTS_PER_PARTITION).clamp(1, PARTITIONS_MAX) as u64
}

/// The partition of the stream that request `request_id` began.
#[must_use]
pub fn origin_partition(request_id: &str, partitions: u64) -> u64 {
    text_hash(request_id) % partitions.max(1)
}

/// Key by which the recorder of a partition is chosen in rendezvous order.
#[must_use]
pub fn recorder_key(partition: u64) -> String {
    format!("stream-origins/{partition}")
}

/// Shortest time from one message of a host to a recorder to the next, in a fleet of `hosts` hosts.
#[must_use]
pub fn send_interval_ms(hosts: usize) -> u64 {
    let scaled = SEND_INTERVAL_MS * hosts as u64 / HOSTS_PER_SEND_INTERVAL;
    scaled.clamp(SEND_INTERVAL_MS, SEND_INTERVAL_MAX_MS)
}

/// Shortest time from the end of one read of the topic by a host to the next, in a fleet of `hosts`
/// hosts.
#[must_use]
pub fn read_interval_ms(hosts: usize) -> u64 {
    (READ_INTERVAL_PER_HOST_MS * hosts as u64).clamp(WRITE_INTERVAL_MS, READ_INTERVAL_MAX_MS)
}

#[derive(Clone, Debug)]
struct WaitingOrigin {
    record: StreamOriginRecord,
    dropped_at: Time,
}

/// Origins that wait to be handed on in batches, one batch at a time.
#[derive(Clone, Debug, Default)]
pub struct OriginQueue {
    waiting: VecDeque<WaitingOrigin>,
    in_flight: Vec<WaitingOrigin>,
    next_at: Time,
}

impl OriginQueue {
    /// Adds an origin. Returns the number of origins dropped for it.
    pub fn push(&mut self, now: Time, record: StreamOriginRecord) -> usize {
        let dropped_at = now.after_ms(WAIT_MAX_MS).min(record.expires_at);
        self.waiting.push_back(WaitingOrigin { record, dropped_at });
        self.drop_excess()
    }

    /// Takes the next batch, unless one is in flight or was too recently.
    pub fn take(&mut self, now: Time, interval_ms: u64) -> Option<Vec<StreamOriginRecord>> {
        if !self.in_flight.is_empty() || now < self.next_at || self.waiting.is_empty() {
            return None;
        }
        self.next_at = now.after_ms(interval_ms);
        let count = self.waiting.len().min(BATCH_MAX);
        self.in_flight = self.waiting.drain(..count).collect();
        Some(self.in_flight.iter().map(|origin| origin.record.clone()).collect())
    }

    /// Records that the batch in flight was handed on.
    pub fn record_done(&mut self) {
        self.in_flight.clear();
    }

    /// Records that the batch in flight may not have been handed on. It is sent again; twice the same
    /// origin does no harm. Returns the number of origins that have waited for too long and are
    /// dropped.
    pub fn record_failed(&mut self, now: Time) -> usize {
        self.next_at = now.after_ms(FAILURE_PAUSE_MS);
        for origin in self.in_flight.drain(..).rev() {
            self.waiting.push_front(origin);
        }
        let before = self.waiting.len();
        self.waiting.retain(|origin| now < origin.dropped_at);
        before - self.waiting.len() + self.drop_excess()
    }

    /// Time at which the next batch may be taken; none if nothing waits or a batch is in flight.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        (self.in_flight.is_empty() && !self.waiting.is_empty()).then_some(self.next_at)
    }

    /// Number of origins that wait or are in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// True if no origin waits or is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn drop_excess(&mut self) -> usize {
        let excess = self.waiting.len().saturating_sub(WAITING_MAX);
        self.waiting.drain(..excess);
        excess
    }
}

/// Chooses the keys under which a recorder writes its batches.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginSlots {
    last: u64,
}

impl OriginSlots {
    /// The next slot. It follows from the time, so that a recorder that restarts does not overwrite
    /// what its earlier process has just written.
    pub fn next(&mut self, unix_ms: u64) -> u64 {
        self.last = (unix_ms / WRITE_INTERVAL_MS).max(self.last + 1);
        self.last % SLOTS
    }
}

/// A batch of origins as the store keeps it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OriginBatch {
    groups: Vec<OriginGroup>,
}

/// Streams of one service and software version, by request id, with the end of their lifetime as
/// Unix time in milliseconds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct OriginGroup {
    service: FastStr,
    version: FastStr,
    streams: Vec<(FastStr, u64)>,
}

impl OriginBatch {
    /// The batch of `records`.
    #[must_use]
    pub fn new(now: Time, unix_ms: u64, records: &[StreamOriginRecord]) -> Self {
        let mut by_origin: IndexMap<(&FastStr, &FastStr), Vec<(FastStr, u64)>> = IndexMap::new();
        for StreamOriginRecord { request_id, origin, expires_at } in records {
            let streams = by_origin.entry((&origin.service, &origin.software_version)).or_default();
            streams.push((request_id.clone(), unix_ms + now.ms_until(*expires_at)));
        }
        let group = |((service, version), streams): ((&FastStr, &FastStr), _)| OriginGroup {
            service: service.clone(),
            version: version.clone(),
            streams,
        };
        Self { groups: by_origin.into_iter().map(group).collect() }
    }
}

/// What the records of the store say about the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoredOrigin {
    /// The stream began there.
    Known(StreamOrigin),
    /// Two records name different origins.
    Conflict,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    origin: StoredOrigin,
    expires_at: Time,
}

/// Origins of streams as read from the store. A record is a fact, so one from an older copy of the
/// store counts as well.
#[derive(Clone, Debug, Default)]
pub struct StoredOrigins {
    by_request: IndexMap<FastStr, StoredEntry>,
}

impl StoredOrigins {
    /// Adds the origins of a record, possibly written with another clock.
    pub fn merge(&mut self, now: Time, unix_ms: u64, batch: OriginBatch) {
        for OriginGroup { service, version, streams } in batch.groups {
            let origin = StreamOrigin { service, software_version: version };
            for (request_id, end_unix_ms) in streams {
                let remaining_ms = (end_unix_ms + CLOCK_DIFFERENCE_MAX_MS).saturating_sub(unix_ms);
                if remaining_ms == 0 {
                    continue;
                }
                let expires_at = now.after_ms(remaining_ms.min(STORED_LIFE_MAX_MS));
                let known = StoredOrigin::Known(origin.clone());
                let entry = self.by_request.entry(request_id);
                let entry =
                    entry.or_insert_with(|| StoredEntry { origin: known.clone(), expires_at });
                entry.expires_at = entry.expires_at.max(expires_at);
                if entry.origin != known {
                    entry.origin = StoredOrigin::Conflict;
                }
            }
        }
    }

    /// Removes what has expired, and the oldest of too many.
    pub fn remove_expired(&mut self, now: Time) {
        self.by_request.retain(|_, entry| now < entry.expires_at);
        let excess = self.by_request.len().saturating_sub(STORED_MAX);
        self.by_request.drain(..excess);
    }

    /// What the records say about the stream that request `request_id` began.
    #[must_use]
    pub fn find(&self, now: Time, request_id: &str) -> Option<StoredOrigin> {
        let entry = self.by_request.get(request_id)?;
        (now < entry.expires_at).then(|| entry.origin.clone())
    }

    /// Number of origins, including those that have expired since the last removal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// True if there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
