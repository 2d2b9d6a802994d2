//! Selects the targets of a plain service and sends requests to them.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Config, Time, rendezvous_weight},
    egret_runtime::{CallError, Reply},
    faststr::FastStr,
    http::{HeaderMap, Method},
    std::net::SocketAddr,
};

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: FastStr,
    pub(super) address: SocketAddr,
}

/// Returns the targets of `service` that accept requests, those in this data centre first. Returns
/// `None` if the service does not exist. `seed` determines the order within the data centre and
/// outside it. It is the request id, so that the order differs between requests.
pub(super) fn ranked_targets(
    entry: &Entry,
    config: &Config,
    service: &str,
    seed: &str,
) -> Option<Vec<Target>> {
    let spec = config.manifest.services.get(service)?;
    let accepts_requests =
        |name: &FastStr| !config.manifest.hosts.is_leaving(name) && !entry.hosts.is_leaving(name);
    let mut targets: Vec<_> =
        spec.targets.iter().filter(|(name, _)| accepts_requests(name)).collect();
    targets.sort_by_key(|(name, target)| {
        let is_remote = target.data_centre != entry.cfg.data_centre;
        (is_remote, std::cmp::Reverse(rendezvous_weight(seed, name)))
    });
    let to_target = |(name, target): (&FastStr, &egret_core::ServiceTarget)| Target {
        name: name.clone(),
        address: target.address,
    };
    Some(targets.into_iter().map(to_target).collect())
}

/// Request as sent to a service.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OutgoingRequest {
    /// Sends the request to `target` over a new connection.
    pub(super) async fn send(
        &self,
        entry: &Entry,
        target: &Target,
        deadline: Time,
    ) -> Result<Reply, CallError> {
        let client = &entry.service_client;
        let (method, body) = (self.method.clone(), self.body.clone());
        client.call(target.address, method, &self.path, &self.headers, body, deadline).await
    }
}
