//! Selects the service of a request and its bounds.

mod route;
mod table;

pub use {
    route::{CallerBounds, EngineTraits, Route, RouteKind, Service, WeightedService},
    table::{RouteMatch, Routing},
};
