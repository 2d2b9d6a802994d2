//! Targets that fall over when they have to refuse too many requests for want of room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How a target is brittle.
#[derive(Clone, Copy, Debug)]
pub struct BrittleConf {
    /// Requests that the target can refuse within a second for want of room, as its answers say. One
    /// more makes it fall over.
    pub refusals_max: usize,
    /// Requests that may wait for a slot.
    pub queue_max: usize,
    /// Time after the first answers that say so from which no more than that may wait.
    pub notice: Duration,
}

/// A target that is brittle since a point in time. Its restarts do not end that.
#[derive(Debug)]
pub(super) struct Brittle {
    conf: BrittleConf,
    since: Instant,
    refusals: VecDeque<Instant>,
}

impl Brittle {
    pub(super) fn new(conf: BrittleConf, now: Instant) -> Self {
        Self { conf, since: now, refusals: VecDeque::new() }
    }

    /// What its answers say.
    pub(super) fn header(&self) -> String {
        self.conf.refusals_max.to_string()
    }

    /// Requests that may wait for a slot; `None` while as many may as ever.
    pub(super) fn queue_max(&self, now: Instant) -> Option<usize> {
        (now >= self.since + self.conf.notice).then_some(self.conf.queue_max)
    }

    /// Forgets the refusals of the process before.
    pub(super) fn record_start(&mut self) {
        self.refusals.clear();
    }

    /// Counts a refusal for want of room. Returns true if the target falls over.
    pub(super) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refusals.push_back(now);
        while self.refusals.front().is_some_and(|at| now.duration_since(*at) > WINDOW) {
            self.refusals.pop_front();
        }
        self.refusals.len() > self.conf.refusals_max
    }
}
