//! Pool of open links, one per peer host.

use {
    super::{
        client::{Link, LinkError},
        message::{Body, Hello},
    },
    crate::now,
    egret_core::Time,
    faststr::FastStr,
    futures::future::{BoxFuture, FutureExt, Shared},
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
};

/// Timeout for opening a link, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 800;

type Connecting = Shared<BoxFuture<'static, Option<Arc<Link>>>>;

/// Open links by peer host.
#[derive(Debug)]
pub struct LinkPool {
    hello: Hello,
    links: Mutex<IndexMap<FastStr, Arc<Link>>>,
    // links that are being opened; all that need one wait for the same
    connecting: Mutex<IndexMap<FastStr, Connecting>>,
}

impl LinkPool {
    /// Creates an empty pool. Each link sends `hello` first.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self { hello, links: Mutex::default(), connecting: Mutex::default() }
    }

    /// Returns the open link to `host`, if there is one.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Arc<Link>> {
        let link = self.links.lock().get(host).cloned();
        link.filter(|link| !link.is_closed())
    }

    /// Returns all open links.
    #[must_use]
    pub fn open_links(&self) -> Vec<Arc<Link>> {
        self.links.lock().values().filter(|link| !link.is_closed()).cloned().collect()
    }

    /// Returns the hosts to which a link is open.
    #[must_use]
    pub fn hosts(&self) -> Vec<FastStr> {
        let links = self.links.lock();
        links.iter().filter(|(_, link)| !link.is_closed()).map(|(host, _)| host.clone()).collect()
    }

    /// Returns the open link to `host`, or connects to `address`. Returns
    /// `None` if connecting fails.
    pub async fn get_or_connect(&self, host: &FastStr, address: SocketAddr) -> Option<Arc<Link>> {
        if let Some(link) = self.get(host) {
            return Some(link);
        }
        let connecting = {
            let mut connecting = self.connecting.lock();
            let started = connecting.entry(host.clone()).or_insert_with(|| {
                let hello = self.hello.clone();
                let deadline = now().after_ms(CONNECT_TIMEOUT_MS);
                // a task of its own, since those that wait for it may give up
                let task = tokio::spawn(async move {
                    Link::connect(address, &hello, deadline).await.ok().map(Arc::new)
                });
                task.map(|ended| ended.ok().flatten()).boxed().shared()
            });
            started.clone()
        };
        let link = connecting.clone().await;
        let is_first_to_end = {
            let mut all = self.connecting.lock();
            let is_same = all.get(host).is_some_and(|current| current.ptr_eq(&connecting));
            is_same && all.swap_remove(host).is_some()
        };
        if let Some(link) = link.as_ref().filter(|_| is_first_to_end) {
            self.links.lock().insert(host.clone(), link.clone());
        }
        link
    }

    /// Closes the links for which `is_kept` is false.
    pub fn retain(&self, is_kept: impl Fn(&str, &Link) -> bool) {
        self.links.lock().retain(|host, link| !link.is_closed() && is_kept(host, link));
    }

    /// Closes the link to `host`, for instance because the peer does not answer.
    pub fn close(&self, host: &str) {
        let link = self.links.lock().swap_remove(host);
        if let Some(link) = link {
            link.close();
        }
    }

    /// Sends a request to `host` over its open link and waits for the answer.
    ///
    /// # Errors
    ///
    /// When there is no open link, or no answer before `deadline`.
    pub async fn call(&self, host: &str, body: Body, deadline: Time) -> Result<Body, LinkError> {
        let link = self.get(host).ok_or(LinkError::NotConnected)?;
        link.call(body, deadline).await
    }

    /// Closes the link to `host` if it does not answer a status request before `deadline`. A
    /// connection can stop delivering frames without an error while a new one works.
    pub async fn close_if_unresponsive(&self, host: &str, deadline: Time) {
        let Some(link) = self.get(host) else {
            return;
        };
        if !link.answers(deadline).await {
            link.close();
        }
    }

    /// Sends a one-way message to `host`, if there is an open link.
    pub fn notify(&self, host: &str, body: Body) {
        if let Some(link) = self.get(host) {
            link.notify(body);
        }
    }
}
