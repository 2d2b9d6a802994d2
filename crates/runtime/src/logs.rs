//! The program's own log.

use {
    crate::conf::{LogFormat, LogSettings},
    logforth::{
        append::Stderr,
        layout::{JsonLayout, TextLayout},
        record::LevelFilter,
    },
};

/// Sends log lines to standard error, as the settings say. Later calls change nothing.
pub fn start_logs(cfg: &LogSettings) {
    let appender = match cfg.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::All).append(appender))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(cfg.level);
    }
}
