//! Reads the bodies of requests into a share of memory that has a limit.

use {
    super::pieces::Pieces,
    crate::clock::now,
    bytes::Bytes,
    egret_core::{BodyDecision, BodyRoom, Time},
    http_body::Body,
    http_body_util::BodyExt,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{pin::pin, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        sync::Notify,
        time::{Instant, sleep_until, timeout},
    },
};

/// Part of a host's memory that the bodies of requests take at most.
const HOST_MEMORY_PARTS: u64 = 8;

/// The same, if a configuration allows bodies of which two would not fit.
const HOST_MEMORY_PARTS_ENLARGED: u64 = 2;

/// Longest wait for bodies that were cut to give back their memory, in milliseconds.
const ROOM_WAIT_MS: u64 = 400;

/// Interval at which a body that waits asks again in any case.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which parts are recorded that need no memory. There may be millions of them.
const RECORD_INTERVAL_MS: u64 = 100;

/// Bounds on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Largest length, in bytes.
    pub bytes_max: usize,
    /// Longest time between two parts, in milliseconds.
    pub pause_ms: u64,
    /// Time from which the body makes way for others if there is no room.
    pub slow_at: Time,
    /// Time by which it has to be complete.
    pub deadline: Time,
}

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyReadError {
    /// It is longer than it may be.
    #[error("the body is too large")]
    TooLarge,
    /// Its connection broke, or it is not valid.
    #[error("the body broke off")]
    Broken,
    /// It was not complete in time, or nothing came for too long.
    #[error("the body did not come in time")]
    TimedOut,
    /// There is no memory for it, or it made way for another one.
    #[error("no memory for the body")]
    NoRoom,
}

#[derive(Debug)]
struct State {
    room: BodyRoom,
    // notified to cut a body that is being read
    cuts: IndexMap<u64, Arc<Notify>>,
}

/// The bodies that a process holds.
#[derive(Debug)]
pub struct RequestBodies {
    state: Mutex<State>,
    // notified when memory was given back; each notice is for one body that waits
    freed: Notify,
}

/// The memory that a body takes, until it is dropped.
#[derive(Debug)]
pub struct BodyMemory {
    bodies: Arc<RequestBodies>,
    id: u64,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let mut state = self.bodies.state.lock();
        state.room.remove(self.id);
        state.cuts.swap_remove(&self.id);
        drop(state);
        self.bodies.freed.notify_one();
    }
}

impl RequestBodies {
    /// Bodies that take their part of the memory of a host with `host_mb` megabytes.
    #[must_use]
    pub fn new(host_mb: u64) -> Arc<Self> {
        let part = |parts: u64| {
            let bytes = host_mb.saturating_mul(1024 * 1024) / parts;
            usize::try_from(bytes).unwrap_or(usize::MAX)
        };
        let room = BodyRoom::new(part(HOST_MEMORY_PARTS), part(HOST_MEMORY_PARTS_ENLARGED));
        let state = Mutex::new(State { room, cuts: IndexMap::new() });
        Arc::new(Self { state, freed: Notify::new() })
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.state.lock().room.taken()
    }

    /// Reads a body. `on_part` is called as parts arrive, though not for each one.
    ///
    /// # Errors
    ///
    /// The reason why it was not read.
    pub async fn read<B>(
        self: &Arc<Self>,
        body: B,
        bounds: BodyBounds,
        on_part: impl Fn(),
    ) -> Result<(Bytes, Option<BodyMemory>), BodyReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut body = body;
        if body.size_hint().lower() > bounds.bytes_max as u64 {
            return Err(BodyReadError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let (memory, cut) = self.begin(bounds);
        let mut cut = pin!(cut.notified());
        let mut pieces = Pieces::default();
        let mut last_part_at = now();
        let mut recorded_at = last_part_at;
        let mut watchdog = pin!(sleep_until(instant(bounds.next_deadline(last_part_at))));
        loop {
            let frame = tokio::select! {
                biased;
                () = cut.as_mut() => return Err(BodyReadError::NoRoom),
                frame = body.frame() => frame,
                () = watchdog.as_mut() => {
                    // moved here rather than at each part, of which there may be millions
                    let deadline = bounds.next_deadline(last_part_at);
                    if now() >= deadline {
                        return Err(BodyReadError::TimedOut);
                    }
                    watchdog.as_mut().reset(instant(deadline));
                    continue;
                }
            };
            let Some(frame) = frame else {
                break;
            };
            let Ok(data) = frame.map_err(|_| BodyReadError::Broken)?.into_data() else {
                continue;
            };
            last_part_at = now();
            if pieces.len() + data.len() > bounds.bytes_max {
                return Err(BodyReadError::TooLarge);
            }
            let remaining = body.size_hint().exact().map(|rest| rest + data.len() as u64);
            let growth = pieces.growth(&data, remaining);
            if growth > 0 {
                self.take(&memory, growth).await?;
            }
            if growth > 0 || last_part_at >= recorded_at.after_ms(RECORD_INTERVAL_MS) {
                self.state.lock().room.record_part(last_part_at, memory.id);
                recorded_at = last_part_at;
                on_part();
            }
            pieces.push(&data, remaining);
        }
        let bytes = pieces.into_bytes();
        self.state.lock().room.complete(memory.id, bytes.len());
        Ok((bytes, Some(memory)))
    }

    fn begin(self: &Arc<Self>, bounds: BodyBounds) -> (BodyMemory, Arc<Notify>) {
        let cut = Arc::new(Notify::new());
        let mut state = self.state.lock();
        state.room.fit(bounds.bytes_max);
        let id = state.room.begin(now(), bounds.slow_at);
        state.cuts.insert(id, cut.clone());
        drop(state);
        (BodyMemory { bodies: self.clone(), id }, cut)
    }

    async fn take(&self, memory: &BodyMemory, bytes: usize) -> Result<(), BodyReadError> {
        let give_up_at = now().after_ms(ROOM_WAIT_MS);
        let mut has_waited = false;
        loop {
            {
                let mut state = self.state.lock();
                match state.room.take(now(), memory.id, bytes) {
                    BodyDecision::Taken => break,
                    BodyDecision::Full => return Err(BodyReadError::NoRoom),
                    BodyDecision::Cut(ids) => {
                        for cut in ids.iter().filter_map(|id| state.cuts.get(id)) {
                            cut.notify_one();
                        }
                    }
                }
            }
            if now() >= give_up_at {
                return Err(BodyReadError::NoRoom);
            }
            let _ = timeout(ROOM_POLL_INTERVAL, self.freed.notified()).await;
            has_waited = true;
        }
        if has_waited {
            // there may be room for the next one as well
            self.freed.notify_one();
        }
        Ok(())
    }
}

impl BodyBounds {
    // time by which the next part has to come
    fn next_deadline(&self, last_part_at: Time) -> Time {
        last_part_at.after_ms(self.pause_ms).min(self.deadline)
    }
}

fn instant(at: Time) -> Instant {
    Instant::now() + Duration::from_millis(now().ms_until(at))
}
