//! Set-up of the program's log.

use {
    crate::conf::{LogFormat, LogOutput, LogSettings},
    logforth::{
        Append, Layout,
        append::{Stderr, Stdout, asynchronous::AsyncBuilder},
        layout::{JsonLayout, TextLayout},
        record::LevelFilter,
    },
};

/// Limit of lines queued for standard output. Further lines are dropped.
const QUEUED_LINES_MAX: usize = 4096;

/// Initialises the logger from the settings. Later calls have no effect.
pub fn init_logging(cfg: &LogSettings) {
    let layout: Box<dyn Layout> = match cfg.format {
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
        LogFormat::Json => Box::new(JsonLayout::default()),
    };
    let appender: Box<dyn Append> = match cfg.to {
        LogOutput::Stderr => Box::new(Stderr::default().with_layout(layout)),
        LogOutput::Stdout => {
            let writer = AsyncBuilder::new("log")
                .buffered_lines_limit(Some(QUEUED_LINES_MAX))
                .overflow_drop_incoming()
                .append(Stdout::default().with_layout(layout));
            Box::new(writer.build())
        }
    };
    let started = logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::All).append(appender))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(cfg.level);
    }
}
