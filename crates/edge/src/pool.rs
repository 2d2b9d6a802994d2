//! Pool of idle connections to targets.

use {
    egret_core::{Target, Time},
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

#[derive(Debug)]
struct KeptConnection {
    conn: Conn,
    idle_since: Time,
    expires_at: Time,
}

/// Kept connections by target id.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    kept: Mutex<IndexMap<FastStr, Vec<KeptConnection>>>,
}

impl ConnectionPool {
    /// Returns a kept connection to `target` that is still usable, otherwise a new one, and whether it
    /// is new.
    ///
    /// # Errors
    ///
    /// If no connection is open by `deadline`.
    pub(crate) async fn acquire(
        &self,
        target: &Target,
        repeatable: bool,
        deadline: Time,
    ) -> Result<(Conn, bool), HttpError> {
        if let Some(conn) = self.acquire_kept(&target.id, repeatable) {
            return Ok((conn, false));
        }
        Ok((Conn::open(target.address, deadline).await?, true))
    }

    fn acquire_kept(&self, target: &str, repeatable: bool) -> Option<Conn> {
        let now = now();
        let mut all = self.kept.lock();
        let kept = all.get_mut(target)?;
        while let Some(last) = kept.pop() {
            let fresh = repeatable || now.ms_since(last.idle_since) < UNREPEATABLE_IDLE_MAX_MS;
            if now < last.expires_at && fresh && last.conn.can_send() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was complete, unless `kept_max` are kept already.
    /// `headers` are those of that answer.
    pub(crate) fn release(
        &self,
        target: &FastStr,
        conn: Conn,
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
            kept.push(KeptConnection { conn, idle_since: now, expires_at: until });
        }
    }

    /// Closes connections that have been idle for too long, and those to unknown targets.
    pub(crate) fn remove_expired(&self, known: impl Fn(&str) -> bool) {
        let now = now();
        self.kept.lock().retain(|target, kept| {
            kept.retain(|k| now < k.expires_at && k.conn.can_send());
            !kept.is_empty() && known(target)
        });
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
