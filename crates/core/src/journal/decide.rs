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
pub enum Written {
    /// It is on the log at this offset.
    At(u64),
    /// It is certainly not on the log.
    Not,
    /// It may be on the log.
    Maybe,
}

/// What to do for a request whose intent was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AfterIntent {
    /// Send the request now.
    Send,
    /// Repeat the recorded answer.
    Answered(RecordedAnswer),
    /// Give this final answer.
    Refuse(Outcome, Reason),
}

impl Journal {
    /// What to do for a request of which the journal knows `lookup` and which is not to be sent
    /// by this attempt. `complete` tells that every record was read that was on the log when the
    /// request came.
    #[must_use]
    pub fn without_sending(lookup: Lookup, complete: bool) -> AfterIntent {
        match lookup {
            Lookup::Answered(answer) => AfterIntent::Answered(answer),
            Lookup::Open => AfterIntent::Refuse(Outcome::Unknown, Reason::KeyOpen),
            Lookup::OtherBody => AfterIntent::Refuse(Outcome::NotRun, Reason::KeyReused),
            // nothing with this key had been sent when the request came
            Lookup::Free if complete => AfterIntent::Refuse(Outcome::NotRun, Reason::LogDown),
            // another process may have sent it: nobody can tell without the log
            Lookup::Free => AfterIntent::Refuse(Outcome::Unknown, Reason::LogDown),
        }
    }

    /// What to do after `attempt` wrote its intent and then read the stream; `reached_end` tells
    /// whether that read reached the end. The second part tells whether the intent has to be
    /// taken back, since it may be on the log and is not going to be followed by a request.
    #[must_use]
    pub fn after_intent(
        &self,
        key: &KeyDigest,
        body: &str,
        attempt: &Attempt,
        written: Written,
        reached_end: bool,
    ) -> (AfterIntent, bool) {
        let seen = match written {
            Written::At(offset) => self.read_to() > offset,
            Written::Not | Written::Maybe => reached_end,
        };
        if seen && self.may_send(key, attempt) {
            return (AfterIntent::Send, false);
        }
        let next = Self::without_sending(self.lookup(key, body), seen);
        (next, written != Written::Not)
    }
}
