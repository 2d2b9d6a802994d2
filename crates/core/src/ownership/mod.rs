//! Ownership of engines and of weight store permits by keepers.

mod assignment;
mod claims;
mod lease;

pub(crate) use lease::LOAN_TERM_LOAD_TIMEOUTS;
pub use {
    assignment::assign_keepers,
    claims::{ClaimRecord, Claims, OwnerRecord, Resource},
    lease::{Ownership, OwnershipTimes},
};
