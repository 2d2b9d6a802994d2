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
const CONNECT_MS: u64 = 800;

/// Open links by the peer's host.
#[derive(Debug)]
pub struct LinkPool {
    hello: Hello,
    open: Mutex<IndexMap<FastStr, Arc<Link>>>,
}

impl LinkPool {
    /// No links yet; each will begin with `hello`.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self { hello, open: Mutex::default() }
    }

    /// The open link to `host`, if there is one.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Arc<Link>> {
        let link = self.open.lock().get(host).cloned();
        link.filter(|link| !link.closed())
    }

    /// All open links.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Link>> {
        self.open.lock().values().filter(|link| !link.closed()).cloned().collect()
    }

    /// The link to `host`, opened at `address` if need be; none when that fails.
    pub async fn open(&self, host: &FastStr, address: SocketAddr) -> Option<Arc<Link>> {
        if let Some(link) = self.get(host) {
            return Some(link);
        }
        let link = Link::connect(address, &self.hello, now().after_ms(CONNECT_MS)).await.ok()?;
        let link = Arc::new(link);
        self.open.lock().insert(host.clone(), link.clone());
        Some(link)
    }

    /// Closes the link to `host`, for instance because it is silent.
    pub fn close(&self, host: &str) {
        let link = self.open.lock().swap_remove(host);
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
    pub async fn probe(&self, host: &str, deadline: Time) {
        let Some(link) = self.get(host) else {
            return;
        };
        let question = Body::Status(StatusMsg { json: String::new() });
        if link.call(question, deadline).await.is_err() {
            link.close();
        }
    }

    /// Tells `host` something, if there is an open link.
    pub fn tell(&self, host: &str, body: Body) {
        if let Some(link) = self.get(host) {
            link.tell(body);
        }
    }
}
