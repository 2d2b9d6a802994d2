//! Open links by the peer's host.

use {
    super::{
        client::{Link, LinkError},
        message::{Body, Hello, StatusMsg},
    },
    crate::now,
    egret_core::Time,
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
};

/// Longest time to open a link, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 800;

/// Open links by the peer's host.
#[derive(Debug)]
pub struct LinkPool {
    hello: Hello,
    links: Mutex<IndexMap<FastStr, Arc<Link>>>,
}

impl LinkPool {
    /// No links yet; each will begin with `hello`.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self { hello, links: Mutex::default() }
    }

    /// The open link to `host`, if there is one.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Arc<Link>> {
        let link = self.links.lock().get(host).cloned();
        link.filter(|link| !link.is_closed())
    }

    /// All open links.
    #[must_use]
    pub fn open_links(&self) -> Vec<Arc<Link>> {
        self.links.lock().values().filter(|link| !link.is_closed()).cloned().collect()
    }

    /// The link to `host`, opened at `address` if need be; none when that fails.
    pub async fn get_or_connect(&self, host: &FastStr, address: SocketAddr) -> Option<Arc<Link>> {
        if let Some(link) = self.get(host) {
            return Some(link);
        }
        let link =
            Link::connect(address, &self.hello, now().after_ms(CONNECT_TIMEOUT_MS)).await.ok()?;
        let link = Arc::new(link);
        self.links.lock().insert(host.clone(), link.clone());
        Some(link)
    }

    /// Closes the link to `host`, for instance because it is silent.
    pub fn close(&self, host: &str) {
        let link = self.links.lock().swap_remove(host);
        if let Some(link) = link {
            link.close();
        }
    }

    /// Asks `host` over its open link.
    ///
    /// # Errors
    ///
    /// When there is no open link, or no answer before `deadline`.
    pub async fn call(&self, host: &str, body: Body, deadline: Time) -> Result<Body, LinkError> {
        let link = self.get(host).ok_or(LinkError::NotConnected)?;
        link.call(body, deadline).await
    }

    /// Closes the link to `host` if it answers nothing before `deadline`. A connection may have
    /// gone silent for good without a sign, while a new one works.
    pub async fn close_if_unresponsive(&self, host: &str, deadline: Time) {
        let Some(link) = self.get(host) else {
            return;
        };
        let question = Body::Status(StatusMsg { json: String::new() });
        if link.call(question, deadline).await.is_err() {
            link.close();
        }
    }

    /// Tells `host` something, if there is an open link.
    pub fn notify(&self, host: &str, body: Body) {
        if let Some(link) = self.get(host) {
            link.notify(body);
        }
    }
}
