//! Settings of an edge host.

use {
    egret_core::{AllowanceBounds, Fencing, RetryBounds, Time},
    egret_runtime::{LogSettings, client_connections_max},
    faststr::FastStr,
    serde::{Deserialize, Deserializer, de::Error},
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
    /// Client accounts; absent if the deployment sets no bounds for them.
    #[serde(default)]
    pub accounts: Option<AccountSettings>,
    /// Allowances of client accounts; absent if the deployment sets no bounds for them.
    #[serde(default)]
    pub allowances: Option<AllowanceSettings>,
    /// Memory of the host; absent if the deployment does not state it.
    #[serde(default)]
    pub memory: Option<MemorySettings>,
    /// Descriptors of the process; absent if the deployment does not state them.
    #[serde(default)]
    pub descriptors: Option<DescriptorSettings>,
    /// Choice of targets.
    #[serde(default)]
    pub placement: PlacementSettings,
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
    #[serde(deserialize_with = "rounded_up")]
    pub lease_ms: u64,
    /// Length of the window in which loads of base models are counted, in seconds.
    #[serde(deserialize_with = "not_negative")]
    pub ceiling_window_s: f64,
    /// Loads allowed in that window by all hosts, as a multiple of the weight store's rate.
    pub ceiling_over: f64,
}

/// Budget of repeated sends, shared by all hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Length of the sliding window in which repeated sends are counted, in seconds.
    #[serde(deserialize_with = "not_negative")]
    pub window_s: f64,
    /// Repeated sends allowed for each request.
    pub ratio: f64,
    /// Further repeated sends allowed in each window.
    #[serde(deserialize_with = "rounded_down")]
    pub free: u64,
}

impl OrderSettings {
    /// Length of the window in which loads of base models are counted, in milliseconds.
    #[must_use]
    pub fn ceiling_window_ms(&self) -> u64 {
        whole_ms(self.ceiling_window_s)
    }
}

impl RetrySettings {
    /// Length of the sliding window in which repeated sends are counted, in milliseconds.
    #[must_use]
    pub fn window_ms(&self) -> u64 {
        whole_ms(self.window_s)
    }

    /// Limits that this host applies: nine tenths of the ratio, since a first send also funds repeats of
    /// the next window. This host may use its part of the free repeats from `fixed_from`.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn bounds(&self, fixed_from: Time) -> RetryBounds {
        RetryBounds {
            window_ms: self.window_ms(),
            ratio_milli: (self.ratio * 900.0) as u64,
            fixed_repeats: self.free,
            fixed_from,
        }
    }
}

/// Client accounts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// Milliseconds after which no request runs under a key that was taken away.
    #[serde(deserialize_with = "rounded_down")]
    pub revoke_ms: u64,
    /// True if requests with a key are refused while this host's view of the keys may be older than
    /// that.
    pub fail_closed: bool,
}

/// Allowances of client accounts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceSettings {
    /// Length of the sliding window in which an account's requests are counted, in seconds.
    #[serde(deserialize_with = "not_negative")]
    pub window_s: f64,
    /// Share by which the allowance of a window may be exceeded.
    #[serde(deserialize_with = "not_negative")]
    pub overage: f64,
    /// Further units of the account by which it may be exceeded.
    #[serde(deserialize_with = "rounded_down")]
    pub slack: u64,
}

impl AllowanceSettings {
    /// By how much an allowance may be exceeded.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn bounds(&self) -> AllowanceBounds {
        AllowanceBounds {
            window_ms: whole_ms(self.window_s),
            overage_milli: (self.overage * 1000.0) as u64,
            slack: self.slack,
        }
    }
}

/// Memory of the host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemorySettings {
    /// Memory of the host, in megabytes.
    #[serde(deserialize_with = "rounded_down")]
    pub host_mb: u64,
}

/// Descriptors of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DescriptorSettings {
    /// Descriptors that the process may open, also those for files.
    #[serde(deserialize_with = "rounded_down")]
    pub process_max: u64,
}

/// Choice of targets.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// True if hosts learn how fast each target works, and compare load with that. It suits fleets
    /// whose targets differ for good; elsewhere adapters move between engines, which costs loads.
    #[serde(default)]
    pub uses_pace: bool,
}

/// Graceful stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Milliseconds after which the load balancer has certainly noticed that this host is not
    /// ready.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
    /// Seconds from the request to stop until the process is killed.
    #[serde(deserialize_with = "not_negative")]
    pub grace_s: f64,
}

impl StopSettings {
    /// Milliseconds from the request to stop until the process is killed.
    #[must_use]
    pub fn grace_ms(&self) -> u64 {
        whole_ms(self.grace_s)
    }
}

// the load balancer checks once a second and acts on the second failed check
const fn default_notice_ms() -> u64 {
    2300
}

// the platform states its bounds as whole numbers or fractions
fn not_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(D::Error::custom(format_args!("{number}; give a number of at least 0")))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded_down<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    not_negative(deserializer).map(|number| number as u64)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded_up<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    not_negative(deserializer).map(|number| number.ceil() as u64)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_ms(seconds: f64) -> u64 {
    (seconds * 1000.0).round() as u64
}

/// Memory that answers which are held share, in bytes, if the host's memory is not known.
const HELD_ANSWERS_BYTES_DEFAULT: usize = 24 * 1024 * 1024;

/// Part of the host's memory that they share if it is known. All that is buffered for slow readers may
/// take a sixteenth; the other half of that is for the buffers of connections.
const HELD_ANSWERS_PARTS: u64 = 32;

/// Memory that a host has if its settings do not state it, in megabytes.
const HOST_MB_DEFAULT: u64 = 512;

impl Settings {
    /// Memory of the host, in megabytes, by which what callers send is limited.
    #[must_use]
    pub fn host_mb(&self) -> u64 {
        self.memory.map_or(HOST_MB_DEFAULT, |memory| memory.host_mb)
    }

    /// Memory that all answers which are held whole share beyond the first part of each, in bytes.
    #[must_use]
    pub fn held_answers_bytes(&self) -> usize {
        let bytes = self
            .memory
            .map(|memory| memory.host_mb.saturating_mul(1024 * 1024) / HELD_ANSWERS_PARTS);
        bytes.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(HELD_ANSWERS_BYTES_DEFAULT)
    }

    /// Largest number of callers' connections, by the memory of the host and the descriptors that its settings
    /// and the system allow.
    #[must_use]
    pub fn caller_connections_max(&self) -> usize {
        client_connections_max(self.host_mb(), self.descriptors.map(|stated| stated.process_max))
    }

    /// Milliseconds after which no request may be sent with a key that was revoked; none if requests
    /// are served however old this host's view of the keys is.
    #[must_use]
    pub fn revocation_bound_ms(&self) -> Option<u64> {
        self.accounts.filter(|accounts| accounts.fail_closed).map(|accounts| accounts.revoke_ms)
    }

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
        if self.retries.window_s < 1.0 {
            let problem = format!("{}; give a time of at least 1 s", self.retries.window_s);
            faults.push(("retries.window_s", problem));
        }
        if !(0.0..=10.0).contains(&self.retries.ratio) {
            faults.push(("retries.ratio", "must be from 0 to 10".to_owned()));
        }
        if !(0.0..=10.0).contains(&self.orders.ceiling_over) {
            faults.push(("orders.ceiling_over", "must be from 0 to 10".to_owned()));
        }
        if self.stop.grace_ms() <= self.stop.notice_ms {
            let problem = format!("must exceed stop.notice_ms, which is {}", self.stop.notice_ms);
            faults.push(("stop.grace_s", problem));
        }
        faults
    }
}
