//! Selects the service of a request and its bounds.

mod change;
mod route;
mod table;

pub use {
    change::RoutingChange,
    route::{CallerBounds, EngineTraits, Route, RouteKind, Service, WeightedService},
    table::{RouteMatch, Routing},
};
