//! The course of one request over its attempts, to its single final answer.

use {
    crate::{Outcome, Reason, RetryBudget, Time},
    faststr::FastStr,
};

/// Attempts that one request gets at most.
const ATTEMPTS_MAX: u32 = 4;

/// Wait before asking again who holds an engine, in milliseconds.
const MOVED_WAIT_MS: u64 = 50;

/// Longest time spent on finding a holder, in milliseconds.
const MOVED_MAX_MS: u64 = 4000;

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
pub enum Next {
    /// Try again at once.
    Try,
    /// Try again after so many milliseconds.
    Wait(u64),
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
pub struct Course {
    deadline: Time,
    begun: Time,
    sent: u32,
    refusals: u32,
    tried: Vec<FastStr>,
    maybe_ran: bool,
    suspect: bool,
    refusal: Option<(Reason, u64)>,
    second_round: bool,
}

impl Course {
    /// A request that came in at `now`.
    #[must_use]
    pub fn new(now: Time, deadline: Time) -> Self {
        Self {
            deadline,
            begun: now,
            sent: 0,
            refusals: 0,
            tried: Vec::new(),
            maybe_ran: false,
            suspect: false,
            refusal: None,
            second_round: false,
        }
    }

    /// When the request came in.
    #[must_use]
    pub fn begun(&self) -> Time {
        self.begun
    }

    /// When the request is of no use any more.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Targets that are not tried again.
    #[must_use]
    pub fn tried(&self) -> &[FastStr] {
        &self.tried
    }

    /// Allows targets that were tried to be tried once more: when none is left, an answer that
    /// did not match or broke off may have been a passing fault. True when there are any.
    pub fn second_round(&mut self) -> bool {
        let again = self.sent > 0 && !self.second_round;
        if again {
            self.second_round = true;
            self.tried.clear();
        }
        again
    }

    /// Number of the attempt under way, from 1.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.sent + self.refusals + 1
    }

    /// True when an attempt ended as it does when a target crashes.
    #[must_use]
    pub fn suspect(&self) -> bool {
        self.suspect
    }

    /// What is true of the request if it ends now without an answer.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.maybe_ran { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Takes the end of an attempt on `target` and decides what comes next.
    pub fn ended(
        &mut self,
        now: Time,
        target: &FastStr,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> Next {
        let next = match end {
            AttemptEnd::Moved => self.moved(now),
            AttemptEnd::NoTicket { reason, retry_after_ms } => {
                self.no_ticket(target, reason, retry_after_ms)
            }
            AttemptEnd::NotConnected => {
                self.tried.push(target.clone());
                self.again(Reason::TargetFailed, budget)
            }
            AttemptEnd::Refused => self.again(Reason::TargetFailed, budget),
            AttemptEnd::Broken(reason) => {
                self.maybe_ran = true;
                self.suspect = true;
                self.tried.push(target.clone());
                self.again(reason, budget)
            }
        };
        match next {
            Next::Try | Next::Wait(_) if now >= self.deadline => {
                self.give_up(Reason::Deadline, RETRY_AFTER_MS)
            }
            other => other,
        }
    }

    /// The final answer when there is no engine to try.
    #[must_use]
    pub fn no_target(&self, now: Time) -> Next {
        if self.tried.is_empty() {
            return self.moved(now);
        }
        let (reason, after_ms) = self.refusal.unwrap_or((Reason::NoTarget, RETRY_AFTER_MS));
        self.give_up(reason, after_ms)
    }

    fn moved(&self, now: Time) -> Next {
        let limit = self.begun.after_ms(MOVED_MAX_MS).min(self.deadline);
        if now >= limit {
            return self.give_up(Reason::NoTarget, RETRY_AFTER_MS);
        }
        Next::Wait(MOVED_WAIT_MS)
    }

    fn no_ticket(&mut self, target: &FastStr, reason: Reason, retry_after_ms: u64) -> Next {
        self.refusals += 1;
        self.refusal = Some((reason, retry_after_ms));
        self.tried.push(target.clone());
        let elsewhere = matches!(
            reason,
            Reason::Leaving | Reason::LoadsPaused | Reason::NoTarget | Reason::Overloaded
        );
        if elsewhere && self.refusals < ATTEMPTS_MAX {
            return Next::Try;
        }
        self.give_up(reason, retry_after_ms)
    }

    fn again(&mut self, reason: Reason, budget: &mut RetryBudget) -> Next {
        self.sent += 1;
        if self.sent >= ATTEMPTS_MAX {
            return self.give_up(reason, RETRY_AFTER_MS);
        }
        if !budget.take() {
            return self.give_up(Reason::RetryBudget, RETRY_AFTER_MS);
        }
        Next::Try
    }

    fn give_up(&self, reason: Reason, retry_after_ms: u64) -> Next {
        Next::GiveUp { outcome: self.outcome(), reason, retry_after_ms }
    }
}
