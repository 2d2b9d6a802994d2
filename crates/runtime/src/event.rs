//! Numbered events. `docs/EVENTS.md` is their catalogue.

use {
    crate::clock::now,
    std::{
        fmt,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// Limit of lines that a process logs in one second at warn and info level. Enough for one line
/// per request and order at several times a host's usual load.
const LINES_PER_S_MAX: u64 = 500;

// the second being counted, and the lines logged in it
static CURRENT_SECOND: AtomicU64 = AtomicU64::new(0);
static LINES_THIS_SECOND: AtomicU64 = AtomicU64::new(0);

// Counts a line. Returns false once the limit of this second is reached. The first line of a later
// second logs how many lines were dropped.
fn admit_line() -> bool {
    let second = now().as_millis() / 1000;
    if CURRENT_SECOND.swap(second, Ordering::Relaxed) != second {
        let dropped = LINES_THIS_SECOND.swap(0, Ordering::Relaxed).saturating_sub(LINES_PER_S_MAX);
        if dropped > 0 {
            events::LINES_DROPPED.error(format_args!("lines={dropped}"));
        }
    }
    LINES_THIS_SECOND.fetch_add(1, Ordering::Relaxed) < LINES_PER_S_MAX
}

/// Key-value pairs logged with an event, for operators and for `egretctl`.
pub type Fields<'a> = fmt::Arguments<'a>;

/// A kind of event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Number of the event, stable across releases.
    pub number: u16,
    /// Meaning of the event, as in the catalogue.
    pub meaning: &'static str,
}

impl EventId {
    /// Logs this event at info level.
    pub fn info(self, fields: Fields<'_>) {
        if log::log_enabled!(log::Level::Info) && admit_line() {
            log::info!(event = self.code(); "{} {fields}", self.meaning);
        }
    }

    /// Logs this event at warn level.
    pub fn warn(self, fields: Fields<'_>) {
        if log::log_enabled!(log::Level::Warn) && admit_line() {
            log::warn!(event = self.code(); "{} {fields}", self.meaning);
        }
    }

    /// Logs this event at error level, which has no limit on lines.
    pub fn error(self, fields: Fields<'_>) {
        log::error!(event = self.code(); "{} {fields}", self.meaning);
    }

    /// Logs this event at debug level, which has no limit on lines.
    pub fn debug(self, fields: Fields<'_>) {
        log::debug!(event = self.code(); "{} {fields}", self.meaning);
    }

    /// Returns the code of the event, for example `E1203`.
    #[must_use]
    pub fn code(self) -> String {
        format!("E{}", self.number)
    }
}

macro_rules! catalogue {
    ($($name:ident = $number:literal $meaning:literal;)*) => {
        /// Event kinds by name.
        pub mod events {
            use super::EventId;
            $(
                #[doc = $meaning]
                pub const $name: EventId = EventId { number: $number, meaning: $meaning };
            )*
        }

        /// All event kinds, ordered by number.
        pub const EVENTS: &[EventId] = &[$(events::$name),*];
    };
}

catalogue! {
    STARTED = 1001 "process started";
    STOPPING = 1002 "graceful stop began";
    STOPPED = 1003 "graceful stop ended";
    STOP_TIMED_OUT = 1004 "graceful stop timed out with requests open";
    ACCEPT_FAILED = 1005 "connection could not be accepted";
    LINES_DROPPED = 1006 "log lines dropped, limit per second exceeded";
    ADDRESS_IN_USE = 1007 "address to listen on is still in use";
    CONNECTIONS_FULL = 1008 "connections closed at the limit of their number";
    LOG_UNREACHABLE = 1010 "platform log can't be read";
    LOG_REACHABLE = 1011 "platform log can be read again";
    LOG_RECORD_UNKNOWN = 1012 "record of a log stream could not be decoded";
    HOSTS_UNREACHABLE = 1013 "host list can't be read";
    APPEND_FAILED = 1014 "append to the platform log failed";
    REGISTRY_READ = 1015 "registry of targets read as a whole";
    TARGET_READY = 1016 "target accepts new requests";
    TARGET_LEAVING = 1017 "target leaves";
    TARGET_UNREGISTERED = 1018 "target's registration ended";
    TARGET_LIMITED = 1019 "target's limit of requests changed";
    CONFIG_APPLIED = 1020 "configuration applied";
    VERSION_ANNOUNCED = 1021 "new version of an adapter announced";
    SETTINGS_RELOADED = 1022 "settings read again";
    SETTINGS_REFUSED = 1023 "changed settings rejected, previous settings stay in force";
    PEER_SNAPSHOT_APPLIED = 1024 "targets updated from a peer that has read the platform more recently";
    ROUTES_SENT = 1025 "routes sent to a peer with an older revision";
    ROUTES_NOT_FETCHED = 1026 "routes could not be fetched from a peer";
    STORE_RESTORED = 1027 "the platform's store has come back from an older copy";
    TARGET_BRITTLE = 1028 "target says that it is brittle, or no longer";
    LINK_REFUSED = 1030 "link to a peer refused";
    LINK_BROKEN = 1031 "link to a peer failed";
    REQUEST_DONE = 1101 "request answered";
    REQUEST_REFUSED = 1102 "request refused";
    REQUEST_UNKNOWN = 1103 "request ended with unknown outcome";
    ATTEMPT_FAILED = 1104 "attempt failed";
    ANSWER_DROPPED = 1105 "answer that matches no open attempt dropped";
    REQUEST_ABANDONED = 1106 "caller left before its answer was complete";
    STREAM_BEGAN = 1107 "first events of a stream passed on";
    JOURNAL_UNSETTLED = 1111 "journal entry could not be settled";
    ADAPTER_LOAD_REQUESTED = 1112 "load of an adapter requested by a peer";
    STREAM_MOVED = 1113 "stream goes on at another target";
    REQUEST_REPEATED = 1114 "request sent again";
    EARLIER_REPEATS_KNOWN = 1115 "fixed repeats of earlier processes of this host known";
    TARGETS_UNREACHABLE = 1116 "no target of a service takes a connection from this host";
    TARGETS_REACHABLE = 1117 "targets of a service take connections from this host again";
    REQUEST_RELAYED = 1118 "request answered by another host";
    RELAY_FAILED = 1119 "request passed on to another host got no answer";
    TICKETS_REGISTERED = 1120 "open tickets registered with a keeper";
    ORIGINS_CONFLICT = 1130 "records name different software versions for one stream";
    ORIGINS_NOT_WRITTEN = 1131 "origins of streams could not be written to the store";
    ORIGINS_DROPPED = 1132 "origins of streams dropped before they were written to the store";
    ORIGINS_READ = 1133 "origins of streams read from the store";
    ORIGINS_NOT_READ = 1134 "origins of streams could not be read from the store";
    ORIGIN_PROVED = 1135 "version of a stream proved by the declarations of hosts";
    ORIGIN_UNPROVED = 1136 "version of a stream not proved by the declarations of hosts";
    DECLARATION_NOT_WRITTEN = 1137 "versions at which streams may begin could not be declared in the store";
    DECLARATIONS_NOT_READ = 1138 "versions at which hosts may begin streams could not be read from the store";
    KEY_REFUSED = 1140 "request refused because of its key";
    KEYS_VIEW_TOO_OLD = 1141 "keys not confirmed for too long, requests with a key are refused";
    KEYS_VIEW_RENEWED = 1142 "keys confirmed again";
    ACCOUNT_LIMITED = 1150 "account has used its allowance, its requests are refused";
    ACCOUNT_WITHIN_ALLOWANCE = 1151 "account is within its allowance again";
    ISSUER_SILENT = 1152 "issuer of allowances does not answer";
    ISSUER_ANSWERS = 1153 "issuer of allowances answers again";
    TARGET_SLOWED = 1160 "pace of a target changed by much";
    TARGET_START_UNKNOWN = 1161 "target answers that it started at another time than its known entry says";
    CLAIM_APPENDED = 1201 "claim appended";
    OWNERSHIP_CHANGED = 1202 "ownership of a resource changed";
    OWNERSHIP_RELEASED = 1203 "ownership of resources released";
    ORDER_DONE = 1210 "order carried out";
    ORDER_FAILED = 1211 "order failed";
    ORDER_FENCED = 1212 "order refused because of its fencing token";
    ORDER_WITHHELD = 1213 "order withheld because the lease had expired";
    ENGINE_UNREACHABLE = 1221 "engine accepts no connections";
    SUSPECTS_FOUND = 1222 "contents became crash suspects";
    ENGINE_REPORTED = 1223 "engine reported its models and adapters";
    CRASH_CHECK_UNDECIDED = 1224 "engine kept breaking connections; whether it crashed is not known";
    CRASH_WITNESSED = 1225 "request was on a target when its connection broke off";
    SUSPECT_REFUSED = 1226 "requests refused, since targets crashed on what they hold";
    CRASH_TEST = 1227 "request sent to test whether what it holds still crashes targets";
    CRASH_FINDING = 1228 "finding about what crashes targets read in the host log";
    TICKET_CANCELLED = 1230 "expired ticket cancelled at the engine";
    PERMITS_LENT = 1240 "weight store permits lent";
}
