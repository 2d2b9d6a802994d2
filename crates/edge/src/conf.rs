//! Settings of an edge host.

use {
    egret_core::{Fencing, RetryBounds},
    egret_runtime::LogSettings,
    faststr::FastStr,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of an edge host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique in the deployment.
    pub host: FastStr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Where it listens.
    pub listen: Listen,
    /// The platform.
    pub store: StoreSettings,
    /// How engines take orders.
    pub orders: OrderSettings,
    /// Repeated sends, over all hosts.
    pub retries: RetrySettings,
    /// Graceful stop.
    pub stop: StopSettings,
    /// The program's own log.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether this host is ready.
    pub ready: SocketAddr,
    /// For links from other hosts.
    pub links: SocketAddr,
    /// For the collector of metrics.
    pub metrics: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Milliseconds after its return within which entries that lapsed meanwhile come back.
    #[serde(default = "default_lapse_ms")]
    pub lapse_ms: u64,
}

const fn default_lapse_ms() -> u64 {
    2000
}

/// How engines take orders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderSettings {
    /// Whether engines refuse old fencing numbers.
    pub fencing: Fencing,
    /// Milliseconds that must pass between the orders of two hosts at one engine.
    pub lease_ms: u64,
    /// Window in which loads of base models are counted, in seconds.
    pub ceiling_window_s: u64,
    /// Loads allowed in that window beyond the weight store's rate, as a factor.
    pub ceiling_over: f64,
}

/// Repeated sends, over all hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Length of the sliding window, in seconds.
    pub window_s: u64,
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends in a window beside that.
    pub free: u64,
}

impl RetrySettings {
    /// The bounds that this host keeps to: nine tenths of what is allowed, since windows of
    /// different hosts don't begin together.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn bounds(&self) -> RetryBounds {
        RetryBounds {
            window_ms: self.window_s * 1000,
            ratio_milli: (self.ratio * 900.0) as u64,
            fixed_repeats: self.free * 9 / 10,
        }
    }
}

/// Graceful stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Milliseconds after which the balancer has certainly noticed that this host is not ready.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
    /// Milliseconds after which the process is killed.
    pub grace_ms: u64,
}

// the balancer asks once a second and believes the second answer
const fn default_notice_ms() -> u64 {
    2300
}

impl Settings {
    /// What is wrong with the settings, as pairs of key and problem.
    #[must_use]
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        if self.host.is_empty() {
            faults.push(("host", "empty; give this host's name".to_owned()));
        }
        if self.data_centre.is_empty() {
            faults.push(("data_centre", "empty; give this host's data centre".to_owned()));
        }
        if self.retries.window_s == 0 {
            faults.push(("retries.window_s", "0; give a time of at least 1 s".to_owned()));
        }
        if !(0.0..=10.0).contains(&self.retries.ratio) {
            faults.push(("retries.ratio", "must be from 0 to 10".to_owned()));
        }
        if !(0.0..=10.0).contains(&self.orders.ceiling_over) {
            faults.push(("orders.ceiling_over", "must be from 0 to 10".to_owned()));
        }
        if self.stop.grace_ms <= self.stop.notice_ms {
            let problem = format!("must exceed stop.notice_ms, which is {}", self.stop.notice_ms);
            faults.push(("stop.grace_ms", problem));
        }
        faults
    }
}
