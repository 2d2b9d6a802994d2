//! Clocks.

use {
    egret_core::Time,
    nix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// The current time on the boot-time clock, which runs on while the host is suspended.
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

/// Milliseconds of Unix time, by the wall clock.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
