//! Exit codes, stable across releases.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// For `apply`: the manifest is in force, or there was nothing to change.
    Success = 0,
    /// The arguments, the settings or the manifest are invalid. Nothing was changed.
    InvalidInput = 2,
    /// Another change was accepted first. Nothing was changed.
    ChangeConflict = 3,
    /// It is not known whether the change was accepted: `--resume` checks it.
    ResultUnknown = 4,
    /// The log or the host list could not be reached. Nothing was changed.
    Unreachable = 5,
    /// Some hosts could not be reached: the output is incomplete.
    PartialResult = 6,
    /// The subject of the query is unknown.
    NotFound = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
