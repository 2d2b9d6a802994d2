//! Which service a request goes to, and under which bounds.

mod route;
mod table;

pub use {
    route::{CallerBounds, EngineTraits, Route, RouteKind, Service, WeightedService},
    table::{RouteMatch, Routing},
};
