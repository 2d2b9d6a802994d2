//! One revision of the routes, and the selection of a route.

use {
    super::route::{CallerBounds, Route, Service, WeightedService},
    crate::{accounts::Accounts, hash::text_hash},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One revision of routes and services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Routing {
    /// Number of the revision; a newer one is larger.
    pub revision: u64,
    /// Routes by host name, longer prefixes first.
    by_host: IndexMap<FastStr, Vec<Arc<Route>>>,
    services: IndexMap<FastStr, Arc<Service>>,
    /// Bounds on callers.
    pub bounds: CallerBounds,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Arc<Accounts>,
}

/// The route and the service of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: Arc<Service>,
}

impl Routing {
    /// Creates a revision. Routes to undeclared services match no request.
    #[must_use]
    pub fn new(
        revision: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        bounds: CallerBounds,
    ) -> Self {
        let routes = routes.into_iter().map(Arc::new);
        Self::from_shared(revision, routes, services.into_iter().map(Arc::new), bounds)
    }

    pub(super) fn from_shared(
        revision: u64,
        routes: impl IntoIterator<Item = Arc<Route>>,
        services: impl IntoIterator<Item = Arc<Service>>,
        bounds: CallerBounds,
    ) -> Self {
        let mut by_host: IndexMap<FastStr, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            // the name decides between equal prefixes, so that all hosts select the same route
            routes.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.name.cmp(&b.name))
            });
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { revision, by_host, services, bounds, accounts: Arc::default() }
    }

    /// This revision with client accounts.
    #[must_use]
    pub fn with_accounts(mut self, accounts: Arc<Accounts>) -> Self {
        self.accounts = accounts;
        self
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// True once a revision has been received.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Services by name.
    #[must_use]
    pub fn services(&self) -> &IndexMap<FastStr, Arc<Service>> {
        &self.services
    }

    /// Services that share a route with `service`, and `service` itself.
    #[must_use]
    pub fn services_beside(&self, service: &FastStr) -> IndexSet<FastStr> {
        let with_service =
            self.routes().filter(|route| route.services().any(|name| name == service));
        let beside = with_service.flat_map(|route| route.services());
        std::iter::once(service).chain(beside).cloned().collect()
    }

    /// Selects the route with the longest matching prefix for a request for `path` at `host`. The
    /// hash of `request_id` selects the service on a route with several.
    #[must_use]
    pub fn select(&self, host: &str, path: &str, request_id: &str) -> Option<RouteMatch> {
        let routes = self.by_host.get(host)?;
        let route = routes.iter().find(|route| path.starts_with(route.prefix.as_str()))?;
        let share = choose_share(&route.shares, text_hash(request_id))?;
        let service = self.services.get(&share.service)?.clone();
        Some(RouteMatch { route: route.clone(), service })
    }
}

fn choose_share(shares: &[WeightedService], hash: u64) -> Option<&WeightedService> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash.checked_rem(total)?;
    shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    })
}
