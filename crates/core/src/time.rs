//! Points in time on the boot-time clock.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A point in time, in milliseconds of a clock that never steps back and continues while the host
/// is suspended.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// A point in time that no clock reaches.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `ms` milliseconds after the clock's origin.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Milliseconds since the clock's origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The point `ms` milliseconds later.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from this point to `later`, 0 when `later` has passed.
    #[must_use]
    pub const fn ms_until(self, later: Self) -> u64 {
        later.0.saturating_sub(self.0)
    }

    /// Milliseconds from `earlier` to this point, 0 when `earlier` lies ahead.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
