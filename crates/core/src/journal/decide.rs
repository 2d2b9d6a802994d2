//! What follows once an intent was written, or could not be.

use {
    super::{
        fold::{Journal, Lookup},
        record::{Attempt, KeyDigest, RecordedAnswer},
    },
    crate::{Outcome, Reason},
};

/// What became of the append of an intent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// It is on the log at this offset.
    Appended(u64),
    /// It is certainly not on the log.
    NotAppended,
    /// It may be on the log.
    Uncertain,
}

/// What to do for a request whose intent was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IntentDecision {
    /// Send the request now.
    Send,
    /// Repeat the recorded answer.
    Replay(RecordedAnswer),
    /// Give this final answer.
    Refuse(Outcome, Reason),
}

impl Journal {
    /// What to do for a request of which the journal knows `lookup` and which is not to be sent
    /// by this attempt. `complete` tells that every record was read that was on the log when the
    /// request came.
    #[must_use]
    pub fn decide_unsent(lookup: Lookup, complete: bool) -> IntentDecision {
        match lookup {
            Lookup::Answered(answer) => IntentDecision::Replay(answer),
            Lookup::Open => IntentDecision::Refuse(Outcome::Unknown, Reason::KeyOpen),
            Lookup::BodyMismatch => IntentDecision::Refuse(Outcome::NotRun, Reason::KeyReused),
            // nothing with this key had been sent when the request came
            Lookup::Free if complete => IntentDecision::Refuse(Outcome::NotRun, Reason::LogDown),
            // another process may have sent it: nobody can tell without the log
            Lookup::Free => IntentDecision::Refuse(Outcome::Unknown, Reason::LogDown),
        }
    }

    /// What to do after `attempt` wrote its intent and then read the stream; `reached_end` tells
    /// whether that read reached the end. The second part tells whether the intent has to be
    /// taken back, since it may be on the log and is not going to be followed by a request.
    #[must_use]
    pub fn decide_after_intent(
        &self,
        key: &KeyDigest,
        body: &str,
        attempt: &Attempt,
        written: AppendOutcome,
        reached_end: bool,
    ) -> (IntentDecision, bool) {
        let seen = match written {
            AppendOutcome::Appended(offset) => self.next_offset() > offset,
            AppendOutcome::NotAppended | AppendOutcome::Uncertain => reached_end,
        };
        if seen && self.can_send(key, attempt) {
            return (IntentDecision::Send, false);
        }
        let next = Self::decide_unsent(self.lookup(key, body), seen);
        (next, written != AppendOutcome::NotAppended)
    }
}
