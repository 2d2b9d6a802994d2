//! Watcher of the host list: entry hosts and leaving targets.

use {
    crate::{HostsClient, event::events, now},
    egret_core::{HostState, Members},
    faststr::FastStr,
    indexmap::IndexSet,
    parking_lot::Mutex,
    std::time::Duration,
};

/// Interval between reads of the host list, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Timeout of one read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1500;

/// Time for which a host that is missing from the list still counts as a member, in milliseconds.
const UNLISTED_HOST_TTL_MS: u64 = 20_000;

/// Holds the hosts of the latest host list.
#[derive(Debug, Default)]
pub struct HostsWatch {
    members: Mutex<Members>,
    leaving: Mutex<IndexSet<FastStr>>,
}

impl HostsWatch {
    /// Returns the entry hosts.
    #[must_use]
    pub fn members(&self) -> &Mutex<Members> {
        &self.members
    }

    /// Returns true if the host list marks `host` as leaving.
    #[must_use]
    pub fn is_leaving(&self, host: &str) -> bool {
        self.leaving.lock().contains(host)
    }

    /// Polls the host list, forever.
    pub async fn follow(&self, client: HostsClient) {
        let mut failing = false;
        loop {
            let list = client.list(now().after_ms(READ_TIMEOUT_MS)).await;
            if list.is_none() && !failing {
                events::HOSTS_UNREACHABLE.warn(format_args!(""));
            }
            failing = list.is_none();
            if let Some(list) = list {
                let members: Vec<_> = list.iter().filter_map(crate::HostEntry::member).collect();
                self.members.lock().apply_host_list(now(), &members, UNLISTED_HOST_TTL_MS);
                let leaving = list.into_iter().filter(|e| e.state == HostState::Leaving);
                *self.leaving.lock() = leaving.map(|e| e.host).collect();
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}
