//! Clocks.

use {
    egret_core::Time,
    nix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Returns the current time of the boot-time clock, which keeps running while the host is
/// suspended.
///
/// # Panics
///
/// When the kernel has no boot-time clock.
#[must_use]
pub fn now() -> Time {
    let spec = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    let seconds = u64::try_from(spec.tv_sec()).unwrap_or(0);
    let millis = u64::try_from(spec.tv_nsec()).unwrap_or(0) / 1_000_000;
    Time::from_millis(seconds * 1000 + millis)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
