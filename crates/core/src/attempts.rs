//! Tracks the attempts of one request up to its final answer.

use {
    crate::{Outcome, Reason, RetryBudget, Time},
    faststr::FastStr,
};

/// Attempts per request.
const ATTEMPTS_MAX: u32 = 4;

/// Time between look-ups of the keeper that owns an engine.
const OWNER_LOOKUP_INTERVAL_MS: u64 = 50;

/// Time after its arrival up to which a request waits until a keeper owns an engine.
const OWNER_LOOKUP_MAX_MS: u64 = 4000;

/// Retry-after time of failures that set no time of their own.
const RETRY_AFTER_MS: u64 = 1000;

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No keeper grants tickets for the engine at present, or another keeper has taken it over.
    Moved,
    /// The keeper refused a ticket.
    NoTicket {
        /// Why.
        reason: Reason,
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// No connection to the target was opened.
    NotConnected,
    /// The target proved that it did not run the request.
    Refused,
    /// The target may have run it: the connection broke or stalled, or the answer does not match
    /// the request.
    Broken(Reason),
}

impl AttemptEnd {
    /// Metric label value.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Moved => "moved",
            Self::NoTicket { reason, .. } | Self::Broken(reason) => reason.as_str(),
            Self::NotConnected => "not_connected",
            Self::Refused => "refused",
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptDecision {
    /// Retry at once.
    RetryNow,
    /// Retry after this time.
    WaitMs(u64),
    /// Send this final answer to the caller.
    GiveUp {
        /// What is known of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
}

/// State of one idempotent request between its attempts.
#[derive(Clone, Debug)]
pub struct RequestAttempts {
    deadline: Time,
    received_at: Time,
    sends: u32,
    ticket_refusals: u32,
    excluded_targets: Vec<FastStr>,
    may_have_run: bool,
    crash_suspected: bool,
    last_refusal: Option<(Reason, u64)>,
    second_round_allowed: bool,
}

impl RequestAttempts {
    /// Starts the attempts of a request received at `now`.
    #[must_use]
    pub fn new(now: Time, deadline: Time) -> Self {
        Self {
            deadline,
            received_at: now,
            sends: 0,
            ticket_refusals: 0,
            excluded_targets: Vec::new(),
            may_have_run: false,
            crash_suspected: false,
            last_refusal: None,
            second_round_allowed: false,
        }
    }

    /// When the request was received.
    #[must_use]
    pub fn received_at(&self) -> Time {
        self.received_at
    }

    /// Time after which an answer is useless to the caller.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Targets that are not tried again.
    #[must_use]
    pub fn excluded_targets(&self) -> &[FastStr] {
        &self.excluded_targets
    }

    /// Allows the excluded targets to be tried once more when no other target is left, as an answer
    /// that did not match or broke off may be a transient fault. Returns false if nothing was sent
    /// yet or the second round is used up.
    pub fn allow_second_round(&mut self) -> bool {
        let allowed = self.sends > 0 && !self.second_round_allowed;
        if allowed {
            self.second_round_allowed = true;
            self.excluded_targets.clear();
        }
        allowed
    }

    /// Number of the current attempt, from 1.
    #[must_use]
    pub fn attempt_number(&self) -> u32 {
        self.sends + self.ticket_refusals + 1
    }

    /// True when an attempt ended the way it does when a target crashes.
    #[must_use]
    pub fn crash_suspected(&self) -> bool {
        self.crash_suspected
    }

    /// The outcome if the request ends now without an answer.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Records the end of an attempt on `target` and returns the next step.
    pub fn decide_after_attempt(
        &mut self,
        now: Time,
        target: &FastStr,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> AttemptDecision {
        let next = match end {
            AttemptEnd::Moved => self.wait_for_owner(now),
            AttemptEnd::NoTicket { reason, retry_after_ms } => {
                self.decide_after_ticket_refusal(target, reason, retry_after_ms)
            }
            AttemptEnd::NotConnected => {
                self.excluded_targets.push(target.clone());
                self.retry_within_budget(Reason::TargetFailed, budget)
            }
            AttemptEnd::Refused => self.retry_within_budget(Reason::TargetFailed, budget),
            AttemptEnd::Broken(reason) => {
                self.may_have_run = true;
                self.crash_suspected = true;
                self.excluded_targets.push(target.clone());
                self.retry_within_budget(reason, budget)
            }
        };
        match next {
            AttemptDecision::RetryNow | AttemptDecision::WaitMs(_) if now >= self.deadline => {
                self.give_up(Reason::Deadline, RETRY_AFTER_MS)
            }
            other => other,
        }
    }

    /// The next step when there is no engine to try.
    #[must_use]
    pub fn decide_without_target(&self, now: Time) -> AttemptDecision {
        if self.excluded_targets.is_empty() {
            return self.wait_for_owner(now);
        }
        let (reason, retry_after_ms) =
            self.last_refusal.unwrap_or((Reason::NoTarget, RETRY_AFTER_MS));
        self.give_up(reason, retry_after_ms)
    }

    fn wait_for_owner(&self, now: Time) -> AttemptDecision {
        let limit = self.received_at.after_ms(OWNER_LOOKUP_MAX_MS).min(self.deadline);
        if now >= limit {
            return self.give_up(Reason::NoTarget, RETRY_AFTER_MS);
        }
        AttemptDecision::WaitMs(OWNER_LOOKUP_INTERVAL_MS)
    }

    fn decide_after_ticket_refusal(
        &mut self,
        target: &FastStr,
        reason: Reason,
        retry_after_ms: u64,
    ) -> AttemptDecision {
        self.ticket_refusals += 1;
        self.last_refusal = Some((reason, retry_after_ms));
        self.excluded_targets.push(target.clone());
        let may_succeed_elsewhere = matches!(
            reason,
            Reason::Leaving | Reason::LoadsPaused | Reason::NoTarget | Reason::Overloaded
        );
        if may_succeed_elsewhere && self.ticket_refusals < ATTEMPTS_MAX {
            return AttemptDecision::RetryNow;
        }
        self.give_up(reason, retry_after_ms)
    }

    fn retry_within_budget(&mut self, reason: Reason, budget: &mut RetryBudget) -> AttemptDecision {
        self.sends += 1;
        if self.sends >= ATTEMPTS_MAX {
            return self.give_up(reason, RETRY_AFTER_MS);
        }
        if !budget.try_take() {
            return self.give_up(Reason::RetryBudget, RETRY_AFTER_MS);
        }
        AttemptDecision::RetryNow
    }

    fn give_up(&self, reason: Reason, retry_after_ms: u64) -> AttemptDecision {
        AttemptDecision::GiveUp { outcome: self.outcome(), reason, retry_after_ms }
    }
}
