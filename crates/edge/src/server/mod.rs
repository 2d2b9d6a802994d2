//! Where callers, the balancer and the collector connect.

mod accept;
mod answer;

pub(crate) use {
    accept::{bind, start},
    answer::{Answer, BodyError, full_answer, refusal},
};
