//! Set-up of the program's log.

use {
    crate::conf::{LogFormat, LogOutput, LogSettings},
    logforth::{
        Append, Layout,
        append::{Stderr, Stdout, asynchronous::AsyncBuilder},
        layout::{JsonLayout, TextLayout},
        record::LevelFilter,
    },
    std::time::Duration,
};

/// Limit of lines queued for standard output. Further lines are dropped.
const QUEUED_LINES_MAX: usize = 4096;

/// Longest wait for queued lines at the end of the process, in milliseconds. It ends well before the
/// process would be killed, even if nobody reads standard output.
const FLUSH_TIMEOUT_MS: u64 = 300;

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

/// Writes the queued lines, before the process ends.
pub(crate) fn flush_logs() {
    let (done_tx, done_rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // fails once the wait is over, which needs no handling
        let _ = done_tx.send(());
    });
    // lines that could not be written in time are lost
    let _ = done_rx.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
}
