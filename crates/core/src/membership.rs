//! Tracks the entry hosts: those that exist, those that leave, and those that send heartbeats.

use {
    crate::{Time, rendezvous_weight},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::IpAddr,
};

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving: it takes no new work.
    Leaving,
}

/// An entry host as one process sees it. The view may be outdated, so it only guides choices.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Host name.
    pub host: FastStr,
    /// Its address; ports come from settings.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// State in the host list.
    pub state: HostState,
}

#[derive(Clone, Debug)]
struct MemberStatus {
    member: Member,
    last_heartbeat_at: Option<Time>,
    listed_since: Time,
    absent_since: Option<Time>,
    stopping: bool,
}

/// Entry hosts by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: IndexMap<FastStr, MemberStatus>,
}

impl Members {
    /// Applies a new host list. A host that the list no longer shows stays known for
    /// `forget_after_ms`, since the list may lag.
    pub fn apply_host_list(&mut self, now: Time, list: &[Member], forget_after_ms: u64) {
        for member in list {
            let status = self.members.entry(member.host.clone()).or_insert_with(|| MemberStatus {
                member: member.clone(),
                last_heartbeat_at: None,
                listed_since: now,
                absent_since: None,
                stopping: false,
            });
            status.member = member.clone();
            status.absent_since = None;
        }
        for (host, status) in &mut self.members {
            let listed = list.iter().any(|m| m.host == *host);
            if !listed && status.absent_since.is_none() {
                status.absent_since = Some(now);
            }
        }
        let forgotten = |status: &MemberStatus| {
            status.absent_since.is_some_and(|t| now.ms_since(t) >= forget_after_ms)
        };
        self.members.retain(|_, status| !forgotten(status));
    }

    /// Records a heartbeat of `host`, which says whether the host is about to stop.
    pub fn record_heartbeat(&mut self, now: Time, host: &str, stopping: bool) {
        if let Some(status) = self.members.get_mut(host) {
            status.last_heartbeat_at = Some(now);
            status.stopping = stopping;
        }
    }

    /// The member named `host`.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host).map(|status| &status.member)
    }

    /// All members that are listed or were listed recently, sorted by name.
    #[must_use]
    pub fn known(&self) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.members.values().map(|status| &status.member).collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        all
    }

    /// Sorted names of the members that are listed as live and not about to stop. The first
    /// `peers_max` heartbeat peers of `own_host` must also have sent a heartbeat within
    /// `suspect_ms`, or have been listed for no longer than that.
    #[must_use]
    pub fn live_hosts(
        &self,
        now: Time,
        own_host: &str,
        suspect_ms: u64,
        peers_max: usize,
    ) -> Vec<FastStr> {
        let silent_hosts: Vec<&FastStr> = self
            .heartbeat_peers(own_host, peers_max)
            .into_iter()
            .map(|member| &member.host)
            .filter(|host| self.is_silent(now, host, suspect_ms))
            .collect();
        let is_live = |status: &&MemberStatus| {
            let in_service = status.member.state == HostState::Live && !status.stopping;
            in_service
                && status.absent_since.is_none()
                && !silent_hosts.contains(&&status.member.host)
        };
        let mut hosts: Vec<FastStr> =
            self.members.values().filter(is_live).map(|s| s.member.host.clone()).collect();
        hosts.sort();
        hosts
    }

    fn is_silent(&self, now: Time, host: &str, suspect_ms: u64) -> bool {
        let Some(status) = self.members.get(host) else {
            return true;
        };
        now.ms_since(status.last_heartbeat_at.unwrap_or(status.listed_since)) >= suspect_ms
    }

    /// The members that `own_host` sends heartbeats to: at most `peers_max`, the same ones on each
    /// call, so that the cost of heartbeats does not grow with the number of hosts.
    #[must_use]
    pub fn heartbeat_peers(&self, own_host: &str, peers_max: usize) -> Vec<&Member> {
        let mut others: Vec<&Member> =
            self.known().into_iter().filter(|m| m.host != own_host).collect();
        others.sort_by_key(|m| std::cmp::Reverse(rendezvous_weight(own_host, &m.host)));
        others.truncate(peers_max);
        others
    }
}
