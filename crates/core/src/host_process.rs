//! Names the processes that run on a host one after another.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// A process of a host.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct HostProcess {
    /// Name of the host.
    pub host: FastStr,
    /// Distinguishes the processes of the host.
    pub incarnation: u64,
}
