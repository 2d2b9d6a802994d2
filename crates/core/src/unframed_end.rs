//! Ends of answers, and whether an answer is whole that nothing but the end of its connection ends.
//!
//! The system ends the connections of a killed process like those that a live one has closed. So the
//! end of a connection ends an answer only if its target takes a new connection some time later.

use {crate::Time, std::fmt};

/// Time after the end of an answer's connection from which a new one shows that the target lives. A
/// process that ends may close its connections before its listener.
const SETTLE_MS: u64 = 100;

/// Time for which connections are tried to a target that does not answer. A target whose queue of
/// connections is full lives, and may take a later one.
const UNANSWERED_MAX_MS: u64 = 2000;

/// Pause after a connection that was not answered, or not tried because this host lacks descriptors.
const RETRY_PAUSE_MS: u64 = 50;

/// What marks the end of an answer's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndMark {
    /// Its length is known from its head.
    Length,
    /// Chunks.
    Chunks,
    /// The end of its connection.
    Connection,
}

impl EndMark {
    /// True if an answer that is cut can be told from a whole one.
    #[must_use]
    pub const fn is_framed(self) -> bool {
        !matches!(self, Self::Connection)
    }
}

impl fmt::Display for EndMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

/// What came of a new connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectResult {
    /// It was opened.
    Accepted,
    /// The target refused it, and other targets take connections or there are none.
    Refused,
    /// Other targets refuse connections as well: this host may be cut off.
    RefusedByAll,
    /// It was not opened in time, or this host could not try.
    NoAnswer,
}

/// Why an answer does not count as whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutReason {
    /// Its target is down.
    TargetDown,
    /// Nothing shows whether its target lives. An answer that may be cut must not look whole: one too
    /// many that is repeated or broken off can be asked for again, a cut one that looks whole is used.
    Unproven,
}

/// What to do next about the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndStep {
    /// Open a connection to the target at this time.
    ConnectAt(Time),
    /// The answer is whole.
    Whole,
    /// The answer counts as cut.
    Cut(CutReason),
}

/// The end of an answer whose end nothing but that of its connection marks.
#[derive(Clone, Copy, Debug)]
pub struct UnframedEnd {
    settled_at: Time,
    give_up_at: Time,
}

impl UnframedEnd {
    /// An answer that ended at `now`, of a request with this deadline.
    #[must_use]
    pub fn new(now: Time, deadline: Time) -> Self {
        let give_up_at = now.after_ms(UNANSWERED_MAX_MS).min(deadline);
        Self { settled_at: now.after_ms(SETTLE_MS), give_up_at }
    }

    /// Time of the first connection. If the target `seems_down`, waiting delays the repeat only.
    #[must_use]
    pub fn first_connect_at(&self, now: Time, seems_down: bool) -> Time {
        if seems_down { now } else { self.settled_at }
    }

    /// The next step after a connection that began at `began_at`.
    #[must_use]
    pub fn decide(&self, now: Time, began_at: Time, result: ConnectResult) -> EndStep {
        match result {
            ConnectResult::Accepted if began_at >= self.settled_at => EndStep::Whole,
            ConnectResult::Accepted => EndStep::ConnectAt(self.settled_at),
            ConnectResult::Refused => EndStep::Cut(CutReason::TargetDown),
            ConnectResult::NoAnswer if now < self.give_up_at => {
                EndStep::ConnectAt(now.after_ms(RETRY_PAUSE_MS))
            }
            ConnectResult::RefusedByAll | ConnectResult::NoAnswer => {
                EndStep::Cut(CutReason::Unproven)
            }
        }
    }
}
