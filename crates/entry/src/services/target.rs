//! Targets of a plain service.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Config, Time, rendezvous_weight},
    egret_runtime::{CallError, Reply},
    faststr::FastStr,
    http::{HeaderMap, Method},
    std::net::SocketAddr,
};

/// A target of a service.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: FastStr,
    pub(super) address: SocketAddr,
}

/// The targets of `service` that take work: those in the own data centre first, then in an
/// order that differs between requests. None when there is no such service.
pub(super) fn ranked_targets(
    entry: &Entry,
    config: &Config,
    service: &str,
    seed: &str,
) -> Option<Vec<Target>> {
    let spec = config.manifest.services.get(service)?;
    let takes_work =
        |name: &FastStr| !config.manifest.hosts.is_leaving(name) && !entry.hosts.is_leaving(name);
    let mut hosts: Vec<_> = spec.targets.iter().filter(|(name, _)| takes_work(name)).collect();
    hosts.sort_by_key(|(name, target)| {
        let far = target.data_centre != entry.cfg.data_centre;
        (far, std::cmp::Reverse(rendezvous_weight(seed, name)))
    });
    let host = |(name, target): (&FastStr, &egret_core::ServiceTarget)| Target {
        name: name.clone(),
        address: target.address,
    };
    Some(hosts.into_iter().map(host).collect())
}

/// What is sent to a service.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OutgoingRequest {
    /// Sends to one target, over a connection of its own.
    pub(super) async fn send(
        &self,
        entry: &Entry,
        host: &Target,
        deadline: Time,
    ) -> Result<Reply, CallError> {
        let caller = &entry.service_client;
        let (method, body) = (self.method.clone(), self.body.clone());
        caller.call(host.address, method, &self.path, &self.headers, body, deadline).await
    }
}
