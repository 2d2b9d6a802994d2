//! Entry hosts: which there are, which leave, which are heard of.

use {
    crate::{Time, rendezvous_weight},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::IpAddr,
};

/// What the platform's host list says of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Going away: no new work.
    Leaving,
}

/// An entry host as one process sees it. The view steers, it never decides.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Host name.
    pub host: FastStr,
    /// Its address; ports come from settings.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// What the host list says.
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

/// The entry hosts by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: IndexMap<FastStr, MemberStatus>,
}

impl Members {
    /// Takes a fresh host list. A host that it no longer shows stays known for
    /// `forget_after_ms`, since the list may lag.
    pub fn apply_host_list(&mut self, now: Time, list: &[Member], forget_after_ms: u64) {
        for member in list {
            let seen = self.members.entry(member.host.clone()).or_insert_with(|| MemberStatus {
                member: member.clone(),
                last_heartbeat_at: None,
                listed_since: now,
                absent_since: None,
                stopping: false,
            });
            seen.member = member.clone();
            seen.absent_since = None;
        }
        for (host, seen) in &mut self.members {
            let listed = list.iter().any(|m| m.host == *host);
            if !listed && seen.absent_since.is_none() {
                seen.absent_since = Some(now);
            }
        }
        let forgotten = |seen: &MemberStatus| {
            seen.absent_since.is_some_and(|t| now.ms_since(t) >= forget_after_ms)
        };
        self.members.retain(|_, seen| !forgotten(seen));
    }

    /// Notes a sign of life of `host`, and whether it says that it is about to stop.
    pub fn record_heartbeat(&mut self, now: Time, host: &str, stopping: bool) {
        if let Some(seen) = self.members.get_mut(host) {
            seen.last_heartbeat_at = Some(now);
            seen.stopping = stopping;
        }
    }

    /// The member named `host`.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host).map(|seen| &seen.member)
    }

    /// Every member still known, listed or lately listed, in the order of their names.
    #[must_use]
    pub fn known(&self) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.members.values().map(|seen| &seen.member).collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        all
    }

    /// Names of the members that are listed live and not about to stop. Those among the first
    /// `watched` that `me` sends heartbeats to must have been heard of within `suspect_ms`, or
    /// have been listed no longer than that.
    #[must_use]
    pub fn live_hosts(&self, now: Time, me: &str, suspect_ms: u64, watched: usize) -> Vec<FastStr> {
        let silent: Vec<&FastStr> = self
            .heartbeat_peers(me, watched)
            .into_iter()
            .map(|member| &member.host)
            .filter(|host| self.is_silent(now, host, suspect_ms))
            .collect();
        let is_live = |seen: &&MemberStatus| {
            let in_service = seen.member.state == HostState::Live && !seen.stopping;
            in_service && seen.absent_since.is_none() && !silent.contains(&&seen.member.host)
        };
        let mut hosts: Vec<FastStr> =
            self.members.values().filter(is_live).map(|s| s.member.host.clone()).collect();
        hosts.sort();
        hosts
    }

    fn is_silent(&self, now: Time, host: &str, suspect_ms: u64) -> bool {
        let Some(seen) = self.members.get(host) else {
            return true;
        };
        now.ms_since(seen.last_heartbeat_at.unwrap_or(seen.listed_since)) >= suspect_ms
    }

    /// The members that `me` sends heartbeats to: at most `most`, the same few on each call,
    /// so that the cost of heartbeats does not grow with the number of hosts.
    #[must_use]
    pub fn heartbeat_peers(&self, me: &str, most: usize) -> Vec<&Member> {
        let mut others: Vec<&Member> = self.known().into_iter().filter(|m| m.host != me).collect();
        others.sort_by_key(|m| std::cmp::Reverse(rendezvous_weight(me, &m.host)));
        others.truncate(most);
        others
    }
}
