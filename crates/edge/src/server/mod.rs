//! HTTP servers for callers, the load balancer's readiness checks and the metrics collector.

mod accept;
mod answer;

pub(crate) use {
    accept::{bind, start},
    answer::{Answer, BodyError, refusal},
};
