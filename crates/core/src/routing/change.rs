//! Differences between two revisions of the routes, for hosts that have the earlier one.

use {
    super::{
        route::{CallerBounds, Route, Service},
        table::Routing,
    },
    crate::accounts::Accounts,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What changes from one revision of the routes to a later one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutingChange {
    /// Revision to which the change applies; 0 if it contains all routes.
    pub base: u64,
    /// Revision after the change.
    pub revision: u64,
    /// Routes that are added, or replace those of the same name.
    pub changed: Vec<Arc<Route>>,
    /// Names of the routes that end.
    pub removed: Vec<FastStr>,
    services: Vec<Arc<Service>>,
    bounds: CallerBounds,
    // none if they stay the same
    #[serde(default)]
    accounts: Option<Arc<Accounts>>,
}

impl RoutingChange {
    /// The change from `base` to `routing`.
    #[must_use]
    pub fn between(base: &Routing, routing: &Routing) -> Self {
        let mut before: IndexMap<&FastStr, &Arc<Route>> =
            base.routes().map(|route| (&route.name, route)).collect();
        let is_changed = |route: &&Arc<Route>| {
            before.swap_remove(&route.name).is_none_or(|old| old.as_ref() != route.as_ref())
        };
        let changed = routing.routes().filter(is_changed).cloned().collect();
        Self {
            base: base.revision,
            revision: routing.revision,
            changed,
            removed: before.into_keys().cloned().collect(),
            services: routing.services().values().cloned().collect(),
            bounds: routing.bounds,
            accounts: (base.accounts != routing.accounts).then(|| routing.accounts.clone()),
        }
    }

    /// The revision that results when the change is applied to `base`. Unchanged routes are shared
    /// with it. Returns `None` if the change applies to another revision.
    #[must_use]
    pub fn apply_to(self, base: &Routing) -> Option<Routing> {
        if self.base != 0 && self.base != base.revision {
            return None;
        }
        let replaced: IndexSet<&FastStr> =
            self.changed.iter().map(|route| &route.name).chain(&self.removed).collect();
        let is_kept = |route: &&Arc<Route>| self.base != 0 && !replaced.contains(&route.name);
        let kept: Vec<Arc<Route>> = base.routes().filter(is_kept).cloned().collect();
        let routes = kept.into_iter().chain(self.changed);
        let unchanged = if self.base == 0 { Arc::default() } else { base.accounts.clone() };
        let accounts = self.accounts.unwrap_or(unchanged);
        let routing = Routing::from_shared(self.revision, routes, self.services, self.bounds);
        Some(routing.with_accounts(accounts))
    }
}
