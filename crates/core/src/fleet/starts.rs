//! Which start of a target serves at its address.
//!
//! A target may restart under its id and address with another software version, and serve before its
//! new entry is known. What the entry says holds for a connection only if the process at the other end
//! names the start that the entry names.

use {crate::Time, faststr::FastStr, indexmap::IndexMap, std::sync::Arc};

/// Longest time for which a report holds for new connections. A connection whose answer is not being
/// read shows late that the target has closed it.
const REPORT_VALID_MS: u64 = 500;

/// Which start of a target serves, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartCheck {
    /// The one of the registry, or the target does not say.
    Registered,
    /// It is not known: the target has to be asked.
    Unknown,
    /// Another one.
    Other,
}

/// Held with each open connection that leads to the start which a report has named.
#[derive(Clone, Debug)]
pub struct ConfirmedConnection(#[allow(dead_code)] Arc<()>);

#[derive(Clone, Debug)]
struct StartReport {
    // start that the registry named at that time, and the one that the target named, if any
    registered_unix_ms: u64,
    named_unix_ms: Option<u64>,
    asked_at: Time,
    // one more reference than there are open connections to the start that was named
    connections: Arc<()>,
}

/// Starts that targets have named in their reports, since a connection to them has last failed.
///
/// A report holds for a new connection while another one to the same start is open: a target that ends
/// closes it.
#[derive(Clone, Debug, Default)]
pub struct TargetStarts {
    by_target: IndexMap<FastStr, StartReport>,
}

impl TargetStarts {
    /// Checks whether a connection to the target `id` that works now leads to the start
    /// `registered_unix_ms` of its entry; 0 if the entry names none.
    #[must_use]
    pub fn check(&self, now: Time, id: &str, registered_unix_ms: u64) -> StartCheck {
        if registered_unix_ms == 0 {
            return StartCheck::Registered;
        }
        let Some(report) = self.by_target.get(id) else {
            return StartCheck::Unknown;
        };
        let is_recent = now < report.asked_at.after_ms(REPORT_VALID_MS);
        let is_connected = Arc::strong_count(&report.connections) > 1;
        match report.named_unix_ms {
            None if report.registered_unix_ms == registered_unix_ms => StartCheck::Registered,
            // starts of an id only get later
            Some(named) if named > registered_unix_ms => StartCheck::Other,
            Some(named) if named < registered_unix_ms && is_recent => StartCheck::Other,
            Some(named) if named == registered_unix_ms && is_recent && is_connected => {
                StartCheck::Registered
            }
            None | Some(_) => StartCheck::Unknown,
        }
    }

    /// The mark of a further connection to the start that the target `id` has named.
    #[must_use]
    pub fn confirmed_connection(&self, id: &str) -> Option<ConfirmedConnection> {
        self.by_target.get(id).map(|report| ConfirmedConnection(report.connections.clone()))
    }

    /// Records the start that the target `id` has named when it was asked at `asked_at`, while its entry
    /// named the start `registered_unix_ms`. Returns the mark of the connection on which it was asked.
    pub fn record_report(
        &mut self,
        asked_at: Time,
        id: &FastStr,
        registered_unix_ms: u64,
        named_unix_ms: Option<u64>,
    ) -> ConfirmedConnection {
        let connections = Arc::new(());
        let connection = ConfirmedConnection(connections.clone());
        let report = StartReport { registered_unix_ms, named_unix_ms, asked_at, connections };
        // an answer may come late
        if self.by_target.get(id).is_none_or(|newer| newer.asked_at <= asked_at) {
            self.by_target.insert(id.clone(), report);
        }
        connection
    }

    /// Records that a connection to the target `id` broke or could not be opened: it may restart.
    pub fn record_failure(&mut self, id: &str) {
        self.by_target.swap_remove(id);
    }

    /// Forgets targets that are not known.
    pub fn remove_unknown(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|id, _| is_known(id));
    }
}
