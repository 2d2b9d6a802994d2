//! Client of the platform's host list.

use {
    crate::web::HttpClient,
    egret_core::{HostState, Member, Time},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
};

/// One line of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Host name.
    pub host: FastStr,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Live or leaving.
    pub state: HostState,
    /// `entry` for the hosts of this system, `target` for all others.
    pub role: FastStr,
}

impl HostEntry {
    /// The entry host that this line describes, if it is one.
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
    /// A client of the host list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::pooled() }
    }

    /// The host list as the platform shows it now, none when it gives no answer.
    pub async fn list(&self, deadline: Time) -> Option<Vec<HostEntry>> {
        let reply = self.client.get(self.address, "/v1/hosts", deadline).await.ok()?;
        if !reply.status.is_success() {
            return None;
        }
        reply.json().ok()
    }
}
