//! Pool of idle connections to targets.

use {
    egret_core::{ConfirmedConnection, Target, Time},
    egret_runtime::{Conn, HttpError, now},
    faststr::FastStr,
    http::HeaderMap,
    indexmap::IndexMap,
    parking_lot::Mutex,
};

/// Longest time for which an idle connection is kept, and the idle timeout assumed for a target
/// that states none.
const IDLE_MAX_MS: u64 = 4000;

/// Margin below the target's own idle timeout, since the target may close the connection while a
/// request is on its way.
const IDLE_MARGIN_MS: u64 = 700;

/// Longest idle time of a connection used for a request that may not be repeated. If the
/// connection was cut while it was idle, the outcome of the request would be unknown.
const UNREPEATABLE_IDLE_MAX_MS: u64 = 1500;

/// Highest number of connections kept for one target.
const KEPT_PER_TARGET_MAX: usize = 32;

/// Number of idle connections that each of `hosts` hosts may keep to a target that accepts
/// `connections_max` in all. The hosts share half of them, and the other half stays free for
/// running requests.
pub(crate) fn kept_connections_max(connections_max: u32, hosts: u64) -> usize {
    let share = u64::from(connections_max) / 2 / hosts.max(1);
    usize::try_from(share).unwrap_or(KEPT_PER_TARGET_MAX).clamp(1, KEPT_PER_TARGET_MAX)
}

/// Start of a target to which a connection leads.
#[derive(Clone, Debug)]
pub(crate) struct ConfirmedStart {
    /// Unix time of the start.
    pub(crate) unix_ms: u64,
    /// The mark of the connection, if the target has named the start.
    pub(crate) _connection: Option<ConfirmedConnection>,
}

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) conn: Conn,
    /// True if no request of a caller has been sent on it.
    pub(crate) is_new: bool,
    /// True if the target has closed another one that was kept.
    pub(crate) replaces_closed: bool,
    /// Start of the target to which it leads, if that is confirmed.
    pub(crate) confirmed_start: Option<ConfirmedStart>,
}

#[derive(Debug)]
struct KeptConnection {
    conn: Conn,
    confirmed_start: Option<ConfirmedStart>,
    idle_since: Time,
    expires_at: Time,
}

/// Kept connections by target id.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    kept: Mutex<IndexMap<FastStr, Vec<KeptConnection>>>,
}

impl ConnectionPool {
    /// Returns a kept connection to `target` that is still usable, otherwise a new one.
    ///
    /// # Errors
    ///
    /// If no connection is open by `deadline`.
    pub(crate) async fn acquire(
        &self,
        target: &Target,
        repeatable: bool,
        deadline: Time,
    ) -> Result<TargetConnection, HttpError> {
        let (kept, replaces_closed) = self.acquire_kept(target, repeatable);
        let is_new = kept.is_none();
        let (conn, confirmed_start) = match kept {
            Some(kept) => (kept.conn, kept.confirmed_start),
            None => (Conn::open(target.address, deadline).await?, None),
        };
        Ok(TargetConnection { conn, is_new, replaces_closed, confirmed_start })
    }

    // a usable connection, and whether the target has closed another one
    fn acquire_kept(&self, target: &Target, repeatable: bool) -> (Option<KeptConnection>, bool) {
        let now = now();
        let mut has_closed = false;
        let mut all = self.kept.lock();
        let Some(kept) = all.get_mut(&target.id) else {
            return (None, has_closed);
        };
        let is_other_start = |start: &Option<ConfirmedStart>| {
            start.as_ref().is_some_and(|start| start.unix_ms != target.started_unix_ms)
        };
        while let Some(last) = kept.pop() {
            has_closed |= last.conn.is_closed();
            let fresh = repeatable || now.ms_since(last.idle_since) < UNREPEATABLE_IDLE_MAX_MS;
            let is_usable = now < last.expires_at && fresh && last.conn.can_send();
            if is_usable && !is_other_start(&last.confirmed_start) {
                return (Some(last), has_closed);
            }
        }
        (None, has_closed)
    }

    /// Keeps a connection whose last answer was complete, unless `kept_max` are kept already.
    /// `headers` are those of that answer.
    pub(crate) fn release(
        &self,
        target: &FastStr,
        connection: TargetConnection,
        headers: &HeaderMap,
        kept_max: usize,
    ) {
        let value = |name| headers.get(name).and_then(|v: &http::HeaderValue| v.to_str().ok());
        if value("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            return;
        }
        let idle_ms = value("keep-alive").and_then(keep_alive_timeout_ms).unwrap_or(IDLE_MAX_MS);
        let now = now();
        let until = now.after_ms(idle_ms.saturating_sub(IDLE_MARGIN_MS).min(IDLE_MAX_MS));
        let mut all = self.kept.lock();
        let kept = all.entry(target.clone()).or_default();
        if kept.len() < kept_max {
            let TargetConnection { conn, confirmed_start, .. } = connection;
            let (idle_since, expires_at) = (now, until);
            kept.push(KeptConnection { conn, confirmed_start, idle_since, expires_at });
        }
    }

    /// Closes connections that have been idle for too long, and those to unknown targets. Returns the
    /// targets that have closed connections themselves.
    pub(crate) fn remove_expired(&self, known: impl Fn(&str) -> bool) -> Vec<FastStr> {
        let now = now();
        let mut closed_by = Vec::new();
        self.kept.lock().retain(|target, kept| {
            if kept.iter().any(|k| k.conn.is_closed()) {
                closed_by.push(target.clone());
            }
            kept.retain(|k| now < k.expires_at && k.conn.can_send());
            !kept.is_empty() && known(target)
        });
        closed_by
    }

    /// Closes the kept connections to `target`.
    pub(crate) fn close_kept(&self, target: &str) {
        self.kept.lock().swap_remove(target);
    }
}

// the timeout parameter of a Keep-Alive header is in seconds
fn keep_alive_timeout_ms(value: &str) -> Option<u64> {
    let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    part.trim().parse::<u64>().ok().map(|seconds| seconds * 1000)
}
