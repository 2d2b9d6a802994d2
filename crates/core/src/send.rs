//! Tracks the sends of a request, whether a target may have run it, and the next step.

use crate::{RouteKind, Time};

/// How a send ended without an answer that can be passed to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendEnd {
    /// Nothing left this host.
    NotSent,
    /// Nothing left this host, since the repeated send came too late for the retry budget.
    OutOfBudget,
    /// The target proved that it did not run the request and will not.
    Refused,
    /// The target answered that it failed.
    Failed,
    /// The outcome is unknown: the answer broke off, was corrupt, or did not come in time.
    Lost,
}

/// The next step after a send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendDecision {
    /// Send the request to another target.
    RetryElsewhere,
    /// Send this answer to the caller.
    GiveUp(FinalAnswer),
}

/// Final answers that this host gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// No target ran the request, and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// The deadline passed, and a target may have run the request.
    DeadlinePassed,
}

/// The sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSends {
    kind: RouteKind,
    targets_max: u32,
    deadline: Time,
    targets_tried: u32,
    refusals: u32,
    may_have_run: bool,
    has_reached_target: bool,
    // open sends beside that to a silent target
    second_sends: u32,
}

/// Sends that may be refused before the caller gets a final answer: more of them add to the load
/// that made the targets refuse.
const REFUSALS_MAX: u32 = 3;

impl RequestSends {
    /// Starts the sends of a request. An answer after `deadline` is useless to the caller.
    #[must_use]
    pub fn new(kind: RouteKind, targets_max: u32, deadline: Time) -> Self {
        let targets_max = targets_max.max(1);
        Self {
            kind,
            targets_max,
            deadline,
            targets_tried: 0,
            refusals: 0,
            may_have_run: false,
            has_reached_target: false,
            second_sends: 0,
        }
    }

    /// Time after which an answer is useless to the caller.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// True when the request was sent before, so that a further send is a repetition.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.targets_tried > 0 || self.refusals > 0
    }

    /// True when the request has reached a target, whether it ran there or not.
    #[must_use]
    pub fn has_reached_target(&self) -> bool {
        self.has_reached_target
    }

    /// True when a target may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// True when the request may be sent to a further target while its target is silent.
    #[must_use]
    pub fn can_reroute(&self) -> bool {
        self.kind.is_repeatable()
            && self.targets_tried + self.second_sends + 1 < self.targets_max
            && self.refusals <= REFUSALS_MAX
    }

    /// Starts a send beside the one to a silent target. The caller has already taken it out of the
    /// retry budget.
    pub fn start_second_send(&mut self) {
        self.second_sends += 1;
    }

    /// Records that a second send ended without an answer that can be passed to the caller.
    pub fn end_second_send(&mut self, end: SendEnd) {
        self.second_sends = self.second_sends.saturating_sub(1);
        self.record_end(end);
    }

    /// Records that a second send has got the answer, and how the send to the silent target ended.
    /// The other second sends are abandoned.
    pub fn accept_second_send(&mut self, silent_end: SendEnd) {
        self.second_sends = self.second_sends.saturating_sub(1);
        self.abandon_second_sends();
        self.record_end(silent_end);
    }

    /// Records that all second sends are abandoned, since the silent target has answered. Their
    /// targets may have run the request.
    pub fn abandon_second_sends(&mut self) {
        for _ in 0..std::mem::take(&mut self.second_sends) {
            self.record_end(SendEnd::Lost);
        }
    }

    /// The answer when the request is not sent again.
    #[must_use]
    pub fn final_answer(&self, now: Time) -> FinalAnswer {
        match (self.may_have_run, now >= self.deadline) {
            (false, _) => FinalAnswer::NotRun,
            (true, true) => FinalAnswer::DeadlinePassed,
            (true, false) => FinalAnswer::Unknown,
        }
    }

    /// Records the end of a send and returns the next step. `take_retry` takes a repetition out of
    /// the retry budget; it is called only when a repetition is allowed and counts.
    pub fn decide_after_send(
        &mut self,
        now: Time,
        end: SendEnd,
        take_retry: impl FnOnce() -> bool,
    ) -> SendDecision {
        self.record_end(end);
        let allowed = end != SendEnd::OutOfBudget
            && now < self.deadline
            && self.refusals <= REFUSALS_MAX
            && self.targets_tried < self.targets_max
            && (!self.may_have_run || self.kind.is_repeatable());
        // a request that never left this host is no repetition at a target
        if allowed && (end == SendEnd::NotSent || take_retry()) {
            SendDecision::RetryElsewhere
        } else {
            SendDecision::GiveUp(self.final_answer(now))
        }
    }

    fn record_end(&mut self, end: SendEnd) {
        self.has_reached_target |= !matches!(end, SendEnd::NotSent | SendEnd::OutOfBudget);
        match end {
            SendEnd::NotSent | SendEnd::OutOfBudget | SendEnd::Refused => self.refusals += 1,
            SendEnd::Failed | SendEnd::Lost => {
                self.targets_tried += 1;
                self.may_have_run = true;
            }
        }
    }
}
