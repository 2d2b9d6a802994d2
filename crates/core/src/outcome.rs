//! Results that callers get for their requests.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What is certain about a request; an outcome is never guessed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// No target ran the request: it was not sent, or the target proved that it refused.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Name in answers, headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Priority of a request.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// The answer is used live, on air: never held back to fill a batch.
    Live,
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// May be held back for a fuller batch until its deadline is near.
    Background,
}

impl PriorityClass {
    /// Parses the name in headers and settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "live" => Some(Self::Live),
            "interactive" => Some(Self::Interactive),
            "background" => Some(Self::Background),
            _ => None,
        }
    }

    /// Name in headers and settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Interactive => "interactive",
            Self::Background => "background",
        }
    }
}

/// Why a request was refused or why its outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body, a header or the path is not acceptable.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The base model, adapter, version or service does not exist in the configuration.
    UnknownModel,
    /// The process is not ready, for instance because it has no configuration yet.
    NotReady,
    /// The host is leaving.
    Leaving,
    /// The deadline cannot be met.
    Deadline,
    /// The queues are full.
    Overloaded,
    /// The caller is at its limit of open requests.
    CallerLimit,
    /// The adapter could not be loaded.
    LoadFailed,
    /// Adapters cannot be loaded now, and this one is not resident.
    LoadsPaused,
    /// No target can take the request.
    NoTarget,
    /// The target or the connection to it failed.
    TargetFailed,
    /// The answer ended before its end marker, or did not match the request.
    BadAnswer,
    /// Requests with this content crashed targets.
    CrashSuspect,
    /// The retry budget is spent.
    RetryBudget,
    /// The platform's log cannot be reached, so the request cannot be journalled.
    LogDown,
    /// The idempotency key was used with another request body.
    KeyReused,
    /// The idempotency key is older than the journal's retention time.
    KeyExpired,
    /// The request with this key is still running, or its outcome was lost.
    KeyOpen,
}

impl Reason {
    /// Code in answers, headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::UnknownModel => "unknown_model",
            Self::NotReady => "not_ready",
            Self::Leaving => "leaving",
            Self::Deadline => "deadline",
            Self::Overloaded => "overloaded",
            Self::CallerLimit => "caller_limit",
            Self::LoadFailed => "load_failed",
            Self::LoadsPaused => "loads_paused",
            Self::NoTarget => "no_target",
            Self::TargetFailed => "target_failed",
            Self::BadAnswer => "bad_answer",
            Self::CrashSuspect => "crash_suspect",
            Self::RetryBudget => "retry_budget",
            Self::LogDown => "log_down",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::KeyOpen => "key_open",
        }
    }

    /// Parses a reason's code.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        serde_json::from_value(serde_json::Value::String(code.to_owned())).ok()
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
