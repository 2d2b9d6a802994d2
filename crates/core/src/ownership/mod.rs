//! Who may give orders for an engine or use a permit of the weight store.

mod assign;
mod claims;
mod rights;

pub(crate) use rights::LOAN_LOAD_TIMEOUTS;
pub use {
    assign::assign,
    claims::{ClaimRecord, Claims, Holding, Resource},
    rights::{Ownership, OwnershipTimes},
};
