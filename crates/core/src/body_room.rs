//! Memory for the bodies of requests, shared by all connections.
//!
//! Load pattern: many callers begin bodies and stop short of their end, or go on a byte at a time, while
//! ordinary callers come. Without room, bodies that are late make way for those that arrive, so what has
//! stopped does not keep out what comes next. Complete bodies are never cut, since their requests may run.

use {crate::Time, indexmap::IndexMap};

/// First bytes of a body, which may take all of the room. What is beyond them may take only a part, so that
/// large bodies do not keep out small ones.
const SMALL_BYTES: usize = 16 * 1024;

/// Part of the room that is left to small bodies.
const SMALL_PARTS: usize = 4;

/// Pause after which an incomplete body is late.
const PAUSE_MS: u64 = 1000;

#[derive(Debug)]
struct HeldBody {
    taken: usize,
    // when it is late; none once it is complete or cut
    late_at: Option<Time>,
    // when it is late however steadily it arrives
    slow_at: Time,
    is_cut: bool,
}

/// Answer to a body that needs more memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyDecision {
    /// It has the memory.
    Taken,
    /// These bodies are to be cut, in addition to those that are being cut. The caller asks again once memory
    /// has been given back.
    Cut(Vec<u64>),
    /// There is no room, and no body is late.
    Full,
}

/// The room, and the bodies that take it.
#[derive(Debug)]
pub struct BodyRoom {
    bytes_max: usize,
    // largest size to which it is enlarged
    enlarged_max: usize,
    taken: usize,
    // part of that whose bodies are being cut
    being_cut: usize,
    next_id: u64,
    bodies: IndexMap<u64, HeldBody>,
}

impl BodyRoom {
    /// An empty room of `bytes_max` bytes, which may be enlarged to `enlarged_max`.
    #[must_use]
    pub fn new(bytes_max: usize, enlarged_max: usize) -> Self {
        let bodies = IndexMap::new();
        Self { bytes_max, enlarged_max, taken: 0, being_cut: 0, next_id: 0, bodies }
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Enlarges the room, if it is smaller, so that a body of `bytes` fits beside another one.
    pub fn fit(&mut self, bytes: usize) {
        let large_max = bytes.saturating_mul(2);
        let fitting = large_max.saturating_add(large_max / (SMALL_PARTS - 1));
        self.bytes_max = self.bytes_max.max(fitting.min(self.enlarged_max));
    }

    /// Registers a body that begins to arrive, and is late from `slow_at` at the latest. Returns its id.
    pub fn begin(&mut self, now: Time, slow_at: Time) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let late_at = Some(now.after_ms(PAUSE_MS).min(slow_at));
        self.bodies.insert(id, HeldBody { taken: 0, late_at, slow_at, is_cut: false });
        id
    }

    /// Records that a part of a body has arrived.
    pub fn record_part(&mut self, now: Time, id: u64) {
        if let Some(body) = self.bodies.get_mut(&id).filter(|body| body.late_at.is_some()) {
            body.late_at = Some(now.after_ms(PAUSE_MS).min(body.slow_at));
        }
    }

    /// Takes further memory for a body of which a part has arrived.
    pub fn take(&mut self, now: Time, id: u64, bytes: usize) -> BodyDecision {
        let (small_max, large_max) = (self.bytes_max, self.large_bytes_max());
        self.record_part(now, id);
        let Some(body) = self.bodies.get_mut(&id).filter(|body| !body.is_cut) else {
            return BodyDecision::Full;
        };
        let is_small = body.taken + bytes <= SMALL_BYTES;
        let max = if is_small { small_max } else { large_max };
        let needed = self.taken.saturating_add(bytes);
        if needed <= max {
            body.taken += bytes;
            self.taken += bytes;
            return BodyDecision::Taken;
        }
        let missing = (needed - max).saturating_sub(self.being_cut);
        let cut = if missing > 0 { self.cut_late(now, id, missing) } else { Vec::new() };
        if self.being_cut > 0 { BodyDecision::Cut(cut) } else { BodyDecision::Full }
    }

    /// Records that a body is complete, also one that was to be cut, and takes `bytes`, at most what it has
    /// taken so far.
    pub fn complete(&mut self, id: u64, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            if std::mem::take(&mut body.is_cut) {
                self.being_cut -= body.taken;
            }
            let unused = body.taken.saturating_sub(bytes);
            body.taken -= unused;
            body.late_at = None;
            self.taken -= unused;
        }
    }

    /// Gives back what a body has taken.
    pub fn remove(&mut self, id: u64) {
        if let Some(body) = self.bodies.swap_remove(&id) {
            self.taken -= body.taken;
            self.being_cut -= if body.is_cut { body.taken } else { 0 };
        }
    }

    fn large_bytes_max(&self) -> usize {
        self.bytes_max - self.bytes_max / SMALL_PARTS
    }

    // the bodies that are late for the longest time and hold `bytes` together, or as much as there is
    fn cut_late(&mut self, now: Time, except: u64, bytes: usize) -> Vec<u64> {
        let late = self.bodies.iter().filter_map(|(id, body)| {
            let late_at = body.late_at.filter(|at| *at <= now)?;
            (*id != except && body.taken > 0).then_some((late_at, *id, body.taken))
        });
        let mut late: Vec<_> = late.collect();
        late.sort_unstable();
        let mut freed = 0;
        let mut cut = Vec::new();
        for (_, id, taken) in late {
            if freed >= bytes {
                break;
            }
            freed += taken;
            let body = &mut self.bodies[&id];
            body.late_at = None;
            body.is_cut = true;
            cut.push(id);
        }
        self.being_cut += freed;
        cut
    }
}
