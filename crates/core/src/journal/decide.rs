//! Decisions after the append of an intent.

use {
    super::{
        fold::{Journal, Lookup},
        record::{Attempt, KeyDigest, RecordedAnswer},
    },
    crate::{Outcome, Reason},
};

/// Outcome of the append of an intent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The intent is on the log at this offset.
    Appended(u64),
    /// The intent is certainly not on the log.
    NotAppended,
    /// The intent may be on the log.
    Uncertain,
}

/// What to do with a request after the append of its intent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IntentDecision {
    /// Send the request now.
    Send,
    /// Return the recorded answer.
    Replay(RecordedAnswer),
    /// Return this final answer.
    Refuse(Outcome, Reason),
}

impl Journal {
    /// Decides about a request that this attempt must not send, given the `lookup` of its key.
    /// `complete` is true when every record was read that was on the log when the request came.
    #[must_use]
    pub fn decide_unsent(lookup: Lookup, complete: bool) -> IntentDecision {
        match lookup {
            Lookup::Answered(answer) => IntentDecision::Replay(answer),
            Lookup::Open => IntentDecision::Refuse(Outcome::Unknown, Reason::KeyOpen),
            Lookup::BodyMismatch => IntentDecision::Refuse(Outcome::NotRun, Reason::KeyReused),
            // Nothing with this key had been sent when the request came.
            Lookup::Free if complete => IntentDecision::Refuse(Outcome::NotRun, Reason::LogDown),
            // Another process may have sent it, which only the log can show.
            Lookup::Free => IntentDecision::Refuse(Outcome::Unknown, Reason::LogDown),
        }
    }

    /// Decides what to do after `attempt` appended its intent, with the outcome `append`, and then
    /// read the stream. `body` is the digest of the request's body, and `reached_end` is true when
    /// the read reached the end. The second value is true when the intent must be withdrawn, since
    /// it may be on the log and no request follows it.
    #[must_use]
    pub fn decide_after_intent(
        &self,
        key: &KeyDigest,
        body: &str,
        attempt: &Attempt,
        append: AppendOutcome,
        reached_end: bool,
    ) -> (IntentDecision, bool) {
        let was_read = match append {
            AppendOutcome::Appended(offset) => self.next_offset() > offset,
            AppendOutcome::NotAppended | AppendOutcome::Uncertain => reached_end,
        };
        if was_read && self.can_send(key, attempt) {
            return (IntentDecision::Send, false);
        }
        let decision = Self::decide_unsent(self.lookup(key, body), was_read);
        (decision, append != AppendOutcome::NotAppended)
    }
}
