//! How long a stream waits for the next event of its target.
//!
//! The load that this addresses: a target in trouble sends bytes that are no event, one now and then or
//! without pause. Only events count as signs of life; a slow but sound stream has them.

use crate::Time;

/// Time after the deadline of a request in which events are passed on that have already arrived, as when
/// the caller was slow. Callers expect the end within 0.5 s after the deadline.
const READY_GRACE_MS: u64 = 400;

/// What a stream does while no event is there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventWaitStep {
    /// Waits for further bytes, until this time.
    Wait(Time),
    /// Asks another target to go on, since this one is silent.
    Silent,
    /// Takes what has already arrived, and waits for nothing: the deadline has passed.
    TakeReady,
    /// Ends, since the deadline passed a while ago.
    DeadlinePassed,
}

/// The wait of a stream for the next event. Time in which the caller takes no events does not count.
#[derive(Clone, Copy, Debug)]
pub struct EventWait {
    silent_at: Time,
    deadline: Time,
    // since when the caller takes no events
    paused_at: Option<Time>,
}

impl EventWait {
    /// Starts to wait for an event until `silent_at`, and not beyond the deadline of the request.
    #[must_use]
    pub fn new(silent_at: Time, deadline: Time) -> Self {
        Self { silent_at, deadline, paused_at: None }
    }

    /// Starts to wait for the next event.
    pub fn restart(&mut self, silent_at: Time) {
        *self = Self::new(silent_at, self.deadline);
    }

    /// Stops the wait while the caller has bytes to take.
    pub fn pause(&mut self, now: Time) {
        self.paused_at.get_or_insert(now);
    }

    /// Goes on with the wait, since the caller has taken all bytes.
    pub fn resume(&mut self, now: Time) {
        if let Some(paused_at) = self.paused_at.take() {
            self.silent_at = self.silent_at.after_ms(now.ms_since(paused_at));
        }
    }

    /// The next step, also while bytes arrive without pause.
    #[must_use]
    pub fn step(&self, now: Time) -> EventWaitStep {
        if now >= self.deadline.after_ms(READY_GRACE_MS) {
            EventWaitStep::DeadlinePassed
        } else if now >= self.deadline {
            EventWaitStep::TakeReady
        } else if now >= self.silent_at {
            EventWaitStep::Silent
        } else {
            EventWaitStep::Wait(self.silent_at.min(self.deadline))
        }
    }
}
