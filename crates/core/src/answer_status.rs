//! Statuses that an answer may have.

/// True if an answer with this status is the final one to its request, and of a class that callers know
/// (RFC 9110, section 15). A target in trouble may send any three digits.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}
