//! The start that all daemons share.

use {
    crate::{
        args::CommonArgs,
        conf::{LogSettings, SettingsError},
        logs::init_logging,
    },
    std::process::ExitCode,
};

/// Exit code for settings that were refused.
const EXIT_SETTINGS: u8 = 2;

/// Runs the daemon `name` with the settings that were read, or says what is wrong with them.
/// With `--check` it only says that they are right.
pub fn run_daemon<T>(
    name: &str,
    args: &CommonArgs,
    settings: Result<T, SettingsError>,
    logs: fn(&T) -> &LogSettings,
    serve: fn(T) -> std::io::Result<()>,
) -> ExitCode {
    let cfg = match settings {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are right", args.config.display());
        return ExitCode::SUCCESS;
    }
    init_logging(logs(&cfg));
    match serve(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::FAILURE
        }
    }
}
