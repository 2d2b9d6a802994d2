//! Who may give orders for an engine or use a permit of the weight store.

mod assignment;
mod claims;
mod lease;

pub(crate) use lease::LOAN_TERM_LOAD_TIMEOUTS;
pub use {
    assignment::assign_keepers,
    claims::{ClaimRecord, Claims, OwnerRecord, Resource},
    lease::{Ownership, OwnershipTimes},
};
