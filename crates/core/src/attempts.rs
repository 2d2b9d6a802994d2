//! The course of one request over its attempts, to its single final answer.

use {
    crate::{Outcome, Reason, RetryBudget, Time},
    faststr::FastStr,
};

/// Attempts that one request gets at most.
const ATTEMPTS_MAX: u32 = 4;

/// Wait before asking again who holds an engine, in milliseconds.
const HOLDER_LOOKUP_INTERVAL_MS: u64 = 50;

/// Longest time spent on finding a holder, in milliseconds.
const HOLDER_LOOKUP_MAX_MS: u64 = 4000;

/// When a caller is told to come back after a failure that says nothing better.
const RETRY_AFTER_MS: u64 = 1000;

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// Nobody gives tickets for the engine just now, or another keeper does.
    Moved,
    /// The keeper gave no ticket.
    NoTicket {
        /// Why.
        reason: Reason,
        /// When it may help to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// No connection to the target was made.
    NotConnected,
    /// The target proved that it did not run the request.
    Refused,
    /// The target may have run it: the connection broke, went silent, or brought an answer that
    /// does not match.
    Broken(Reason),
}

impl AttemptEnd {
    /// The name used in metrics.
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
    /// Try again at once.
    RetryNow,
    /// Try again after so many milliseconds.
    WaitMs(u64),
    /// Give the caller this final answer now.
    GiveUp {
        /// What became of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When it may help to come back, in milliseconds.
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
    /// A request that came in at `now`.
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

    /// When the request came in.
    #[must_use]
    pub fn received_at(&self) -> Time {
        self.received_at
    }

    /// When the request is of no use any more.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Targets that are not tried again.
    #[must_use]
    pub fn excluded_targets(&self) -> &[FastStr] {
        &self.excluded_targets
    }

    /// Allows targets that were tried to be tried once more: when none is left, an answer that
    /// did not match or broke off may have been a passing fault. True when there are any.
    pub fn allow_second_round(&mut self) -> bool {
        let again = self.sends > 0 && !self.second_round_allowed;
        if again {
            self.second_round_allowed = true;
            self.excluded_targets.clear();
        }
        again
    }

    /// Number of the attempt under way, from 1.
    #[must_use]
    pub fn attempt_number(&self) -> u32 {
        self.sends + self.ticket_refusals + 1
    }

    /// True when an attempt ended as it does when a target crashes.
    #[must_use]
    pub fn crash_suspected(&self) -> bool {
        self.crash_suspected
    }

    /// What is true of the request if it ends now without an answer.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Takes the end of an attempt on `target` and decides what comes next.
    pub fn decide_after_attempt(
        &mut self,
        now: Time,
        target: &FastStr,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> AttemptDecision {
        let next = match end {
            AttemptEnd::Moved => self.wait_for_holder(now),
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

    /// The final answer when there is no engine to try.
    #[must_use]
    pub fn decide_without_target(&self, now: Time) -> AttemptDecision {
        if self.excluded_targets.is_empty() {
            return self.wait_for_holder(now);
        }
        let (reason, after_ms) = self.last_refusal.unwrap_or((Reason::NoTarget, RETRY_AFTER_MS));
        self.give_up(reason, after_ms)
    }

    fn wait_for_holder(&self, now: Time) -> AttemptDecision {
        let limit = self.received_at.after_ms(HOLDER_LOOKUP_MAX_MS).min(self.deadline);
        if now >= limit {
            return self.give_up(Reason::NoTarget, RETRY_AFTER_MS);
        }
        AttemptDecision::WaitMs(HOLDER_LOOKUP_INTERVAL_MS)
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
        let elsewhere = matches!(
            reason,
            Reason::Leaving | Reason::LoadsPaused | Reason::NoTarget | Reason::Overloaded
        );
        if elsewhere && self.ticket_refusals < ATTEMPTS_MAX {
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
