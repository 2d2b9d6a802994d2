//! Exit codes, stable over releases.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// Done; for `apply`: in force, or nothing to change.
    Success = 0,
    /// Arguments, settings or the manifest are wrong. Nothing was changed.
    InvalidInput = 2,
    /// The change lost to another one. Nothing was changed.
    ChangeConflict = 3,
    /// Whether the change was accepted is not known: settle it with `--resume`.
    ResultUnknown = 4,
    /// The log could not be reached. Nothing was changed.
    Unreachable = 5,
    /// Some hosts could not be reached: what is shown is not the whole.
    PartialResult = 6,
    /// What was asked about is not known anywhere.
    NotFound = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
