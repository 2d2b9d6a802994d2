//! The host list: entry hosts and leaving targets.

use {
    crate::{HostsClient, event::events, now},
    egret_core::{HostState, Members},
    faststr::FastStr,
    indexmap::IndexSet,
    parking_lot::Mutex,
    std::time::Duration,
};

/// How often the list is read, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// How long one read may take, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1500;

/// How long a host that the list no longer shows is still counted, in milliseconds.
const UNLISTED_HOST_TTL_MS: u64 = 20_000;

/// Follows the host list.
#[derive(Debug, Default)]
pub struct HostsWatch {
    members: Mutex<Members>,
    leaving: Mutex<IndexSet<FastStr>>,
}

impl HostsWatch {
    /// The entry hosts.
    #[must_use]
    pub fn members(&self) -> &Mutex<Members> {
        &self.members
    }

    /// True when the list shows `host` as leaving.
    #[must_use]
    pub fn is_leaving(&self, host: &str) -> bool {
        self.leaving.lock().contains(host)
    }

    /// Follows the list for ever.
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
