//! Startup shared by all daemons.

use {
    crate::{
        args::CommonArgs,
        conf::{LogSettings, SettingsError},
        logs::{flush_logs, init_logging},
    },
    std::process::ExitCode,
};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs the daemon `name` with its settings, or prints why they are invalid. With `--check` it
/// only validates them.
pub fn run_daemon<T>(
    name: &str,
    args: &CommonArgs,
    settings: Result<T, SettingsError>,
    log_settings: fn(&T) -> &LogSettings,
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
        println!("{}: settings are valid", args.config.display());
        return ExitCode::SUCCESS;
    }
    init_logging(log_settings(&cfg));
    let served = serve(cfg);
    flush_logs();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::FAILURE
        }
    }
}
