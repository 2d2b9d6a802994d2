//! Policies compared in virtual time.

use {crate::cli::BenchArgs, std::process::ExitCode};

/// Runs the comparison.
pub(crate) fn run(_args: &BenchArgs) -> ExitCode {
    ExitCode::FAILURE
}
