//! Links to keepers.

use {
    crate::state::Entry,
    egret_core::{Member, Time},
    egret_runtime::{Body, Hello, Link, LinkError, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
};

/// Longest time to open a link, in milliseconds.
const CONNECT_MS: u64 = 800;

/// Open links by the keeper's host.
#[derive(Debug, Default)]
pub(crate) struct KeeperLinks {
    open: Mutex<IndexMap<FastStr, Arc<Link>>>,
}

impl KeeperLinks {
    /// The open link to the keeper on `host`, if there is one.
    pub(crate) fn get(&self, host: &str) -> Option<Arc<Link>> {
        let link = self.open.lock().get(host).cloned();
        link.filter(|link| !link.closed())
    }

    /// All open links.
    pub(crate) fn all(&self) -> Vec<Arc<Link>> {
        self.open.lock().values().filter(|link| !link.closed()).cloned().collect()
    }

    /// The link to the keeper on `member`, opened if need be.
    pub(crate) async fn open(&self, entry: &Entry, member: &Member) -> Option<Arc<Link>> {
        if let Some(link) = self.get(&member.host) {
            return Some(link);
        }
        let hello = Hello {
            host: entry.host.to_string(),
            incarnation: entry.incarnation,
            secret: entry.cfg.secret.clone(),
        };
        let address = SocketAddr::new(member.ip, entry.cfg.keeper_port);
        let link = Link::connect(address, &hello, now().after_ms(CONNECT_MS)).await.ok()?;
        let link = Arc::new(link);
        self.open.lock().insert(member.host.clone(), link.clone());
        Some(link)
    }

    /// Closes the link to the keeper on `host`: it is silent.
    pub(crate) fn close(&self, host: &str) {
        let link = self.open.lock().swap_remove(host);
        if let Some(link) = link {
            link.close();
        }
    }

    /// Asks the keeper on `host` over its open link.
    pub(crate) async fn call(
        &self,
        host: &str,
        body: Body,
        deadline: Time,
    ) -> Result<Body, LinkError> {
        let link = self.get(host).ok_or(LinkError::NotConnected)?;
        link.call(body, deadline).await
    }

    /// Tells the keeper on `host` something, if there is an open link.
    pub(crate) fn tell(&self, host: &str, body: Body) {
        if let Some(link) = self.get(host) {
            link.tell(body);
        }
    }
}
