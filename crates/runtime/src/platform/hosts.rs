//! Client of the platform's host list.

use {
    crate::web::HttpClient,
    egret_core::{HostState, Member, Time},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
};

/// One entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Host name.
    pub host: FastStr,
    /// IP address.
    pub ip: IpAddr,
    /// Data centre of the host.
    pub data_centre: FastStr,
    /// State: live or leaving.
    pub state: HostState,
    /// Role: `entry` for the hosts of this system, `target` for all others.
    pub role: FastStr,
}

impl HostEntry {
    /// Returns the host as a member if it runs an entry, or `None` otherwise.
    #[must_use]
    pub fn member(&self) -> Option<Member> {
        let member = || Member {
            host: self.host.clone(),
            ip: self.ip,
            data_centre: self.data_centre.clone(),
            state: self.state,
        };
        (self.role == "entry").then(member)
    }
}

/// Client of the host list.
#[derive(Clone, Debug)]
pub struct HostsClient {
    address: SocketAddr,
    client: HttpClient,
}

impl HostsClient {
    /// Creates a client of the host list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::pooled() }
    }

    /// Fetches the current host list. Returns `None` if the request fails.
    pub async fn list(&self, deadline: Time) -> Option<Vec<HostEntry>> {
        let reply = self.client.get(self.address, "/v1/hosts", deadline).await.ok()?;
        if !reply.status.is_success() {
            return None;
        }
        reply.json().ok()
    }
}
