//! Numbered events. `docs/EVENTS.md` is their catalogue.

use {
    crate::clock::now,
    std::{
        fmt,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// Lines that a process logs in a second at most; failures are not counted. One line for each
/// request and order at several times a host's usual load.
const LINES_PER_S_MAX: u64 = 500;

// the second that is counted, and lines in it
static CURRENT_SECOND: AtomicU64 = AtomicU64::new(0);
static LINES_THIS_SECOND: AtomicU64 = AtomicU64::new(0);

// false once this second's lines are used up; what was left out is told with the next second
fn admit_line() -> bool {
    let second = now().as_millis() / 1000;
    if CURRENT_SECOND.swap(second, Ordering::Relaxed) != second {
        let left_out = LINES_THIS_SECOND.swap(0, Ordering::Relaxed).saturating_sub(LINES_PER_S_MAX);
        if left_out > 0 {
            events::LINES_DROPPED.error(format_args!("lines={left_out}"));
        }
    }
    LINES_THIS_SECOND.fetch_add(1, Ordering::Relaxed) < LINES_PER_S_MAX
}

/// Key and value pairs that go with an event, for people and for `egretctl`.
pub type Fields<'a> = fmt::Arguments<'a>;

/// A kind of event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Its number, stable over releases.
    pub number: u16,
    /// Its meaning, as it stands in the catalogue.
    pub meaning: &'static str,
}

impl EventId {
    /// Logs this event for information.
    pub fn info(self, fields: Fields<'_>) {
        if log::log_enabled!(log::Level::Info) && admit_line() {
            log::info!(event = self.code(); "{} {fields}", self.meaning);
        }
    }

    /// Logs this event as something that an operator may want to know.
    pub fn warn(self, fields: Fields<'_>) {
        if log::log_enabled!(log::Level::Warn) && admit_line() {
            log::warn!(event = self.code(); "{} {fields}", self.meaning);
        }
    }

    /// Logs this event as a failure.
    pub fn error(self, fields: Fields<'_>) {
        log::error!(event = self.code(); "{} {fields}", self.meaning);
    }

    /// Logs this event for debugging.
    pub fn debug(self, fields: Fields<'_>) {
        log::debug!(event = self.code(); "{} {fields}", self.meaning);
    }

    /// The number as it is written: `E1203`.
    #[must_use]
    pub fn code(self) -> String {
        format!("E{}", self.number)
    }
}

macro_rules! catalogue {
    ($($name:ident = $number:literal $meaning:literal;)*) => {
        /// The kinds of events by name.
        pub mod events {
            use super::EventId;
            $(
                #[doc = $meaning]
                pub const $name: EventId = EventId { number: $number, meaning: $meaning };
            )*
        }

        /// All kinds of events, in the order of their numbers.
        pub const EVENTS: &[EventId] = &[$(events::$name),*];
    };
}

catalogue! {
    STARTED = 1001 "process started";
    STOPPING = 1002 "graceful stop began";
    STOPPED = 1003 "graceful stop ended";
    STOP_TIMED_OUT = 1004 "graceful stop ran out of time with requests open";
    ACCEPT_FAILED = 1005 "connection could not be accepted";
    LINES_DROPPED = 1006 "log lines left out, too many in a second";
    LOG_UNREACHABLE = 1010 "platform log can't be read";
    LOG_REACHABLE = 1011 "platform log can be read again";
    LOG_RECORD_UNKNOWN = 1012 "record of a log stream not understood";
    HOSTS_UNREACHABLE = 1013 "host list can't be read";
    APPEND_FAILED = 1014 "append to the platform log failed";
    REGISTRY_READ = 1015 "registry of targets read as a whole";
    TARGET_READY = 1016 "target takes new work";
    TARGET_LEAVING = 1017 "target leaves";
    TARGET_UNREGISTERED = 1018 "target's registration ended";
    CONFIG_APPLIED = 1020 "configuration came into force";
    VERSION_ANNOUNCED = 1021 "new version of an adapter announced";
    SETTINGS_RELOADED = 1022 "settings read again";
    SETTINGS_REFUSED = 1023 "changed settings refused, the old ones stay";
    PEER_SNAPSHOT_APPLIED = 1024 "targets taken over from a peer that has read the platform more recently";
    LINK_REFUSED = 1030 "link to a peer refused";
    LINK_BROKEN = 1031 "link to a peer broke";
    REQUEST_DONE = 1101 "request answered";
    REQUEST_REFUSED = 1102 "request refused";
    REQUEST_UNKNOWN = 1103 "request ended with unknown outcome";
    ATTEMPT_FAILED = 1104 "attempt failed";
    ANSWER_DROPPED = 1105 "answer that matches no open attempt dropped";
    JOURNAL_UNSETTLED = 1111 "journal entry could not be settled";
    ADAPTER_LOAD_REQUESTED = 1112 "load of an adapter asked for by a peer";
    STREAM_MOVED = 1113 "stream goes on at another target";
    TICKETS_REGISTERED = 1120 "open tickets registered with a keeper";
    CLAIM_APPENDED = 1201 "claim appended";
    OWNERSHIP_CHANGED = 1202 "holding of a resource changed";
    OWNERSHIP_RELEASED = 1203 "holdings released";
    ORDER_DONE = 1210 "order carried out";
    ORDER_FAILED = 1211 "order failed";
    ORDER_FENCED = 1212 "order refused for its fencing number";
    ORDER_WITHHELD = 1213 "order withheld because the right had lapsed";
    ENGINE_UNREACHABLE = 1221 "engine takes no connections";
    SUSPECTS_FOUND = 1222 "contents became crash suspects";
    ENGINE_REPORTED = 1223 "engine reported what it holds";
    TICKET_CANCELLED = 1230 "lapsed ticket cancelled at the engine";
    PERMITS_LENT = 1240 "weight store permits lent";
}
