//! Settings of an edge host.

use {
    egret_core::{Fencing, RetryBounds, Time},
    egret_runtime::LogSettings,
    faststr::FastStr,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of an edge host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host; must be unique in the deployment.
    pub host: FastStr,
    /// Data centre of this host; targets there are preferred.
    pub data_centre: FastStr,
    /// True if the whole system starts for the first time, so that no stream has begun before.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Orders to engines.
    pub orders: OrderSettings,
    /// Budget of repeated sends, shared by all hosts.
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
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// For links from other hosts.
    pub links: SocketAddr,
    /// For the metrics collector.
    pub metrics: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Milliseconds after an outage of the store for which targets stay in use although their
    /// registry entries lapsed during the outage.
    #[serde(default = "default_lapse_ms")]
    pub lapse_ms: u64,
}

const fn default_lapse_ms() -> u64 {
    2000
}

/// Orders to engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderSettings {
    /// Whether engines refuse orders with an outdated fencing token.
    pub fencing: Fencing,
    /// Milliseconds that must pass between the orders of two hosts to one engine.
    pub lease_ms: u64,
    /// Length of the window in which loads of base models are counted, in seconds.
    pub ceiling_window_s: u64,
    /// Loads allowed in that window by all hosts, as a multiple of the weight store's rate.
    pub ceiling_over: f64,
}

/// Budget of repeated sends, shared by all hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Length of the sliding window in which repeated sends are counted, in seconds.
    pub window_s: u64,
    /// Repeated sends allowed for each request.
    pub ratio: f64,
    /// Further repeated sends allowed in each window.
    pub free: u64,
}

impl RetrySettings {
    /// Limits that this host applies: nine tenths of the allowed values, since the windows of
    /// different hosts do not begin at the same time. This host may repeat from `repeats_from`.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn bounds(&self, repeats_from: Time) -> RetryBounds {
        RetryBounds {
            window_ms: self.window_s * 1000,
            ratio_milli: (self.ratio * 900.0) as u64,
            fixed_repeats: self.free * 9 / 10,
            repeats_from,
        }
    }
}

/// Graceful stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Milliseconds after which the load balancer has certainly noticed that this host is not
    /// ready.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
    /// Milliseconds from the request to stop until the process is killed.
    pub grace_ms: u64,
}

// the load balancer checks once a second and acts on the second failed check
const fn default_notice_ms() -> u64 {
    2300
}

impl Settings {
    /// Invalid settings, as pairs of key and problem.
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
