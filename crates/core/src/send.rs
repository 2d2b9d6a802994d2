//! What is provable of a request that was sent to targets, and what follows.

use crate::{RouteKind, Time};

/// How one send of a request ended without an answer that its caller can be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendEnd {
    /// Nothing of it left this host.
    NotSent,
    /// The target proved that it did not and will not run it.
    Refused,
    /// The target failed it: its answer says so.
    Failed,
    /// Its fate is not known: it broke off, was spoiled, or did not come in time.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendDecision {
    /// Send it to another target.
    RetryElsewhere,
    /// Give its caller this answer.
    GiveUp(FinalAnswer),
}

/// Final answers of our own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// It has not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its deadline passed, and it may have run.
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
}

/// Sends that targets may refuse before a request is given back to its caller: more of them
/// only add to the load that made the targets refuse.
const REFUSALS_MAX: u32 = 3;

impl RequestSends {
    /// A request that was not sent yet; it is of no use to its caller after `deadline`.
    #[must_use]
    pub fn new(kind: RouteKind, targets_max: u32, deadline: Time) -> Self {
        let targets_max = targets_max.max(1);
        Self { kind, targets_max, deadline, targets_tried: 0, refusals: 0, may_have_run: false }
    }

    /// When it is of no use any more.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// True when a further send would be a repetition.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.targets_tried > 0 || self.refusals > 0
    }

    /// True when a target may have run it.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// True when it may be given up at a target that is slow, and sent to another.
    #[must_use]
    pub fn can_reroute(&self) -> bool {
        self.kind.is_repeatable() && self.targets_tried + 1 < self.targets_max
    }

    /// Notes that a send to a target that may have run it is given up, for which a repetition was
    /// taken out of the budget already.
    pub fn record_abandoned_send(&mut self) {
        self.targets_tried += 1;
        self.may_have_run = true;
    }

    /// The answer when nothing more is tried.
    #[must_use]
    pub fn final_answer(&self, now: Time) -> FinalAnswer {
        match (self.may_have_run, now >= self.deadline) {
            (false, _) => FinalAnswer::NotRun,
            (true, true) => FinalAnswer::DeadlinePassed,
            (true, false) => FinalAnswer::Unknown,
        }
    }

    /// What follows on a send that ended like this. `budget` takes one repetition out of the
    /// retry budget and is asked only when a repetition is allowed and counts.
    pub fn decide_after_send(
        &mut self,
        now: Time,
        end: SendEnd,
        budget: impl FnOnce() -> bool,
    ) -> SendDecision {
        match end {
            SendEnd::NotSent | SendEnd::Refused => self.refusals += 1,
            SendEnd::Failed | SendEnd::Lost => {
                self.targets_tried += 1;
                self.may_have_run = true;
            }
        }
        let allowed = now < self.deadline
            && self.refusals <= REFUSALS_MAX
            && self.targets_tried < self.targets_max
            && (!self.may_have_run || self.kind.is_repeatable());
        // what never left this host is no repetition at a target
        if allowed && (end == SendEnd::NotSent || budget()) {
            SendDecision::RetryElsewhere
        } else {
            SendDecision::GiveUp(self.final_answer(now))
        }
    }
}
